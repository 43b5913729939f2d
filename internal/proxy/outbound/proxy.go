// Package front is the hop beside the caller: it matches a call with its
// route, chooses backend servers, and decides on retries and hedges.
package outbound

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Config holds what a Front decides with.
type Config struct {
	proxy.HopConfig

	Holder    *snapshot.Cache
	Link      *proxy.Link
	Balancer  *balance.Balancer
	Stats     *balance.Stats
	Budgets   *retry.Budgets
	Latencies *retry.Latencies
	Sizes     *balance.CallSizes // nil for none
}

// Proxy takes calls from callers and sends them to the node beside a backend
// server of their service.
type Proxy struct {
	cfg   Config
	calls *proxy.CallCount
}

// New returns a Front.
func New(cfg Config) *Proxy {
	cfg.HopConfig = cfg.WithDefaults()
	return &Proxy{cfg: cfg, calls: proxy.NewCallCount()}
}

// Wait returns when no call is under way.
func (f *Proxy) Wait(ctx context.Context) error { return f.calls.Wait(ctx) }

// ServeHTTP implements http.Handler.
func (f *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.calls.Enter()
	defer f.calls.Leave()
	rc := proxy.BeginCall(w)
	defer proxy.EndCall(rc, r)
	if refusal := proxy.HTTPRefusal(r, f.cfg.Holder.Limits()); refusal != nil {
		f.refuse(w, r, refusal, "")
		return
	}
	route, refusal := f.route(r)
	if refusal != nil {
		f.refuse(w, r, refusal, "")
		return
	}
	proxy.SetRoute(w, route.ID)
	c, refusal := f.newCall(w, r, route)
	if refusal != nil {
		f.refuse(w, r, refusal, route.ID)
		return
	}
	defer c.close()
	c.run(rc)
}

func (f *Proxy) route(r *http.Request) (*snapshot.Route, *proxy.Failure) {
	m := f.cfg.Holder.Lookup(hostOf(r), r.Method, r.URL.Path)
	switch {
	case m.Generation == 0:
		return nil, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReady, "the node has no configuration yet").Later(notReadyRetryAfter)
	case m.Route == nil:
		return nil, proxy.NotRun(http.StatusNotFound, proxy.ReasonNoRoute, "no route matches")
	case m.HeldBack:
		return nil, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNoBackend, "the service has no backend server")
	}
	return m.Route, nil
}

// notReadyRetryAfter is about the time in which a starting node gets its
// configuration.
const notReadyRetryAfter = 300 * time.Millisecond

func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// newCall reads what the caller asks for.
func (f *Proxy) newCall(w http.ResponseWriter, r *http.Request, route *snapshot.Route) (*call, *proxy.Failure) {
	hops, _ := strconv.Atoi(r.Header.Get(proxy.HeaderHops))
	if hops >= proxy.MaxHops {
		return nil, proxy.NotRun(http.StatusLoopDetected, proxy.ReasonTooManyHop, "the chain of calls is too deep")
	}
	service := route.Choose(rand.Uint64())
	if len(service.Endpoints) == 0 {
		return nil, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNoBackend, "the service has no backend server").Later(notReadyRetryAfter)
	}
	now := time.Now()
	c := &call{
		front: f, w: w, r: r, ctx: r.Context(), route: route, service: service, policy: &service.Policy,
		started: now, deadline: now.Add(f.timeoutOf(r, route)), idempotent: route.IsIdempotent(r.Method),
		body: proxy.NewBody(r, proxy.BodyLimit(f.cfg.Holder.Limits())),
	}
	if refusal := c.checkKey(now); refusal != nil {
		return nil, refusal
	}
	c.header = c.baseHeader(hops + 1)
	return c, nil
}

// timeoutOf returns the time limit of a call: the caller's, if it is shorter
// than the route's.
func (f *Proxy) timeoutOf(r *http.Request, route *snapshot.Route) time.Duration {
	limit := time.Duration(route.Timeout)
	if limit == 0 {
		limit = time.Duration(route.Service.Policy.Timeout)
	}
	if left, ok := proxy.DeadlineOf(r.Header, f.cfg.Dialect.DeadlineName()); ok {
		limit = min(limit, left)
	}
	return limit
}
