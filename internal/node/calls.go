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
	"github.com/goldcrestshed/goldcrestshed/internal/quotasync"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// callPath holds the components that route, admit and track calls (the call path).
type callPath struct {
	stats             *balance.Stats
	budgets           *retry.Budgets
	latencies         *retry.Latencies
	callSizes         *balance.CallSizes
	callTimes         *balance.CallTimes
	quarantine        *quarantine.List
	quarantineUpdates *quarantineUpdates
	admission         *admission.Controller
	receptions        *admission.Receptions // nil where the rate of the link is not set
	coordinator       *idempotency.Coordinator
	claims            *claimRouter
	backendClient     *proxy.Client
	nodeClient        *proxy.Client
	quotas            *quotasync.Agent
}

// newCalls creates the two proxies and the components that they use.
func (n *Node) newCalls(logClient platformlog.Log, self membership.Member) {
	c := &n.callPath
	c.stats = balance.NewStats(balance.Config{ExactReports: true, SpillRatio: spillRatio, Paced: n.settings.BackendServer.Paced})
	c.budgets = retry.NewBudgets()
	if n.platform.Source != nil {
		c.budgets = retry.NewFixedShareBudgets()
	}
	c.latencies = retry.NewLatencies()
	c.callSizes, c.callTimes = balance.NewCallSizes(), balance.NewCallTimes()
	c.quarantine = quarantine.NewList(quarantine.Config{})
	c.quarantineUpdates = newQuarantineUpdates()
	coldStart := admission.DefaultColdStart
	if n.hasServerReports() {
		coldStart = 0 // the balancers see from the reports that a cold server is slow; all its slots stay usable
	}
	link := admission.NewLink(n.settings.Network.LinkMbps * bytesPerMbit)
	unanswered := 0
	if n.platform.Dialect.Limit != "" {
		unanswered = unansweredCalls
	}
	c.admission = admission.NewController(admission.Config{
		Slots: n.settings.BackendServer.Slots, Queue: defaultQueueLimit, ColdStart: coldStart, Paced: n.settings.BackendServer.Paced, Link: link, UnansweredCalls: unanswered,
	})
	c.claims = newClaimRouter(self.ID, logClient, n.members, n.peers.pool, n.agent.Digest)
	c.coordinator = idempotency.NewCoordinator(idempotency.CoordinatorConfig{
		Self: idempotency.Holder{Node: self.ID, Incarnation: self.Incarnation}, ClaimerFor: c.claims.claimerFor,
	})
	c.backendClient = proxy.NewClient(proxy.ClientConfig{
		MaxConns: n.settings.BackendServer.Connections, IdleTimeout: backendIdleTimeout, FreshAfter: backendFreshAfter,
		UnackedLimit: unackedTimeout, Heads: n.guards.inbound.Heads,
	})
	c.nodeClient = proxy.NewClient(proxy.ClientConfig{
		UnackedLimit: unackedTimeout, ConnectTimeout: nodeConnectTimeout, MaxIdle: n.guards.plan.IdleConns, Heads: n.guards.caller.Heads,
		ContinueTimeout: nodeContinueTimeout,
	})
	var downstream *proxy.Downstream
	if n.platform.Source == nil {
		// On a platform all nodes use the same retry share, which bounds the
		// retries of the layers above a failure.
		downstream = &proxy.Downstream{}
	}
	c.quotas = n.newQuotas(self)
	hop := proxy.HopConfig{
		Service: n.settings.Node.Service, Quarantine: c.quarantine, PublishQuarantine: c.quarantineUpdates.publish,
		Downstream: downstream, Dialect: n.platform.Dialect, Logger: n.logger,
	}
	callerHop, inboundHop := hop, hop
	callerHop.Guard, inboundHop.Guard = n.guards.caller, n.guards.inbound
	c.receptions = n.newReceptions()
	n.outbound = outbound.New(outbound.Config{
		HopConfig: callerHop,
		Snapshots: n.snapshots, Client: c.nodeClient, Balancer: balance.NewBalancer(c.stats, n.locality(self), rand.Uint64), Stats: c.stats,
		Budgets: c.budgets, Latencies: c.latencies, CallSizes: c.callSizes, CallTimes: c.callTimes, Link: link,
		ConfigAge: n.agent.ConfigAge, Versions: n.rollouts.gate, OnIdentified: newIdentificationCounter(n.metrics.Scope),
		Quotas: c.quotas, OnQuota: newQuotaMetrics(n.metrics.Scope).record,
	})
	n.inbound = inbound.New(inbound.Config{
		HopConfig: inboundHop,
		Self:      self.ID, Address: n.settings.BackendServer.Address, Backend: c.backendClient, Peers: c.nodeClient,
		Admission: c.admission, Receptions: c.receptions, Coordinator: c.coordinator, InFlight: quarantine.NewInFlight(), InboundAddressOf: n.inboundAddressOf, Reported: n.hasServerReports(),
		OnServerLeaving: n.markServerLeaving, OnServerReplaced: n.tracker.ExpectReport, Version: n.rollouts.server,
	})
}

// newReceptions returns the receptions of large bodies on the instance's link.
func (n *Node) newReceptions() *admission.Receptions {
	kept := int64(defaultReceptionBytes)
	if limit := int64(n.settings.Platform.MemoryLimitMB) << 20; limit > 0 {
		kept = limit / receptionMemoryDivisor
	}
	return admission.NewReceptions(n.settings.Network.LinkMbps*bytesPerMbit, kept)
}

const (
	// defaultReceptionBytes bounds the received bodies in memory where the settings
	// set no memory limit.
	defaultReceptionBytes = 8 << 20
	// receptionMemoryDivisor leaves most of the memory to everything else.
	receptionMemoryDivisor = 16
)

// bytesPerMbit converts rates of links.
const bytesPerMbit = 1e6 / 8

const (
	// backendIdleTimeout is below the 10 s after which backend servers close
	// idle connections.
	backendIdleTimeout = 6 * time.Second
	// unackedTimeout is about twice the longest round trip with one lost packet.
	unackedTimeout = 500 * time.Millisecond
	// nodeConnectTimeout is many round trips between regions: a node without
	// processor time accepts connections late, and taking it for dead shifts its
	// load to the others. A host that lost power does not even refuse connections.
	nodeConnectTimeout = 300 * time.Millisecond
	// nodeContinueTimeout is longer than most calls: an inbound proxy answers a call
	// whose body is sent on demand when it has room for the body, or refuses it.
	nodeContinueTimeout = time.Minute
	// backendFreshAfter is the longest idle time of a connection that a call
	// which must not be sent twice reuses; the backend server may be about to
	// close an older one.
	backendFreshAfter = time.Second
)

// unansweredCalls is how many calls a node that has just started sends at once to a
// backend server that may name a limit in its first answer: the server may have
// named one before the node was restarted, and a low one allows no more.
const unansweredCalls = 3

// spillRatio is the ratio of the expected latency in this node's failure domain to
// that in another one, above which a call goes to the other domain. Reports are
// exact, so a small difference justifies the longer path.
const spillRatio = 1.3

// defaultQueueLimit bounds the calls that wait for a slot while the service's
// policy is not yet known; it equals the default of the policy.
const defaultQueueLimit = 64

func (n *Node) locality(m membership.Member) balance.Locality {
	return balance.Locality{
		Region: m.Region, FailureDomain: m.FailureDomain,
		DomainByteCost: n.settings.Network.DomainByteCost.D(), RegionByteCost: n.settings.Network.RegionByteCost.D(),
	}
}

// inboundAddressOf returns the address of the inbound proxy of a claim's holder,
// unless the holder is dead or has left. A restarted node is another holder.
func (n *Node) inboundAddressOf(h idempotency.Holder) (string, bool) {
	m, ok := n.members.Get(h.Node)
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
	// admissionTickInterval bounds the delay after which a waiting call is refused
	// once its time is up.
	admissionTickInterval = 10 * time.Millisecond
	// State of servers, services and routes that were unused for unusedRetention is
	// dropped every pruneInterval.
	pruneInterval   = time.Second
	unusedRetention = 10 * time.Minute
)

// addCallLoops adds the background loops of the call path to the run group.
func (n *Node) addCallLoops(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	add := func(f func()) {
		g.Add(func() error { f(); return nil }, func(error) { cancel() })
	}
	add(func() { tickAdmission(ctx, n.callPath.admission) })
	add(func() { runEvery(ctx, pruneInterval, n.maintainCalls) })
	if n.platform.Source == nil { // claims need the streams of the product's own log
		add(func() { _ = n.callPath.coordinator.Run(ctx) })
		add(func() { n.callPath.claims.run(ctx, n.agent.ReadyDone()) })
	}
	add(func() { n.sendQuarantineUpdates(ctx) })
	add(func() { n.callPath.quotas.Run(ctx) })
	add(func() { n.enableQuotas(ctx) })
	if !n.hasServerReports() {
		add(func() { n.probeBackend(ctx) })
	}
}

// tickAdmission ticks the admission controller while calls wait. A permanent
// 10 ms ticker took 0.6 to 0.9% of a core on an idle node.
func tickAdmission(ctx context.Context, c *admission.Controller) {
	for {
		select {
		case <-c.Waiting():
		case <-ctx.Done():
			return
		}
		t := time.NewTicker(admissionTickInterval)
		for c.Report(time.Now()).Queued > 0 && ctx.Err() == nil {
			c.Tick(<-t.C)
		}
		t.Stop()
	}
}

// maintainCalls updates the admission policy, drives the timeouts of the
// coordinator and drops unused state.
func (n *Node) maintainCalls(now time.Time) {
	n.updatePolicy()
	n.callPath.coordinator.Tick(now)
	n.callPath.stats.Prune(now, unusedRetention)
	n.callPath.budgets.Prune(now, unusedRetention)
	n.callPath.latencies.Prune(now, unusedRetention)
	n.callPath.callSizes.Prune(now, unusedRetention)
	n.callPath.callTimes.Prune(now, unusedRetention)
	n.inbound.Prune(now, unusedRetention)
}

// updatePolicy sets the limits that the policy of the node's service makes.
func (n *Node) updatePolicy() {
	snap := n.snapshots.Latest()
	if snap == nil {
		return
	}
	if svc := snap.Services[n.settings.Node.Service]; svc != nil {
		n.callPath.admission.SetPolicy(admission.Policy{Queue: svc.Policy.Queue, LongShare: svc.Policy.LongShare})
		n.inbound.SetRetryBudget(svc.Policy.RetryBudget)
	}
}

// flushTimeout bounds the wait for the log at the end of a drain.
const flushTimeout = 5 * time.Second

// flushOutcomes waits until the outcomes of keyed calls are in the log, so that
// other nodes can answer repeats after this one has stopped.
func (n *Node) flushOutcomes(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	if err := n.callPath.coordinator.Flush(ctx); err != nil {
		n.logger.Warn("outcomes_not_flushed", "error", err)
	}
}

// runEvery calls f at an interval until the context ends.
func runEvery(ctx context.Context, d time.Duration, f func(time.Time)) {
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

// registerCallDumpSections adds the state of the call path to the dump.
func (n *Node) registerCallDumpSections() {
	n.dump.Register("servers", func() any { return n.callPath.stats.Views() })
	n.dump.Register("load", func() any { return n.callPath.admission.Report(time.Now()) })
	n.dump.Register("receptions", func() any { return n.callPath.receptions.View() })
	n.dump.Register("claims", func() any { return n.callPath.claims.views() })
	n.dump.Register("quotas", n.callPath.quotas.Dump)
	n.dump.Register("memory", func() any {
		return map[string]proxy.GuardView{"caller": n.guards.caller.View(), "inbound": n.guards.inbound.View()}
	})
	n.dump.Register("quarantine", func() any { return n.callPath.quarantine.Entries(time.Now()) })
}
