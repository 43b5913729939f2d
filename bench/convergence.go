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

func init() { measures["convergence"] = convergence }

const (
	convergenceChanges = 12
	convergenceGap     = 250 * time.Millisecond // mean; random, so that no poll period lines up
	pollEvery          = time.Second            // baseline of section 1.4
	convergenceLimit   = 5 * time.Second
)

// sightings holds when each node first held each offset.
type sightings struct {
	mu   sync.Mutex
	seen map[int64]map[int]time.Time // guarded by mu; by offset and node
}

func newSightings() *sightings { return &sightings{seen: map[int64]map[int]time.Time{}} }

func (s *sightings) note(node int, from, through int64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for o := from; o <= through; o++ {
		if s.seen[o] == nil {
			s.seen[o] = map[int]time.Time{}
		}
		s.seen[o][node] = now
	}
}

func (s *sightings) count(offset int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen[offset])
}

// latencies returns the sorted times from the appends to the sightings.
func (s *sightings) latencies(appended map[int64]time.Time) []time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []time.Duration
	for offset, at := range appended {
		for _, seen := range s.seen[offset] {
			out = append(out, max(seen.Sub(at), 0))
		}
	}
	slices.Sort(out)
	return out
}

// convergence measures the time from the append of a change until a node has
// it in force, for our nodes and for pollers of the same log. All nodes share
// the processors of this machine, so the figures named held, without the
// building of generations, show what the spreading alone takes.
func convergence(ctx context.Context, seed int64, report func(Result)) error {
	random := rand.New(rand.NewPCG(uint64(seed), 1))
	for _, nodes := range fleetSizes {
		t, err := convergeOnce(ctx, nodes, random)
		if err != nil {
			return err
		}
		for _, f := range []struct {
			name  string
			share float64
		}{{"p50", 0.5}, {"p99", 0.99}, {"max", 1}} {
			base := percentileMs(t.polled, f.share)
			note := fmt.Sprintf("%d changes", convergenceChanges)
			report(Result{Measure: "convergence_" + f.name + "_ms", Ours: percentileMs(t.inForce, f.share), Baseline: base, Unit: "ms", Nodes: nodes, Seed: seed, Note: note})
			report(Result{Measure: "convergence_held_" + f.name + "_ms", Ours: percentileMs(t.held, f.share), Baseline: base, Unit: "ms", Nodes: nodes, Seed: seed, Note: note})
		}
	}
	return nil
}

// convergenceTimes are sorted times from the append of each change.
type convergenceTimes struct {
	held, inForce, polled []time.Duration
}

func convergeOnce(ctx context.Context, nodes int, random *rand.Rand) (t convergenceTimes, err error) {
	c, err := startFleet(ctx, nodes)
	if err != nil {
		return t, err
	}
	defer c.StopAll()
	ctx, cancel := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer cancel()
	held, inForce, polled := newSightings(), newSightings(), newSightings()
	for i, n := range c.Nodes {
		watchers.Go(func() { watch(ctx, i, held, positionOf(n)) })
		watchers.Go(func() { watch(ctx, i, inForce, n.Agent().InstalledPosition) })
		phase := time.Duration(random.Int64N(int64(pollEvery)))
		watchers.Go(func() { pollLog(ctx, i, c, n, phase, polled) })
	}
	appended := map[int64]time.Time{}
	var last int64
	for i := range convergenceChanges {
		time.Sleep(time.Duration(random.Int64N(int64(2 * convergenceGap))))
		at := time.Now()
		if last, err = c.Publish(ctx, fmt.Sprintf("change-%02d", i), nil, 0); err != nil {
			return t, err
		}
		appended[last] = at
	}
	limited, stop := context.WithTimeout(ctx, convergenceLimit)
	defer stop()
	err = await(limited, func() bool { return inForce.count(last) == nodes && polled.count(last) == nodes })
	t = convergenceTimes{held: held.latencies(appended), inForce: inForce.latencies(appended), polled: polled.latencies(appended)}
	return t, err
}

// current returns a position, whether there is one, and a channel that its
// next change closes.
type current func() (profile.Position, bool, <-chan struct{})

func positionOf(n *cluster.Node) current {
	return func() (profile.Position, bool, <-chan struct{}) {
		next := n.Agent().Advanced()
		p, ok := n.Agent().Position()
		return p, ok, next
	}
}

// watch notes each position as it becomes the current one.
func watch(ctx context.Context, node int, s *sightings, now current) {
	first := int64(0)
	for {
		p, ok, changed := now()
		if ok && p.Offset >= first {
			s.note(node, first, p.Offset, time.Now())
			first = p.Offset + 1
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// pollLog is the baseline: a node that polls the log each second.
func pollLog(ctx context.Context, i int, c *cluster.Cluster, n *cluster.Node, phase time.Duration, s *sightings) {
	log, next := c.Log.Local(c.LogDelay(n)), int64(0)
	wait := phase
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return
		}
		wait = pollEvery
		b, err := log.Read(ctx, platformlog.StreamConfig, next, 256, 0)
		if err != nil || b.Next == next {
			continue
		}
		s.note(i, next, b.Next-1, time.Now())
		next = b.Next
	}
}
