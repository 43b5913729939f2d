package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

func init() { measurements["crest"] = measureOverload }

// The measurement named crest is an overload: the demand of callers, as a multiple
// of capacity, steps from overloadBaseLoad to overloadPeakLoad and back.
const (
	overloadSlots          = 18
	overloadQueue          = 64 // the default of a profile's policy
	overloadServiceTime    = 20 * time.Millisecond
	overloadTimeout        = 500 * time.Millisecond
	overloadBaseLoad       = 0.6 // before and after the overload
	overloadPeakLoad       = 3.0
	overloadBackgroundLoad = 0.3              // of background calls, throughout
	overloadWarmUp         = 5 * time.Second  // at the base load, before the overload
	overloadDuration       = 10 * time.Second // of the overload
	overloadCooldown       = 5 * time.Second  // at the base load, after the overload; no figure counts it
)

// overloadCapacity is the number of calls per second that the slots can serve.
const overloadCapacity = overloadSlots * float64(time.Second) / float64(overloadServiceTime)

// overloadResult counts the callers' calls that ended during the overload. Those
// that ran but ended after their deadline are in none of the counts.
type overloadResult struct {
	onTime                  int // ran and ended within their deadline
	refused                 int // refused on arrival or while queued
	refusedBesideBackground int // of the refused, those refused while at least one background call ran
}

func measureOverload(_ context.Context, seed int64, report func(Result)) error {
	ours := runOverload(seed, func(sim *simulation, done func(queueResult)) queueServer {
		return newAdmissionServer(sim, admission.Config{Slots: overloadSlots, Queue: overloadQueue}, done)
	})
	fifo := runOverload(seed, func(sim *simulation, done func(queueResult)) queueServer {
		return &fifoServer{sim: sim, freeSlots: overloadSlots, done: done}
	})
	capacity := overloadCapacity * overloadDuration.Seconds()
	report(Result{Measure: "crest_goodput", Ours: float64(ours.onTime) / capacity, Baseline: float64(fifo.onTime) / capacity,
		Unit: "share", Seed: seed, Note: fmt.Sprintf("%d callers' calls refused", ours.refused)})
	report(Result{Measure: "crest_shed_beside_background", Ours: float64(ours.refusedBesideBackground), Baseline: 0, Unit: "calls",
		Seed: seed, Note: "callers' calls refused while background calls ran; the baseline refuses none"})
	return nil
}

// runOverload runs the calls of both priorities on the server that build returns.
// Each priority has its own random stream, so that both servers get the same calls.
func runOverload(seed int64, build func(*simulation, func(queueResult)) queueServer) overloadResult {
	sim := newSimulation()
	overloadStart := sim.now.Add(overloadWarmUp)
	overloadEnd := overloadStart.Add(overloadDuration)
	var res overloadResult
	server := build(sim, func(r queueResult) { res.add(r, overloadStart, overloadEnd) })
	startOverloadArrivals(sim, server, rand.New(rand.NewPCG(uint64(seed), 1)), admission.Caller, overloadStart, overloadEnd)
	startOverloadArrivals(sim, server, rand.New(rand.NewPCG(uint64(seed), 2)), admission.Background, overloadStart, overloadEnd)
	sim.runUntil(overloadEnd.Add(overloadCooldown))
	return res
}

// startOverloadArrivals schedules the calls of one priority as a Poisson process
// whose rate changes at the start and the end of the overload.
func startOverloadArrivals(sim *simulation, server queueServer, random *rand.Rand, priority admission.Priority, overloadStart, overloadEnd time.Time) {
	var next func()
	next = func() {
		server.arrive(queueCall{
			route:       fmt.Sprintf("route-%d", random.IntN(8)),
			priority:    priority,
			serviceTime: exponential(random, overloadServiceTime),
			arrived:     sim.now,
			deadline:    sim.now.Add(overloadTimeout),
		})
		sim.after(exponential(random, overloadInterval(priority, !sim.now.Before(overloadStart) && sim.now.Before(overloadEnd))), next)
	}
	sim.after(0, next)
}

// overloadInterval returns the mean time between two calls of one priority.
func overloadInterval(priority admission.Priority, overload bool) time.Duration {
	load := overloadBaseLoad
	switch {
	case priority == admission.Background:
		load = overloadBackgroundLoad
	case overload:
		load = overloadPeakLoad
	}
	return time.Duration(float64(time.Second) / (load * overloadCapacity))
}

// add counts a call if it is a caller's and ended during the overload.
func (c *overloadResult) add(r queueResult, overloadStart, overloadEnd time.Time) {
	if r.priority != admission.Caller || r.ended.Before(overloadStart) || !r.ended.Before(overloadEnd) {
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
