package admission

import (
	"math"
	"time"
)

const (
	// coldStartShare is the share of the slots that is open at once.
	coldStartShare = 0.1
	// calmAfter is how long no caller may have waited before background work
	// gets more than its share, so that it does not slip in between two calls.
	calmAfter = 100 * time.Millisecond
	// backgroundGrace is how many times longer the queue may be while background
	// calls that began before a surge are cancelled: time for a cancellation to
	// reach the backend server.
	backgroundGrace = 2
	// shedMemory is how long background work gets no slot after a caller's
	// call was shed.
	shedMemory = time.Second
)

// pressure remembers when callers last had to wait or were shed.
type pressure struct {
	lastWait time.Time
	lastShed time.Time
}

// grantLocked hands free slots to waiting calls until none may run.
func (g *Gate) grantLocked(now time.Time) {
	for {
		t := g.pickLocked(now)
		if t == nil {
			break
		}
		g.queue.remove(t, now)
		t.state = stateRunning
		g.inUse[t.priority][t.class]++
		if t.priority == Background {
			g.running[t] = struct{}{}
		}
		t.ready <- Decision{Verdict: Admitted}
	}
	if g.queue.waiting(Caller) > 0 {
		g.pressure.lastWait = now
	}
}

// pickLocked returns the waiting call that gets a slot next, or nil.
func (g *Gate) pickLocked(now time.Time) *Ticket {
	for p := Caller; p <= Background; p++ {
		if t := g.pickOfLocked(now, p); t != nil {
			return t
		}
	}
	return nil
}

// pickOfLocked chooses between the long and the short call that are next. Long
// work goes first where it may run at all: the kept slots are closed to it, so
// short work has those, and neither can starve.
func (g *Gate) pickOfLocked(now time.Time, p Priority) *Ticket {
	for _, c := range []Class{Long, Short} {
		t := g.queue.next(p, c, now)
		if t != nil && g.mayRunLocked(now, p, c) {
			return t
		}
	}
	return nil
}

// mayRunLocked reports whether the slots in use leave one for such a call.
func (g *Gate) mayRunLocked(now time.Time, p Priority, c Class) bool {
	limit := g.limitLocked(now)
	if g.totalInUse() >= limit {
		return false
	}
	if c == Long && g.classInUse(Long) >= limit-g.keptLocked(now, limit) {
		return false
	}
	return p == Caller || g.backgroundInUse() < g.backgroundLimitLocked(now, limit)
}

// limitLocked returns the open slots: all of them, or a part that grows with
// time while the backend server is starting.
func (g *Gate) limitLocked(now time.Time) int {
	age := now.Sub(g.started)
	if g.started.IsZero() || age >= g.cfg.ColdStart {
		return g.cfg.Slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(age)/float64(g.cfg.ColdStart)
	return max(1, int(share*float64(g.cfg.Slots)))
}

// keptLocked returns the slots kept for short work, at most what the share of
// long work leaves. Short work gets its measured demand, and its square root
// more against bursts as far as the demand of long work leaves room. Keeping
// more makes long calls wait several times longer and gains short ones little.
func (g *Gate) keptLocked(now time.Time, limit int) int {
	short, long := g.demand.slots(Short, now), g.demand.slots(Long, now)
	if short == 0 {
		return 0
	}
	least := int(math.Ceil(short))
	room := limit - int(math.Ceil(long))
	kept := min(int(math.Ceil(short+math.Sqrt(short))), max(least, room))
	most := int(float64(limit) * (1 - g.cfg.LongShare))
	return max(0, min(kept, most, limit-1))
}

// backgroundLimitLocked returns the slots open to background work: all when
// callers do not wait, its share while they do, and none once their queue
// stands or one of them was shed.
func (g *Gate) backgroundLimitLocked(now time.Time, limit int) int {
	waiting := g.queue.waiting(Caller) > 0
	shedLately := !g.pressure.lastShed.IsZero() && now.Sub(g.pressure.lastShed) < shedMemory
	waitedLately := !g.pressure.lastWait.IsZero() && now.Sub(g.pressure.lastWait) < calmAfter
	switch {
	case shedLately, waiting && g.queue.standing(now):
		return 0
	case waiting, waitedLately:
		return int(float64(limit) * g.cfg.BackgroundShare)
	}
	return limit
}

// preemptLocked asks the running background calls to end.
func (g *Gate) preemptLocked() {
	for t := range g.running {
		close(t.preempted)
		delete(g.running, t)
	}
}

func (g *Gate) classInUse(c Class) int {
	return g.inUse[Caller][c] + g.inUse[Background][c]
}

func (g *Gate) backgroundInUse() int {
	return g.inUse[Background][Short] + g.inUse[Background][Long]
}

func (g *Gate) totalInUse() int {
	return g.classInUse(Short) + g.classInUse(Long)
}
