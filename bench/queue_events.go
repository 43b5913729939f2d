package main

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// queueEvents runs steps in the order of a virtual time.
type queueEvents struct {
	now     time.Time
	pending eventHeap
	count   int
}

func newQueueEvents() *queueEvents { return &queueEvents{now: time.Unix(1_700_000_000, 0)} }

// after runs fn when some time has gone by.
func (q *queueEvents) after(d time.Duration, fn func()) {
	q.count++
	heap.Push(&q.pending, queueEvent{at: q.now.Add(d), order: q.count, fn: fn})
}

// run runs every step up to a time.
func (q *queueEvents) run(until time.Time) {
	for len(q.pending) > 0 && !q.pending[0].at.After(until) {
		e := heap.Pop(&q.pending).(queueEvent)
		q.now = e.at
		e.fn()
	}
}

type queueEvent struct {
	at    time.Time
	order int // keeps steps of one moment in the order in which they were added
	fn    func()
}

// eventHeap implements heap.Interface.
type eventHeap []queueEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(queueEvent)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// exponential draws a duration with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}

// percentile returns a part's quantile of some durations in ms.
func percentile(all []time.Duration, part float64) float64 {
	if len(all) == 0 {
		return math.NaN()
	}
	slices.Sort(all)
	i := min(int(part*float64(len(all))), len(all)-1)
	return float64(all[i]) / float64(time.Millisecond)
}
