package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

func init() { measurements["control"] = measureControl }

const (
	controlWarmUp         = time.Second     // for the last membership entries to reach all nodes
	controlIdleTime       = 3 * time.Second // length of the idle measurement; a third of it for idle cross-region traffic
	controlChanges        = 5
	controlMeanInterval   = 400 * time.Millisecond // between two changes; each interval is 0.5 to 1.5 times as long
	controlHeartbeatBytes = 120                    // of one heartbeat in the baseline, see section 4 of docs/design.md
)

// controlCosts is what the control plane uses at one cluster size.
type controlCosts struct {
	idleBytes, logReads, logAppends   float64 // per second; bytes for each node, log requests for the whole cluster
	changeBytes, crossRegionBytes     float64 // per change, for the whole cluster
	cpu, memory                       float64 // percent of a core and MiB, per node
	stateBytes, remoteNodes, allNodes float64
}

// measureControl measures the traffic, log requests, CPU time and memory that the
// nodes of a cluster need while idle, and the traffic of each configuration change.
func measureControl(ctx context.Context, seed int64, report func(Result)) error {
	random := rand.New(rand.NewPCG(uint64(seed), 2))
	for _, nodes := range clusterSizes {
		costs, err := measureControlCosts(ctx, nodes, random)
		if err != nil {
			return err
		}
		reportControl(costs, nodes, seed, report)
	}
	return nil
}

// reportControl reports the costs. The baselines assume that every node sends a
// heartbeat to each other node and polls the log once a second, and that a change
// sends the whole configuration to every node.
func reportControl(costs controlCosts, nodes int, seed int64, report func(Result)) {
	n := float64(nodes)
	for _, r := range []Result{
		{Measure: "control_bytes_node_s", Ours: costs.idleBytes, Baseline: (n - 1) * controlHeartbeatBytes, Unit: "B/s", Note: "baseline computed: full mesh of heartbeats"},
		{Measure: "control_bytes_change", Ours: costs.changeBytes, Baseline: costs.stateBytes * costs.allNodes, Unit: "B", Note: "baseline computed: full table to every node"},
		{Measure: "cross_region_bytes_change", Ours: costs.crossRegionBytes, Baseline: costs.stateBytes * costs.remoteNodes, Unit: "B", Note: "baseline computed: full table to every node"},
		{Measure: "log_reads_s", Ours: costs.logReads, Baseline: n, Unit: "1/s", Note: "baseline computed: every node polls each second"},
		{Measure: "log_appends_s", Ours: costs.logAppends, Unit: "1/s", Note: "idle"},
		{Measure: "node_cpu_core_pct", Ours: costs.cpu, Unit: "%", Note: "whole process over nodes, idle"},
		{Measure: "node_memory_mb", Ours: costs.memory, Unit: "MB", Note: "heap and stacks over nodes"},
	} {
		r.Nodes, r.Seed = nodes, seed
		report(r)
	}
}

func measureControlCosts(ctx context.Context, nodes int, random *rand.Rand) (controlCosts, error) {
	var costs controlCosts
	before := memoryInUseMiB()
	c, err := startCluster(ctx, nodes)
	if err != nil {
		return costs, err
	}
	defer c.StopAll()
	time.Sleep(controlWarmUp)
	measureIdleCosts(c, &costs)
	costs.memory = (memoryInUseMiB() - before) / float64(nodes)
	if err := measureChangeCosts(ctx, c, random, &costs); err != nil {
		return costs, err
	}
	// The baseline sends the whole configuration as a checkpoint.
	state, err := json.Marshal(profile.CheckpointOf(*c.Nodes[0].Agent().State()))
	costs.stateBytes, costs.allNodes = float64(len(state)), float64(nodes)
	for _, n := range c.Nodes {
		if n.Member.Region != logRegion {
			costs.remoteNodes++
		}
	}
	return costs, err
}

func measureIdleCosts(c *cluster.Cluster, costs *controlCosts) {
	sentBefore, _ := c.SentBytes()
	readsBefore, cpuBefore, start := logReads(c), cpuTime(), time.Now()
	appendsBefore, _ := c.Log.Counts()
	time.Sleep(controlIdleTime)
	seconds := time.Since(start).Seconds()
	sentAfter, _ := c.SentBytes()
	appendsAfter, _ := c.Log.Counts()
	nodes := float64(len(c.Nodes))
	costs.idleBytes = float64(sentAfter-sentBefore) / seconds / nodes
	costs.logReads = float64(logReads(c)-readsBefore) / seconds
	costs.logAppends = float64(appendsAfter-appendsBefore) / seconds
	costs.cpu = (cpuTime() - cpuBefore).Seconds() / seconds / nodes * 100
}

// measureChangeCosts measures the traffic of changes and subtracts the idle
// traffic: the total as measureIdleCosts measured it, the cross-region part as
// measured just before the changes. The cluster doesn't count what the log sends
// to the nodes that read it, so the bodies of these answers are added.
func measureChangeCosts(ctx context.Context, c *cluster.Cluster, random *rand.Rand, costs *controlCosts) error {
	_, crossIdleBegin := c.SentBytes()
	start := time.Now()
	time.Sleep(controlIdleTime / 3)
	_, crossIdleEnd := c.SentBytes()
	crossIdle := float64(crossIdleEnd-crossIdleBegin) / time.Since(start).Seconds()

	sentBefore, crossBefore := c.SentBytes()
	start = time.Now()
	var last int64
	for i := range controlChanges {
		offset, err := c.Publish(ctx, fmt.Sprintf("change-%02d", i), nil, 0)
		if err != nil {
			return err
		}
		last = offset
		time.Sleep(controlMeanInterval/2 + time.Duration(random.Int64N(int64(controlMeanInterval))))
	}
	seconds := time.Since(start).Seconds()
	sentAfter, crossAfter := c.SentBytes()
	answers, err := answerBytes(ctx, c, last-controlChanges+1)
	if err != nil {
		return err
	}
	costs.changeBytes = (float64(sentAfter-sentBefore) - costs.idleBytes*seconds*float64(len(c.Nodes)) + 2*controlRemoteReaders*answers) / controlChanges
	costs.crossRegionBytes = (float64(crossAfter-crossBefore) - crossIdle*seconds + controlRemoteReaders*answers) / controlChanges
	return nil
}

// controlRemoteReaders is the number of nodes that read the log from outside its
// region. As many read it inside.
const controlRemoteReaders = 2

// answerBytes returns the total size in bytes of the bodies of the log's HTTP
// answers that carry the records of the changes, one each, starting at an offset.
func answerBytes(ctx context.Context, c *cluster.Cluster, from int64) (float64, error) {
	// Without a delay to the log, and without waiting for records.
	b, err := c.Log.Local(0).Read(ctx, platformlog.StreamConfig, from, controlChanges, 0)
	if err != nil {
		return 0, err
	}
	sum := 0
	for _, e := range b.Entries {
		out, err := json.Marshal(platformlog.ReadResponse{
			LogID: b.LogID, First: b.First, Next: b.Next, RetentionMs: b.Retention.Milliseconds(),
			Records: []platformlog.WireRecord{{Offset: e.Offset, TimeMs: e.Time.UnixMilli(), Data: e.Data}},
		})
		if err != nil {
			return 0, err
		}
		sum += len(out)
	}
	return float64(sum), nil
}

// cpuTime returns the CPU time of this process so far, or 0 if it is unavailable.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUseMiB returns the memory of the heap and the stacks in MiB, after a
// garbage collection.
func memoryInUseMiB() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
}
