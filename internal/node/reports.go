package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/distribution"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/serverstate"
)

// Platform is what a node runs on where the platform is not the product's own
// log. The zero value is the product's own interface.
type Platform struct {
	Source    distribution.Source    // of whole configurations
	Directory distribution.Directory // where nodes find each other
	Dialect   proxy.Dialect          // headers of callers and backend servers
	// Handler serves the platform's own calls at the addresses of the
	// settings.
	Handler func(Reports) http.Handler
}

// Reports takes what the platform and the backend server tell the node.
type Reports interface {
	// Ready reports whether the node takes calls.
	Ready() bool
	// Report takes a status report of the backend server. An error means that
	// it does not hold; none that the node acts on it from now on.
	Report(ctx context.Context, r serverstate.Report) error
	// RefuseReport notes a report that could not be read.
	RefuseReport(id string, err error)
}

// announceLeaveLimit bounds how long the answer to a server's departure waits
// for the directory, which a restarted node reads.
const announceLeaveLimit = 300 * time.Millisecond

// reports implements Reports.
type reports struct {
	*Node
}

// Ready implements Reports.
func (r reports) Ready() bool { return r.Status().Ready }

// RefuseReport implements Reports.
func (r reports) RefuseReport(id string, err error) {
	r.logger.Warn("server_report_refused", "server", id, "error", err)
}

// Report implements Reports.
func (r reports) Report(ctx context.Context, report serverstate.Report) error {
	change, err := r.tracker.Accept(report)
	if err != nil {
		r.logger.Warn("server_report_refused", "server", report.ID, "born", report.Born, "number", report.Number, "error", err)
		return err
	}
	if !change.Changed {
		return nil
	}
	r.applyReport(ctx, change)
	return nil
}

// applyReport acts on a change of the backend server. The guard comes first:
// it alone keeps calls from a server that leaves.
func (r reports) applyReport(ctx context.Context, c serverstate.Change) {
	report := c.Report
	state := inbound.ServerState{Instance: report.ID}
	if report.Leaving {
		state.ShutdownAnnounced = time.Now()
	}
	r.guard.SetServerState(state)
	r.calls.gate.SetSlots(report.Slots)
	self := r.agent.UpdateSelf(func(m membership.Member) membership.Member {
		m.Service, m.Slots = r.settings.Node.Service, report.Slots
		m.ServerID, m.ServerStartNs, m.ServerReport = report.ID, report.Born*int64(time.Millisecond), report.Number
		m.ServerLeaving = report.Leaving
		m.Status = membership.StatusAlive
		if report.Leaving || r.Draining() {
			m.Status = membership.StatusDraining
		}
		return m
	})
	r.logger.Info("server_state", "server", report.ID, "born", report.Born, "number", report.Number, "slots", report.Slots, "leaving", report.Leaving, "departure", report.Departure)
	if !report.Leaving {
		if c.Started {
			n := r.Node
			go n.announceStart(self)
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceLeaveLimit)
	defer cancel()
	if err := r.agent.Directory.Announce(ctx, self); err != nil {
		r.logger.Warn("announce_failed", "server", report.ID, "error", err)
	}
}

// lastReport returns what an entry tells of the backend server.
func lastReport(m membership.Member) serverstate.Report {
	return serverstate.Report{
		ID: m.ServerID, Born: m.ServerStartNs / int64(time.Millisecond), Number: m.ServerReport, Leaving: m.ServerLeaving,
	}
}

// announceStartLimit bounds the announcement of a started backend server.
const announceStartLimit = 2 * time.Second

// announceStart puts the entry with the backend server's service into the
// directory, so that nodes that start together know whom to call.
func (n *Node) announceStart(self membership.Member) {
	time.Sleep(rand.N(n.settings.Platform.StartSpread.D()))
	ctx, cancel := context.WithTimeout(context.Background(), announceStartLimit)
	defer cancel()
	if err := n.agent.Directory.Announce(ctx, self); err != nil {
		n.logger.Warn("announce_failed", "error", err)
	}
}

// heardSelf takes over what others know of an earlier start of the node.
func (n *Node) heardSelf(m membership.Member) {
	if m.ServerStartNs == 0 {
		return
	}
	n.tracker.Remember(lastReport(m))
}

// servePlatform adds the servers for the platform's calls to the group.
func (n *Node) servePlatform(g *run.Group) {
	if n.platform.Handler == nil {
		return
	}
	h := n.platform.Handler(reports{n})
	for _, ln := range n.listeners.platform {
		n.serve(g, "platform", ln, h)
	}
}
