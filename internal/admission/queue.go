package admission

import (
	"container/heap"
	"time"
)

// standingAfter is how long the queue must have been non-empty before equals
// are served newest first. A shorter burst is served in order.
const standingAfter = 100 * time.Millisecond

// queue holds the waiting tickets, one line for each priority and class.
type queue struct {
	lines [2][2]line
	size  int
	since time.Time // when the queue last became non-empty
}

// standing reports whether the queue has been non-empty for long.
func (q *queue) standing(now time.Time) bool {
	return q.size > 0 && now.Sub(q.since) > standingAfter
}

// waiting returns the number of tickets of a priority.
func (q *queue) waiting(p Priority) int {
	return len(q.lines[p][Short].byLatest) + len(q.lines[p][Long].byLatest)
}

func (q *queue) push(t *Ticket, now time.Time) {
	if q.size == 0 {
		q.since = now
	}
	q.size++
	q.lines[t.priority][t.class].push(t)
}

func (q *queue) remove(t *Ticket, _ time.Time) {
	q.size--
	q.lines[t.priority][t.class].remove(t)
}

// next returns the ticket of a line that is served next, or nil. In a standing
// queue that costs calls their deadlines, the newest goes first: serving the
// oldest would bring every call to the edge of its deadline. While deadlines
// are far, order keeps the waits of long calls even.
func (q *queue) next(p Priority, c Class, now time.Time) *Ticket {
	l := &q.lines[p][c]
	first := l.first()
	if first != nil && q.standing(now) && first.late(now) {
		return l.newest
	}
	return first
}

// oldest returns the ticket of a priority that came first, or nil.
func (q *queue) oldest(p Priority) *Ticket {
	short, long := q.lines[p][Short].oldest, q.lines[p][Long].oldest
	if short == nil || (long != nil && long.arrived.Before(short.arrived)) {
		return long
	}
	return short
}

// expired returns a ticket of a priority that can no longer start in time, or
// nil.
func (q *queue) expired(p Priority, now time.Time) *Ticket {
	for c := range q.lines[p] {
		if t := q.lines[p][c].first(); t != nil && t.latest.Before(now) {
			return t
		}
	}
	return nil
}

// line holds waiting tickets that are equal but for time. It keeps them by
// latest start and by arrival, so that every step takes at most O(log n).
type line struct {
	byLatest ticketHeap
	oldest   *Ticket
	newest   *Ticket
}

func (l *line) first() *Ticket {
	if len(l.byLatest) == 0 {
		return nil
	}
	return l.byLatest[0]
}

func (l *line) push(t *Ticket) {
	heap.Push(&l.byLatest, t)
	t.older = l.newest
	if l.newest == nil {
		l.oldest = t
	} else {
		l.newest.newer = t
	}
	l.newest = t
}

func (l *line) remove(t *Ticket) {
	heap.Remove(&l.byLatest, t.index)
	if t.older == nil {
		l.oldest = t.newer
	} else {
		t.older.newer = t.newer
	}
	if t.newer == nil {
		l.newest = t.older
	} else {
		t.newer.older = t.older
	}
	t.older, t.newer = nil, nil
}

// ticketHeap implements heap.Interface by latest start.
type ticketHeap []*Ticket

func (h ticketHeap) Len() int           { return len(h) }
func (h ticketHeap) Less(i, j int) bool { return h[i].latest.Before(h[j].latest) }
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
