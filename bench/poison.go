package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

func init() { measurements["poison"] = measurePoison }

// The layout follows section 1.5 of the design page: 52 nodes that route calls,
// four of which have a backend server of the one service. The poison request is a
// request that crashes every server that runs it.
const (
	poisonNodes       = 52
	poisonServers     = 4
	poisonSlots       = 18
	poisonSends       = 50
	poisonSeeds       = 10
	poisonCrashDelay  = 5 * time.Millisecond // from the start of the request to the crash
	poisonRestartTime = time.Second
	poisonWarmUp      = 5 * time.Second      // of background traffic before the first send
	clientDelay       = 8 * time.Millisecond // one way, as are the next three
	sameDomainDelay   = 100 * time.Microsecond
	sameRegionDelay   = 500 * time.Microsecond
	linkDelay         = 8 * time.Millisecond
	maxRelayHops      = 4 // of quarantine entries inside a region
)

// Background traffic of harmless requests: popular ones that are often in flight
// several times at once, unique ones, and a few that run long.
const (
	backgroundRate      = 600 // calls per second: 8% of the service's capacity without the long calls, half of it with them
	backgroundMinTime   = 5 * time.Millisecond
	backgroundLongTime  = time.Second
	popularFingerprints = 20
	longShare           = 0.05
	popularShare        = 0.5
	backgroundResends   = 3 // by the caller, after a failed call
	resendDelay         = 50 * time.Millisecond
)

const poisonFingerprint quarantine.Fingerprint = 1

// poisonCase is one pattern in which the caller resends the poison request.
type poisonCase struct {
	note        string
	delay       time.Duration // until the next send
	afterAnswer bool          // delay starts at the answer, not at the send
}

var poisonCases = []poisonCase{
	{note: "sent again 500 ms after the answer", delay: 500 * time.Millisecond, afterAnswer: true},
	{note: "sent again at once after the answer", afterAnswer: true},
	{note: "sent every 20 ms without waiting", delay: 20 * time.Millisecond},
	{note: "sent every 2 ms without waiting", delay: 2 * time.Millisecond},
}

func measurePoison(ctx context.Context, seed int64, report func(Result)) error {
	for _, c := range poisonCases {
		ours, baseline := &poisonTotals{}, &poisonTotals{}
		for i := range int64(poisonSeeds) {
			if err := ctx.Err(); err != nil {
				return err
			}
			ours.add(runPoison(c, seed+i, true))
			baseline.add(runPoison(c, seed+i, false))
		}
		r := Result{Unit: "servers", Seed: seed, Nodes: poisonNodes}
		r.Measure, r.Ours, r.Baseline = "poison_crashes", float64(ours.maxCrashes), float64(baseline.maxCrashes)
		r.Note = fmt.Sprintf("%s; worst of %d seeds, mean %.2f against %.2f", c.note, poisonSeeds, ours.meanCrashes(), baseline.meanCrashes())
		report(r)
		r.Measure, r.Ours, r.Baseline, r.Unit = "poison_innocent", float64(ours.falselyQuarantined), 0, "requests"
		r.Note = fmt.Sprintf("%s; harmless requests quarantined over all seeds; %d of %d other calls failed against %d",
			c.note, ours.failed, ours.calls, baseline.failed)
		report(r)
	}
	return nil
}

// poisonResult holds the figures of one run.
type poisonResult struct {
	crashes            int
	falselyQuarantined map[quarantine.Fingerprint]bool // harmless fingerprints that any node quarantined
	calls              int                             // of background traffic
	failed             int                             // of these, after the caller's last resend
}

type poisonTotals struct {
	runs, maxCrashes, crashes, falselyQuarantined, calls, failed int
}

func (t *poisonTotals) add(c poisonResult) {
	t.runs++
	t.maxCrashes = max(t.maxCrashes, c.crashes)
	t.crashes += c.crashes
	t.falselyQuarantined += len(c.falselyQuarantined)
	t.calls += c.calls
	t.failed += c.failed
}

func (t *poisonTotals) meanCrashes() float64 { return float64(t.crashes) / float64(t.runs) }

// poisonRun is one run of a case.
type poisonRun struct {
	poisonCase
	sim             *simulation
	random          *rand.Rand
	nodes           []*poisonNode
	byID            map[string]*poisonNode
	result          poisonResult
	lastFingerprint quarantine.Fingerprint // of a unique request
}

func runPoison(c poisonCase, seed int64, withQuarantine bool) poisonResult {
	r := &poisonRun{
		poisonCase: c, sim: newSimulation(),
		random:          rand.New(rand.NewPCG(uint64(seed), 1)),
		result:          poisonResult{falselyQuarantined: make(map[quarantine.Fingerprint]bool)},
		byID:            make(map[string]*poisonNode),
		lastFingerprint: 1000,
	}
	r.addNodes(withQuarantine)
	// Waiting for answers shortens the background traffic after the last send.
	duration := 2*poisonWarmUp + poisonSends*c.delay
	r.sim.arrivals(backgroundRate, duration, r.random.ExpFloat64, r.startBackgroundCall)
	order := r.random.Perm(poisonNodes)
	r.sim.after(poisonWarmUp, func() { r.sendPoison(order[:poisonSends]) })
	r.sim.run()
	return r.result
}

// sendPoison sends the poison request through each node in order, with the delay
// of the case between two sends.
func (r *poisonRun) sendPoison(order []int) {
	if len(order) == 0 {
		return
	}
	next := func() { r.sim.after(r.delay, func() { r.sendPoison(order[1:]) }) }
	r.sim.after(clientDelay, func() {
		r.nodes[order[0]].routeCall(&poisonCall{fingerprint: poisonFingerprint, poison: true, serviceTime: poisonCrashDelay, done: func(bool) {
			if r.afterAnswer {
				r.sim.after(clientDelay, next)
			}
		}})
	})
	if !r.afterAnswer {
		next()
	}
}

func (r *poisonRun) startBackgroundCall() {
	r.result.calls++
	c := poisonCall{serviceTime: time.Duration(float64(backgroundMinTime) * (1 + r.random.ExpFloat64()))}
	if r.random.Float64() < longShare {
		c.serviceTime = backgroundLongTime
	}
	if r.random.Float64() < popularShare {
		c.fingerprint = quarantine.Fingerprint(100 + r.random.IntN(popularFingerprints))
	} else {
		r.lastFingerprint++
		c.fingerprint = r.lastFingerprint
	}
	r.sendBackground(c, backgroundResends)
}

func (r *poisonRun) sendBackground(c poisonCall, resends int) {
	c.done = func(ok bool) {
		switch {
		case ok:
		case resends == 0:
			r.result.failed++
		default:
			r.sim.after(resendDelay+2*clientDelay, func() { r.sendBackground(c, resends-1) })
		}
	}
	call := c
	r.nodes[r.random.IntN(poisonNodes)].routeCall(&call)
}

// broadcast delivers entries to every other node. Delays are those of relaying
// inside each region and one crossing between regions.
func (r *poisonRun) broadcast(from *poisonNode, entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	r.recordFalseQuarantine(from, entries)
	for _, n := range r.nodes {
		if n == from {
			continue
		}
		hops := time.Duration(1 + r.random.IntN(maxRelayHops))
		wait := hops * sameRegionDelay
		if n.region != from.region {
			wait += linkDelay
		}
		r.sim.after(wait, func() { n.merge(entries) })
	}
}

// recordFalseQuarantine records the harmless fingerprints that a node quarantines.
func (r *poisonRun) recordFalseQuarantine(n *poisonNode, entries []quarantine.Entry) {
	for _, e := range entries {
		if e.Fingerprint != poisonFingerprint && n.list.Check(e.Fingerprint, r.sim.now).State == quarantine.Quarantined {
			r.result.falselyQuarantined[e.Fingerprint] = true
		}
	}
}
