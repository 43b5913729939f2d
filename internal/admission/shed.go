package admission

import "time"

// makeRoomLocked reports whether a call may run or be queued, and sheds another
// call for it if need be. A caller's call displaces the oldest queued background
// call, as does a background call in a standing queue. If there is none, a
// caller's call preempts the running background calls. A call then displaces one
// that is worth less, see displacedLocked. Otherwise the newest is refused at
// once, while there is time to try another server.
func (c *Controller) makeRoomLocked(now time.Time, t *Ticket) bool {
	if c.queue.size() < c.cfg.Queue || c.mayRunLocked(now, t.priority, t.class) {
		return true
	}
	if victim := c.queue.oldest(Background); victim != nil {
		if t.priority == Background && !c.queue.standing(now) {
			return false
		}
		c.shedLocked(now, victim, ReasonOverloaded)
		return true
	}
	if t.priority == Background || c.cfg.Queue == 0 {
		return false
	}
	c.preemptLocked()
	if c.queue.size() < c.queueLimitLocked() {
		return true
	}
	victim := c.displacedLocked(now, t)
	if victim == nil {
		return false
	}
	c.shedLocked(now, victim, ReasonOverloaded)
	return true
}

// displacedLocked returns the waiting call that is shed for a new one when the
// queue is full, or nil: the last in order if it is of a lower rank or has missed
// its objective while the new one has not. In a standing queue whose oldest call
// is near its deadline it is the oldest, which is the likeliest to miss it.
func (c *Controller) displacedLocked(now time.Time, t *Ticket) *Ticket {
	last := c.queue.last(now)
	if last.rank > t.rank && t.inTime(now) || t.inTime(now) && !last.inTime(now) {
		return last
	}
	oldest := c.queue.oldest(Caller)
	if c.queue.standing(now) && oldest.rank >= t.rank && oldest.nearLimit(now) {
		return oldest
	}
	return nil
}

// queueLimitLocked returns the maximum length of the queue for callers. It is
// higher while background calls hold slots, since no caller's call may be shed
// before background calls.
func (c *Controller) queueLimitLocked() int {
	if c.backgroundInUse() > 0 {
		return preemptionQueueFactor * c.cfg.Queue
	}
	return c.cfg.Queue
}

// expireLocked sheds the waiting calls that can no longer meet their deadline.
func (c *Controller) expireLocked(now time.Time) {
	for _, p := range shedOrder {
		for _, t := range c.queue.expired(p, now) {
			c.shedLocked(now, t, ReasonOverloaded)
		}
	}
}

// hopelessFactor reduces the estimate of the wait before a queued call is shed
// for it, since the estimate is rough and a shed call may not come back.
const hopelessFactor = 0.7

// shedHopelessLocked sheds the waiting calls with an objective whose turn comes
// after their latest start, so that their callers learn it at once.
func (c *Controller) shedHopelessLocked(now time.Time) {
	interval := time.Duration(hopelessFactor * float64(c.slotIntervalLocked(now)))
	for _, t := range c.queue.hopeless(now, interval) {
		c.shedLocked(now, t, ReasonOverloaded)
	}
}

// shedLocked removes a waiting call from the queue and refuses it.
func (c *Controller) shedLocked(now time.Time, t *Ticket, reason Reason) {
	c.queue.remove(t)
	c.cfg.Link.Add(now, -t.bytes)
	t.state = stateDone
	c.recordShedLocked(now, t)
	t.ready <- c.refusalLocked(now, reason)
}

func (c *Controller) recordShedLocked(now time.Time, t *Ticket) {
	if t.priority == Caller {
		c.pressure.lastShed = now
		c.preemptLocked()
	}
}
