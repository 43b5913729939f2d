package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation runs events in the order of their virtual times, on one
// goroutine. Events of one time run in the order in which they were added.
type simulation struct {
	now   time.Time
	queue eventQueue
	added int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

func newSimulation() *simulation {
	return &simulation{now: time.Unix(1_000_000, 0)}
}

// after adds an event that runs when d of virtual time has passed.
func (s *simulation) after(d time.Duration, run func()) {
	s.added++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), order: s.added, run: run})
}

// run runs events until none is left.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		s.step()
	}
}

// runUntil runs the events up to a time.
func (s *simulation) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		s.step()
	}
}

func (s *simulation) step() {
	e := heap.Pop(&s.queue).(event)
	s.now = e.at
	e.run()
}

// arrivals runs fn in a Poisson process of the given rate for a time.
// exponential returns random numbers of that distribution with mean 1.
func (s *simulation) arrivals(perSecond float64, length time.Duration, exponential func() float64, fn func()) {
	end := s.now.Add(length)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		fn()
		s.after(time.Duration(exponential()/perSecond*float64(time.Second)), next)
	}
	s.after(0, next)
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

// Push adds an event at the end.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop removes the last event.
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = event{}
	*q = (*q)[:last]
	return e
}

// percentileMs returns the value in ms below which a share of the durations
// lie.
func percentileMs(all []time.Duration, share float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(all))
	i := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i]) / float64(time.Millisecond)
}

// exponential draws a duration with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
