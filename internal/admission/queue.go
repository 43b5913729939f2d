package admission

import (
	"container/heap"
	"time"
)

// standingAfter is how long the queue must have been non-empty to count as a
// standing queue, which may be served newest first. A shorter burst is served in
// order of latestStart.
const standingAfter = 100 * time.Millisecond

// queue holds the waiting tickets, with one subqueue for each priority and class.
type queue struct {
	subqueues [2][2]subqueue
	size      int
	since     time.Time // when the queue last became non-empty
}

// standing reports whether the queue was non-empty for longer than
// standingAfter.
func (q *queue) standing(now time.Time) bool {
	return q.size > 0 && now.Sub(q.since) > standingAfter
}

// waiting returns the number of tickets of a priority.
func (q *queue) waiting(p Priority) int {
	return len(q.subqueues[p][Short].byLatestStart) + len(q.subqueues[p][Long].byLatestStart)
}

func (q *queue) push(t *Ticket, now time.Time) {
	if q.size == 0 {
		q.since = now
	}
	q.size++
	q.subqueues[t.priority][t.class].push(t)
}

func (q *queue) remove(t *Ticket, _ time.Time) {
	q.size--
	q.subqueues[t.priority][t.class].remove(t)
}

// next returns the next ticket of a subqueue, or nil. Calls are served in order
// of latestStart, which keeps the waits of long calls even. In a standing
// queue whose first call is near its deadline the newest goes first, since
// serving the oldest would bring every call close to its deadline.
func (q *queue) next(p Priority, c Class, now time.Time) *Ticket {
	s := &q.subqueues[p][c]
	first := s.first()
	if first != nil && q.standing(now) && first.nearDeadline(now) {
		return s.newest
	}
	return first
}

// oldest returns the ticket of a priority that arrived first, or nil.
func (q *queue) oldest(p Priority) *Ticket {
	short, long := q.subqueues[p][Short].oldest, q.subqueues[p][Long].oldest
	if short == nil || (long != nil && long.arrived.Before(short.arrived)) {
		return long
	}
	return short
}

// expired returns a ticket of a priority that can no longer meet its deadline,
// or nil.
func (q *queue) expired(p Priority, now time.Time) *Ticket {
	for c := range q.subqueues[p] {
		if t := q.subqueues[p][c].first(); t != nil && t.latestStart.Before(now) {
			return t
		}
	}
	return nil
}

// subqueue holds the waiting tickets of one priority and class, by latest start
// and by arrival, so that every operation takes at most O(log n).
type subqueue struct {
	byLatestStart ticketHeap
	oldest        *Ticket
	newest        *Ticket
}

func (s *subqueue) first() *Ticket {
	if len(s.byLatestStart) == 0 {
		return nil
	}
	return s.byLatestStart[0]
}

func (s *subqueue) push(t *Ticket) {
	heap.Push(&s.byLatestStart, t)
	t.older = s.newest
	if s.newest == nil {
		s.oldest = t
	} else {
		s.newest.newer = t
	}
	s.newest = t
}

func (s *subqueue) remove(t *Ticket) {
	heap.Remove(&s.byLatestStart, t.index)
	if t.older == nil {
		s.oldest = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		s.newest = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer = nil, nil
}

// ticketHeap implements heap.Interface, ordered by latest start.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].latestStart.Before(h[j].latestStart) }
func (h ticketHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *ticketHeap) Push(x any) {
	t := x.(*Ticket)
	t.index = len(*h)
	*h = append(*h, t)
}

// Pop implements heap.Interface.
func (h *ticketHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return t
}
