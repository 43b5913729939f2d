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
	Eras      *distribution.Eras     // of the store behind them; nil if it names none
	Dialect   proxy.Dialect          // headers of callers and backend servers
	// Rollouts holds the orders of the operator and their records; nil for none.
	Rollouts RolloutStore
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
		change, err = r.acceptReport(report)
	}
	if err != nil {
		r.logger.Warn("server_report_refused", "server", report.ID, "born", report.StartMs, "number", report.Sequence, "error", err)
		return err
	}
	r.recordVersion(report)
	if change.Changed {
		r.announceReport(ctx, change)
	}
	return nil
}

// acceptReport accepts a report and applies it.
func (n *Node) acceptReport(report serverstate.Report) (serverstate.Change, error) {
	n.serverStateMu.Lock()
	defer n.serverStateMu.Unlock()
	change, err := n.tracker.Accept(report)
	if err == nil && change.Changed {
		n.applyReportLocked(change)
	}
	return change, err
}

// markServerLeaving handles an answer in which a start of the backend server said
// that it shuts down. The inbound proxy passes no new call on to it already.
func (n *Node) markServerLeaving(instance string) {
	n.serverStateMu.Lock()
	defer n.serverStateMu.Unlock()
	change, isNew := n.tracker.MarkLeaving(instance)
	if !isNew {
		return
	}
	n.applyReportLocked(change)
	go n.announceReport(context.Background(), change)
}

// applyReportLocked applies a change of the backend server's state. It updates the
// inbound proxy first, which by itself stops calls to a server that shuts down.
func (n *Node) applyReportLocked(c serverstate.Change) {
	report := c.Report
	state := inbound.ServerState{Instance: report.ID}
	if report.Leaving {
		state.ShutdownAnnounced = time.Now()
	}
	if c.Started {
		n.callPath.admission.ForgetLimit()
	}
	n.inbound.SetServerState(state)
	n.callPath.admission.SetSlots(report.Slots)
	n.agent.UpdateSelf(func(m membership.Member) membership.Member {
		m.Service, m.Slots = n.settings.Node.Service, report.Slots
		m.ServerID, m.ServerStartNs, m.ServerReport = report.ID, report.StartMs*int64(time.Millisecond), report.Sequence
		m.ServerLeaving, m.Version = report.Leaving, report.Version
		m.Status = membership.StatusAlive
		if report.Leaving || n.Draining() {
			m.Status = membership.StatusDraining
		}
		return m
	})
	n.logger.Info("server_state", "server", report.ID, "born", report.StartMs, "number", report.Sequence, "slots", report.Slots, "leaving", report.Leaving, "departure", report.Departure)
}

// announceReport announces a change of the backend server's state in the directory,
// from which other nodes learn of a start, and this one after a restart of a
// shutdown. It waits only for the second.
func (n *Node) announceReport(ctx context.Context, c serverstate.Change) {
	if !c.Report.Leaving {
		if c.Started {
			go n.announceStart()
		}
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), departureAnnounceTimeout)
	defer cancel()
	if err := n.agent.Directory.Announce(ctx, n.agent.SelfEntry()); err != nil {
		n.logger.Warn("announce_failed", "server", c.Report.ID, "error", err)
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

// restoreServerState restores the backend server's last report from an entry that
// the directory or another node holds of this node from before its restart.
func (n *Node) restoreServerState(m membership.Member) {
	if m.ServerStartNs == 0 {
		return
	}
	n.serverStateMu.Lock()
	defer n.serverStateMu.Unlock()
	if change := n.tracker.Restore(lastReport(m)); change.Changed {
		n.applyReportLocked(change)
	}
}

// releaseReports gives the reports of the backend server their effect once the node
// knows what was known of the server before the node's start.
func (n *Node) releaseReports(ctx context.Context) error {
	select {
	case <-n.agent.Recalled():
		if change := n.releaseHeldReports(); change.Changed {
			n.announceReport(ctx, change)
		}
	case <-ctx.Done():
	}
	<-ctx.Done()
	return nil
}

func (n *Node) releaseHeldReports() serverstate.Change {
	n.serverStateMu.Lock()
	defer n.serverStateMu.Unlock()
	change := n.tracker.Release()
	if change.Changed {
		n.applyReportLocked(change)
	}
	return change
}

// addPlatformServers adds the HTTP servers of the platform's handler to the run
// group.
func (n *Node) addPlatformServers(g *run.Group) {
	if n.platform.Handler == nil {
		return
	}
	h := n.platform.Handler(reportReceiver{n})
	for _, ln := range n.listeners.platform {
		n.addServer(g, "platform", nil, ln, h)
	}
}
