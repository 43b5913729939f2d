package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

func init() { measures["poison"] = measurePoison }

// The layout is that of Passarela Sul in section 1.5 of the design page, with
// 52 nodes that route and one service of four servers.
const (
	poisonNodes     = 52
	poisonServers   = 4
	poisonSlots     = 18
	poisonSends     = 50
	poisonSeeds     = 10
	poisonCrashTime = 5 * time.Millisecond // from the start of the request to the crash
	poisonRestart   = time.Second
	poisonLead      = 5 * time.Second      // background before the first send, and after the last
	clientDelay     = 8 * time.Millisecond // one way, as the next three
	sameDomainDelay = 100 * time.Microsecond
	sameRegionDelay = 500 * time.Microsecond
	linkDelay       = 8 * time.Millisecond
	relayHops       = 4 // most hops of word inside a region
)

// Background traffic of other requests: popular ones that are often in flight
// several times, ones that come once, and a few that run long.
const (
	innocentRate    = 600 // calls per second, 8% of the service's capacity
	innocentFixed   = 5 * time.Millisecond
	innocentLong    = time.Second
	innocentPopular = 20
	shareLong       = 0.05
	sharePopular    = 0.5
	innocentResends = 3 // by the caller, after a failed call
	resendPause     = 50 * time.Millisecond
)

const poisonPrint quarantine.Fingerprint = 1

// poisonCase is one way in which the caller sends the request again.
type poisonCase struct {
	note    string
	pause   time.Duration // until the next send
	waiting bool          // the pause begins with the answer
}

var poisonCases = []poisonCase{
	{note: "sent again 500 ms after the answer", pause: 500 * time.Millisecond, waiting: true},
	{note: "sent again at once after the answer", waiting: true},
	{note: "sent every 20 ms without waiting", pause: 20 * time.Millisecond},
	{note: "sent every 2 ms without waiting", pause: 2 * time.Millisecond},
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
		r.Measure, r.Ours, r.Baseline = "poison_crashes", float64(ours.worst), float64(baseline.worst)
		r.Note = fmt.Sprintf("%s; worst of %d seeds, mean %.2f against %.2f", c.note, poisonSeeds, ours.mean(), baseline.mean())
		report(r)
		r.Measure, r.Ours, r.Baseline, r.Unit = "poison_innocent", float64(ours.innocent), 0, "requests"
		r.Note = fmt.Sprintf("%s; other requests quarantined, all seeds; %d of %d other calls failed against %d",
			c.note, ours.failed, ours.calls, baseline.failed)
		report(r)
	}
	return nil
}

// poisonCounts are the results of one run.
type poisonCounts struct {
	crashes  int
	innocent map[quarantine.Fingerprint]bool // other fingerprints that any node quarantined
	calls    int                             // of the background
	failed   int                             // of them, after the caller's last resend
}

type poisonTotals struct {
	runs, worst, crashes, innocent, calls, failed int
}

func (t *poisonTotals) add(c poisonCounts) {
	t.runs++
	t.worst = max(t.worst, c.crashes)
	t.crashes += c.crashes
	t.innocent += len(c.innocent)
	t.calls += c.calls
	t.failed += c.failed
}

func (t *poisonTotals) mean() float64 { return float64(t.crashes) / float64(t.runs) }

// poisonRun is one run of a case.
type poisonRun struct {
	poisonCase
	sim     *simulation
	random  *rand.Rand
	nodes   []*poisonNode
	byID    map[string]*poisonNode
	counts  poisonCounts
	printed quarantine.Fingerprint // last fingerprint of a request that comes once
}

func runPoison(c poisonCase, seed int64, guarded bool) poisonCounts {
	r := &poisonRun{
		poisonCase: c, sim: newSimulation(),
		random:  rand.New(rand.NewPCG(uint64(seed), 1)),
		counts:  poisonCounts{innocent: make(map[quarantine.Fingerprint]bool)},
		byID:    make(map[string]*poisonNode),
		printed: 1000,
	}
	r.addNodes(guarded)
	length := 2*poisonLead + poisonSends*c.pause
	r.sim.arrivals(innocentRate, length, r.random.ExpFloat64, r.innocent)
	order := r.random.Perm(poisonNodes)
	r.sim.after(poisonLead, func() { r.sendPoison(order[:poisonSends]) })
	r.sim.run()
	return r.counts
}

// sendPoison sends the request through the first node of an order and goes on
// with the rest.
func (r *poisonRun) sendPoison(order []int) {
	if len(order) == 0 {
		return
	}
	next := func() { r.sim.after(r.pause, func() { r.sendPoison(order[1:]) }) }
	r.sim.after(clientDelay, func() {
		r.nodes[order[0]].route(&poisonCall{fp: poisonPrint, poison: true, takes: poisonCrashTime, done: func(bool) {
			if r.waiting {
				r.sim.after(clientDelay, next)
			}
		}})
	})
	if !r.waiting {
		next()
	}
}

// innocent starts one call of the background.
func (r *poisonRun) innocent() {
	r.counts.calls++
	c := poisonCall{takes: time.Duration(float64(innocentFixed) * (1 + r.random.ExpFloat64()))}
	if r.random.Float64() < shareLong {
		c.takes = innocentLong
	}
	if r.random.Float64() < sharePopular {
		c.fp = quarantine.Fingerprint(100 + r.random.IntN(innocentPopular))
	} else {
		r.printed++
		c.fp = r.printed
	}
	r.sendInnocent(c, innocentResends)
}

func (r *poisonRun) sendInnocent(c poisonCall, resends int) {
	c.done = func(ok bool) {
		switch {
		case ok:
		case resends == 0:
			r.counts.failed++
		default:
			r.sim.after(resendPause+2*clientDelay, func() { r.sendInnocent(c, resends-1) })
		}
	}
	call := c
	r.nodes[r.random.IntN(poisonNodes)].route(&call)
}

// tell passes entries on to every other node, as word does that is relayed
// inside each region and crosses between them once.
func (r *poisonRun) tell(from *poisonNode, entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	r.note(from, entries)
	for _, n := range r.nodes {
		if n == from {
			continue
		}
		hops := time.Duration(1 + r.random.IntN(relayHops))
		wait := hops * sameRegionDelay
		if n.region != from.region {
			wait += linkDelay
		}
		r.sim.after(wait, func() { n.hear(entries) })
	}
}

// note counts the fingerprints that a node has in quarantine by mistake.
func (r *poisonRun) note(n *poisonNode, entries []quarantine.Entry) {
	for _, e := range entries {
		if e.Fingerprint != poisonPrint && n.list.Check(e.Fingerprint, r.sim.now).State == quarantine.Quarantined {
			r.counts.innocent[e.Fingerprint] = true
		}
	}
}
