package proxy

import (
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/once"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// FrontConfig holds what a Front decides with.
type FrontConfig struct {
	Holder     *snapshot.Holder
	Link       *Link
	Balancer   *balance.Balancer
	Stats      *balance.Stats
	Budgets    *retry.Budgets
	Latencies  *retry.Latencies
	Sizes      *balance.Sizes // nil for none
	Quarantine *quarantine.List
	Downstream *Downstream  // told of failures; shared with the Guard; nil for none
	Dialect    Dialect      // headers of the callers
	Service    string       // of the own instance, on which the calls begin
	Logger     *slog.Logger // one line for each decision against a call; nil for none
	// News takes quarantine entries that other nodes should hear of; nil drops
	// them.
	News func([]quarantine.Entry)
	// Retention returns how long the log keeps claims; nil stands for a
	// default.
	Retention func() time.Duration
}

// Front takes calls from callers and sends them to the node beside a backend
// server of their service.
type Front struct {
	cfg    FrontConfig
	flight *flight
}

// NewFront returns a Front.
func NewFront(cfg FrontConfig) *Front {
	if cfg.News == nil {
		cfg.News = func([]quarantine.Entry) {}
	}
	if cfg.Retention == nil {
		cfg.Retention = func() time.Duration { return once.DefaultRetention }
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	return &Front{cfg: cfg, flight: newFlight()}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.flight.enter()
	defer f.flight.leave()
	rc := beginCall(w)
	defer endCall(rc, r)
	if refusal := refusalOf(r); refusal != nil {
		f.refuse(w, r, refusal, "")
		return
	}
	route, refusal := f.route(r)
	if refusal != nil {
		f.refuse(w, r, refusal, "")
		return
	}
	c, refusal := f.newCall(w, r, route)
	if refusal != nil {
		f.refuse(w, r, refusal, route.ID)
		return
	}
	defer c.close()
	c.run(rc)
}

func (f *Front) route(r *http.Request) (*snapshot.Route, *Failure) {
	m := f.cfg.Holder.Lookup(hostOf(r), r.Method, r.URL.Path)
	switch {
	case m.Generation == 0:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNotReady, "the node has no configuration yet").later(notReadyRetryAfter)
	case m.Route == nil:
		return nil, notRun(http.StatusNotFound, ReasonNoRoute, "no route matches")
	case m.HeldBack:
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoBackend, "the service has no backend server")
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
func (f *Front) newCall(w http.ResponseWriter, r *http.Request, route *snapshot.Route) (*call, *Failure) {
	hops, _ := strconv.Atoi(r.Header.Get(HeaderHops))
	if hops >= maxHops {
		return nil, notRun(http.StatusLoopDetected, ReasonTooManyHop, "the chain of calls is too deep")
	}
	service := route.Choose(rand.Uint64())
	if len(service.Endpoints) == 0 {
		return nil, notRun(http.StatusServiceUnavailable, ReasonNoBackend, "the service has no backend server").later(notReadyRetryAfter)
	}
	now := time.Now()
	c := &call{
		front: f, w: w, r: r, ctx: r.Context(), route: route, service: service, policy: &service.Policy,
		started: now, deadline: now.Add(f.timeoutOf(r, route)), idempotent: route.IsIdempotent(r.Method),
		body: newKeptBody(r),
	}
	if refusal := c.checkKey(now); refusal != nil {
		return nil, refusal
	}
	c.header = c.baseHeader(hops + 1)
	return c, nil
}

// timeoutOf returns the time limit of a call: the caller's, if it is shorter
// than the route's.
func (f *Front) timeoutOf(r *http.Request, route *snapshot.Route) time.Duration {
	limit := time.Duration(route.Timeout)
	if limit == 0 {
		limit = time.Duration(route.Service.Policy.Timeout)
	}
	if left, ok := deadlineOf(r.Header, f.cfg.Dialect.deadlineName()); ok {
		limit = min(limit, left)
	}
	return limit
}
