package main

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// simulation runs events in the order of their virtual times, on one
// goroutine. Events of the same time run in the order in which they were added.
type simulation struct {
	now          time.Time
	queue        eventQueue
	lastSequence int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

func newSimulation() *simulation {
	return &simulation{now: time.Unix(1_000_000, 0)}
}

// after adds an event that runs when d of virtual time has passed.
func (s *simulation) after(d time.Duration, run func()) {
	s.lastSequence++
	heap.Push(&s.queue, event{at: s.now.Add(max(d, 0)), sequence: s.lastSequence, run: run})
}

// run runs events until none is left.
func (s *simulation) run() {
	for len(s.queue) > 0 {
		s.runNext()
	}
}

// runUntil runs the events up to and including the time end.
func (s *simulation) runUntil(end time.Time) {
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		s.runNext()
	}
}

func (s *simulation) runNext() {
	e := heap.Pop(&s.queue).(event)
	s.now = e.at
	e.run()
}

// arrivals calls arrive as a Poisson process with a rate per second for the given
// duration. exponential draws from the exponential distribution with mean 1.
func (s *simulation) arrivals(rate float64, duration time.Duration, exponential func() float64, arrive func()) {
	end := s.now.Add(duration)
	var next func()
	next = func() {
		if s.now.After(end) {
			return
		}
		arrive()
		s.after(time.Duration(exponential()/rate*float64(time.Second)), next)
	}
	s.after(0, next)
}

// eventQueue implements heap.Interface.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
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

// percentileMs returns a percentile in ms: of n samples in sorted order, the one
// at index share*n, rounded down, or the last if that is past the end.
func percentileMs(durations []time.Duration, share float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(durations))
	i := min(int(share*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i]) / float64(time.Millisecond)
}

// exponential draws an exponentially distributed duration with the given mean.
func exponential(r *rand.Rand, mean time.Duration) time.Duration {
	return time.Duration(r.ExpFloat64() * float64(mean))
}
