package main

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

func init() { measurements["state"] = measureState }

// stateKind is a kind of state whose memory grows with its number of items.
type stateKind struct {
	name  string
	sizes []int
	build func(n int) any // returns state with n items
}

var stateKinds = []stateKind{
	{"state_member_bytes", []int{200, 870, 3500}, func(n int) any {
		t := membership.NewTable()
		t.Merge(stateMembers(n))
		return t
	}},
	{"state_generation_member_bytes", []int{200, 870, 3500}, func(n int) any {
		s, err := newProfileState()
		if err != nil {
			return nil
		}
		cache := snapshot.NewCache()
		built, _ := snapshot.Build(1, s, stateMembers(n))
		cache.Install(built)
		return cache
	}},
	{"state_server_stats_bytes", []int{200, 870, 3500}, func(n int) any {
		s := balance.NewStats(balance.Config{})
		now := time.Now()
		for i := range n {
			id := fmt.Sprintf("node-%d", i)
			s.Begin(id, now, 1)
			s.End(id, now.Add(time.Millisecond), balance.Result{Latency: time.Millisecond})
		}
		return s
	}},
	{"state_claim_bytes", []int{1000, 10000, 50000}, newClaimState},
	{"state_quarantine_bytes", []int{100, 1000, 4000}, func(n int) any {
		l := quarantine.NewList(quarantine.Config{})
		for i := range n {
			l.RecordCrash("server", []quarantine.Fingerprint{quarantine.Fingerprint(i)}, time.Now())
		}
		return l
	}},
}

func stateMembers(n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		out[i] = membership.Member{
			ID: fmt.Sprintf("node-%04d", i), Incarnation: int64(i + 1), Service: fmt.Sprintf("service-%d", i%buildServices),
			Region: fmt.Sprintf("region-%d", i%2), FailureDomain: fmt.Sprintf("domain-%d", i%5),
			PeerAddress: fmt.Sprintf("10.0.%d.%d:7002", i/250, i%250), InboundAddress: fmt.Sprintf("10.0.%d.%d:7001", i/250, i%250),
			Slots: 18, Status: membership.StatusAlive,
		}
	}
	return out
}

// newClaimState applies n claims of one partition.
func newClaimState(n int) any {
	machine := idempotency.NewStateMachine(0)
	now := time.Now()
	machine.Apply(idempotency.Record{ID: "open"}, now.Add(-time.Second))
	for applied := 0; applied < n; {
		id, err := uuid.NewV7()
		if err != nil {
			return nil
		}
		key, refusal := idempotency.ParseKey(id.String(), idempotency.KeyRule{Retention: time.Hour}, now)
		if refusal != nil || key.Partition() != 0 {
			continue
		}
		machine.Apply(idempotency.Record{ID: id.String(), Claims: []idempotency.Claim{{ID: id.String(), Key: key, Holder: idempotency.Holder{Node: "node-1", Incarnation: 1}}}}, now)
		applied++
	}
	return machine
}

// measureState measures the memory per item of each kind of state, as the slope
// from the smallest size, which excludes fixed costs.
func measureState(_ context.Context, seed int64, report func(Result)) error {
	for _, k := range stateKinds {
		base := retainedBytes(func() any { return k.build(k.sizes[0]) })
		for _, n := range k.sizes[1:] {
			grown := retainedBytes(func() any { return k.build(n) }) - base
			report(Result{
				Measure: k.name, Ours: grown / float64(n-k.sizes[0]), Unit: "B/item", Nodes: n, Seed: seed,
				Note: fmt.Sprintf("slope from %d to %d items", k.sizes[0], n),
			})
		}
	}
	measureTiming(seed, report)
	return nil
}

// retainedBytes returns the heap bytes that the result of build retains.
func retainedBytes(build func() any) float64 {
	before := heapInUse()
	retained := build()
	after := heapInUse()
	runtime.KeepAlive(retained)
	return after - before
}

func heapInUse() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// timingKind is a repeated computation of a node whose time grows with the number
// of members.
type timingKind struct {
	name string
	run  func(members []membership.Member)
}

var timingKinds = []timingKind{
	{"topology_ms", func(members []membership.Member) { membership.NewTopology(members[0], members) }},
	{"batchers_ms", func(members []membership.Member) {
		for p := range idempotency.Partitions {
			membership.Batchers(idempotency.Stream(p), members)
		}
	}},
}

var timingSizes = []int{200, 870, 3500}

const timingRuns = 20

// measureTiming measures the mean time of each computation at each size.
func measureTiming(seed int64, report func(Result)) {
	for _, k := range timingKinds {
		for _, n := range timingSizes {
			members := stateMembers(n)
			start := time.Now()
			for range timingRuns {
				k.run(members)
			}
			report(Result{Measure: k.name, Ours: milliseconds(time.Since(start) / timingRuns), Unit: "ms", Nodes: n, Seed: seed, Note: "mean of one run"})
		}
	}
}
