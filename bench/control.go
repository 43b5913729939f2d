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

func init() { measures["control"] = control }

const (
	controlSettle  = time.Second     // after the start, until the last entries have spread
	controlIdle    = 3 * time.Second // idle time measured
	controlChanges = 5
	controlGap     = 400 * time.Millisecond
	heartbeatBytes = 120 // of section 4, for the full mesh of the baseline
)

// controlFigures is what one size costs.
type controlFigures struct {
	idleBytes, reads, appends         float64 // per second, bytes per node too
	changeBytes, crossBytes           float64 // per change, all nodes
	cpu, memory                       float64 // percent of a core and MB, per node
	stateBytes, remoteNodes, allNodes float64
}

// control measures what keeping the nodes up to date costs, idle and per
// change.
func control(ctx context.Context, seed int64, report func(Result)) error {
	random := rand.New(rand.NewPCG(uint64(seed), 2))
	for _, nodes := range fleetSizes {
		f, err := controlOnce(ctx, nodes, random)
		if err != nil {
			return err
		}
		reportControl(f, nodes, seed, report)
	}
	return nil
}

func reportControl(f controlFigures, nodes int, seed int64, report func(Result)) {
	n := float64(nodes)
	for _, r := range []Result{
		{Measure: "control_bytes_node_s", Ours: f.idleBytes, Baseline: (n - 1) * heartbeatBytes, Unit: "B/s", Note: "baseline computed: full mesh of heartbeats"},
		{Measure: "control_bytes_change", Ours: f.changeBytes, Baseline: f.stateBytes * f.allNodes, Unit: "B", Note: "baseline computed: full table to every node"},
		{Measure: "cross_region_bytes_change", Ours: f.crossBytes, Baseline: f.stateBytes * f.remoteNodes, Unit: "B", Note: "baseline computed: full table to every node"},
		{Measure: "log_reads_s", Ours: f.reads, Baseline: n, Unit: "1/s", Note: "baseline computed: every node polls each second"},
		{Measure: "log_appends_s", Ours: f.appends, Unit: "1/s", Note: "idle"},
		{Measure: "node_cpu_core_pct", Ours: f.cpu, Unit: "%", Note: "whole process over nodes, idle"},
		{Measure: "node_memory_mb", Ours: f.memory, Unit: "MB", Note: "heap and stacks over nodes"},
	} {
		r.Nodes, r.Seed = nodes, seed
		report(r)
	}
}

func controlOnce(ctx context.Context, nodes int, random *rand.Rand) (controlFigures, error) {
	var f controlFigures
	before := memoryInUse()
	c, err := startFleet(ctx, nodes)
	if err != nil {
		return f, err
	}
	defer c.StopAll()
	time.Sleep(controlSettle)
	measureIdle(c, &f)
	f.memory = (memoryInUse() - before) / float64(nodes)
	if err := measureChanges(ctx, c, random, &f); err != nil {
		return f, err
	}
	state, err := json.Marshal(profile.CheckpointOf(*c.Nodes[0].Agent().State()))
	f.stateBytes, f.allNodes = float64(len(state)), float64(nodes)
	for _, n := range c.Nodes {
		if n.Member.Region != logRegion {
			f.remoteNodes++
		}
	}
	return f, err
}

func measureIdle(c *cluster.Cluster, f *controlFigures) {
	sent, _ := c.SentBytes()
	reads, cpu, begin := logReads(c), processorTime(), time.Now()
	appends, _ := c.Log.Counts()
	time.Sleep(controlIdle)
	seconds := time.Since(begin).Seconds()
	sentAfter, _ := c.SentBytes()
	appendsAfter, _ := c.Log.Counts()
	nodes := float64(len(c.Nodes))
	f.idleBytes = float64(sentAfter-sent) / seconds / nodes
	f.reads = float64(logReads(c)-reads) / seconds
	f.appends = float64(appendsAfter-appends) / seconds
	f.cpu = (processorTime() - cpu).Seconds() / seconds / nodes * 100
}

// measureChanges takes the idle traffic of the same time off. The readers'
// answers from the log cross the link too; they are added by their size.
func measureChanges(ctx context.Context, c *cluster.Cluster, random *rand.Rand, f *controlFigures) error {
	_, crossIdleBegin := c.SentBytes()
	begin := time.Now()
	time.Sleep(controlIdle / 3)
	_, crossIdleEnd := c.SentBytes()
	crossIdle := float64(crossIdleEnd-crossIdleBegin) / time.Since(begin).Seconds()

	sent, cross := c.SentBytes()
	begin = time.Now()
	var last int64
	for i := range controlChanges {
		offset, err := c.Publish(ctx, fmt.Sprintf("change-%02d", i), nil, 0)
		if err != nil {
			return err
		}
		last = offset
		time.Sleep(controlGap/2 + time.Duration(random.Int64N(int64(controlGap))))
	}
	seconds := time.Since(begin).Seconds()
	sentAfter, crossAfter := c.SentBytes()
	answers, err := answerBytes(ctx, c, last-controlChanges+1)
	if err != nil {
		return err
	}
	f.changeBytes = (float64(sentAfter-sent) - f.idleBytes*seconds*float64(len(c.Nodes)) + 2*remoteReaders*answers) / controlChanges
	f.crossBytes = (float64(crossAfter-cross) - crossIdle*seconds + remoteReaders*answers) / controlChanges
	return nil
}

// remoteReaders is how many readers get their answers across the link.
const remoteReaders = 2

// answerBytes returns the size of the log's answers, one for each record from
// an offset on, as its HTTP protocol sends them.
func answerBytes(ctx context.Context, c *cluster.Cluster, from int64) (float64, error) {
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

func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse+m.StackInuse) / (1 << 20)
}
