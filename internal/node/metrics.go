package node

import (
	"context"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// gaugeInterval is how often the gauges are updated. It matches the shortest
// scrape interval in common use.
const gaugeInterval = time.Second

// runMetrics updates the gauges periodically until the context ends.
func (n *Node) runMetrics(ctx context.Context) error {
	tick := time.NewTicker(gaugeInterval)
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
	set(telemetry.MetricReady, boolGauge(status.Ready))
	set(telemetry.MetricDraining, boolGauge(status.Draining))
	set(telemetry.MetricMembers, float64(status.Members))
	set(telemetry.MetricRefusedEntries, float64(n.agent.RefusedEntries()))
	set(telemetry.MetricRefusedConfigs, float64(n.agent.RefusedConfigs()))
	era, restores := n.agent.StoreEra()
	set(telemetry.MetricStoreEra, float64(era))
	set(telemetry.MetricStoreRestores, float64(restores))
	set(telemetry.MetricConfigAge, n.configAgeSeconds())
	n.updateCallGauges(set)
	n.updateRolloutGauges(set)
	snap := n.snapshots.Latest()
	if snap == nil {
		return
	}
	set(telemetry.MetricGeneration, float64(snap.Generation))
	set(telemetry.MetricPositionEpoch, float64(snap.Position.Epoch))
	set(telemetry.MetricPositionOffset, float64(snap.Position.Offset))
	set(telemetry.MetricRoutes, float64(len(snap.Routes)))
	set(telemetry.MetricRoutesHeldBack, float64(len(snap.HeldBack)))
	set(telemetry.MetricOrganisations, float64(len(snap.Organisations.All())))
}

func (n *Node) updateCallGauges(set func(name string, v float64)) {
	now := time.Now()
	load := n.callPath.admission.Report(now)
	set(telemetry.MetricBackendUp, boolGauge(n.backendUp.Load()))
	set(telemetry.MetricSlots, float64(load.Slots))
	set(telemetry.MetricSlotsBusy, float64(load.InUse))
	set(telemetry.MetricServerLimit, load.Limit)
	set(telemetry.MetricQueue, float64(load.Queued))
	receptions := n.callPath.receptions.View()
	set(telemetry.MetricBodiesWaiting, float64(receptions.Waiting))
	set(telemetry.MetricBodyBytes, float64(receptions.Kept))
	set(telemetry.MetricQuarantine, float64(len(n.callPath.quarantine.Entries(now))))
	set(telemetry.MetricBatchers, float64(n.callPath.claims.local.Len()))
	caller, inbound := n.guards.caller.View(), n.guards.inbound.View()
	set(telemetry.MetricCallerConns, float64(caller.Conns))
	set(telemetry.MetricInboundConns, float64(inbound.Conns))
	set(telemetry.MetricHeldBytes, float64(caller.Heads.Used+caller.Buffers.Used+inbound.Heads.Used+inbound.Buffers.Used))
	set(telemetry.MetricTurnedAway, float64(caller.Turned()+inbound.Turned()))
	set(telemetry.MetricHeldBack, float64(caller.HeldBack+inbound.HeldBack))
	bytes := n.PeerBytes()
	set(telemetry.MetricPeerBytesIn, float64(bytes.In))
	set(telemetry.MetricPeerBytesOut, float64(bytes.Out))
}

// unknownConfigAge is the value of the gauge on a node that never knew its
// configuration to be the newest one.
const unknownConfigAge = -1

func (n *Node) configAgeSeconds() float64 {
	age, known := n.agent.ConfigAge()
	if !known {
		return unknownConfigAge
	}
	return age.Seconds()
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
