// Package outbound is the proxy on the caller's node: it matches a call with
// its route, chooses backend servers, and decides on retries and hedges.
package outbound

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Config holds the dependencies of a Proxy.
type Config struct {
	proxy.HopConfig

	Snapshots *snapshot.Cache
	Client    *proxy.Client
	Balancer  *balance.Balancer
	Stats     *balance.Stats
	Budgets   *retry.Budgets
	Latencies *retry.Latencies
	CallSizes *balance.CallSizes                      // nil disables the estimate of a call's bytes
	CallTimes *balance.CallTimes                      // nil counts all calls as equally long
	Link      *admission.Link                         // of the instance, which answers to callers share; nil for none
	Quotas    Quotas                                  // nil disables quotas
	OnQuota   func(organisation string, allowed bool) // is told of each decision; nil for none

	// Versions chooses between the versions of a service; nil uses all alike.
	Versions *rollout.Gate

	// ConfigAge returns how long ago the node last knew that its configuration
	// was the newest one, for the log; nil if it is not known.
	ConfigAge func() (time.Duration, bool)
	// OnIdentified is called with the outcome of the identification of each call;
	// it must not block. May be nil.
	OnIdentified func(KeyOutcome)
}

// Quotas decides which calls are within the quota of their organisation.
type Quotas interface {
	// Take decides on one call; it may wait for a round trip between nodes.
	Take(ctx context.Context, organisation string, limit quota.Limit) quota.Decision
	// Preview returns what Take would decide on a call, which it does not count.
	Preview(organisation string, limit quota.Limit) quota.Preview
	// GiveBack returns the token of a call that no backend server ran.
	GiveBack(organisation string)
}

// Proxy takes calls from callers and sends them to the inbound proxy of a
// backend server of their service.
type Proxy struct {
	cfg    Config
	calls  *proxy.CallCount
	stopAt atomic.Pointer[time.Time] // see StopAt; nil before
}

// New returns a Proxy.
func New(cfg Config) *Proxy {
	cfg.HopConfig = cfg.WithDefaults()
	if cfg.OnIdentified == nil {
		cfg.OnIdentified = func(KeyOutcome) {}
	}
	return &Proxy{cfg: cfg, calls: proxy.NewCallCount()}
}

// StopAt refuses, from now on, calls that may last beyond a time at which the node
// stops and would cut them: one that must not be repeated if its deadline is later,
// another one if less than half of its time is left.
func (p *Proxy) StopAt(t time.Time) { p.stopAt.Store(&t) }

// Wait waits until no call is in progress or the context ends.
func (p *Proxy) Wait(ctx context.Context) error { return p.calls.Wait(ctx) }

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Enter()
	defer p.calls.Leave()
	rc := proxy.BeginCall(w)
	defer proxy.EndCall(rc, r)
	if refusal := proxy.HTTPRefusal(r, p.cfg.Snapshots.Limits()); refusal != nil {
		p.refuse(w, r, refusal, &destination{})
		return
	}
	d, refusal := p.resolve(r)
	if d.route != nil {
		proxy.SetRoute(w, d.route.ID)
	}
	p.cfg.OnIdentified(d.key)
	if refusal != nil {
		p.refuse(w, r, refusal, &d)
		return
	}
	// The organisation of the call is known here and nothing is spent on it yet:
	// this is the place for decisions that concern all its calls.
	c, refusal := p.newCall(w, r, &d)
	if refusal != nil {
		p.refuse(w, r, refusal, &d)
		return
	}
	defer c.close()
	if refusal := c.takeQuota(); refusal != nil {
		c.fail(refusal)
		return
	}
	defer c.giveBackQuota()
	c.run(rc)
}

// MayRunAhead reports whether a call may run before the calls ahead of it on its
// connection are answered: it may run more than once, since its caller sends it
// again when the connection closes before its turn.
func (p *Proxy) MayRunAhead(r *http.Request) bool {
	d, refusal := p.resolve(r)
	return refusal == nil && d.route.IsIdempotent(r.Method)
}

// notReadyRetryAfter is the retry-after while the node has no configuration or
// the service no backend server: roughly the time that a starting node needs to
// get its configuration.
const notReadyRetryAfter = 300 * time.Millisecond

// newCall returns the call of a request, or the reason to refuse it.
func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, d *destination) (*call, *proxy.Failure) {
	route := d.route
	hops, _ := strconv.Atoi(r.Header.Get(proxy.HeaderHops))
	if hops >= proxy.MaxHops {
		return nil, proxy.NotRun(http.StatusLoopDetected, proxy.ReasonTooManyHops, "the chain of calls has too many hops")
	}
	service := route.Choose(rand.Uint64())
	if len(service.Endpoints) == 0 {
		return nil, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNoBackend, "the service has no backend server").WithRetryAfter(notReadyRetryAfter)
	}
	now := time.Now()
	c := &call{
		proxy: p, w: w, r: r, ctx: r.Context(), destination: *d, service: service, policy: &service.Policy,
		started: now, deadline: now.Add(p.timeoutOf(r, route)), idempotent: route.IsIdempotent(r.Method),
		body: proxy.NewBody(r, proxy.BodyLimit(p.cfg.Snapshots.Limits())).ChargeTo(p.cfg.Guard.BufferBudget()),
	}
	if p.wouldBeCut(c) {
		return nil, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonDraining, "the node stops before the call would end").WithRetryAfter(notReadyRetryAfter)
	}
	if refusal := c.checkKey(now); refusal != nil {
		return nil, refusal
	}
	if p.cfg.CallTimes != nil {
		c.work = p.cfg.CallTimes.Work(route.ID)
	}
	if p.cfg.Versions != nil {
		c.versions = p.cfg.Versions.Choose(service, rand.Float64(), now)
	}
	c.header = c.baseHeader(hops + 1)
	return c, nil
}

// wouldBeCut reports whether the node may stop during a call.
func (p *Proxy) wouldBeCut(c *call) bool {
	stop := p.stopAt.Load()
	if stop == nil || !c.deadline.After(*stop) {
		return false
	}
	return !c.idempotent || stop.Sub(c.started) < c.deadline.Sub(c.started)/2
}

// configuredTimeout returns the time limit of the route or else of its service.
func configuredTimeout(route *snapshot.Route) time.Duration {
	if route.Timeout > 0 {
		return time.Duration(route.Timeout)
	}
	return time.Duration(route.Service.Policy.Timeout)
}

// timeoutOf returns the time limit of a call: that of the route or else of its
// service, or the caller's if that is shorter.
func (p *Proxy) timeoutOf(r *http.Request, route *snapshot.Route) time.Duration {
	limit := configuredTimeout(route)
	if left, ok := proxy.RemainingTimeOf(r.Header, p.cfg.Dialect.DeadlineName()); ok {
		limit = min(limit, left)
	}
	return limit
}
