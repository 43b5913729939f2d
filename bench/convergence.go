package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

func init() { measurements["convergence"] = measureConvergence }

const (
	convergenceChanges  = 12
	convergenceInterval = 250 * time.Millisecond // mean of random intervals, so that changes don't align with a poll period
	pollInterval        = time.Second            // of the baseline, see section 1.4 of the design page
	convergenceTimeout  = 5 * time.Second
)

// arrivalTimes records when each node first had each offset.
type arrivalTimes struct {
	mu       sync.Mutex
	arrivals map[int64]map[int]time.Time // guarded by mu; by offset and node
}

func newArrivalTimes() *arrivalTimes { return &arrivalTimes{arrivals: map[int64]map[int]time.Time{}} }

func (a *arrivalTimes) record(node int, from, through int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for o := from; o <= through; o++ {
		if a.arrivals[o] == nil {
			a.arrivals[o] = map[int]time.Time{}
		}
		a.arrivals[o][node] = now
	}
}

func (a *arrivalTimes) nodesAt(offset int64) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.arrivals[offset])
}

// latencies returns the sorted times from each append to its arrivals.
func (a *arrivalTimes) latencies(appended map[int64]time.Time) []time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []time.Duration
	for offset, at := range appended {
		for _, arrived := range a.arrivals[offset] {
			out = append(out, max(arrived.Sub(at), 0))
		}
	}
	slices.Sort(out)
	return out
}

// measureConvergence measures the time from the append of a change until a node
// serves calls with it, for our nodes and for pollers of the same log. All nodes
// share the CPUs of this machine, so the figures named convergence_held exclude
// building the snapshot and show the time of distribution alone.
func measureConvergence(ctx context.Context, seed int64, report func(Result)) error {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	for _, nodes := range clusterSizes {
		times, err := measureConvergenceTimes(ctx, nodes, random)
		if err != nil {
			return err
		}
		for _, f := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
			base := percentileMs(times.polled, f.share)
			note := fmt.Sprintf("%d changes", convergenceChanges)
			report(Result{Measure: "convergence_" + f.name + "_ms", Ours: percentileMs(times.installed, f.share), Baseline: base, Unit: "ms", Nodes: nodes, Seed: seed, Note: note})
			report(Result{Measure: "convergence_held_" + f.name + "_ms", Ours: percentileMs(times.applied, f.share), Baseline: base, Unit: "ms", Nodes: nodes, Seed: seed, Note: note})
		}
	}
	return nil
}

// convergenceTimes are sorted times from the start of the append of a change until
// nodes applied it, installed a snapshot with it, or read it by polling.
type convergenceTimes struct {
	applied, installed, polled []time.Duration
}

func measureConvergenceTimes(ctx context.Context, nodes int, random *rand.Rand) (times convergenceTimes, err error) {
	c, err := startCluster(ctx, nodes)
	if err != nil {
		return times, err
	}
	defer c.StopAll()
	ctx, cancel := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer cancel()
	applied, installed, polled := newArrivalTimes(), newArrivalTimes(), newArrivalTimes()
	for i, n := range c.Nodes {
		watchers.Go(func() { recordPositions(ctx, i, applied, appliedPosition(n)) })
		watchers.Go(func() { recordPositions(ctx, i, installed, n.Agent().InstalledPosition) })
		phase := time.Duration(random.Int64N(int64(pollInterval)))
		watchers.Go(func() { pollLog(ctx, i, c, n, phase, polled) })
	}
	appended := map[int64]time.Time{}
	var last int64
	for i := range convergenceChanges {
		time.Sleep(time.Duration(random.Int64N(int64(2 * convergenceInterval))))
		at := time.Now()
		if last, err = c.Publish(ctx, fmt.Sprintf("change-%02d", i), nil, 0); err != nil {
			return times, err
		}
		appended[last] = at
	}
	waitCtx, stop := context.WithTimeout(ctx, convergenceTimeout)
	defer stop()
	err = waitUntil(waitCtx, func() bool { return installed.nodesAt(last) == nodes && polled.nodesAt(last) == nodes })
	times = convergenceTimes{applied: applied.latencies(appended), installed: installed.latencies(appended), polled: polled.latencies(appended)}
	return times, err
}

// positionSource returns a position, whether there is one, and a channel that is
// closed when it changes.
type positionSource func() (profile.Position, bool, <-chan struct{})

func appliedPosition(n *cluster.Node) positionSource {
	return func() (profile.Position, bool, <-chan struct{}) {
		next := n.Agent().ConfigChanged()
		p, ok := n.Agent().Position()
		return p, ok, next
	}
}

// recordPositions records the time at which the node reaches each offset.
func recordPositions(ctx context.Context, node int, times *arrivalTimes, source positionSource) {
	first := int64(0)
	for {
		p, ok, changed := source()
		if ok && p.Offset >= first {
			times.record(node, first, p.Offset, time.Now())
			first = p.Offset + 1
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pollLog is the baseline: a node that polls the log every pollInterval.
func pollLog(ctx context.Context, i int, c *cluster.Cluster, n *cluster.Node, phase time.Duration, times *arrivalTimes) {
	log, next := c.Log.Local(c.LogDelay(n)), int64(0)
	delay := phase
	for {
		select {
		case <-time.After(delay):
		case <-ctx.Done():
			return
		}
		delay = pollInterval
		b, err := log.Read(ctx, platformlog.StreamConfig, next, 256, 0)
		if err != nil || b.Next == next {
			continue
		}
		times.record(i, next, b.Next-1, time.Now())
		next = b.Next
	}
}
