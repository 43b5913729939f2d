package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// calls holds the parts that decide on calls.
type calls struct {
	stats      *balance.Stats
	budgets    *retry.Budgets
	latencies  *retry.Latencies
	sizes      *balance.CallSizes
	quarantine *quarantine.List
	suspects   *suspects
	gate       *admission.Controller
	once       *idempotency.Coordinator
	claims     *claimers
	backend    *proxy.Client
	nodes      *proxy.Client
}

// newCalls assembles the path of calls.
func (n *Node) newCalls(log platformlog.Log, self membership.Member) {
	c := &n.calls
	c.stats = balance.NewStats(balance.Config{ExactReports: true, SpillRatio: spillRatio})
	c.budgets = retry.NewBudgets()
	if n.platform.Source != nil {
		c.budgets = retry.NewFixedShareBudgets()
	}
	c.latencies = retry.NewLatencies()
	c.sizes = balance.NewCallSizes()
	c.quarantine = quarantine.NewList(quarantine.Config{})
	c.suspects = newSuspects()
	coldStart := admission.DefaultColdStart
	if n.reported() {
		coldStart = 0 // the balancers see that the server is slow; its slots are whole
	}
	c.gate = admission.NewController(admission.Config{Slots: n.settings.BackendServer.Slots, Queue: defaultQueue, ColdStart: coldStart})
	c.claims = newClaimers(self.ID, log, n.table, n.peers.pool, n.agent.Digest)
	c.once = idempotency.NewCoordinator(idempotency.CoordinatorConfig{
		Self: idempotency.Holder{Node: self.ID, Incarnation: self.Incarnation}, ClaimerFor: c.claims.reach,
	})
	c.backend = proxy.NewClient(proxy.ClientConfig{
		MaxConns: n.settings.BackendServer.Connections, IdleTimeout: backendIdleTimeout, FreshAfter: backendFreshAfter,
		UnackedLimit: unackedLimit,
	})
	c.nodes = proxy.NewClient(proxy.ClientConfig{UnackedLimit: unackedLimit, ConnectTimeout: nodeConnectTimeout})
	var downstream *proxy.Downstream
	if n.platform.Source == nil {
		// On a platform all nodes share one retry budget, which bounds what
		// layers above a failure send.
		downstream = &proxy.Downstream{}
	}
	hop := proxy.HopConfig{
		Service: n.settings.Node.Service, Quarantine: c.quarantine, PublishQuarantine: c.suspects.tell,
		Downstream: downstream, Dialect: n.platform.Dialect, Logger: n.logger,
	}
	n.front = outbound.New(outbound.Config{
		HopConfig: hop,
		Snapshots: n.holder, Client: c.nodes, Balancer: balance.NewBalancer(c.stats, n.locality(self), rand.Uint64), Stats: c.stats,
		Budgets: c.budgets, Latencies: c.latencies, Sizes: c.sizes,
	})
	n.guard = inbound.New(inbound.Config{
		HopConfig: hop,
		Self:      self.ID, Address: n.settings.BackendServer.Address, Backend: c.backend, Peers: c.nodes,
		Gate: c.gate, Coordinator: c.once, InFlight: quarantine.NewInFlight(), InboundAddressOf: n.guardOf, Reported: n.reported(),
	})
}

const (
	// backendIdleTimeout lies below the 10 s after which backend servers close
	// idle connections.
	backendIdleTimeout = 6 * time.Second
	// unackedLimit is about twice the longest round trip with one lost packet.
	unackedLimit = 500 * time.Millisecond
	// nodeConnectTimeout is several round trips between regions. A node that
	// lost its power does not answer at all.
	nodeConnectTimeout = 120 * time.Millisecond
	// backendFreshAfter keeps calls that must not be sent twice from
	// connections that the backend server may be about to close.
	backendFreshAfter = time.Second
)

// spillRatio is how many times longer the own failure domain may be expected
// to take before a call leaves it. Reports are exact, so a small difference is
// worth the way.
const spillRatio = 1.3

// defaultQueue is the bound on calls that wait for a slot, the default of the
// policy.
const defaultQueue = 64

func (n *Node) locality(m membership.Member) balance.Locality {
	return balance.Locality{
		Region: m.Region, FailureDomain: m.FailureDomain,
		DomainByteCost: n.settings.Network.DomainByteCost.D(), RegionByteCost: n.settings.Network.RegionByteCost.D(),
	}
}

// guardOf returns the address of the guard of a holder that is alive. A
// restarted node is another holder.
func (n *Node) guardOf(h idempotency.Holder) (string, bool) {
	m, ok := n.table.Get(h.Node)
	if !ok || m.Incarnation != h.Incarnation {
		return "", false
	}
	switch m.Status {
	case membership.StatusAlive, membership.StatusSuspect, membership.StatusDraining:
		return m.InboundAddress, true
	}
	return "", false
}

const (
	// gateEvery bounds how late a call that waits in vain is refused.
	gateEvery = 10 * time.Millisecond
	// pruneEvery and unusedAfter bound what is kept of servers, services and
	// routes that are gone.
	pruneEvery  = time.Second
	unusedAfter = 10 * time.Minute
)

// addCalls adds the loops of the path of calls to the group.
func (n *Node) addCalls(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	add := func(f func()) {
		g.Add(func() error { f(); return nil }, func(error) { cancel() })
	}
	add(func() { tickGate(ctx, n.calls.gate) })
	add(func() { every(ctx, pruneEvery, n.pruneCalls) })
	if n.platform.Source == nil { // claims need streams of the product's own log
		add(func() { _ = n.calls.once.Run(ctx) })
		add(func() { n.calls.claims.run(ctx, n.agent.ReadyDone()) })
	}
	add(func() { n.sendSuspects(ctx) })
	if !n.reported() {
		add(func() { n.probeBackend(ctx) })
	}
}

// tickGate ticks the gate while calls wait. An idle node then spends nothing
// on it; a ticker of 10 ms took 0.6 to 0.9% of a core.
func tickGate(ctx context.Context, g *admission.Controller) {
	for {
		select {
		case <-g.Waiting():
		case <-ctx.Done():
			return
		}
		t := time.NewTicker(gateEvery)
		for g.Report(time.Now()).Queued > 0 && ctx.Err() == nil {
			g.Tick(<-t.C)
		}
		t.Stop()
	}
}

func (n *Node) pruneCalls(now time.Time) {
	n.followPolicy()
	n.calls.once.Tick(now)
	n.calls.stats.Prune(now, unusedAfter)
	n.calls.budgets.Prune(now, unusedAfter)
	n.calls.latencies.Prune(now, unusedAfter)
	n.calls.sizes.Prune(now, unusedAfter)
}

// followPolicy gives the gate the limits of the profile that the own service
// has selected.
func (n *Node) followPolicy() {
	g := n.holder.Latest()
	if g == nil {
		return
	}
	if svc := g.Services[n.settings.Node.Service]; svc != nil {
		n.calls.gate.SetPolicy(admission.Policy{Queue: svc.Policy.Queue, LongShare: svc.Policy.LongShare})
	}
}

// flushLimit bounds the wait for the log when a node leaves.
const flushLimit = 5 * time.Second

// flushCalls waits until the outcomes of keyed calls are in the log, so that
// other nodes can tell them when this one is gone.
func (n *Node) flushCalls(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushLimit)
	defer cancel()
	if err := n.calls.once.Flush(ctx); err != nil {
		n.logger.Warn("outcomes_not_flushed", "error", err)
	}
}

// every runs f at an interval until the context ends.
func every(ctx context.Context, d time.Duration, f func(time.Time)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			f(now)
		case <-ctx.Done():
			return
		}
	}
}

// registerCallDumps adds the state of the path of calls to the dump.
func (n *Node) registerCallDumps() {
	n.dump.Register("servers", func() any { return n.calls.stats.Views() })
	n.dump.Register("load", func() any { return n.calls.gate.Report(time.Now()) })
	n.dump.Register("claims", func() any { return n.calls.claims.views() })
	n.dump.Register("quarantine", func() any { return n.calls.quarantine.Entries(time.Now()) })
}
