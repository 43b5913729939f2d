package admission

import (
	"math"
	"time"
)

// LimitKind tells what an answer of the backend server says of its limit.
type LimitKind int

// Kinds of statements about a limit.
const (
	LimitUnknown LimitKind = iota // nothing that can be read, so the limit before stays
	LimitNone                     // the server names no limit
	LimitNamed
)

// StatedLimit is the limit that an answer of the backend server names.
type StatedLimit struct {
	Kind           LimitKind
	CallsPerSecond float64 // if Kind is LimitNamed
}

const (
	// limitBurst is the time whose calls may be sent at once after a pause, at
	// least one. A limit is there because the server is in need, so it is short.
	limitBurst = 250 * time.Millisecond
	// minLimitRate keeps a call every few seconds going to a server with a lower
	// limit, or one of zero, whose answer tells when the limit ends.
	minLimitRate = 0.25 // calls/s
	// maxLimitRate is far above what one server takes, and keeps products small.
	maxLimitRate = 1e6 // calls/s
	// A limit ends once no answer has named it for limitLinger and the time in which
	// it allows lingerCalls, so that one which some answers do not name stays.
	limitLinger = 500 * time.Millisecond
	lingerCalls = 3
	// maxLimitDebt bounds what is counted of the calls that were sent while the
	// server named no limit, as the time in which the limit allows as many.
	maxLimitDebt = time.Second
)

// rateLimit keeps the calls sent to the backend server within the limit that it
// names. It is a token bucket that goes on counting while no limit is named, so
// that one which is named in some answers only allows no burst at each change.
type rateLimit struct {
	named     bool
	perSecond float64   // newest limit, 0 if none was ever named
	tokens    float64   // negative after calls without a limit
	updated   time.Time // of tokens
	namedAt   time.Time // when an answer last named the limit
}

// observe applies what an answer to a call sent at a time says. Answers may
// overtake each other, so the limit ends only with one to a call that was sent after
// the last answer that named it.
func (l *rateLimit) observe(now, sent time.Time, s StatedLimit) {
	switch s.Kind {
	case LimitNamed:
		l.refill(now)
		first := l.perSecond == 0
		l.perSecond = min(max(s.CallsPerSecond, minLimitRate), maxLimitRate)
		if first || l.tokens > l.capacity() {
			l.tokens = l.capacity()
		}
		l.named, l.namedAt = true, now
	case LimitNone:
		if l.named && sent.After(l.namedAt) && now.Sub(l.namedAt) >= max(limitLinger, lingerCalls*l.interval()) {
			l.named = false
		}
	}
}

func (l *rateLimit) capacity() float64 { return max(1, l.perSecond*limitBurst.Seconds()) }

func (l *rateLimit) refill(now time.Time) {
	if age := now.Sub(l.updated); age > 0 {
		l.tokens = min(l.tokens+l.perSecond*age.Seconds(), l.capacity())
		l.updated = now
	}
}

// allows reports whether a call may be sent.
func (l *rateLimit) allows(now time.Time) bool {
	if !l.named {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// spend counts a call that is sent.
func (l *rateLimit) spend(now time.Time) {
	if l.perSecond == 0 {
		return
	}
	l.refill(now)
	l.tokens = max(l.tokens-1, -l.perSecond*maxLimitDebt.Seconds())
}

// wait returns the time until the limit allows a call behind others that wait.
func (l *rateLimit) wait(now time.Time, ahead int) time.Duration {
	if !l.named {
		return 0
	}
	l.refill(now)
	missing := float64(ahead+1) - l.tokens
	return time.Duration(max(missing, 0) / l.perSecond * float64(time.Second))
}

// interval returns the mean time between two calls that the limit allows, 0
// without one.
func (l *rateLimit) interval() time.Duration {
	if !l.named {
		return 0
	}
	return time.Duration(float64(time.Second) / l.perSecond)
}

// slots returns how many of the open slots calls can fill that come at the rate
// of the limit and take a mean time.
func (l *rateLimit) slots(open int, mean time.Duration) int {
	if !l.named || mean <= 0 {
		return open
	}
	return min(open, max(1, int(math.Ceil(l.perSecond*mean.Seconds()))))
}

// ObserveAnswer applies what an answer of the backend server, to a call sent at a
// time, says of its limit. It reports whether a limit has come into force or ended,
// or differs by reportedChange or more from the one reported last.
func (c *Controller) ObserveAnswer(now, sent time.Time, s StatedLimit) (changed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answered = true
	c.limit.observe(now, sent, s)
	c.grantLocked(now)
	limit := c.limitLocked()
	if math.Abs(limit-c.reportedLimit) < reportedChange*c.reportedLimit || limit == c.reportedLimit {
		return false
	}
	c.reportedLimit = limit
	return true
}

// reportedChange is the share by which a limit must change to be reported, so that
// a server which states another one in each answer does not fill the log.
const reportedChange = 0.1

// ForgetLimit drops the limit, after a start of the backend server.
func (c *Controller) ForgetLimit() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limit, c.reportedLimit = rateLimit{}, 0
}

// SpendResend reports whether a call may be sent to the backend server once more,
// and counts it against the limit.
func (c *Controller) SpendResend(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.limit.allows(now) {
		return false
	}
	c.limit.spend(now)
	return true
}

// limitLocked returns the limit in force, in calls a second; 0 for none.
func (c *Controller) limitLocked() float64 {
	if !c.limit.named {
		return 0
	}
	return c.limit.perSecond
}
