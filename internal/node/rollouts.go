package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout/runner"
	"github.com/goldcrestshed/goldcrestshed/internal/serverstate"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// RolloutStore holds the operator's orders and their records.
type RolloutStore interface {
	runner.Store
	// OnOrders sets the function that gets the orders that are read, also those that
	// were read before.
	OnOrders(func([]rollout.Order))
}

// rollouts holds the components that move calls to new versions; all are nil where
// the settings or the platform switch that off.
type rollouts struct {
	gate   *rollout.Gate
	server *rollout.Server
	runner *runner.Runner
}

// newRollouts creates the components if the settings hold the bounds.
func (n *Node) newRollouts(self membership.Member) {
	bounds := rollout.Bounds{ExposureShare: n.settings.Rollout.ExposureShare, ExposureSlack: n.settings.Rollout.ExposureSlack, RollbackWithin: n.settings.Rollout.RollbackWithin.D()}
	if !bounds.Enabled() || n.platform.Rollouts == nil {
		return
	}
	n.rollouts.gate, n.rollouts.server = rollout.NewGate(), rollout.NewServer(self.ID, self.Incarnation)
	n.rollouts.runner = runner.New(runner.Config{
		Self: self, Service: n.settings.Node.Service, Bounds: bounds,
		Members: n.members.Callable, Linked: n.agent.LinkedNodes, Snapshot: n.snapshots.Latest,
		Peers: rolloutPeers{n}, Store: n.platform.Rollouts, Restores: n.agent.Eras.Restores, Gate: n.rollouts.gate, Server: n.rollouts.server, Logger: n.logger,
	})
	n.platform.Rollouts.OnOrders(n.rollouts.runner.AddOrders)
	n.dump.Register("rollouts", func() any { return n.rollouts.runner.View() })
}

// runRollouts runs the rollouts until the context ends.
func (n *Node) runRollouts(ctx context.Context) error {
	if n.rollouts.runner == nil {
		<-ctx.Done()
		return nil
	}
	return n.rollouts.runner.Run(ctx)
}

// recordVersion records the version of the backend server and the end of its cold
// start.
func (n *Node) recordVersion(r serverstate.Report) {
	if n.rollouts.server != nil && !r.Departure {
		n.rollouts.server.SetReported(r.Version, r.Slots, time.Now().Add(r.ColdFor))
	}
}

// rolloutPeers encodes the messages of rollouts.
type rolloutPeers struct{ node *Node }

// RolloutStates implements runner.Peers.
func (p rolloutPeers) RolloutStates(ctx context.Context, m membership.Member, s runner.States) error {
	data, err := json.Marshal(s)
	if err != nil {
		return errors.Wrap(err, "encode states of rollouts")
	}
	return p.node.peers.pool.RolloutStates(ctx, m, data)
}

// RolloutReport implements runner.Peers.
func (p rolloutPeers) RolloutReport(ctx context.Context, m membership.Member, r rollout.Report) (g rollout.Grant, err error) {
	data, err := json.Marshal(r)
	if err != nil {
		return g, errors.Wrap(err, "encode the report to a rollout")
	}
	answer, err := p.node.peers.pool.RolloutReport(ctx, m, data)
	if err != nil {
		return g, err
	}
	return g, errors.Wrap(json.Unmarshal(answer, &g), "decode the grant of a rollout")
}

// RolloutStates handles the states of rollouts from another node.
func (h *peerHandler) RolloutStates(states json.RawMessage) {
	if h.node.rollouts.runner == nil {
		return
	}
	var s runner.States
	if err := json.Unmarshal(states, &s); err != nil {
		h.node.logger.Warn("rollout_states_unreadable", "error", err)
		return
	}
	h.node.rollouts.runner.HandleStates(s)
}

// RolloutReport handles the report of a backend server to this node as the
// coordinator of a rollout.
func (h *peerHandler) RolloutReport(_ context.Context, report json.RawMessage) (json.RawMessage, error) {
	var r rollout.Report
	if err := json.Unmarshal(report, &r); err != nil {
		return nil, errors.Wrap(err, "decode the report to a rollout")
	}
	if h.node.rollouts.runner == nil {
		return json.Marshal(rollout.Grant{})
	}
	return json.Marshal(h.node.rollouts.runner.HandleReport(r))
}

// updateRolloutGauges updates the gauges of rollouts.
func (n *Node) updateRolloutGauges(set func(name string, v float64)) {
	if n.rollouts.runner == nil {
		return
	}
	v := n.rollouts.runner.View()
	set(telemetry.MetricRolloutsActive, float64(v.Active))
	set(telemetry.MetricRolloutsCompleted, float64(v.Completed))
	set(telemetry.MetricRolloutsRolledBack, float64(v.RolledBack))
	set(telemetry.MetricRolloutRefusals, float64(v.Server.Refused))
}
