package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

func init() { measures["hol"] = measureHOL }

// Short calls beside a few that run 100 times longer.
const (
	holShort     = 2 * time.Millisecond
	holLong      = 100 * holShort
	holLongPart  = 0.05
	holLoad      = 0.8 // demand over capacity
	holLimit     = 30 * time.Second
	holQueue     = 1000 // long enough to refuse nothing, as the baseline does
	holWarm      = 10 * time.Second
	holDuration  = 200 * time.Second
	holRoutes    = 8 // of each kind
	holPercent99 = 0.99
)

// holResult holds the times of the calls after the warm-up.
type holResult struct {
	short, long []time.Duration
	refused     int
}

func measureHOL(_ context.Context, seed int64, report func(Result)) error {
	for _, slots := range []int{18, 9} {
		cfg := admission.Config{Slots: slots, Queue: holQueue}
		ours := runHOL(seed, slots, gateOf(cfg))
		cfg.Unclassified = true
		plain := runHOL(seed, slots, gateOf(cfg))
		fifo := runHOL(seed, slots, func(q *simulation, done func(queueEnd)) queueServer {
			return &fifoServer{events: q, free: slots, done: done}
		})
		at := fmt.Sprintf("%d slots", slots)
		holReport(report, seed, "hol_p99_ms", ours.short, fifo.short, at)
		holReport(report, seed, "hol_long_p99_ms", ours.long, fifo.long, fmt.Sprintf("%s, %d refused", at, ours.refused))
		holReport(report, seed, "hol_p99_ms_unclassified", plain.short, fifo.short, at)
		holReport(report, seed, "hol_long_p99_ms_unclassified", plain.long, fifo.long, at)
	}
	return nil
}

func holReport(report func(Result), seed int64, name string, ours, fifo []time.Duration, note string) {
	a, b := percentileMs(ours, holPercent99), percentileMs(fifo, holPercent99)
	report(Result{Measure: name, Ours: a, Baseline: b, Unit: "ms", Seed: seed, Note: fmt.Sprintf("%s, ours/baseline %.2f", note, a/b)})
}

func gateOf(cfg admission.Config) func(*simulation, func(queueEnd)) queueServer {
	return func(q *simulation, done func(queueEnd)) queueServer { return newGateServer(q, cfg, done) }
}

func runHOL(seed int64, slots int, build func(*simulation, func(queueEnd)) queueServer) holResult {
	q := newSimulation()
	from := q.now.Add(holWarm)
	var res holResult
	server := build(q, func(e queueEnd) { res.add(e, from) })
	r := rand.New(rand.NewPCG(uint64(seed), uint64(slots)))
	mean := (1-holLongPart)*float64(holShort) + holLongPart*float64(holLong)
	gap := time.Duration(mean / (holLoad * float64(slots)))
	var next func()
	next = func() {
		server.arrive(holCall(r, q.now))
		q.after(exponential(r, gap), next)
	}
	q.after(0, next)
	q.runUntil(q.now.Add(holDuration))
	return res
}

func holCall(r *rand.Rand, now time.Time) queueCall {
	kind, mean := "short", holShort
	if r.Float64() < holLongPart {
		kind, mean = "long", holLong
	}
	return queueCall{
		route:    fmt.Sprintf("%s-%d", kind, r.IntN(holRoutes)),
		work:     exponential(r, mean),
		arrived:  now,
		deadline: now.Add(holLimit),
	}
}

func (h *holResult) add(e queueEnd, from time.Time) {
	switch {
	case e.arrived.Before(from):
	case !e.ran:
		h.refused++
	case e.route[0] == 's':
		h.short = append(h.short, e.duration)
	default:
		h.long = append(h.long, e.duration)
	}
}
