package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

func init() { measures["crest"] = measureCrest }

// The crest: demand steps from a part of capacity to three times of it.
const (
	crestSlots      = 18
	crestQueue      = 64 // default of the policy
	crestWork       = 20 * time.Millisecond
	crestLimit      = 500 * time.Millisecond
	crestCalm       = 0.6 // demand before and after, over capacity
	crestPeak       = 3.0
	crestBackground = 0.3 // demand of background checks throughout
	crestStart      = 5 * time.Second
	crestLength     = 10 * time.Second
	crestAfter      = 5 * time.Second
)

// crestCapacity is the calls a second that the slots can serve.
const crestCapacity = crestSlots * float64(time.Second) / float64(crestWork)

// crestResult counts what happened during the crest.
type crestResult struct {
	good    int // callers' answers within their deadline
	refused int // callers' calls refused
	beside  int // of these, refused while a background call ran
}

func measureCrest(_ context.Context, seed int64, report func(Result)) error {
	ours := runCrest(seed, func(q *simulation, done func(queueEnd)) queueServer {
		return newGateServer(q, admission.Config{Slots: crestSlots, Queue: crestQueue}, done)
	})
	fifo := runCrest(seed, func(q *simulation, done func(queueEnd)) queueServer {
		return &fifoServer{events: q, free: crestSlots, done: done}
	})
	capacity := crestCapacity * crestLength.Seconds()
	report(Result{Measure: "crest_goodput", Ours: float64(ours.good) / capacity, Baseline: float64(fifo.good) / capacity,
		Unit: "share", Seed: seed, Note: fmt.Sprintf("%d of callers refused", ours.refused)})
	report(Result{Measure: "crest_shed_beside_background", Ours: float64(ours.beside), Baseline: 0, Unit: "calls",
		Seed: seed, Note: "callers refused while background work ran; the baseline refuses none"})
	return nil
}

func runCrest(seed int64, build func(*simulation, func(queueEnd)) queueServer) crestResult {
	q := newSimulation()
	from := q.now.Add(crestStart)
	to := from.Add(crestLength)
	var res crestResult
	server := build(q, func(e queueEnd) { res.add(e, from, to) })
	crestArrivals(q, server, rand.New(rand.NewPCG(uint64(seed), 1)), admission.Caller, from, to)
	crestArrivals(q, server, rand.New(rand.NewPCG(uint64(seed), 2)), admission.Background, from, to)
	q.runUntil(to.Add(crestAfter))
	return res
}

// crestArrivals sends the calls of one priority.
func crestArrivals(q *simulation, server queueServer, r *rand.Rand, p admission.Priority, from, to time.Time) {
	var next func()
	next = func() {
		server.arrive(queueCall{
			route:    fmt.Sprintf("route-%d", r.IntN(8)),
			priority: p,
			work:     exponential(r, crestWork),
			arrived:  q.now,
			deadline: q.now.Add(crestLimit),
		})
		q.after(exponential(r, crestGap(p, !q.now.Before(from) && q.now.Before(to))), next)
	}
	q.after(0, next)
}

// crestGap returns the mean time between two calls.
func crestGap(p admission.Priority, crest bool) time.Duration {
	load := crestCalm
	switch {
	case p == admission.Background:
		load = crestBackground
	case crest:
		load = crestPeak
	}
	return time.Duration(float64(time.Second) / (load * crestCapacity))
}

func (c *crestResult) add(e queueEnd, from, to time.Time) {
	if e.priority != admission.Caller || e.at.Before(from) || !e.at.Before(to) {
		return
	}
	switch {
	case e.ran && !e.at.After(e.deadline):
		c.good++
	case !e.ran:
		c.refused++
		if e.beside > 0 {
			c.beside++
		}
	}
}
