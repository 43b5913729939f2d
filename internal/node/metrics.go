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
	routable := 0
	for _, m := range n.table.All() {
		if m.Routable() {
			routable++
		}
	}
	set(telemetry.MetricMembers, float64(routable))
	g := n.holder.Latest()
	if g == nil {
		return
	}
	set(telemetry.MetricGeneration, float64(g.Number))
	set(telemetry.MetricPositionEra, float64(g.Position.Era))
	set(telemetry.MetricPositionOffset, float64(g.Position.Offset))
	set(telemetry.MetricRoutes, float64(len(g.Routes)))
	set(telemetry.MetricRoutesHeld, float64(len(g.HeldBack)))
}

func flag(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
