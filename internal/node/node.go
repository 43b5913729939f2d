// Package node assembles a node from its components and runs it.
package node

import (
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/distribution"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/serverstate"
	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// Node holds the components of a node; Run starts them.
type Node struct {
	settings settings.Settings
	platform Platform
	// serverStateMu orders the changes of the backend server's state, so that one of
	// an earlier start is not applied after one of a later start.
	serverStateMu sync.Mutex
	tracker       *serverstate.Tracker // state of the backend server from its reports, if it sends them
	logger        *slog.Logger
	dump          *telemetry.Dumper
	metrics       *telemetry.Metrics
	snapshots     *snapshot.Cache
	members       *membership.Table
	agent         *distribution.Agent
	peers         peers
	outbound      *outbound.Proxy
	inbound       *inbound.Proxy
	callPath      callPath
	guards        guards
	rollouts      rollouts
	backendUp     atomic.Bool // as of the last probe; false if the backend server is not probed
	listeners     listeners
	httpServers   servers       // of the two proxies, which a drain shuts down; the others stay up
	draining      chan struct{} // closed by the first Drain
	drainOnce     sync.Once
	stopped       chan struct{} // closed when the run group starts to stop
	stopOnce      sync.Once
}

type listeners struct {
	calls, inbound, peer, admin net.Listener
	platform                    []net.Listener
}

// New binds the node's addresses and returns a node that is ready to run.
func New(s settings.Settings, logger *slog.Logger) (*Node, error) {
	return NewWithPlatform(Platform{}, s, logger)
}

// NewWithPlatform is like New for a node that takes its configuration from a
// platform instead of the product's own log.
func NewWithPlatform(p Platform, s settings.Settings, logger *slog.Logger) (*Node, error) {
	l, err := listen(s.Listen, s.Platform)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, platform: p, tracker: serverstate.NewTracker(s.Node.Service, s.BackendServer.Address), logger: logger, listeners: l,
		dump: telemetry.NewDumper(), metrics: telemetry.NewMetrics(),
		snapshots: snapshot.NewCache(), members: membership.NewTable(),
		draining: make(chan struct{}), stopped: make(chan struct{}),
	}
	logClient := platformlog.NewClient(s.Log.Address, nil)
	self := n.newSelfEntry()
	if n.hasServerReports() {
		n.tracker.Hold()
	}
	n.newAgent(logClient, self)
	n.newGuards()
	n.newRollouts(self)
	n.newCalls(logClient, self)
	n.registerDumpSections()
	n.registerCallDumpSections()
	return n, nil
}

// listen opens the listeners of the node. Those of the platform serve status
// reports of the backend server and readiness checks.
func listen(s settings.Listen, p settings.Platform) (listeners, error) {
	var l listeners
	for _, address := range []string{p.Reports, p.Readiness} {
		if address == "" {
			continue
		}
		ln, err := net.Listen("tcp", address)
		if err != nil {
			l.close()
			return listeners{}, errors.Wrap(err, "listen")
		}
		l.platform = append(l.platform, ln)
	}
	for _, b := range []struct {
		address string
		out     *net.Listener
	}{{s.Calls, &l.calls}, {s.Inbound, &l.inbound}, {s.Peer, &l.peer}, {s.Admin, &l.admin}} {
		ln, err := net.Listen("tcp", b.address)
		if err != nil {
			l.close()
			return listeners{}, errors.Wrap(err, "listen")
		}
		*b.out = ln
	}
	return l, nil
}

func (l listeners) close() {
	for _, ln := range append([]net.Listener{l.calls, l.inbound, l.peer, l.admin}, l.platform...) {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// newSelfEntry returns the member entry of this node with a new incarnation.
func (n *Node) newSelfEntry() membership.Member {
	service := n.settings.Node.Service
	if n.hasServerReports() {
		service = "" // announced with the first report of the backend server
	}
	return membership.Member{
		ID: n.settings.Node.ID, Incarnation: time.Now().UnixNano(),
		Service: service, Region: n.settings.Node.Region, FailureDomain: n.settings.Node.FailureDomain,
		PeerAddress: n.listeners.peer.Addr().String(), InboundAddress: n.listeners.inbound.Addr().String(),
		Slots: n.settings.BackendServer.Slots, Status: membership.StatusAlive,
	}
}

// hasServerReports reports whether the backend server sends status reports to the
// node, which then does not probe it.
func (n *Node) hasServerReports() bool { return n.platform.Handler != nil }

// CallsAddress returns the address that callers use.
func (n *Node) CallsAddress() string { return n.listeners.calls.Addr().String() }

// AdminAddress returns the address of the admin API.
func (n *Node) AdminAddress() string { return n.listeners.admin.Addr().String() }

// WriteDump writes the state dump as JSON.
func (n *Node) WriteDump(w io.Writer) error { return n.dump.Write(w) }

// Run runs the node until the context ends, a drain has ended, or a component
// fails.
func (n *Node) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer n.metrics.Close()
	var g run.Group
	g.Add(func() error { return n.agent.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return n.runMetrics(ctx) }, func(error) { cancel() })
	g.Add(func() error { n.reportGuards(ctx); return nil }, func(error) { cancel() })
	g.Add(func() error { return n.releaseReports(ctx) }, func(error) { cancel() })
	g.Add(func() error { return n.runRollouts(ctx) }, func(error) { cancel() })
	n.addCallLoops(ctx, &g)
	n.addPeerServer(ctx, &g)
	g.Add(func() error { return n.runDrain(ctx) }, func(error) { cancel() })
	n.httpServers.add(n.addServer(&g, callsServer, n.guards.caller, n.listeners.calls, proxy.Observe(n.outbound, newCallMetrics(n.metrics.Scope, "front").record)))
	n.httpServers.add(n.addServer(&g, "guard", n.guards.inbound, n.listeners.inbound, proxy.Observe(n.inbound, newCallMetrics(n.metrics.Scope, "guard").record)))
	n.addPlatformServers(&g)
	n.addServer(&g, "admin", nil, n.listeners.admin, n.adminHandler())
	// The servers do not watch ctx; this actor stops the group when it ends.
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	n.logger.Info("node_started", "id", n.settings.Node.ID, "calls", n.CallsAddress(), "admin", n.AdminAddress())
	return g.Run()
}
