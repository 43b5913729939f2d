package admission

import (
	"math"
	"time"
)

const (
	// coldStartShare is the share of the slots that is open when a cold start
	// begins.
	coldStartShare = 0.1
	// callerIdleTime is how long no caller may have waited before background calls
	// get more than their share, so that they do not take slots in a short gap
	// between two callers' calls.
	callerIdleTime = 100 * time.Millisecond
	// preemptionQueueFactor is how many times longer the queue may be while running
	// background calls are preempted, to cover the time that a cancellation takes
	// to reach the backend server.
	preemptionQueueFactor = 2
	// shedHoldoff is how long background calls get no slot after a caller's call
	// was shed.
	shedHoldoff = time.Second
)

// pressure records when callers last had to wait or were shed.
type pressure struct {
	lastWait time.Time
	lastShed time.Time
}

// grantLocked admits waiting calls until none may run.
func (ctrl *Controller) grantLocked(now time.Time) {
	for {
		t := ctrl.nextLocked(now)
		if t == nil {
			break
		}
		ctrl.queue.remove(t, now)
		t.state = stateRunning
		ctrl.inUse[t.priority][t.class]++
		if t.priority == Background {
			ctrl.running[t] = struct{}{}
		}
		t.ready <- Decision{Verdict: Admitted}
	}
	if ctrl.queue.waiting(Caller) > 0 {
		ctrl.pressure.lastWait = now
	}
}

// nextLocked returns the waiting call that gets the next slot, or nil.
func (ctrl *Controller) nextLocked(now time.Time) *Ticket {
	for p := Caller; p <= Background; p++ {
		if t := ctrl.nextOfLocked(now, p); t != nil {
			return t
		}
	}
	return nil
}

// nextOfLocked returns the next call of a priority, or nil. A long call goes
// first if it may run: the reserved slots are closed to it and left to short
// calls, so neither class can starve.
func (ctrl *Controller) nextOfLocked(now time.Time, p Priority) *Ticket {
	for _, c := range []Class{Long, Short} {
		t := ctrl.queue.next(p, c, now)
		if t != nil && ctrl.mayRunLocked(now, p, c) {
			return t
		}
	}
	return nil
}

// mayRunLocked reports whether a slot is free for a call of a priority and class.
func (ctrl *Controller) mayRunLocked(now time.Time, p Priority, c Class) bool {
	limit := ctrl.openSlotsLocked(now)
	if ctrl.totalInUse() >= limit {
		return false
	}
	if c == Long && ctrl.classInUse(Long) >= limit-ctrl.reservedLocked(now, limit) {
		return false
	}
	return p == Caller || ctrl.backgroundInUse() < ctrl.backgroundLimitLocked(now, limit)
}

// openSlotsLocked returns the number of open slots: all of them, or a share that
// grows with time during a cold start.
func (ctrl *Controller) openSlotsLocked(now time.Time) int {
	age := now.Sub(ctrl.started)
	if ctrl.started.IsZero() || age >= ctrl.cfg.ColdStart {
		return ctrl.cfg.Slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(age)/float64(ctrl.cfg.ColdStart)
	return max(1, int(share*float64(ctrl.cfg.Slots)))
}

// reservedLocked returns the number of slots reserved for short calls, within
// what LongShare leaves. It is the measured demand of short calls, plus its
// square root for bursts as far as the demand of long calls leaves room.
// Reserving more makes long calls wait several times longer and gains short ones
// little.
func (ctrl *Controller) reservedLocked(now time.Time, limit int) int {
	short, long := ctrl.demand.requiredSlots(Short, now), ctrl.demand.requiredSlots(Long, now)
	if short == 0 {
		return 0
	}
	required := int(math.Ceil(short))
	room := limit - int(math.Ceil(long))
	reserved := min(int(math.Ceil(short+math.Sqrt(short))), max(required, room))
	largest := int(float64(limit) * (1 - ctrl.cfg.LongShare))
	return max(0, min(reserved, largest, limit-1))
}

// backgroundLimitLocked returns the number of slots open to background calls:
// all while no callers wait, their share while callers wait, and none in a
// standing queue or after a caller's call was shed.
func (ctrl *Controller) backgroundLimitLocked(now time.Time, limit int) int {
	waiting := ctrl.queue.waiting(Caller) > 0
	shedRecently := !ctrl.pressure.lastShed.IsZero() && now.Sub(ctrl.pressure.lastShed) < shedHoldoff
	waitedRecently := !ctrl.pressure.lastWait.IsZero() && now.Sub(ctrl.pressure.lastWait) < callerIdleTime
	switch {
	case shedRecently, waiting && ctrl.queue.standing(now):
		return 0
	case waiting, waitedRecently:
		return int(float64(limit) * ctrl.cfg.BackgroundShare)
	}
	return limit
}

// preemptLocked signals the running background calls to cancel.
func (ctrl *Controller) preemptLocked() {
	for t := range ctrl.running {
		close(t.preempted)
		delete(ctrl.running, t)
	}
}

func (ctrl *Controller) classInUse(c Class) int {
	return ctrl.inUse[Caller][c] + ctrl.inUse[Background][c]
}

func (ctrl *Controller) backgroundInUse() int {
	return ctrl.inUse[Background][Short] + ctrl.inUse[Background][Long]
}

func (ctrl *Controller) totalInUse() int {
	return ctrl.classInUse(Short) + ctrl.classInUse(Long)
}
