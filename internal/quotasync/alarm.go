package quotasync

import "time"

// alarm is a timer that one goroutine uses and that is off at first.
type alarm struct {
	timer *time.Timer
	due   time.Time // zero while off
}

// channel returns the channel of the timer, or nil while it is off.
func (a *alarm) channel() <-chan time.Time {
	if a.due.IsZero() {
		return nil
	}
	return a.timer.C
}

// setWithin lets the timer fire within d, unless it fires earlier anyway.
func (a *alarm) setWithin(d time.Duration) {
	d = max(d, 0)
	due := time.Now().Add(d)
	if !a.due.IsZero() && !due.Before(a.due) {
		return
	}
	a.due = due
	if a.timer == nil {
		a.timer = time.NewTimer(d)
		return
	}
	a.timer.Reset(d)
}

func (a *alarm) stop() {
	a.due = time.Time{}
	if a.timer != nil {
		a.timer.Stop()
	}
}
