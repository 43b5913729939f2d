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

func init() { measures["herd"] = herd }

// herdWindow is the window of the peak rate of reads.
const herdWindow = 100 * time.Millisecond

// herd measures how long a failure domain needs that restarts at once, and
// what that asks of the log. The baseline reads everything from the log,
// without jitter and without a bound.
func herd(ctx context.Context, seed int64, report func(Result)) error {
	for _, nodes := range fleetSizes {
		c, err := startFleet(ctx, nodes)
		if err != nil {
			return err
		}
		ours, oursPeak, err := restartDomain(ctx, c)
		base, basePeak := restartPollers(ctx, c)
		c.StopAll()
		if err != nil {
			return err
		}
		report(Result{Measure: "herd_recovery_s", Ours: ours, Baseline: base, Unit: "s", Nodes: nodes, Seed: seed, Note: "the stand-in's log has no limit of its own"})
		report(Result{Measure: "herd_log_reads_peak_s", Ours: oursPeak, Baseline: basePeak, Unit: "1/s", Nodes: nodes, Seed: seed, Note: "highest in 100 ms"})
	}
	return nil
}

func domainOf(c *cluster.Cluster) []*cluster.Node {
	var out []*cluster.Node
	for _, n := range c.Nodes {
		if n.Member.FailureDomain == fleetDomains[0].Name {
			out = append(out, n)
		}
	}
	return out
}

func restartDomain(ctx context.Context, c *cluster.Cluster) (seconds, peak float64, err error) {
	domain := domainOf(c)
	var kills sync.WaitGroup
	for _, n := range domain {
		kills.Go(n.Kill)
	}
	kills.Wait()
	stop := watchPeak(func() int64 { return logReads(c) })
	begin := time.Now()
	for _, n := range domain {
		n.Start()
	}
	err = await(ctx, func() bool { return allReady(c) })
	seconds = time.Since(begin).Seconds()
	return seconds, stop(), err
}

// restartPollers restarts as many nodes that read both streams whole.
func restartPollers(ctx context.Context, c *cluster.Cluster) (seconds, peak float64) {
	domain := domainOf(c)
	logs := make([]*standin.LocalLog, len(domain))
	for i, n := range domain {
		logs[i] = c.Log.Local(c.LogDelay(n))
	}
	stop := watchPeak(func() (sum int64) {
		for _, l := range logs {
			sum += l.Reads()
		}
		return sum
	})
	begin := time.Now()
	var wg sync.WaitGroup
	for _, l := range logs {
		wg.Go(func() {
			readWhole(ctx, l, platformlog.StreamMembers, func(platformlog.Entry) {})
			fold := profile.NewStateMachine(0)
			readWhole(ctx, l, platformlog.StreamConfig, func(e platformlog.Entry) { fold.Apply(e.Offset, e.Data) })
		})
	}
	wg.Wait()
	seconds = time.Since(begin).Seconds()
	time.Sleep(herdWindow)
	return seconds, stop()
}

func readWhole(ctx context.Context, l *standin.LocalLog, stream string, use func(platformlog.Entry)) {
	for next := int64(0); ; {
		b, err := l.Read(ctx, stream, next, 256, 0)
		if err != nil || len(b.Entries) == 0 {
			return
		}
		for _, e := range b.Entries {
			use(e)
			next = e.Offset + 1
		}
	}
}

// watchPeak samples a counter until stop is called, which returns the highest
// rate per second.
func watchPeak(count func() int64) (stop func() float64) {
	done, ended := make(chan struct{}), make(chan struct{})
	var highest atomic.Int64
	go func() {
		defer close(ended)
		tick := time.NewTicker(herdWindow)
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
		return float64(highest.Load()) * float64(time.Second/herdWindow)
	}
}
