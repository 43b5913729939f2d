package admission

import (
	"math"
	"time"
)

const (
	// coldStartShare is the share of the slots that is open when a cold start
	// begins.
	coldStartShare = 0.1
	// callerIdleTime is the time without a waiting caller after which background
	// calls get more than their share, so that they do not take slots in a short
	// gap between two callers' calls.
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
func (c *Controller) grantLocked(now time.Time) {
	for {
		t := c.nextLocked(now)
		if t == nil {
			break
		}
		c.queue.remove(t)
		c.limit.spend(now)
		c.shares.addServed(t, now)
		t.state = stateRunning
		c.inUse[t.priority][t.class]++
		if t.priority == Background {
			c.running[t] = struct{}{}
		}
		t.ready <- Decision{Verdict: Admitted}
	}
	if c.queue.waiting(Caller) > 0 {
		c.pressure.lastWait = now
	}
}

// nextLocked returns the waiting call that gets the next slot, or nil: one of a
// route, or a rank on it, that is served less than its least share, or else the first
// in order.
func (c *Controller) nextLocked(now time.Time) *Ticket {
	if c.queue.size() == 0 {
		return nil
	}
	var may [2][2]bool
	for _, p := range []Priority{Caller, Background} {
		for _, class := range []Class{Short, Long} {
			may[p][class] = c.mayRunLocked(now, p, class)
		}
	}
	eligible := func(t *Ticket) bool { return may[t.priority][t.class] }
	if c.queue.standing(now) {
		starved, interval := c.shares.starved(), c.slotIntervalLocked(now)
		first := c.queue.next(now, func(t *Ticket) bool {
			return eligible(t) && t.priority == Caller && starved(t) && !t.missedInQueue(now, interval)
		})
		if first != nil {
			return first
		}
	}
	return c.queue.next(now, eligible)
}

// mayRunLocked reports whether a slot is free for a call of a priority and class.
func (c *Controller) mayRunLocked(now time.Time, p Priority, class Class) bool {
	limit := c.openSlotsLocked(now)
	if c.totalInUse() >= limit || !c.limit.allows(now) || !c.pacer.Allows(now) {
		return false
	}
	if class == Long && c.classInUse(Long) >= limit-c.reservedLocked(now, limit) {
		return false
	}
	return p == Caller || c.backgroundInUse() < c.backgroundLimitLocked(now, limit)
}

// openSlotsLocked returns the number of open slots: all of them, a few until the
// server has first answered, or, after its start, a share that grows with time or
// with its answers.
func (c *Controller) openSlotsLocked(now time.Time) int {
	slots := c.cfg.Slots
	if !c.answered && c.cfg.UnansweredCalls > 0 {
		slots = min(slots, c.cfg.UnansweredCalls)
	}
	if c.cfg.Paced {
		return c.pacer.Limit(slots)
	}
	age := now.Sub(c.started)
	if c.started.IsZero() || age >= c.cfg.ColdStart {
		return slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(age)/float64(c.cfg.ColdStart)
	return max(1, int(share*float64(slots)))
}

// reservedLocked returns the number of slots reserved for short calls, within
// what LongShare leaves. It is the measured demand of short calls, plus its
// square root for bursts as far as the demand of long calls leaves room.
// Reserving more makes long calls wait several times longer and gains short ones
// little.
func (c *Controller) reservedLocked(now time.Time, limit int) int {
	short, long := c.demand.requiredSlots(Short, now), c.demand.requiredSlots(Long, now)
	if short == 0 {
		return 0
	}
	required := int(math.Ceil(short))
	room := limit - int(math.Ceil(long))
	reserved := min(int(math.Ceil(short+math.Sqrt(short))), max(required, room))
	largest := int(float64(limit) * (1 - c.cfg.LongShare))
	return max(0, min(reserved, largest, limit-1))
}

// backgroundLimitLocked returns the number of slots open to background calls:
// none while callers wait in a standing queue or within shedHoldoff after a
// caller's call was shed, their share while callers wait or within
// callerIdleTime after that, and all otherwise.
func (c *Controller) backgroundLimitLocked(now time.Time, limit int) int {
	waiting := c.queue.waiting(Caller) > 0
	shedRecently := !c.pressure.lastShed.IsZero() && now.Sub(c.pressure.lastShed) < shedHoldoff
	waitedRecently := !c.pressure.lastWait.IsZero() && now.Sub(c.pressure.lastWait) < callerIdleTime
	switch {
	case shedRecently, waiting && c.queue.standing(now):
		return 0
	case waiting, waitedRecently:
		return int(float64(limit) * c.cfg.BackgroundShare)
	}
	return limit
}

// preemptLocked signals the running background calls to cancel.
func (c *Controller) preemptLocked() {
	for t := range c.running {
		close(t.preempted)
		delete(c.running, t)
	}
}

func (c *Controller) classInUse(class Class) int {
	return c.inUse[Caller][class] + c.inUse[Background][class]
}

func (c *Controller) backgroundInUse() int {
	return c.inUse[Background][Short] + c.inUse[Background][Long]
}

func (c *Controller) totalInUse() int {
	return c.classInUse(Short) + c.classInUse(Long)
}
