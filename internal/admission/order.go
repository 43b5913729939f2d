package admission

import (
	"math/bits"
	"time"
)

// The order in which waiting calls get slots. In a short burst every call can
// still be served in time, so the one whose limit comes first goes first. In a
// standing queue some calls must miss their objective: those of a higher rank
// then go first, and those that have missed it already take what is left. Of equal
// rank, short calls go first: a slot serves several of them in the time of a long
// one, and they are often made by servers whose own calls wait for them.

// objectiveMargin is the multiple of the expected service time that is kept free
// before the objective, since about half of the calls take longer than the mean.
const objectiveMargin = 1.25

// lengthOf returns the binary order of magnitude of a service time, so that small
// differences do not decide.
func lengthOf(serviceTime time.Duration) int {
	return bits.Len64(uint64(max(serviceTime.Milliseconds(), 0)))
}

// limit returns the latest start at which the call is in time: for its objective
// while that can be met, for its deadline otherwise.
func (t *Ticket) limit(now time.Time) time.Time {
	if t.inTime(now) {
		return t.objectiveStart
	}
	return t.latestStart
}

// inTime reports whether the call can still meet its objective.
func (t *Ticket) inTime(now time.Time) bool { return !t.objectiveStart.Before(now) }

// missedInQueue reports whether a call can no longer meet an objective that it could
// have met after a wait of an interval. A slot for it would take one from a call in
// time; a newer call of its rank and route takes the share.
func (t *Ticket) missedInQueue(now time.Time, interval time.Duration) bool {
	return !t.inTime(now) && t.objectiveStart.Sub(t.arrived) > interval
}

// nearLimit reports whether less time is left until the limit of a waiting call
// than it has waited.
func (t *Ticket) nearLimit(now time.Time) bool {
	return now.Sub(t.arrived) > t.limit(now).Sub(now)
}

// sameTurn reports whether two calls are alike but for their time of arrival. Calls
// with objectives must be of one route, since the objectives of others differ.
func (t *Ticket) sameTurn(o *Ticket, now time.Time) bool {
	if t.hasObjective && t.route != o.route {
		return false
	}
	return t.priority == o.priority && t.class == o.class && t.rank == o.rank && t.inTime(now) == o.inTime(now)
}

// before reports whether a call is served before another one. Among calls of
// equal urgency a long one goes first, since the slots reserved for short calls
// are closed to it.
func (t *Ticket) before(o *Ticket, now time.Time, standing bool) bool {
	if t.priority != o.priority {
		return t.priority < o.priority
	}
	if in, other := t.inTime(now), o.inTime(now); in != other {
		return in
	}
	if standing && t.rank != o.rank {
		return t.rank < o.rank
	}
	if standing && t.hasObjective && o.hasObjective && t.length != o.length {
		return t.length < o.length
	}
	if t.class != o.class && t.rank == o.rank {
		return t.class == Long
	}
	return t.limit(now).Before(o.limit(now))
}
