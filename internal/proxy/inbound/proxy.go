// Package inbound is the proxy on the backend server's node: it admits calls to
// the server's slots, passes them on, and reports whether they ran.
package inbound

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Config holds the dependencies of a Proxy.
type Config struct {
	proxy.HopConfig // calls to another service are refused; an empty Service refuses none

	Self        string        // node id, which also names the backend server
	Address     string        // of the backend server
	Backend     *proxy.Client // to the backend server, with its connection limit
	Peers       *proxy.Client // to other inbound proxies
	Admission   *admission.Controller
	Receptions  *admission.Receptions    // of large bodies; nil streams them
	Coordinator *idempotency.Coordinator // nil refuses calls that must run at most once
	InFlight    *quarantine.InFlight
	Reported    bool // the backend server reports its state, see SetServerState
	// OnServerLeaving is called, possibly more than once, after the start of the
	// backend server with an instance id has said in an answer that it shuts down;
	// it must not block. May be nil.
	OnServerLeaving func(instance string)
	// OnServerReplaced is called after the start of the backend server with an
	// instance id turned out to run at its address no more; it must not block. May be
	// nil.
	OnServerReplaced func(instance string)
	// Version holds what the backend server may get under a rollout; nil sets no limit.
	Version *rollout.Server
	// InboundAddressOf returns the address of a live holder's inbound proxy.
	InboundAddressOf func(idempotency.Holder) (string, bool)
}

// Proxy takes calls for the backend server of its node.
type Proxy struct {
	cfg         Config
	calls       *proxy.CallCount
	draining    atomic.Bool
	backendDown atomic.Bool    // the backend server refused the last connection
	budget      *retry.Budgets // of calls sent again on a new connection
	// resendFraction is the largest fraction of such calls, as the bits of a float64.
	resendFraction atomic.Uint64
	serverState    atomic.Pointer[ServerState] // nil until the backend server has reported
	answerSizes    *balance.CallSizes          // of the answers passed on
	// refusedCalls holds the deadlines of the calls that the backend server refused,
	// by id. Such a call is sent again only on a new connection: on another one a
	// late copy of the refusal would pass as its answer.
	refusedCalls *shard.Map[time.Time]
}

// New returns a Proxy.
func New(cfg Config) *Proxy {
	cfg.HopConfig = cfg.WithDefaults()
	if cfg.OnServerLeaving == nil {
		cfg.OnServerLeaving = func(string) {}
	}
	if cfg.OnServerReplaced == nil {
		cfg.OnServerReplaced = func(string) {}
	}
	if cfg.InboundAddressOf == nil {
		cfg.InboundAddressOf = func(idempotency.Holder) (string, bool) { return "", false }
	}
	p := &Proxy{cfg: cfg, calls: proxy.NewCallCount(), budget: retry.NewBudgets(), answerSizes: balance.NewCallSizes(), refusedCalls: shard.NewMap[time.Time](shard.DefaultCount)}
	p.SetRetryBudget(1) // until the policy is known
	return p
}

// Drain refuses, from now on, every call that was not yet sent to the backend
// server.
func (p *Proxy) Drain() {
	p.draining.Store(true)
	p.cfg.Admission.Drain()
}

// Prune drops what is known of routes without a call in the given time, and of
// refused calls whose deadline has passed.
func (p *Proxy) Prune(now time.Time, unused time.Duration) {
	p.answerSizes.Prune(now, unused)
	p.refusedCalls.DeleteFunc(func(_ string, deadline time.Time) bool { return deadline.Before(now) })
}

// Wait waits until no call is in progress or the context ends.
func (p *Proxy) Wait(ctx context.Context) error { return p.calls.Wait(ctx) }

// ServeHTTP implements http.Handler.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.calls.Enter()
	defer p.calls.Leave()
	proxy.SetRoute(w, proxy.RouteOf(r.Header))
	rc := proxy.BeginCall(w)
	defer proxy.EndCall(rc, r)
	c := p.newCall(w, r, rc)
	defer c.body.Release()
	if f := p.wrongServiceRefusal(r); f != nil {
		c.fail(f)
		return
	}
	if c.keyFormat != "" {
		c.serveKeyed()
		return
	}
	c.serveUnkeyed()
}

// defaultTimeout is the time limit of a call without a deadline.
const defaultTimeout = time.Minute

// call is one call that a Proxy handles.
type call struct {
	proxy             *Proxy
	w                 http.ResponseWriter
	r                 *http.Request
	rc                *http.ResponseController
	ctx               context.Context
	started           time.Time
	deadline          time.Time
	keyFormat         string // key format of a call that must run at most once; empty for others
	repeatable        bool   // the call may run more than once
	received          bool   // the body was received before the call asks for a slot
	body              *proxy.Body
	earlyHints        *proxy.EarlyHints
	fingerprint       quarantine.Fingerprint
	quarantineUpdates []quarantine.Entry // quarantine entries to send with the answer
	serverBusy        bool               // most slots were in use when the call began; see rollout.Answer
	sentState         *ServerState       // of the backend server when the call was last sent

	key      idempotency.Key // of a call that must run at most once
	reclaims int             // claims made after a holder released its own
}

func (p *Proxy) newCall(w http.ResponseWriter, r *http.Request, rc *http.ResponseController) *call {
	limit, ok := proxy.RemainingTimeOf(r.Header, proxy.HeaderDeadlineMs)
	if !ok {
		limit = defaultTimeout
	}
	now := time.Now()
	c := &call{
		proxy: p, w: w, r: r, rc: rc, ctx: r.Context(), started: now, deadline: now.Add(limit),
		keyFormat: r.Header.Get(proxy.HeaderAtMostOnce), repeatable: r.Header.Get(proxy.HeaderRepeatable) != "",
		body: proxy.NewBody(r, proxy.MaxBodyBytes).ChargeTo(p.cfg.Guard.BufferBudget()), earlyHints: &proxy.EarlyHints{Writer: w},
	}
	if text := r.Header.Get(proxy.HeaderQuarantine); text != "" {
		if changed := p.cfg.Quarantine.Merge(proxy.ParseQuarantineEntries(text), now); len(changed) > 0 {
			p.cfg.PublishQuarantine(changed)
		}
	}
	return c
}

// callID returns the id that the caller gave the call, if the dialect has one.
func (c *call) callID() string {
	if c.proxy.cfg.Dialect.CallID == "" {
		return ""
	}
	return c.r.Header.Get(c.proxy.cfg.Dialect.CallID)
}

// wasRefused reports whether the backend server has refused the call before.
func (c *call) wasRefused() bool {
	_, refused := c.proxy.refusedCalls.Get(c.callID())
	return refused
}

// fail answers with a failure that this node generates.
func (c *call) fail(f *proxy.Failure) {
	c.earlyHints.Stop()
	c.logFailure(f)
	c.setNodeHeaders(c.w.Header())
	f.Write(c.w, &proxy.OwnDialect)
}

// setNodeHeaders adds the headers of an answer that are for the outbound proxy.
func (c *call) setNodeHeaders(h http.Header) {
	h[proxy.HeaderExchangeID] = c.r.Header[proxy.HeaderExchangeID]
	h[proxy.HeaderAnswerHops] = []string{"1"}
	h[proxy.HeaderLoad] = []string{proxy.FormatLoad(c.proxy.cfg.Admission.Report(time.Now()))}
	if len(c.quarantineUpdates) > 0 {
		h[proxy.HeaderQuarantine] = []string{proxy.FormatQuarantineEntries(c.quarantineUpdates)}
	}
}

// streamPrefixWait is how long to wait for the beginning of a streamed body, so
// that it is part of the fingerprint. A call whose caller sends it later is
// continued without it.
const streamPrefixWait = 20 * time.Millisecond

// readPrefix reads the beginning of the body and computes the fingerprint.
func (c *call) readPrefix() *proxy.Failure {
	if c.received {
		c.fingerprint = proxy.FingerprintOf(c.r, c.body.Prefix())
		return nil
	}
	var err error
	if c.w, err = c.body.Prepare(c.w, c.rc, c.deadline); err != nil {
		return proxy.FailureOf(&proxy.SendError{Cause: err}, c.body)
	}
	c.earlyHints.Writer = c.w
	onDemand := proxy.BodyOnDemand(c.r.Header)
	if onDemand && c.body != nil {
		// net/http asks for the body on the first read, and no more once an answer has
		// begun. A server that answers before it reads would then never get the body.
		c.w.WriteHeader(http.StatusContinue)
	}
	if c.body != nil && (onDemand || c.r.Header.Get("Expect") == "") {
		c.body.AwaitPrefix(streamPrefixWait)
		if err := c.body.Err(); err != nil {
			return proxy.FailureOf(&proxy.SendError{Cause: err}, c.body)
		}
	}
	c.fingerprint = proxy.FingerprintOf(c.r, c.body.Prefix())
	return nil
}

// serveUnkeyed runs a call that needs no claim on an idempotency key.
func (c *call) serveUnkeyed() {
	if f := c.proxy.arrivalRefusal(c.started); f != nil {
		c.fail(f)
		return
	}
	if v := c.proxy.cfg.Version; v != nil && !v.Accepts(c.started) {
		c.fail(versionHeldFailure())
		return
	}
	reception, f := c.receiveBody()
	if f != nil {
		c.fail(f)
		return
	}
	defer func() { reception.Release(time.Now()) }()
	if f := c.readPrefix(); f != nil {
		c.fail(f)
		return
	}
	s, f := c.admit()
	if f != nil {
		c.fail(f)
		return
	}
	defer s.release(false) // also when the handler panics
	if f := c.beginForVersion(); f != nil {
		s.release(false)
		c.fail(f)
		return
	}
	defer c.endForVersion()
	sent := time.Now()
	a, f := c.exchange()
	c.countForVersion(a, f, time.Since(sent))
	if f != nil {
		s.release(false)
		c.fail(f)
		return
	}
	defer a.Close()
	_, relayErr := c.relay(a)
	s.release(relayErr == nil && a.StatusCode < http.StatusInternalServerError)
	if relayErr != nil {
		proxy.Abort(c.w, c.r)
	}
}

func drainingFailure() *proxy.Failure {
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonDraining, "the backend server is shutting down").WithRetryAfter(time.Second)
}
