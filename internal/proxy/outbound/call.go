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
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// call is one call that a Proxy handles.
type call struct {
	proxy *Proxy
	w     http.ResponseWriter
	r     *http.Request
	ctx   context.Context
	destination
	service          *snapshot.Service
	policy           *profile.Policy
	started          time.Time
	deadline         time.Time // for the first byte of the answer
	work             float64   // expected time in relation to the mean call; 0 when unknown
	idempotent       bool
	atMostOnce       bool // not idempotent, with a key: the inbound proxy runs it at most once
	body             *proxy.Body
	earlyHints       *proxy.EarlyHints
	header           http.Header // for the inbound proxy, without what differs between transmissions
	quarantinePermit *quarantine.Permit
	versions         rollout.Choice // versions that the call may go to
	exclude          []string       // ids of servers not to try
	tries            int            // attempts that may have reached a backend server, see countAttempt
	refusals         int            // attempts that reached no backend server, see countAttempt
	mayHaveRun       atomic.Bool    // a finished transmission has an outcome other than not-run
	quotaTaken       bool           // the call counts towards the quota of its organisation
	quotaSpent       bool           // the call may have run, so its token is not given back
}

// checkKey makes a non-idempotent call with a key run at most once. It refuses a
// key that cannot ensure this.
func (c *call) checkKey(now time.Time) *proxy.Failure {
	text := c.r.Header.Get(proxy.HeaderIdempotencyKey)
	if text == "" || c.idempotent {
		return nil
	}
	rule := idempotency.KeyRule{AnyFormat: proxy.KeyFormat(c.policy) == proxy.AnyKeys, Retention: c.proxy.cfg.Retention()}
	if _, refusal := idempotency.ParseKey(text, rule, now); refusal != nil {
		return proxy.NotRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message)
	}
	c.atMostOnce = true
	return nil
}

// baseHeader returns the headers for the inbound proxy that all transmissions
// share.
func (c *call) baseHeader(hops int) http.Header {
	h := proxy.RequestHeader(c.r)
	for _, name := range []string{proxy.HeaderInternalKey, proxy.HeaderMaxSlotWaitMs, proxy.HeaderObjectiveMs, proxy.HeaderAtMostOnce, proxy.HeaderClaim, proxy.HeaderExchangeID, proxy.HeaderRepeatable, proxy.HeaderQuarantine, proxy.HeaderBodyOnDemand, proxy.HeaderOrganisation, proxy.HeaderWork} {
		delete(h, name)
	}
	d := &c.proxy.cfg.Dialect
	delete(h, d.Deadline)
	delete(h, d.Target)
	delete(h, d.OrganisationName())
	if c.hidesKey {
		delete(h, proxy.HeaderAuthorization)
	}
	if c.organisation != nil {
		h[proxy.HeaderOrganisation] = []string{proxy.FormatName(c.organisation.Name)}
	}
	if d.Caller != "" {
		h[d.Caller] = []string{c.proxy.cfg.Service}
	}
	h[proxy.HeaderHops] = []string{strconv.Itoa(hops)}
	h[proxy.HeaderRoute] = []string{proxy.FormatName(c.route.ID)}
	h[proxy.HeaderService] = []string{proxy.FormatName(c.service.Name)}
	h[proxy.HeaderPriority] = []string{c.priority()}
	h[proxy.HeaderRank] = []string{strconv.Itoa(c.rank)}
	if key, ok := h[proxy.HeaderIdempotencyKey]; ok {
		delete(h, proxy.HeaderIdempotencyKey)
		h[proxy.HeaderInternalKey] = key
	}
	if c.idempotent {
		h[proxy.HeaderRepeatable] = []string{"1"}
	}
	if c.atMostOnce {
		h[proxy.HeaderAtMostOnce] = []string{proxy.KeyFormat(c.policy)}
	}
	return h
}

// priority returns the lower of the route's and the caller's priority.
func (c *call) priority() string {
	if c.route.Priority == proxy.PriorityBackground || c.r.Header.Get(proxy.HeaderPriority) == proxy.PriorityBackground {
		return proxy.PriorityBackground
	}
	return proxy.PriorityCaller
}

// run checks the call, sends it and answers the caller.
func (c *call) run(rc *http.ResponseController) {
	var err error
	if c.w, err = c.body.Prepare(c.w, rc, c.deadline); err != nil {
		c.fail(proxy.FailureOf(&proxy.SendError{Cause: err}, c.body))
		return
	}
	c.earlyHints = &proxy.EarlyHints{Writer: c.w}
	if refusal := c.checkQuarantine(); refusal != nil {
		c.fail(refusal)
		return
	}
	c.proxy.cfg.Budgets.AddCall(c.service.Name, c.policy.RetryBudget, c.started)
	t := c.sendWithRetries()
	c.earlyHints.Stop()
	c.respond(t)
}

// checkQuarantine refuses requests that are known to crash servers and keeps
// suspects away from servers that they may have crashed. Streamed bodies are
// checked by the inbound proxy only, which waits for their beginning.
func (c *call) checkQuarantine() *proxy.Failure {
	if !c.body.Complete() {
		return nil
	}
	fp := proxy.FingerprintOf(c.r, c.body.Prefix())
	list := c.proxy.cfg.Quarantine
	verdict := list.Check(fp, c.started)
	if verdict.State == quarantine.Clear {
		return nil
	}
	permit, admission := list.AdmitSend(fp, c.started)
	if refusal := proxy.QuarantineRefusal(admission, verdict, c.started); refusal != nil {
		return refusal
	}
	c.quarantinePermit = permit
	if entry, ok := list.Entry(fp); ok {
		// The node of the backend server may not have the suspicion yet.
		c.header[proxy.HeaderQuarantine] = []string{proxy.FormatQuarantineEntries([]quarantine.Entry{entry})}
	}
	if len(verdict.Avoid) < len(c.service.Endpoints) {
		c.exclude = append(c.exclude, verdict.Avoid...)
	}
	return nil
}

// close releases the quarantine permit of the call.
func (c *call) close() {
	c.quarantinePermit.Release()
	c.body.Release()
}

func (c *call) remaining() time.Duration { return time.Until(c.deadline) }

// objectiveLeft returns the time left to the route's latency objective, at least
// 0, and false when the route has none.
func (c *call) objectiveLeft() (time.Duration, bool) {
	objective := time.Duration(c.route.LatencyObjective)
	return max(objective-time.Since(c.started), 0), objective > 0
}

// respond answers the caller.
func (c *call) respond(t *attemptResult) {
	t = c.correctOutcome(t)
	t = c.replaceMisleadingStatus(t)
	c.quotaSpent = t.outcome() != retry.NotRun
	c.report(t, false)
	if t.status() >= http.StatusInternalServerError || t.answer == nil {
		c.proxy.cfg.Downstream.RecordFailure(time.Now())
	}
	if t.answer == nil {
		c.fail(c.failureOf(t))
		return
	}
	if refusal := c.inboundRefusal(t); refusal != nil {
		c.fail(refusal)
		return
	}
	defer t.answer.Close()
	c.setAnswerDeadline(t.answer)
	c.setAnswerHeaders(t)
	n, err := proxy.Relay(c.w, c.r, t.answer)
	c.countCrossRegionBytes(t, n)
	c.proxy.cfg.Link.Add(time.Now(), n)
	if c.proxy.cfg.CallSizes != nil {
		c.proxy.cfg.CallSizes.Observe(c.route.ID, n+max(c.r.ContentLength, 0), time.Now())
	}
	if err != nil {
		c.logFailedCall(nil, err)
		proxy.Abort(c.w, c.r)
		return
	}
	c.clearSuspicion(t)
}

// fail answers the caller with a failure that this node generates.
func (c *call) fail(f *proxy.Failure) {
	c.logFailedCall(f, nil)
	f.Write(c.w, &c.proxy.cfg.Dialect)
}

// correctOutcome replaces a refusal with an unknown outcome when an earlier
// transmission of the call may have run.
func (c *call) correctOutcome(t *attemptResult) *attemptResult {
	if t.outcome() != retry.NotRun || !c.mayHaveRun.Load() {
		return t
	}
	f := proxy.Unknown(http.StatusBadGateway, t.reason(), "an earlier attempt may have run and a later one was refused")
	if t.answer != nil {
		f.RetryAfter = proxy.RetryAfterOf(t.answer.Header)
	}
	c.discard(t)
	return &attemptResult{failure: f, exhausted: t.exhausted}
}

// inboundRefusal returns a refusal by the inbound proxy as a failure in the
// callers' dialect, or nil when the answer is relayed. The status that nodes
// use between them would hide "not run" from callers that read it from the status.
func (c *call) inboundRefusal(t *attemptResult) *proxy.Failure {
	if c.proxy.cfg.Dialect.RefusalStatus == 0 || t.outcome() != retry.NotRun {
		return nil
	}
	reason, after := t.reason(), proxy.RetryAfterOf(t.answer.Header)
	status := t.status()
	t.answer.Discard()
	return proxy.NotRun(status, reason, "the node of the backend server refused the call").WithRetryAfter(after)
}

// replaceMisleadingStatus replaces the answer of a backend server that ran the
// call when callers would read its status as "not run".
func (c *call) replaceMisleadingStatus(t *attemptResult) *attemptResult {
	if t.outcome() != retry.Ran || !c.proxy.cfg.Dialect.ImpliesNotRun(t.status()) {
		return t
	}
	f := proxy.Unknown(http.StatusBadGateway, t.reason(), "the backend server ran the call but answered with a status that means it was not run")
	c.discard(t)
	return &attemptResult{failure: f, exhausted: t.exhausted}
}

// clearSuspicion records and announces that a suspect was answered in full and
// without a 5xx status.
func (c *call) clearSuspicion(t *attemptResult) {
	if c.quarantinePermit == nil || !t.succeeded() {
		return
	}
	fp := proxy.FingerprintOf(c.r, c.body.Prefix())
	if changed := c.proxy.cfg.Quarantine.RecordSuccess(fp, time.Now()); len(changed) > 0 {
		c.proxy.cfg.PublishQuarantine(changed)
	}
}

// setAnswerHeaders removes internal headers from the answer and sets those for
// the caller.
func (c *call) setAnswerHeaders(t *attemptResult) {
	h := t.answer.Header
	for _, name := range proxy.InternalAnswerHeaders {
		delete(h, name)
	}
	h.Set(proxy.HeaderAnswerHops, strconv.Itoa(proxy.AnswerHopsOf(h)+1))
	if t.exhausted {
		h.Set(proxy.HeaderReason, retry.ReasonExhausted)
	}
}

// failureOf returns the failure to answer with when there is no answer to relay.
func (c *call) failureOf(t *attemptResult) *proxy.Failure {
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
