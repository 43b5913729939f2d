package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

func init() { measurements["crest"] = measureCrest }

// An overload: the demand of callers, as a multiple of capacity, steps from
// crestBaseLoad to crestPeakLoad and back.
const (
	crestSlots          = 18
	crestQueue          = 64 // default of the policy
	crestServiceTime    = 20 * time.Millisecond
	crestTimeout        = 500 * time.Millisecond
	crestBaseLoad       = 0.6 // before and after the overload
	crestPeakLoad       = 3.0
	crestBackgroundLoad = 0.3 // of background calls, throughout
	crestLeadTime       = 5 * time.Second
	crestDuration       = 10 * time.Second
	crestCooldown       = 5 * time.Second
)

// crestCapacity is the number of calls per second that the slots can serve.
const crestCapacity = crestSlots * float64(time.Second) / float64(crestServiceTime)

// crestResult counts the calls that ended during the overload.
type crestResult struct {
	onTime                  int // callers' calls that ended within their deadline
	refused                 int // callers' calls refused
	refusedBesideBackground int // of the refused, those refused while a background call ran
}

func measureCrest(_ context.Context, seed int64, report func(Result)) error {
	ours := runCrest(seed, func(sim *simulation, done func(queueResult)) queueServer {
		return newAdmissionServer(sim, admission.Config{Slots: crestSlots, Queue: crestQueue}, done)
	})
	fifo := runCrest(seed, func(sim *simulation, done func(queueResult)) queueServer {
		return &fifoServer{sim: sim, freeSlots: crestSlots, done: done}
	})
	capacity := crestCapacity * crestDuration.Seconds()
	report(Result{Measure: "crest_goodput", Ours: float64(ours.onTime) / capacity, Baseline: float64(fifo.onTime) / capacity,
		Unit: "share", Seed: seed, Note: fmt.Sprintf("%d calls of callers refused", ours.refused)})
	report(Result{Measure: "crest_shed_beside_background", Ours: float64(ours.refusedBesideBackground), Baseline: 0, Unit: "calls",
		Seed: seed, Note: "calls of callers refused while background calls ran; the baseline refuses none"})
	return nil
}

func runCrest(seed int64, build func(*simulation, func(queueResult)) queueServer) crestResult {
	sim := newSimulation()
	from := sim.now.Add(crestLeadTime)
	to := from.Add(crestDuration)
	var res crestResult
	server := build(sim, func(r queueResult) { res.add(r, from, to) })
	startCrestArrivals(sim, server, rand.New(rand.NewPCG(uint64(seed), 1)), admission.Caller, from, to)
	startCrestArrivals(sim, server, rand.New(rand.NewPCG(uint64(seed), 2)), admission.Background, from, to)
	sim.runUntil(to.Add(crestCooldown))
	return res
}

// startCrestArrivals schedules the calls of one priority.
func startCrestArrivals(sim *simulation, server queueServer, r *rand.Rand, p admission.Priority, from, to time.Time) {
	var next func()
	next = func() {
		server.arrive(queueCall{
			route:       fmt.Sprintf("route-%d", r.IntN(8)),
			priority:    p,
			serviceTime: exponential(r, crestServiceTime),
			arrived:     sim.now,
			deadline:    sim.now.Add(crestTimeout),
		})
		sim.after(exponential(r, crestInterval(p, !sim.now.Before(from) && sim.now.Before(to))), next)
	}
	sim.after(0, next)
}

// crestInterval returns the mean time between two calls of one priority.
func crestInterval(p admission.Priority, overload bool) time.Duration {
	load := crestBaseLoad
	switch {
	case p == admission.Background:
		load = crestBackgroundLoad
	case overload:
		load = crestPeakLoad
	}
	return time.Duration(float64(time.Second) / (load * crestCapacity))
}

func (c *crestResult) add(r queueResult, from, to time.Time) {
	if r.priority != admission.Caller || r.ended.Before(from) || !r.ended.Before(to) {
		return
	}
	switch {
	case r.ran && !r.ended.After(r.deadline):
		c.onTime++
	case !r.ran:
		c.refused++
		if r.runningBackground > 0 {
			c.refusedBesideBackground++
		}
	}
}
