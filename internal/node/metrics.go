package node

import (
	"context"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// metricsEvery is how often gauges are read from the parts. It matches the
// shortest scrape interval in common use.
const metricsEvery = time.Second

// runMetrics copies the state of the parts into gauges until the context ends.
func (n *Node) runMetrics(ctx context.Context) error {
	tick := time.NewTicker(metricsEvery)
	defer tick.Stop()
	for {
		n.updateGauges()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (n *Node) updateGauges() {
	set := func(name string, v float64) { n.metrics.Scope.Gauge(name).Update(v) }
	status := n.Status()
	set(telemetry.MetricReady, flag(status.Ready))
	set(telemetry.MetricDraining, flag(status.Draining))
	set(telemetry.MetricMembers, float64(status.Members))
	n.updateCallGauges(set)
	g := n.holder.Latest()
	if g == nil {
		return
	}
	set(telemetry.MetricGeneration, float64(g.Generation))
	set(telemetry.MetricPositionEra, float64(g.Position.Epoch))
	set(telemetry.MetricPositionOffset, float64(g.Position.Offset))
	set(telemetry.MetricRoutes, float64(len(g.Routes)))
	set(telemetry.MetricRoutesHeld, float64(len(g.HeldBack)))
}

func (n *Node) updateCallGauges(set func(name string, v float64)) {
	now := time.Now()
	load := n.calls.gate.Report(now)
	set(telemetry.MetricBackendUp, flag(n.backendUp.Load()))
	set(telemetry.MetricSlots, float64(load.Slots))
	set(telemetry.MetricSlotsBusy, float64(load.InUse))
	set(telemetry.MetricQueue, float64(load.Queued))
	set(telemetry.MetricQuarantine, float64(len(n.calls.quarantine.Entries(now))))
	set(telemetry.MetricBatchers, float64(n.calls.claims.local.Len()))
	bytes := n.PeerBytes()
	set(telemetry.MetricPeerBytesIn, float64(bytes.In))
	set(telemetry.MetricPeerBytesOut, float64(bytes.Out))
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
