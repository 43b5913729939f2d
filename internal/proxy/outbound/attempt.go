package outbound

import (
	"context"
	"maps"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// idleWaitFraction is the fraction of the remaining time after which a reused
// connection without an answer is treated as dead. It is larger than that of
// the inbound proxy, which thus replaces a dead connection to its backend
// server first.
const idleWaitFraction = 2.0 / 3

// attemptResult is the result of one attempt.
type attemptResult struct {
	choice    balance.Choice
	started   time.Time
	elapsed   time.Duration // until the first byte or the failure
	answer    *proxy.Answer
	err       *proxy.SendError
	failure   *proxy.Failure // set instead of answer and err when this node generated the failure
	exhausted bool           // a retry was appropriate but not allowed, or no server was left for it
	load      *balance.LoadReport
	seeksIdle bool // see retry.OnlySeeksIdleServer
	// firstSent is set when the call was sent on a reused connection that was
	// lost, and then again on a new one: the server may have run the first.
	firstSent bool
}

// outcome returns what is known about the execution of the call.
func (t *attemptResult) outcome() retry.Outcome {
	switch {
	case t.answer != nil:
		return retry.Outcome(t.answer.Header.Get(proxy.HeaderOutcome))
	case t.err != nil && t.err.Sent:
		return retry.Unknown
	}
	return retry.NotRun
}

func (t *attemptResult) status() int {
	if t.answer == nil {
		return 0
	}
	return t.answer.StatusCode
}

// succeeded reports whether a backend server answered without a 5xx status.
func (t *attemptResult) succeeded() bool {
	return t.answer != nil && t.outcome() == retry.Ran && t.answer.StatusCode < http.StatusInternalServerError
}

func (t *attemptResult) reason() string {
	switch {
	case t.answer != nil:
		return t.answer.Header.Get(proxy.HeaderReason)
	case t.err != nil && !t.err.Sent:
		return proxy.ReasonConnectFailed
	}
	return ""
}

// errAllRefuse ends a call that was refused when all other servers have refused
// calls like it a moment ago: each further try costs two nodes the time that they
// lack, and the caller time to come back.
var errAllRefuse = errors.New("all servers have refused such calls lately")

// sendWithRetries sends the call until there is a final result for the caller.
func (c *call) sendWithRetries() *attemptResult {
	var last *attemptResult
	if c.remaining() <= 0 {
		return &attemptResult{failure: proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "no time is left for the call")}
	}
	for {
		choice, err := c.pick(last)
		if err != nil {
			return c.withoutServer(last, err)
		}
		if last != nil && choice.Avoided && last.outcome() == retry.NotRun {
			return c.withoutServer(last, errAllRefuse)
		}
		c.discard(last)
		t := c.sendToServer(choice)
		c.countAttempt(t)
		if !c.shouldRetry(t) {
			return t
		}
		c.exclude = append(c.exclude, choice.Endpoint.ID)
		c.useOtherVersion()
		last = t
	}
}

// shouldRetry decides whether another server is tried after an attempt.
func (c *call) shouldRetry(t *attemptResult) bool {
	if c.body.Err() != nil {
		return false // every server would get the same incomplete body
	}
	d := retry.Decide(c.retryAttempt(t))
	if d.Verdict == retry.TryNext && !d.Unbudgeted && !c.spendRetryBudget() {
		d.Verdict = retry.GiveUp
	}
	c.logAttempt(t, d)
	t.exhausted = d.Verdict == retry.GiveUp
	return d.Verdict == retry.TryNext
}

// expectedBytes estimates the bytes that the call transfers.
func (c *call) expectedBytes() int64 {
	if c.proxy.cfg.CallSizes == nil {
		return 0
	}
	return c.proxy.cfg.CallSizes.Mean(c.route.ID)
}

// maxSlotWait returns how long the call may wait for a slot before it is sent
// to another server. It is 0, which sets no limit, when there is no other, the
// route has no latency objective or enough servers have refused the call.
func (c *call) maxSlotWait(choice balance.Choice) time.Duration {
	left, ok := c.objectiveLeft()
	others := len(c.service.Endpoints) - len(c.exclude) - 1
	if !ok || others <= 0 {
		return 0
	}
	limit, bounded := retry.SlotWait(left, c.refusals, len(c.service.Endpoints))
	if !bounded {
		return 0
	}
	return limit
}

// countAttempt counts a finished attempt. One that the inbound proxy refused, or
// that did not reach it, puts no load on the backend server, so it counts as a
// refusal and not as a try, unless an earlier transmission of it may have run.
func (c *call) countAttempt(t *attemptResult) {
	if t.outcome() == retry.NotRun && t.reason() != proxy.ReasonShedByServer && !t.firstSent {
		c.refusals++
		return
	}
	c.tries++
}

// maxRetries returns how many more servers may get the call after the first.
func (c *call) maxRetries() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts - 1
	}
	return c.policy.Retries
}

func (c *call) retryAttempt(t *attemptResult) retry.Attempt {
	a := retry.Attempt{
		Idempotent: c.idempotent, Outcome: t.outcome(), Reason: t.reason(), Status: t.status(),
		Tries: c.tries, Refusals: c.refusals, MaxRetries: c.maxRetries(), Remaining: c.remaining(), Needed: proxy.MinAttemptTime,
		Canceled: c.ctx.Err() != nil, BodyLost: !c.body.Resendable(),
	}
	if t.answer != nil {
		a.AnswerHops = proxy.AnswerHopsOf(t.answer.Header)
	}
	return a
}

func (c *call) spendRetryBudget() bool {
	return c.proxy.cfg.Budgets.SpendRanked(c.service.Name, c.policy.RetryBudget, c.rank, time.Now())
}

// balanceRequest returns the request for a server other than the excluded ones.
func (c *call) balanceRequest(exclude []string) balance.Request {
	objective, _ := c.objectiveLeft()
	return balance.Request{Service: c.service, Exclude: exclude, Bytes: c.expectedBytes(), Work: c.work, Rank: c.rank, Objective: objective, Accepts: c.versions.Accepts}
}

// useOtherVersion has the next attempt go to the other version of a rollout, if there
// is one: a version that is judged gets no retries, and one that is replaced may
// refuse all calls. It reports whether that changes the choice.
func (c *call) useOtherVersion() bool {
	if c.versions.Otherwise == nil {
		return false
	}
	c.versions = rollout.Choice{Accepts: c.versions.Otherwise}
	return true
}

// pick chooses the next server. When no untried one is left and the last one
// refused with a retry-after of at most half the remaining time, it waits for
// that time and chooses among all servers again.
func (c *call) pick(last *attemptResult) (balance.Choice, error) {
	request := c.balanceRequest(c.exclude)
	choice, err := c.proxy.cfg.Balancer.Pick(time.Now(), request)
	if errors.Is(err, balance.ErrNoEndpoint) && c.useOtherVersion() {
		request.Accepts = c.versions.Accepts
		choice, err = c.proxy.cfg.Balancer.Pick(time.Now(), request)
	}
	if err == nil || last == nil || last.outcome() != retry.NotRun || last.answer == nil {
		return choice, err
	}
	after := proxy.RetryAfterOf(last.answer.Header)
	if after == 0 || after > c.remaining()/2 || !wait.For(c.ctx, after) {
		return choice, err
	}
	request.Exclude = nil
	return c.proxy.cfg.Balancer.Pick(time.Now(), request)
}

// withoutServer returns the final result when there is no server to try.
func (c *call) withoutServer(last *attemptResult, err error) *attemptResult {
	if last != nil {
		last.exhausted = true
		return last
	}
	reason, message := noServerReason(err), "the service has no backend server to send the call to"
	if reason == proxy.ReasonCrossRegionBudget {
		message = "only other regions have a backend server and the budget for cross-region bytes is used up"
	}
	return &attemptResult{failure: proxy.NotRun(http.StatusServiceUnavailable, reason, message).WithRetryAfter(time.Second)}
}

// discard closes the answer of an attempt that is not relayed to the caller, and
// reports the attempt.
func (c *call) discard(t *attemptResult) {
	if t == nil {
		return
	}
	if t.answer != nil {
		t.answer.Discard()
	}
	c.report(t, false)
}

// attempt sends the call to one server.
func (c *call) attempt(ctx context.Context, choice balance.Choice, onEarlyHint func(int, textproto.MIMEHeader)) *attemptResult {
	t := &attemptResult{choice: choice, started: time.Now()}
	t.seeksIdle = c.maxSlotWait(choice) > 0 && retry.OnlySeeksIdleServer(c.refusals, len(c.service.Endpoints))
	c.proxy.cfg.Stats.Begin(choice.Endpoint.ID, t.started, c.work)
	t.answer, t.err = c.send(ctx, choice, false, onEarlyHint)
	if c.mayResend(t.err) {
		t.firstSent = t.err.Sent
		if t.firstSent {
			c.mayHaveRun.Store(true)
		}
		t.answer, t.err = c.send(ctx, choice, true, onEarlyHint)
		if t.err != nil {
			t.err.Sent = t.err.Sent || t.firstSent
		}
	}
	t.elapsed = time.Since(t.started)
	if t.answer != nil {
		t.load = proxy.ParseLoad(t.answer.Header.Get(proxy.HeaderLoad))
		c.mergeQuarantine(t.answer.Header)
		if c.proxy.cfg.Dialect.IsLeaving(t.answer.Header) {
			c.proxy.cfg.Stats.MarkLeaving(choice.Endpoint.ID, choice.Endpoint.Start())
		}
		c.bufferAnswer(t)
	}
	return t
}

// bufferAnswer reads a short answer before any of it is passed on, if other calls
// run on the caller's connection. An answer that breaks off is then a failed
// attempt, which may be retried, and does not end the connection with the other
// calls.
func (c *call) bufferAnswer(t *attemptResult) {
	if !t.succeeded() || c.r.Method == http.MethodHead || !proxy.SharesConnection(c.r) {
		return
	}
	c.setAnswerDeadline(t.answer)
	if err := t.answer.Buffer(); err != nil {
		t.answer.Close()
		t.answer, t.err = nil, &proxy.SendError{Cause: err, Sent: true, Connected: true, Canceled: c.ctx.Err() != nil}
	}
}

// setAnswerDeadline limits the reading of an answer where the deadline covers it.
func (c *call) setAnswerDeadline(a *proxy.Answer) {
	if c.proxy.cfg.Dialect.DeadlineCoversAnswer {
		a.Deadline = c.deadline.Add(proxy.LateAnswerLimit)
	}
}

// mayResend reports whether a call that failed on a reused connection is sent
// again on a new one before the failure counts against the server. If it may have
// run, this takes a token from the retry budget.
func (c *call) mayResend(err *proxy.SendError) bool {
	if err == nil || !err.Reused || err.Canceled || c.remaining() < proxy.MinAttemptTime || !c.body.Resendable() {
		return false
	}
	return !err.Sent || ((c.idempotent || c.atMostOnce) && c.spendRetryBudget())
}

func (c *call) send(ctx context.Context, choice balance.Choice, fresh bool, onEarlyHint func(int, textproto.MIMEHeader)) (*proxy.Answer, *proxy.SendError) {
	left := max(c.remaining(), time.Millisecond)
	header := maps.Clone(c.header)
	exchangeID := proxy.NewExchangeID()
	header[proxy.HeaderExchangeID] = []string{exchangeID}
	if limit := c.maxSlotWait(choice); limit > 0 {
		header[proxy.HeaderMaxSlotWaitMs] = []string{strconv.FormatInt(limit.Milliseconds(), 10)}
	}
	if objective, ok := c.objectiveLeft(); ok {
		header[proxy.HeaderObjectiveMs] = []string{strconv.FormatInt(objective.Milliseconds(), 10)}
	}
	if c.work > 0 {
		header[proxy.HeaderWork] = []string{proxy.FormatWork(c.work)}
	}
	if c.sendsBodyOnDemand() {
		proxy.SendBodyOnDemand(header)
	}
	header[proxy.HeaderDeadlineMs] = []string{proxy.FormatRemainingTime(left)}
	s := proxy.Transmission{
		Address: choice.Endpoint.InboundAddress, Request: c.r, Header: header, Body: c.body,
		Wait: left, Fresh: fresh, OnEarlyHint: onEarlyHint,
	}
	if c.idempotent || c.atMostOnce {
		s.IdleWait = time.Duration(float64(left) * idleWaitFraction)
	}
	a, err := c.proxy.cfg.Client.Send(ctx, s)
	if err == nil && (a.Header.Get(proxy.HeaderExchangeID) != exchangeID || a.Header.Get(proxy.HeaderOutcome) == "") {
		a.Close()
		return nil, &proxy.SendError{Cause: proxy.ErrMismatch, Sent: true, Connected: true}
	}
	return a, err
}

// sendsBodyOnDemand reports whether the inbound proxy is asked before the body is
// sent: a large body would use the link of the server's instance also if the call
// is refused, and a streamed one could not be sent to another server then. A
// caller that expects status 100 itself gets it from the backend server.
func (c *call) sendsBodyOnDemand() bool {
	large := c.r.ContentLength < 0 || c.r.ContentLength >= balance.LargeCallBytes
	return c.body != nil && large && c.r.Header.Get("Expect") == ""
}

// mergeQuarantine merges quarantine entries that came with an answer.
func (c *call) mergeQuarantine(h http.Header) {
	text := h.Get(proxy.HeaderQuarantine)
	if text == "" {
		return
	}
	if changed := c.proxy.cfg.Quarantine.Merge(proxy.ParseQuarantineEntries(text), time.Now()); len(changed) > 0 {
		c.proxy.cfg.PublishQuarantine(changed)
	}
}

// report passes the result of an attempt to the balancer. Its latency ends at
// the first byte of the answer or the failure, so long downloads do not count
// as slow.
func (c *call) report(t *attemptResult, superseded bool) {
	if t.choice.Endpoint == nil {
		return
	}
	if t.outcome() != retry.NotRun {
		c.mayHaveRun.Store(true)
	}
	now := time.Now()
	r := c.result(t)
	r.Canceled = superseded || (t.err != nil && t.err.Canceled)
	c.proxy.cfg.Stats.End(t.choice.Endpoint.ID, now, r)
	if t.outcome() == retry.Ran || superseded {
		c.proxy.cfg.Latencies.Observe(c.route.ID, t.elapsed, now)
	}
	if c.proxy.cfg.CallTimes != nil && t.succeeded() && !superseded {
		c.proxy.cfg.CallTimes.Observe(c.route.ID, t.elapsed, t.choice.Slowness, now)
	}
	c.countCrossRegionBytes(t, max(c.r.ContentLength, 0))
}

// countCrossRegionBytes charges body bytes sent to or received from another
// region against the limit.
func (c *call) countCrossRegionBytes(t *attemptResult, n int64) {
	if t.choice.Tier == balance.TierCrossRegion {
		c.proxy.cfg.Balancer.SpendCrossRegion(time.Now(), n)
	}
}

// serverUnavailable reports whether the result says that the server takes no
// calls at present, so that its retry-after applies to other calls too.
func serverUnavailable(t *attemptResult) bool {
	switch t.reason() {
	case proxy.ReasonOverloaded, proxy.ReasonLinkBusy, proxy.ReasonShedByServer, proxy.ReasonDraining, proxy.ReasonConnectFailed, proxy.ReasonNotReported, proxy.ReasonWrongService, proxy.ReasonVersionHeld:
		return true
	}
	return t.outcome() == retry.Ran && t.status() == http.StatusServiceUnavailable
}

// refusalOf returns which other calls a refusal applies to.
func refusalOf(t *attemptResult) balance.Refusal {
	switch t.reason() {
	case proxy.ReasonOverloaded:
		return balance.RefusedRank
	case proxy.ReasonLinkBusy:
		return balance.RefusedLink
	}
	return balance.RefusedAll
}

func (c *call) result(t *attemptResult) balance.Result {
	r := balance.Result{Latency: t.elapsed, Work: c.work, Rank: c.rank, NotRun: t.outcome() == retry.NotRun, Shed: t.reason() == proxy.ReasonShedByServer}
	if t.answer == nil {
		r.Failed = c.body.Err() == nil
		r.Unreachable = r.Failed && t.err != nil && !t.err.Canceled && !t.err.TimedOut
		return r
	}
	h := t.answer.Header
	if serverUnavailable(t) && !(t.seeksIdle && t.reason() == proxy.ReasonOverloaded) {
		r.RetryAfter, r.Refused = proxy.RetryAfterOf(h), refusalOf(t)
	}
	r.Failed = t.status() >= http.StatusInternalServerError && (!r.NotRun || h.Get(proxy.HeaderReason) == proxy.ReasonConnectFailed)
	r.Report = t.load
	return r
}
