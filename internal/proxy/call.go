package proxy

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/once"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// suspectRetryAfter is about the time that a call of a suspect takes.
const suspectRetryAfter = 100 * time.Millisecond

// Words of HeaderPriority.
const (
	priorityCaller     = "caller"
	priorityBackground = "background"
)

// Values of HeaderOnce, which are those of the policy.
const (
	anyKeys  = "any"
	uuidKeys = "uuidv7"
)

func keyForm(p *profile.Policy) string {
	if p.Keys == anyKeys {
		return anyKeys
	}
	return uuidKeys
}

// call is one call on its way through a Front.
type call struct {
	front      *Front
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
	body       *keptBody
	early      *earlyHints
	header     http.Header // for the guard, but for what differs by sending
	pass       *quarantine.Pass
	exclude    []string    // servers not to be tried
	tries      int         // attempts that may have reached a backend server
	refusals   int         // attempts that the node beside a backend server refused
	mayHaveRun atomic.Bool // a sending that is over got further than not-run
}

// checkKey refuses a key that could not protect a call that must not run
// twice.
func (c *call) checkKey(now time.Time) *Failure {
	text := c.r.Header.Get(HeaderKeyCaller)
	if text == "" || c.idempotent {
		return nil
	}
	rule := once.KeyRule{Any: keyForm(c.policy) == anyKeys, Retention: c.front.cfg.Retention()}
	if _, refusal := once.ParseKey(text, rule, now); refusal != nil {
		return notRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message)
	}
	c.once = true
	return nil
}

// baseHeader returns the headers for the guard.
func (c *call) baseHeader(hops int) http.Header {
	h := requestHeader(c.r)
	for _, name := range []string{HeaderKey, HeaderPatienceMs, HeaderOnce, HeaderHeld, HeaderCall, HeaderRepeat, HeaderQuarantine} {
		delete(h, name)
	}
	d := &c.front.cfg.Dialect
	delete(h, d.Deadline)
	delete(h, d.Target)
	if d.Caller != "" {
		h[d.Caller] = []string{c.front.cfg.Service}
	}
	h[HeaderHops] = []string{strconv.Itoa(hops)}
	h[HeaderRoute] = []string{c.route.ID}
	h[HeaderService] = []string{c.service.Name}
	h[HeaderPriority] = []string{c.priority()}
	if key, ok := h[HeaderKeyCaller]; ok {
		delete(h, HeaderKeyCaller)
		h[HeaderKey] = key
	}
	if c.idempotent {
		h[HeaderRepeat] = []string{"1"}
	}
	if c.once {
		h[HeaderOnce] = []string{keyForm(c.policy)}
	}
	return h
}

// priority returns the lower one of the route's and the caller's priority.
func (c *call) priority() string {
	if c.route.Priority == priorityBackground || c.r.Header.Get(HeaderPriority) == priorityBackground {
		return priorityBackground
	}
	return priorityCaller
}

// run sends the call until there is an answer to give.
func (c *call) run(rc *http.ResponseController) {
	var err error
	if c.w, err = c.body.prepare(c.w, rc, c.deadline); err != nil {
		c.fail(failureOf(&sendError{cause: err}, c.body))
		return
	}
	c.early = &earlyHints{w: c.w}
	if refusal := c.checkQuarantine(); refusal != nil {
		c.fail(refusal)
		return
	}
	c.front.cfg.Budgets.Call(c.service.Name, c.policy.RetryBudget, c.started)
	t := c.tryAll()
	c.early.stop()
	c.give(t)
}

// checkQuarantine refuses requests that are known to crash servers and keeps
// suspects from servers that they may have crashed. A body that streams is
// left to the guard, which sees its beginning in any case.
func (c *call) checkQuarantine() *Failure {
	if !c.body.complete() {
		return nil
	}
	fp := fingerprintOf(c.r, c.body.prefix())
	list := c.front.cfg.Quarantine
	verdict := list.Check(fp, c.started)
	if verdict.State == quarantine.Clear {
		return nil
	}
	pass, admission := list.Send(fp, c.started)
	if refusal := refusalBy(admission, verdict, c.started); refusal != nil {
		return refusal
	}
	c.pass = pass
	if entry, ok := list.Entry(fp); ok {
		// The node beside the server may not have heard of the suspicion yet.
		c.header[HeaderQuarantine] = []string{formatEntries([]quarantine.Entry{entry})}
	}
	if len(verdict.Avoid) < len(c.service.Endpoints) {
		c.exclude = append(c.exclude, verdict.Avoid...)
	}
	return nil
}

// refusalBy returns the answer to a request that quarantine does not admit.
func refusalBy(a quarantine.Admission, v quarantine.Verdict, now time.Time) *Failure {
	switch a {
	case quarantine.Refused:
		return notRun(http.StatusServiceUnavailable, ReasonQuarantined, "this request has crashed backend servers").later(v.Until.Sub(now))
	case quarantine.Busy:
		return notRun(http.StatusServiceUnavailable, ReasonSuspectBusy, "this request may have crashed a backend server and is being tried").later(suspectRetryAfter)
	}
	return nil
}

// fingerprintOf returns the fingerprint of a call, the same at each node.
func fingerprintOf(r *http.Request, body []byte) quarantine.Fingerprint {
	path, query, _ := strings.Cut(originForm(r), "?")
	return quarantine.NewFingerprint(r.Method, r.Host, path, query, body)
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
		c.front.cfg.Downstream.noteFailure(time.Now())
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
		t.answer.until = c.deadline.Add(lateAnswerLimit)
	}
	c.editAnswer(t)
	n, err := relay(c.w, c.r, t.answer)
	c.spendBytes(t, n)
	if c.front.cfg.Sizes != nil {
		c.front.cfg.Sizes.Observe(c.route.ID, n+max(c.r.ContentLength, 0), time.Now())
	}
	if err != nil {
		c.logEnd(nil, err)
		abort(c.w, c.r)
		return
	}
	c.clearSuspicion(t)
}

// fail gives the caller an answer of the system's own.
func (c *call) fail(f *Failure) {
	c.logEnd(f, nil)
	f.write(c.w, &c.front.cfg.Dialect)
}

// truthful replaces a refusal by an unknown outcome when an earlier sending of
// the call may have run.
func (c *call) truthful(t *tried) *tried {
	if t.outcome() != retry.NotRun || !c.mayHaveRun.Load() {
		return t
	}
	f := unknown(http.StatusBadGateway, t.reason(), "an earlier try may have run and a later one was refused")
	if t.answer != nil {
		f.RetryAfter = retryAfterOf(t.answer.Header)
	}
	c.drop(t)
	return &tried{failure: f, exhausted: t.exhausted}
}

// refusalBelow returns the refusal of the node beside a backend server in the
// words of the callers' dialect, or nil when the answer is to be passed on.
// Where callers read "not run" from the status, the node's own would hide it.
func (c *call) refusalBelow(t *tried) *Failure {
	if c.front.cfg.Dialect.RefusalStatus == 0 || t.outcome() != retry.NotRun {
		return nil
	}
	reason, after := t.reason(), retryAfterOf(t.answer.Header)
	status := t.status()
	t.answer.discard()
	return notRun(status, reason, "the node beside the backend server did not pass the call on").later(after)
}

// unpromised replaces an answer of a backend server that ran the call when
// callers would take its status for a promise that the call was not run.
func (c *call) unpromised(t *tried) *tried {
	if t.outcome() != retry.Ran || !c.front.cfg.Dialect.promised(t.status()) {
		return t
	}
	f := unknown(http.StatusBadGateway, t.reason(), "the backend server ran the call and answered with a status that denies it")
	c.drop(t)
	return &tried{failure: f, exhausted: t.exhausted}
}

// clearSuspicion tells others that a suspect was answered whole.
func (c *call) clearSuspicion(t *tried) {
	if c.pass == nil || !t.good() {
		return
	}
	fp := fingerprintOf(c.r, c.body.prefix())
	if news := c.front.cfg.Quarantine.Success(fp, time.Now()); len(news) > 0 {
		c.front.cfg.News(news)
	}
}

// editAnswer leaves the headers that are meant for the caller.
func (c *call) editAnswer(t *tried) {
	h := t.answer.Header
	for _, name := range internalHeaders {
		delete(h, name)
	}
	h.Set(HeaderAnswerHops, strconv.Itoa(answerHops(h)+1))
	if t.exhausted {
		h.Set(HeaderReason, retryReasonExhausted)
	}
}

// failureOf returns the answer when no node gave one.
func (c *call) failureOf(t *tried) *Failure {
	f := t.failure
	if f == nil {
		f = failureOf(t.err, c.body)
	}
	if t.exhausted {
		f.Message += " (" + f.Reason + ")"
		f.Reason = retryReasonExhausted
	}
	return f
}
