package admission

import (
	"slices"
	"time"
)

// standingAfter is how long the queue must have been non-empty to count as a
// standing queue: demand then exceeds capacity, and not every call can be served
// in time. A shorter burst is served in order of the latest start.
const standingAfter = 100 * time.Millisecond

// queue holds the waiting tickets in order of arrival. It is short enough for
// linear scans: see Policy.Queue.
type queue struct {
	tickets []*Ticket
	since   time.Time // when the queue last became non-empty
}

func (q *queue) size() int { return len(q.tickets) }

// standing reports whether the queue was non-empty for longer than
// standingAfter.
func (q *queue) standing(now time.Time) bool {
	return len(q.tickets) > 0 && now.Sub(q.since) > standingAfter
}

// waiting returns the number of tickets of a priority.
func (q *queue) waiting(p Priority) int {
	n := 0
	for _, t := range q.tickets {
		if t.priority == p {
			n++
		}
	}
	return n
}

func (q *queue) push(t *Ticket, now time.Time) {
	if len(q.tickets) == 0 {
		q.since = now
	}
	q.tickets = append(q.tickets, t)
}

func (q *queue) remove(t *Ticket) {
	if i := slices.Index(q.tickets, t); i >= 0 {
		q.tickets = slices.Delete(q.tickets, i, i+1)
	}
}

// next returns the next ticket among those that eligible accepts, or nil. When
// not every call can be served in time, the newest call of the route whose turn it
// is goes first if the one with the earliest limit is near it: serving that one
// first would bring every call close to its limit.
func (q *queue) next(now time.Time, eligible func(*Ticket) bool) *Ticket {
	standing := q.standing(now)
	var first, newest *Ticket
	for _, t := range q.tickets {
		if eligible(t) && (first == nil || t.before(first, now, standing)) {
			first = t
		}
	}
	if first == nil || !standing || !first.nearLimit(now) {
		return first
	}
	for _, t := range q.tickets {
		if eligible(t) && t.sameTurn(first, now) {
			newest = t
		}
	}
	return newest
}

// oldest returns the ticket of a priority that arrived first, or nil.
func (q *queue) oldest(p Priority) *Ticket {
	for _, t := range q.tickets {
		if t.priority == p {
			return t
		}
	}
	return nil
}

// last returns the ticket that would be served last in a standing queue, or nil.
func (q *queue) last(now time.Time) *Ticket {
	var last *Ticket
	for _, t := range q.tickets {
		if last == nil || last.before(t, now, true) {
			last = t
		}
	}
	return last
}

// expired returns the tickets of a priority that can no longer meet their
// deadline.
func (q *queue) expired(p Priority, now time.Time) []*Ticket {
	var out []*Ticket
	for _, t := range q.tickets {
		if t.priority == p && t.latestStart.Before(now) {
			out = append(out, t)
		}
	}
	return out
}

// ahead returns how many waiting tickets go before a new one, and how many of them
// are of its route.
func (q *queue) ahead(t *Ticket, now time.Time) (all, sameRoute int) {
	standing := q.standing(now)
	for _, other := range q.tickets {
		if t.before(other, now, standing) {
			continue
		}
		all++
		if other.route == t.route {
			sameRoute++
		}
	}
	return all, sameRoute
}

// hopeless returns the tickets with a latency objective that would start after
// their latest start if a slot became free at every interval.
func (q *queue) hopeless(now time.Time, interval time.Duration) []*Ticket {
	if interval <= 0 {
		return nil
	}
	standing := q.standing(now)
	ordered := slices.Clone(q.tickets)
	slices.SortStableFunc(ordered, func(a, b *Ticket) int {
		switch {
		case a.before(b, now, standing):
			return -1
		case b.before(a, now, standing):
			return 1
		}
		return 0
	})
	var out []*Ticket
	start := now
	for _, t := range ordered {
		if t.hasObjective && t.latestStart.Before(start) {
			out = append(out, t)
			continue
		}
		start = start.Add(interval)
	}
	return out
}
