// Package pace finds how many calls a backend server that starts or recovers may
// run at once, from how it answers. It does no I/O and reads no clock.
//
// The server begins with half of its slots. Each good answer while the slots
// that are open are in use opens one more, so that they double in the time of one
// call. A server whose calls become much slower than its first ones gains nothing
// from more of them, and one that rejects calls has too many: half of the slots
// close again for a while. The pace ends when the server has answered a round of
// calls well with all slots open.
package pace

import "time"

const (
	// initialDivisor is the part of the slots with which a server begins.
	initialDivisor = 2
	// slowdown is the ratio of the service times, to those with few calls, above
	// which more calls only wait for each other.
	slowdown = 1.7
	// minRound is the least number of answers that are compared: the work of calls
	// differs several times.
	minRound = 8
	// rejectionRun is the number of rejections in a row after which a server with
	// open slots is taken to reject every call. A server that rejects half of its
	// calls whatever their number reaches it rarely.
	rejectionRun = 12
	// Time without calls after a server with a single open slot has rejected one.
	// It doubles while the server goes on rejecting.
	minClosed = 50 * time.Millisecond
	maxClosed = time.Second
	// Time for which the slots do not grow after they were reduced. It doubles each
	// time, and covers the calls that are still running.
	minHold   = 100 * time.Millisecond
	maxHold   = 4 * time.Second
	holdTimes = 2 // mean service times of the calls that are still running
)

// Answer is what one answer says of its server.
type Answer struct {
	// UnitTime is the service time of the call divided by its work, see
	// admission.Request.
	UnitTime time.Duration
	InUse    int // slots in use, that of the call included
	Slots    int // of the server
}

// Pacer is the pace of one server. The zero value opens all slots. It is a plain
// value; its owner guards it.
type Pacer struct {
	pacing      bool // not all slots are open, or it is not known yet that they may stay so
	open        float64
	base        time.Duration // mean service time with the first open slots; 0 until it is known
	round       round
	hold        time.Duration // last hold
	holdUntil   time.Time     // no growth until then
	closedFor   time.Duration
	closedUntil time.Time // no calls until then
	rejections  int       // in a row
}

// round sums up the answers of as many calls as slots were open when it began, and
// of minRound at least.
type round struct {
	open    int // slots when it began
	calls   int
	answers int
	sum     time.Duration
}

func (r round) complete() bool { return r.answers >= r.calls }

func (r round) mean() time.Duration { return r.sum / time.Duration(r.answers) }

// Start begins to pace a server that has started or answers again.
func (p *Pacer) Start(slots int) {
	*p = Pacer{pacing: true, open: max(1, float64(slots)/initialDivisor)}
	p.beginRound()
}

func (p *Pacer) beginRound() {
	calls := int(p.open)
	if p.base > 0 {
		calls = max(calls, minRound)
	}
	p.round = round{open: int(p.open), calls: calls}
}

// Limit returns how many calls the server may run at once, at least 1.
func (p *Pacer) Limit(slots int) int {
	if !p.pacing {
		return slots
	}
	return min(max(int(p.open), 1), slots)
}

// Allows reports whether the server may get a call at present, within its limit.
func (p *Pacer) Allows(now time.Time) bool { return !now.Before(p.closedUntil) }

// Closed returns the time until the server may get a call.
func (p *Pacer) Closed(now time.Time) time.Duration { return max(p.closedUntil.Sub(now), 0) }

// Pacing reports whether slots are closed.
func (p *Pacer) Pacing() bool { return p.pacing }

// Answered records an answer to a call that the server ran.
func (p *Pacer) Answered(now time.Time, a Answer) {
	if p.rejections > 0 {
		p.rejections, p.closedFor = 0, 0
		p.hold, p.holdUntil = 0, time.Time{} // it takes calls again
	}
	if !p.pacing || now.Before(p.holdUntil) {
		return // calls from before the reduction still slow each other down
	}
	if 2*a.InUse < p.Limit(a.Slots) {
		return // the limit does not bind, so the answer says nothing of a higher one
	}
	p.round.sum += a.UnitTime
	p.round.answers++
	if p.round.complete() && !p.endRound(now, a.Slots) {
		return
	}
	if p.base == 0 {
		return // the first round is one with few calls at once
	}
	p.open = min(p.open+1, float64(a.Slots))
}

// endRound compares a round with the first one and reports whether the slots may
// grow.
func (p *Pacer) endRound(now time.Time, slots int) bool {
	mean := p.round.mean()
	full := p.round.open >= slots
	switch {
	case p.base == 0:
		p.base = mean
	case float64(mean) > slowdown*float64(p.base):
		p.reduce(now, p.open/2, holdTimes*mean)
		return false
	case full:
		p.pacing = false
	}
	p.beginRound()
	return true
}

// reduce closes slots for a while, at least for a time, and measures the service
// time anew.
func (p *Pacer) reduce(now time.Time, open float64, atLeast time.Duration) {
	p.open, p.base = max(open, 1), 0
	p.hold = max(min(max(2*p.hold, minHold), maxHold), atLeast)
	p.holdUntil = now.Add(p.hold)
	p.beginRound()
}

// Rejected records that the server refused a call without running it. Rejections of
// a server with all slots open count only in a long run.
func (p *Pacer) Rejected(now time.Time) {
	p.rejections++
	switch {
	case !p.pacing && p.rejections < rejectionRun:
		return
	case !p.pacing:
		*p = Pacer{pacing: true}
	case p.open <= 1:
		p.closedFor = min(max(2*p.closedFor, minClosed), maxClosed)
		p.closedUntil = now.Add(p.closedFor)
	}
	p.reduce(now, p.open/2, minHold)
}
