// Package guard is the hop beside the backend server: it admits calls to its
// slots, passes them on, and is the one place that says that a call was not
// run.
package inbound

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// Config holds what a Guard decides with.
type Config struct {
	proxy.HopConfig // calls to another service are refused; an empty Service refuses none

	Self     string      // node id, which also names the backend server
	Address  string      // of the backend server
	Link     *proxy.Link // to the backend server, with its bound on connections
	Peers    *proxy.Link // to other guards
	Gate     *admission.Controller
	Once     *idempotency.Coordinator // nil refuses calls that must run at most once
	InFlight *quarantine.InFlight
	Reported bool // the backend server reports its state, see SetServer
	// GuardOf returns the address of the guard of a holder that is alive.
	GuardOf func(idempotency.Holder) (string, bool)
}

// Proxy stands before the backend server of its node and is the one place
// that can say that a call was not run.
type Proxy struct {
	cfg      Config
	calls    *proxy.CallCount
	draining atomic.Bool
	down     atomic.Bool                 // the backend server refused the last connection
	budget   *retry.Budgets              // of calls sent again on a new connection
	server   atomic.Pointer[ServerState] // nil until the backend server has reported
}

// New returns a Guard.
func New(cfg Config) *Proxy {
	cfg.HopConfig = cfg.WithDefaults()
	if cfg.GuardOf == nil {
		cfg.GuardOf = func(idempotency.Holder) (string, bool) { return "", false }
	}
	return &Proxy{cfg: cfg, calls: proxy.NewCallCount(), budget: retry.NewBudgets()}
}

// Drain refuses new calls from now on.
func (g *Proxy) Drain() {
	g.draining.Store(true)
	g.cfg.Gate.Drain()
}

// Wait returns when no call is under way.
func (g *Proxy) Wait(ctx context.Context) error { return g.calls.Wait(ctx) }

// ServeHTTP implements http.Handler.
func (g *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.calls.Enter()
	defer g.calls.Leave()
	proxy.SetRoute(w, r.Header.Get(proxy.HeaderRoute))
	rc := proxy.BeginCall(w)
	defer proxy.EndCall(rc, r)
	v := g.newVisit(w, r, rc)
	if f := g.misdirected(r); f != nil {
		v.fail(f)
		return
	}
	if v.rule != "" {
		v.serveOnce()
		return
	}
	v.servePlain()
}

// defaultWait is the time limit of a call whose deadline is not given.
const defaultWait = time.Minute

// visit is one call at a Guard.
type visit struct {
	guard    *Proxy
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	ctx      context.Context
	begun    time.Time
	deadline time.Time
	rule     string // form of keys when the call must run at most once
	repeat   bool   // the call may run more than once
	body     *proxy.Body
	early    *proxy.EarlyHints
	fp       quarantine.Fingerprint
	news     []quarantine.Entry // to be told in the answer

	key       idempotency.Key // of a call that must run at most once
	handovers int             // claims after a holder gave its own up
}

func (g *Proxy) newVisit(w http.ResponseWriter, r *http.Request, rc *http.ResponseController) *visit {
	limit, ok := proxy.DeadlineOf(r.Header, proxy.HeaderDeadlineMs)
	if !ok {
		limit = defaultWait
	}
	now := time.Now()
	v := &visit{
		guard: g, w: w, r: r, rc: rc, ctx: r.Context(), begun: now, deadline: now.Add(limit),
		rule: r.Header.Get(proxy.HeaderOnce), repeat: r.Header.Get(proxy.HeaderRepeat) != "",
		body: proxy.NewBody(r, proxy.MaxBodyBytes), early: &proxy.EarlyHints{Writer: w},
	}
	if text := r.Header.Get(proxy.HeaderQuarantine); text != "" {
		if news := g.cfg.Quarantine.Merge(proxy.ParseEntries(text), now); len(news) > 0 {
			g.cfg.News(news)
		}
	}
	return v
}

// fail answers with an outcome of the guard's own.
func (v *visit) fail(f *proxy.Failure) {
	v.early.Stop()
	v.logRefusal(f)
	v.tag(v.w.Header())
	f.Write(v.w, &proxy.OwnDialect)
}

// tag adds what the front wants to know beside an answer.
func (v *visit) tag(h http.Header) {
	h[proxy.HeaderCall] = v.r.Header[proxy.HeaderCall]
	h[proxy.HeaderAnswerHops] = []string{"1"}
	h[proxy.HeaderLoad] = []string{proxy.FormatLoad(v.guard.cfg.Gate.Report(time.Now()))}
	if len(v.news) > 0 {
		h[proxy.HeaderQuarantine] = []string{proxy.FormatEntries(v.news)}
	}
}

// streamPrefixWait is how long the beginning of a streaming body is waited
// for, so that it counts in the fingerprint. Streams whose caller waits for
// the answer first go on without it.
const streamPrefixWait = 20 * time.Millisecond

// takeBody gets the beginning of the body, which the fingerprint needs.
func (v *visit) takeBody() *proxy.Failure {
	var err error
	if v.w, err = v.body.Prepare(v.w, v.rc, v.deadline); err != nil {
		return proxy.FailureOf(&proxy.SendError{Cause: err}, v.body)
	}
	v.early.Writer = v.w
	if v.body != nil && v.r.Header.Get("Expect") == "" {
		v.body.Await(streamPrefixWait)
		if err := v.body.Err(); err != nil {
			return proxy.FailureOf(&proxy.SendError{Cause: err}, v.body)
		}
	}
	v.fp = proxy.FingerprintOf(v.r, v.body.Prefix())
	return nil
}

// servePlain runs a call that is not protected by a key.
func (v *visit) servePlain() {
	if f := v.guard.entryClosed(v.begun); f != nil {
		v.fail(f)
		return
	}
	if f := v.takeBody(); f != nil {
		v.fail(f)
		return
	}
	p, f := v.admit()
	if f != nil {
		v.fail(f)
		return
	}
	a, err := v.exchange()
	if err != nil {
		p.leave(false)
		v.fail(v.failureOf(err))
		return
	}
	defer a.Close()
	if v.guard.cfg.Dialect.SaysNotRun(a) {
		p.leave(false)
		v.fail(v.shed(a))
		return
	}
	_, cut := v.relay(a)
	p.leave(cut == nil && a.StatusCode < http.StatusInternalServerError)
	if cut != nil {
		proxy.Abort(v.w, v.r)
	}
}

func drainingFailure() *proxy.Failure {
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonDraining, "the backend server is leaving").Later(time.Second)
}
