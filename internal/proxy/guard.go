package proxy

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/once"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// GuardConfig holds what a Guard decides with.
type GuardConfig struct {
	Self       string // node id, which also names the backend server
	Address    string // of the backend server
	Service    string // of the backend server; calls to another one are refused; empty refuses none
	Link       *Link  // to the backend server, with its bound on connections
	Peers      *Link  // to other guards
	Gate       *admission.Gate
	Once       *once.Coordinator // nil refuses calls that must run at most once
	Quarantine *quarantine.List
	InFlight   *quarantine.InFlight
	Dialect    Dialect      // headers of the backend server
	Logger     *slog.Logger // one line for each call that is not passed on; nil for none
	Reported   bool         // the backend server reports its state, see SetServer
	Downstream *Downstream  // tells whether calls of the backend server failed; nil for none
	// GuardOf returns the address of the guard of a holder that is alive.
	GuardOf func(once.Holder) (string, bool)
	// News takes quarantine entries that other nodes should hear of; nil drops
	// them.
	News func([]quarantine.Entry)
	// Retention returns how long the log keeps claims; nil stands for a
	// default.
	Retention func() time.Duration
}

// Guard stands before the backend server of its node and is the one place
// that can say that a call was not run.
type Guard struct {
	cfg      GuardConfig
	flight   *flight
	draining atomic.Bool
	down     atomic.Bool                 // the backend server refused the last connection
	budget   *retry.Budgets              // of calls sent again on a new connection
	server   atomic.Pointer[ServerState] // nil until the backend server has reported
}

// NewGuard returns a Guard.
func NewGuard(cfg GuardConfig) *Guard {
	if cfg.News == nil {
		cfg.News = func([]quarantine.Entry) {}
	}
	if cfg.Retention == nil {
		cfg.Retention = func() time.Duration { return once.DefaultRetention }
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.DiscardHandler)
	}
	if cfg.GuardOf == nil {
		cfg.GuardOf = func(once.Holder) (string, bool) { return "", false }
	}
	return &Guard{cfg: cfg, flight: newFlight(), budget: retry.NewBudgets()}
}

// Drain refuses new calls from now on.
func (g *Guard) Drain() {
	g.draining.Store(true)
	g.cfg.Gate.Drain()
}

// Wait returns when no call is under way.
func (g *Guard) Wait(ctx context.Context) error { return g.flight.wait(ctx) }

// Wait returns when no call is under way.
func (f *Front) Wait(ctx context.Context) error { return f.flight.wait(ctx) }

// ServeHTTP implements http.Handler.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.flight.enter()
	defer g.flight.leave()
	rc := beginCall(w)
	defer endCall(rc, r)
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
	guard    *Guard
	w        http.ResponseWriter
	r        *http.Request
	rc       *http.ResponseController
	ctx      context.Context
	begun    time.Time
	deadline time.Time
	rule     string // form of keys when the call must run at most once
	repeat   bool   // the call may run more than once
	body     *keptBody
	early    *earlyHints
	fp       quarantine.Fingerprint
	news     []quarantine.Entry // to be told in the answer

	key       once.Key // of a call that must run at most once
	handovers int      // claims after a holder gave its own up
}

func (g *Guard) newVisit(w http.ResponseWriter, r *http.Request, rc *http.ResponseController) *visit {
	limit, ok := deadlineOf(r.Header, HeaderDeadlineMs)
	if !ok {
		limit = defaultWait
	}
	now := time.Now()
	v := &visit{
		guard: g, w: w, r: r, rc: rc, ctx: r.Context(), begun: now, deadline: now.Add(limit),
		rule: r.Header.Get(HeaderOnce), repeat: r.Header.Get(HeaderRepeat) != "",
		body: newKeptBody(r), early: &earlyHints{w: w},
	}
	if text := r.Header.Get(HeaderQuarantine); text != "" {
		if news := g.cfg.Quarantine.Merge(parseEntries(text), now); len(news) > 0 {
			g.cfg.News(news)
		}
	}
	return v
}

// fail answers with an outcome of the guard's own.
func (v *visit) fail(f *Failure) {
	v.early.stop()
	v.logRefusal(f)
	v.tag(v.w.Header())
	f.write(v.w, &ownDialect)
}

// tag adds what the front wants to know beside an answer.
func (v *visit) tag(h http.Header) {
	h[HeaderCall] = v.r.Header[HeaderCall]
	h[HeaderAnswerHops] = []string{"1"}
	h[HeaderLoad] = []string{formatLoad(v.guard.cfg.Gate.Report(time.Now()))}
	if len(v.news) > 0 {
		h[HeaderQuarantine] = []string{formatEntries(v.news)}
	}
}

// streamPrefixWait is how long the beginning of a streaming body is waited
// for, so that it counts in the fingerprint. Streams whose caller waits for
// the answer first go on without it.
const streamPrefixWait = 20 * time.Millisecond

// takeBody gets the beginning of the body, which the fingerprint needs.
func (v *visit) takeBody() *Failure {
	var err error
	if v.w, err = v.body.prepare(v.w, v.rc, v.deadline); err != nil {
		return failureOf(&sendError{cause: err}, v.body)
	}
	v.early.w = v.w
	if v.body != nil && v.r.Header.Get("Expect") == "" {
		v.body.await(streamPrefixWait)
		if err := v.body.failure(); err != nil {
			return failureOf(&sendError{cause: err}, v.body)
		}
	}
	v.fp = fingerprintOf(v.r, v.body.prefix())
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
	if v.guard.cfg.Dialect.notExecuted(a) {
		p.leave(false)
		v.fail(v.shed(a))
		return
	}
	_, cut := v.relay(a)
	p.leave(cut == nil && a.StatusCode < http.StatusInternalServerError)
	if cut != nil {
		abort(v.w, v.r)
	}
}

func drainingFailure() *Failure {
	return notRun(http.StatusServiceUnavailable, ReasonDraining, "the backend server is leaving").later(time.Second)
}
