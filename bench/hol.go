package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

func init() { measurements["hol"] = measureHOL }

// Head-of-line blocking: short calls share the slots with a few that run 100
// times longer.
const (
	holShortTime = 2 * time.Millisecond
	holLongTime  = 100 * holShortTime
	holLongShare = 0.05
	holLoad      = 0.8 // demand as a share of capacity
	holTimeout   = 30 * time.Second
	holQueue     = 1000 // so long that it is never full, as the baseline's queue is unbounded
	holWarmUp    = 10 * time.Second
	holDuration  = 200 * time.Second // including the warm-up
	holRoutes    = 8                 // of each kind
	holQuantile  = 0.99
)

// holResult holds the durations of the calls that arrived after the warm-up.
type holResult struct {
	short, long []time.Duration
	refused     int
}

func measureHOL(_ context.Context, seed int64, report func(Result)) error {
	for _, slots := range []int{18, 9} {
		cfg := admission.Config{Slots: slots, Queue: holQueue}
		ours := runHOL(seed, slots, admissionServerOf(cfg))
		cfg.SingleClass = true
		unclassified := runHOL(seed, slots, admissionServerOf(cfg))
		fifo := runHOL(seed, slots, func(sim *simulation, done func(queueResult)) queueServer {
			return &fifoServer{sim: sim, freeSlots: slots, done: done}
		})
		note := fmt.Sprintf("%d slots", slots)
		reportHOL(report, seed, "hol_p99_ms", ours.short, fifo.short, note)
		reportHOL(report, seed, "hol_long_p99_ms", ours.long, fifo.long, fmt.Sprintf("%s, %d refused", note, ours.refused))
		reportHOL(report, seed, "hol_p99_ms_unclassified", unclassified.short, fifo.short, note)
		reportHOL(report, seed, "hol_long_p99_ms_unclassified", unclassified.long, fifo.long, note)
	}
	return nil
}

func reportHOL(report func(Result), seed int64, name string, ours, fifo []time.Duration, note string) {
	a, b := percentileMs(ours, holQuantile), percentileMs(fifo, holQuantile)
	report(Result{Measure: name, Ours: a, Baseline: b, Unit: "ms", Seed: seed, Note: fmt.Sprintf("%s, ours/baseline %.2f", note, a/b)})
}

func admissionServerOf(cfg admission.Config) func(*simulation, func(queueResult)) queueServer {
	return func(sim *simulation, done func(queueResult)) queueServer { return newAdmissionServer(sim, cfg, done) }
}

func runHOL(seed int64, slots int, build func(*simulation, func(queueResult)) queueServer) holResult {
	sim := newSimulation()
	from := sim.now.Add(holWarmUp)
	var res holResult
	server := build(sim, func(r queueResult) { res.add(r, from) })
	r := rand.New(rand.NewPCG(uint64(seed), uint64(slots)))
	mean := (1-holLongShare)*float64(holShortTime) + holLongShare*float64(holLongTime)
	interval := time.Duration(mean / (holLoad * float64(slots)))
	var next func()
	next = func() {
		server.arrive(newHOLCall(r, sim.now))
		sim.after(exponential(r, interval), next)
	}
	sim.after(0, next)
	sim.runUntil(sim.now.Add(holDuration))
	return res
}

func newHOLCall(r *rand.Rand, now time.Time) queueCall {
	kind, mean := "short", holShortTime
	if r.Float64() < holLongShare {
		kind, mean = "long", holLongTime
	}
	return queueCall{
		route:       fmt.Sprintf("%s-%d", kind, r.IntN(holRoutes)),
		serviceTime: exponential(r, mean),
		arrived:     now,
		deadline:    now.Add(holTimeout),
	}
}

func (h *holResult) add(r queueResult, from time.Time) {
	switch {
	case r.arrived.Before(from):
	case !r.ran:
		h.refused++
	case r.route[0] == 's':
		h.short = append(h.short, r.duration)
	default:
		h.long = append(h.long, r.duration)
	}
}
