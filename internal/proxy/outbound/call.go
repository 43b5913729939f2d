package outbound

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// call is one call on its way through a Front.
type call struct {
	front      *Proxy
	w          http.ResponseWriter
	r          *http.Request
	ctx        context.Context
	route      *snapshot.Route
	service    *snapshot.Service
	policy     *profile.Policy
	started    time.Time
	deadline   time.Time // for the first byte of the answer
	idempotent bool
	once       bool // non-idempotent with a key: the guard runs it at most once
	body       *proxy.Body
	early      *proxy.EarlyHints
	header     http.Header // for the guard, but for what differs by sending
	pass       *quarantine.Pass
	exclude    []string    // servers not to be tried
	tries      int         // attempts that may have reached a backend server
	refusals   int         // attempts that the node beside a backend server refused
	mayHaveRun atomic.Bool // a sending that is over got further than not-run
}

// checkKey refuses a key that could not protect a call that must not run
// twice.
func (c *call) checkKey(now time.Time) *proxy.Failure {
	text := c.r.Header.Get(proxy.HeaderKeyCaller)
	if text == "" || c.idempotent {
		return nil
	}
	rule := idempotency.KeyRule{Any: proxy.KeyForm(c.policy) == proxy.AnyKeys, Retention: c.front.cfg.Retention()}
	if _, refusal := idempotency.ParseKey(text, rule, now); refusal != nil {
		return proxy.NotRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message)
	}
	c.once = true
	return nil
}

// baseHeader returns the headers for the guard.
func (c *call) baseHeader(hops int) http.Header {
	h := proxy.RequestHeader(c.r)
	for _, name := range []string{proxy.HeaderKey, proxy.HeaderPatienceMs, proxy.HeaderOnce, proxy.HeaderHeld, proxy.HeaderCall, proxy.HeaderRepeat, proxy.HeaderQuarantine} {
		delete(h, name)
	}
	d := &c.front.cfg.Dialect
	delete(h, d.Deadline)
	delete(h, d.Target)
	if d.Caller != "" {
		h[d.Caller] = []string{c.front.cfg.Service}
	}
	h[proxy.HeaderHops] = []string{strconv.Itoa(hops)}
	h[proxy.HeaderRoute] = []string{c.route.ID}
	h[proxy.HeaderService] = []string{c.service.Name}
	h[proxy.HeaderPriority] = []string{c.priority()}
	if key, ok := h[proxy.HeaderKeyCaller]; ok {
		delete(h, proxy.HeaderKeyCaller)
		h[proxy.HeaderKey] = key
	}
	if c.idempotent {
		h[proxy.HeaderRepeat] = []string{"1"}
	}
	if c.once {
		h[proxy.HeaderOnce] = []string{proxy.KeyForm(c.policy)}
	}
	return h
}

// priority returns the lower one of the route's and the caller's priority.
func (c *call) priority() string {
	if c.route.Priority == proxy.PriorityBackground || c.r.Header.Get(proxy.HeaderPriority) == proxy.PriorityBackground {
		return proxy.PriorityBackground
	}
	return proxy.PriorityCaller
}

// run sends the call until there is an answer to give.
func (c *call) run(rc *http.ResponseController) {
	var err error
	if c.w, err = c.body.Prepare(c.w, rc, c.deadline); err != nil {
		c.fail(proxy.FailureOf(&proxy.SendError{Cause: err}, c.body))
		return
	}
	c.early = &proxy.EarlyHints{Writer: c.w}
	if refusal := c.checkQuarantine(); refusal != nil {
		c.fail(refusal)
		return
	}
	c.front.cfg.Budgets.AddCall(c.service.Name, c.policy.RetryBudget, c.started)
	t := c.tryAll()
	c.early.Stop()
	c.give(t)
}

// checkQuarantine refuses requests that are known to crash servers and keeps
// suspects from servers that they may have crashed. A body that streams is
// left to the guard, which sees its beginning in any case.
func (c *call) checkQuarantine() *proxy.Failure {
	if !c.body.Complete() {
		return nil
	}
	fp := proxy.FingerprintOf(c.r, c.body.Prefix())
	list := c.front.cfg.Quarantine
	verdict := list.Check(fp, c.started)
	if verdict.State == quarantine.Clear {
		return nil
	}
	pass, admission := list.Send(fp, c.started)
	if refusal := proxy.QuarantineRefusal(admission, verdict, c.started); refusal != nil {
		return refusal
	}
	c.pass = pass
	if entry, ok := list.Entry(fp); ok {
		// The node beside the server may not have heard of the suspicion yet.
		c.header[proxy.HeaderQuarantine] = []string{proxy.FormatEntries([]quarantine.Entry{entry})}
	}
	if len(verdict.Avoid) < len(c.service.Endpoints) {
		c.exclude = append(c.exclude, verdict.Avoid...)
	}
	return nil
}

// close lets go of what the call holds.
func (c *call) close() { c.pass.Release() }

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// give answers the caller.
func (c *call) give(t *tried) {
	t = c.truthful(t)
	t = c.unpromised(t)
	c.finish(t, false)
	if t.status() >= http.StatusInternalServerError || t.answer == nil {
		c.front.cfg.Downstream.NoteFailure(time.Now())
	}
	if t.answer == nil {
		c.fail(c.failureOf(t))
		return
	}
	if refusal := c.refusalBelow(t); refusal != nil {
		c.fail(refusal)
		return
	}
	defer t.answer.Close()
	if c.front.cfg.Dialect.WholeAnswer {
		t.answer.Until = c.deadline.Add(proxy.LateAnswerLimit)
	}
	c.editAnswer(t)
	n, err := proxy.Relay(c.w, c.r, t.answer)
	c.spendBytes(t, n)
	if c.front.cfg.Sizes != nil {
		c.front.cfg.Sizes.Observe(c.route.ID, n+max(c.r.ContentLength, 0), time.Now())
	}
	if err != nil {
		c.logEnd(nil, err)
		proxy.Abort(c.w, c.r)
		return
	}
	c.clearSuspicion(t)
}

// fail gives the caller an answer of the system's own.
func (c *call) fail(f *proxy.Failure) {
	c.logEnd(f, nil)
	f.Write(c.w, &c.front.cfg.Dialect)
}

// truthful replaces a refusal by an unknown outcome when an earlier sending of
// the call may have run.
func (c *call) truthful(t *tried) *tried {
	if t.outcome() != retry.NotRun || !c.mayHaveRun.Load() {
		return t
	}
	f := proxy.Unknown(http.StatusBadGateway, t.reason(), "an earlier try may have run and a later one was refused")
	if t.answer != nil {
		f.RetryAfter = proxy.RetryAfterOf(t.answer.Header)
	}
	c.drop(t)
	return &tried{failure: f, exhausted: t.exhausted}
}

// refusalBelow returns the refusal of the node beside a backend server in the
// words of the callers' dialect, or nil when the answer is to be passed on.
// Where callers read "not run" from the status, the node's own would hide it.
func (c *call) refusalBelow(t *tried) *proxy.Failure {
	if c.front.cfg.Dialect.RefusalStatus == 0 || t.outcome() != retry.NotRun {
		return nil
	}
	reason, after := t.reason(), proxy.RetryAfterOf(t.answer.Header)
	status := t.status()
	t.answer.Discard()
	return proxy.NotRun(status, reason, "the node beside the backend server did not pass the call on").Later(after)
}

// unpromised replaces an answer of a backend server that ran the call when
// callers would take its status for a promise that the call was not run.
func (c *call) unpromised(t *tried) *tried {
	if t.outcome() != retry.Ran || !c.front.cfg.Dialect.PromisesNotRun(t.status()) {
		return t
	}
	f := proxy.Unknown(http.StatusBadGateway, t.reason(), "the backend server ran the call and answered with a status that denies it")
	c.drop(t)
	return &tried{failure: f, exhausted: t.exhausted}
}

// clearSuspicion tells others that a suspect was answered whole.
func (c *call) clearSuspicion(t *tried) {
	if c.pass == nil || !t.good() {
		return
	}
	fp := proxy.FingerprintOf(c.r, c.body.Prefix())
	if news := c.front.cfg.Quarantine.Success(fp, time.Now()); len(news) > 0 {
		c.front.cfg.News(news)
	}
}

// editAnswer leaves the headers that are meant for the caller.
func (c *call) editAnswer(t *tried) {
	h := t.answer.Header
	for _, name := range proxy.InternalHeaders {
		delete(h, name)
	}
	h.Set(proxy.HeaderAnswerHops, strconv.Itoa(proxy.AnswerHops(h)+1))
	if t.exhausted {
		h.Set(proxy.HeaderReason, retry.ReasonExhausted)
	}
}

// failureOf returns the answer when no node gave one.
func (c *call) failureOf(t *tried) *proxy.Failure {
	f := t.failure
	if f == nil {
		f = proxy.FailureOf(t.err, c.body)
	}
	if t.exhausted {
		f.Message += " (" + f.Reason + ")"
		f.Reason = retry.ReasonExhausted
	}
	return f
}
