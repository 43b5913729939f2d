package main

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

func init() { measurements["herd"] = measureHerd }

// herdSampleInterval is the window over which the peak read rate is measured.
const herdSampleInterval = 100 * time.Millisecond

// measureHerd measures how long a failure domain takes to recover when all of its
// nodes restart at once, and the peak rate of log reads. Nodes of the baseline
// read everything from the log, without jitter or a rate limit.
func measureHerd(ctx context.Context, seed int64, report func(Result)) error {
	for _, nodes := range clusterSizes {
		c, err := startCluster(ctx, nodes)
		if err != nil {
			return err
		}
		ours, oursPeak, err := restartDomain(ctx, c)
		base, basePeak := restartBaseline(ctx, c)
		c.StopAll()
		if err != nil {
			return err
		}
		report(Result{Measure: "herd_recovery_s", Ours: ours, Baseline: base, Unit: "s", Nodes: nodes, Seed: seed, Note: "the log stand-in has no rate limit"})
		report(Result{Measure: "herd_log_reads_peak_s", Ours: oursPeak, Baseline: basePeak, Unit: "1/s", Nodes: nodes, Seed: seed, Note: "highest in 100 ms"})
	}
	return nil
}

func firstDomainNodes(c *cluster.Cluster) []*cluster.Node {
	var out []*cluster.Node
	for _, n := range c.Nodes {
		if n.Member.FailureDomain == clusterDomains[0].Name {
			out = append(out, n)
		}
	}
	return out
}

func restartDomain(ctx context.Context, c *cluster.Cluster) (seconds, peak float64, err error) {
	domain := firstDomainNodes(c)
	var wg sync.WaitGroup
	for _, n := range domain {
		wg.Go(n.Kill)
	}
	wg.Wait()
	stop := samplePeakRate(func() int64 { return logReads(c) })
	start := time.Now()
	for _, n := range domain {
		n.Start()
	}
	err = waitUntil(ctx, func() bool { return allReady(c) })
	seconds = time.Since(start).Seconds()
	return seconds, stop(), err
}

// restartBaseline restarts the same number of nodes that read both streams from
// the beginning.
func restartBaseline(ctx context.Context, c *cluster.Cluster) (seconds, peak float64) {
	domain := firstDomainNodes(c)
	logs := make([]*standin.LocalLog, len(domain))
	for i, n := range domain {
		logs[i] = c.Log.Local(c.LogDelay(n))
	}
	stop := samplePeakRate(func() (sum int64) {
		for _, l := range logs {
			sum += l.Reads()
		}
		return sum
	})
	start := time.Now()
	var wg sync.WaitGroup
	for _, l := range logs {
		wg.Go(func() {
			readStream(ctx, l, platformlog.StreamMembers, func(platformlog.Entry) {})
			machine := profile.NewStateMachine(0)
			readStream(ctx, l, platformlog.StreamConfig, func(e platformlog.Entry) { machine.Apply(e.Offset, e.Data) })
		})
	}
	wg.Wait()
	seconds = time.Since(start).Seconds()
	time.Sleep(herdSampleInterval)
	return seconds, stop()
}

func readStream(ctx context.Context, l *standin.LocalLog, stream string, handle func(platformlog.Entry)) {
	for next := int64(0); ; {
		b, err := l.Read(ctx, stream, next, 256, 0)
		if err != nil || len(b.Entries) == 0 {
			return
		}
		for _, e := range b.Entries {
			handle(e)
			next = e.Offset + 1
		}
	}
}

// samplePeakRate samples a counter until stop is called; stop returns the highest
// rate per second.
func samplePeakRate(count func() int64) (stop func() float64) {
	done, ended := make(chan struct{}), make(chan struct{})
	var highest atomic.Int64
	go func() {
		defer close(ended)
		tick := time.NewTicker(herdSampleInterval)
		defer tick.Stop()
		last := count()
		for {
			select {
			case <-tick.C:
			case <-done:
				return
			}
			now := count()
			highest.Store(max(highest.Load(), now-last))
			last = now
		}
	}()
	return func() float64 {
		close(done)
		<-ended
		return float64(highest.Load()) * float64(time.Second/herdSampleInterval)
	}
}
