package admission

import "time"

// exceedsMaxWaitLocked reports whether a call would wait longer than it accepts.
// It is then refused at once, while there is time to try another server.
func (c *Controller) exceedsMaxWaitLocked(now time.Time, t *Ticket, maxWait time.Duration) bool {
	if maxWait <= 0 || c.mayRunLocked(now, t.priority, t.class) {
		return false
	}
	return c.waitOfLocked(now, t) > maxWait
}

// patienceShare is the part of the time until a call's limit that it may be
// expected to wait. The rest absorbs the error of the estimate and calls of a
// higher rank that arrive later.
const patienceShare = 0.5

// startsTooLateLocked reports whether a call with an objective would wait too
// long in a standing queue to be in time. It is refused at once, while there is
// time to try another server or to come back, rather than held for nothing.
func (c *Controller) startsTooLateLocked(now time.Time, t *Ticket) bool {
	if !t.hasObjective || !c.queue.standing(now) || c.mayRunLocked(now, t.priority, t.class) {
		return false
	}
	patience := time.Duration(patienceShare * float64(t.limit(now).Sub(now)))
	return c.waitOfLocked(now, t) > patience
}

// limitComesTooLateLocked reports whether the limit that the server names allows a
// call only after the latest start at which it can meet its deadline.
func (c *Controller) limitComesTooLateLocked(now time.Time, t *Ticket) bool {
	ahead, _ := c.queue.ahead(t, now)
	return c.limit.wait(now, ahead) > t.latestStart.Sub(now)
}

// closedLocked reports whether the backend server gets no call at present because it
// rejects every one. Other servers may take the call.
func (c *Controller) closedLocked(now time.Time) bool { return !c.pacer.Allows(now) }

// linkWaitLocked estimates how long the answer of a call waits for the link, 0 for
// a short one.
func (c *Controller) linkWaitLocked(now time.Time, t *Ticket) time.Duration {
	if t.bytes == 0 {
		return 0
	}
	return c.cfg.Link.Wait(now)
}

// linkPatience returns how long the answer of a call may wait for the link.
func (c *Controller) linkPatience(now time.Time, t *Ticket, maxWait time.Duration) time.Duration {
	patience := time.Duration(patienceShare * float64(t.limit(now).Sub(now)))
	if maxWait > 0 {
		return min(patience, maxWait)
	}
	return patience
}

// waitLocked estimates the time until the calls queued now are served.
func (c *Controller) waitLocked(now time.Time) time.Duration {
	return c.slotIntervalLocked(now) * time.Duration(c.queue.size())
}

// waitOfLocked estimates the wait of a new call: until a slot is free after those
// that go before it. In a standing queue, calls of more urgent routes that arrive
// later go before it too, so only the slots count that those leave.
func (c *Controller) waitOfLocked(now time.Time, t *Ticket) time.Duration {
	all, sameRoute := c.queue.ahead(t, now)
	wait := c.slotIntervalLocked(now) * time.Duration(all+1)
	if !c.queue.standing(now) || c.shares.starved()(t) {
		return wait // it goes first if it is starved
	}
	slots := c.openSlotsLocked(now)
	interval := time.Duration(float64(t.expected) / float64(slots) / c.shares.capacityLeft(t, slots, now))
	return max(wait, interval*time.Duration(sameRoute+1))
}

// slotIntervalLocked is the mean time between two calls that get a slot while all
// are in use: until a slot is free and the limit of the server allows a call.
func (c *Controller) slotIntervalLocked(now time.Time) time.Duration {
	return max(c.demand.meanTime()/time.Duration(c.openSlotsLocked(now)), c.limit.interval())
}
