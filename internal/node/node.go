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

// Node is one running node.
type Node struct {
	settings  settings.Settings
	platform  Platform
	tracker   *serverstate.Tracker // of the backend server's status reports, if it sends them
	logger    *slog.Logger
	dump      *telemetry.Dumper
	metrics   *telemetry.Metrics
	snapshots *snapshot.Cache
	table     *membership.Table
	agent     *distribution.Agent
	peers     peers
	outbound  *outbound.Proxy
	inbound   *inbound.Proxy
	calls     calls
	backendUp atomic.Bool // as of the last probe
	listeners listeners
	servers   servers       // of the two proxies; the admin server stays up during a drain
	draining  chan struct{} // closed by the first Drain
	drainOnce sync.Once
	stopped   chan struct{} // closed when the node ends
	stopOnce  sync.Once
}

type listeners struct {
	calls, inbound, peer, admin net.Listener
	platform                    []net.Listener
}

// New binds the node's addresses and returns a node that is ready to run.
func New(s settings.Settings, logger *slog.Logger) (*Node, error) {
	return NewWithPlatform(Platform{}, s, logger)
}

// NewWithPlatform is like New for a node that runs on a platform.
func NewWithPlatform(p Platform, s settings.Settings, logger *slog.Logger) (*Node, error) {
	l, err := listen(s.Listen, s.Platform)
	if err != nil {
		return nil, err
	}
	n := &Node{
		settings: s, platform: p, tracker: serverstate.NewTracker(s.Node.Service, s.BackendServer.Address), logger: logger, listeners: l,
		dump: telemetry.NewDumper(), metrics: telemetry.NewMetrics(),
		snapshots: snapshot.NewCache(), table: membership.NewTable(),
		draining: make(chan struct{}), stopped: make(chan struct{}),
	}
	log := platformlog.NewClient(s.Log.Address, nil)
	self := n.self()
	n.newAgent(log, self)
	n.newCalls(log, self)
	n.registerDumps()
	n.registerCallDumps()
	return n, nil
}

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

func (n *Node) self() membership.Member {
	service := n.settings.Node.Service
	if n.hasServerReports() {
		service = "" // known with the first report of the backend server
	}
	return membership.Member{
		ID: n.settings.Node.ID, Incarnation: time.Now().UnixNano(),
		Service: service, Region: n.settings.Node.Region, FailureDomain: n.settings.Node.FailureDomain,
		PeerAddress: n.listeners.peer.Addr().String(), InboundAddress: n.listeners.inbound.Addr().String(),
		Slots: n.settings.BackendServer.Slots, Status: membership.StatusAlive,
	}
}

// hasServerReports reports whether the backend server sends its status to the node.
func (n *Node) hasServerReports() bool { return n.platform.Handler != nil }

// CallsAddress returns the address that callers use.
func (n *Node) CallsAddress() string { return n.listeners.calls.Addr().String() }

// AdminAddress returns the address of health, metrics, dump and drain.
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
	n.addCallLoops(ctx, &g)
	n.servePeers(ctx, &g)
	g.Add(func() error { return n.runDrain(ctx) }, func(error) { cancel() })
	n.servers.add(n.serve(&g, callsServer, n.listeners.calls, n.closeWhileDraining(proxy.Observe(n.outbound, newCallMetrics(n.metrics.Scope, "front").record))))
	n.servers.add(n.serve(&g, "guard", n.listeners.inbound, proxy.Observe(n.inbound, newCallMetrics(n.metrics.Scope, "guard").record)))
	n.servePlatform(&g)
	n.serve(&g, "admin", n.listeners.admin, n.adminHandler())
	g.Add(func() error { <-ctx.Done(); return nil }, func(error) { cancel() })
	n.logger.Info("node_started", "id", n.settings.Node.ID, "calls", n.CallsAddress(), "admin", n.AdminAddress())
	return g.Run()
}
