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

// Platform connects a node to a platform other than the product's own log. The
// zero value uses the product's own log and headers.
type Platform struct {
	Source    distribution.Source    // of full configurations
	Directory distribution.Directory // holds the member entries that nodes announce
	Dialect   proxy.Dialect          // headers of callers and backend servers
	// Handler serves the requests of the platform and the backend server to
	// the node, at the addresses in the settings.
	Handler func(ReportReceiver) http.Handler
}

// ReportReceiver handles the requests of the platform and the backend server.
type ReportReceiver interface {
	// Ready reports whether the node accepts calls.
	Ready() bool
	// Report handles a status report of the backend server. It returns an error
	// for a report that is rejected; otherwise the node has applied it, or it
	// changes nothing.
	Report(ctx context.Context, r serverstate.Report) error
	// RefuseReport logs a report that could not be decoded.
	RefuseReport(id string, err error)
}

// departureAnnounceTimeout bounds how long the answer to a server's departure waits
// for the announcement in the directory, from which a restarted node learns of
// the departure.
const departureAnnounceTimeout = 300 * time.Millisecond

// reportReceiver implements ReportReceiver.
type reportReceiver struct {
	*Node
}

// Ready implements ReportReceiver.
func (r reportReceiver) Ready() bool { return r.Status().Ready }

// RefuseReport implements ReportReceiver.
func (r reportReceiver) RefuseReport(id string, err error) {
	r.logger.Warn("server_report_refused", "server", id, "error", err)
}

// Report implements ReportReceiver.
func (r reportReceiver) Report(ctx context.Context, report serverstate.Report) error {
	var change serverstate.Change
	err := report.Validate(time.Now())
	if err == nil {
		change, err = r.tracker.Accept(report)
	}
	if err != nil {
		r.logger.Warn("server_report_refused", "server", report.ID, "born", report.StartMs, "number", report.Sequence, "error", err)
		return err
	}
	if !change.Changed {
		return nil
	}
	r.applyReport(ctx, change)
	return nil
}

// applyReport applies a change of the backend server's state. It updates the
// inbound proxy first, which by itself stops calls to a server that shuts down.
func (r reportReceiver) applyReport(ctx context.Context, c serverstate.Change) {
	report := c.Report
	state := inbound.ServerState{Instance: report.ID}
	if report.Leaving {
		state.ShutdownAnnounced = time.Now()
	}
	if c.Started {
		r.callPath.admission.ForgetLimit()
	}
	r.inbound.SetServerState(state)
	r.callPath.admission.SetSlots(report.Slots)
	self := r.agent.UpdateSelf(func(m membership.Member) membership.Member {
		m.Service, m.Slots = r.settings.Node.Service, report.Slots
		m.ServerID, m.ServerStartNs, m.ServerReport = report.ID, report.StartMs*int64(time.Millisecond), report.Sequence
		m.ServerLeaving = report.Leaving
		m.Status = membership.StatusAlive
		if report.Leaving || r.Draining() {
			m.Status = membership.StatusDraining
		}
		return m
	})
	r.logger.Info("server_state", "server", report.ID, "born", report.StartMs, "number", report.Sequence, "slots", report.Slots, "leaving", report.Leaving, "departure", report.Departure)
	if !report.Leaving {
		if c.Started {
			n := r.Node
			go n.announceStart()
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), departureAnnounceTimeout)
	defer cancel()
	if err := r.agent.Directory.Announce(ctx, self); err != nil {
		r.logger.Warn("announce_failed", "server", report.ID, "error", err)
	}
}

// lastReport returns the last report of the backend server in a member entry.
func lastReport(m membership.Member) serverstate.Report {
	return serverstate.Report{
		ID: m.ServerID, StartMs: m.ServerStartNs / int64(time.Millisecond), Sequence: m.ServerReport, Leaving: m.ServerLeaving,
	}
}

// startAnnounceTimeout bounds the announcement of a started backend server.
const startAnnounceTimeout = 2 * time.Second

// announceStart writes the node's entry with the backend server's service to the
// directory, so that nodes that start at the same time can call it.
func (n *Node) announceStart() {
	time.Sleep(rand.N(n.settings.Platform.StartSpread.D()))
	ctx, cancel := context.WithTimeout(context.Background(), startAnnounceTimeout)
	defer cancel()
	if err := n.agent.AnnounceOnce(ctx); err != nil {
		n.logger.Warn("announce_failed", "error", err)
	}
}

// restoreServerState restores the backend server's last report from the entry that
// other nodes hold of this node from before its restart.
func (n *Node) restoreServerState(m membership.Member) {
	if m.ServerStartNs == 0 {
		return
	}
	n.tracker.Restore(lastReport(m))
}

// addPlatformServers adds the HTTP servers of the platform's handler to the run
// group.
func (n *Node) addPlatformServers(g *run.Group) {
	if n.platform.Handler == nil {
		return
	}
	h := n.platform.Handler(reportReceiver{n})
	for _, ln := range n.listeners.platform {
		n.addServer(g, "platform", ln, h)
	}
}
