package outbound

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/textproto"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// idleWaitPart is the part of the time left after which a connection that had
// been idle counts as silent. The front waits longer than the guard, so that
// the guard can mend a silent connection to its backend server first.
const idleWaitPart = 2.0 / 3

// tried is the result of one attempt.
type tried struct {
	choice    balance.Choice
	begun     time.Time
	elapsed   time.Duration // until the first byte or the failure
	answer    *proxy.Answer
	err       *proxy.SendError
	failure   *proxy.Failure // when the call went to no server
	exhausted bool           // a retry would have been right but is not allowed
	load      *balance.LoadReport
	// sentBefore is set when the call was sent on a kept connection that was
	// lost, and once more on a new one: the server may have run the first.
	sentBefore bool
}

// outcome returns what is known of the attempt.
func (t *tried) outcome() retry.Outcome {
	switch {
	case t.answer != nil:
		return retry.Outcome(t.answer.Header.Get(proxy.HeaderOutcome))
	case t.err != nil && t.err.Sent:
		return retry.Unknown
	}
	return retry.NotRun
}

func (t *tried) status() int {
	if t.answer == nil {
		return 0
	}
	return t.answer.StatusCode
}

// good reports whether the attempt brought the answer of a healthy server.
func (t *tried) good() bool {
	return t.answer != nil && t.outcome() == retry.Ran && t.answer.StatusCode < http.StatusInternalServerError
}

func (t *tried) reason() string {
	switch {
	case t.answer != nil:
		return t.answer.Header.Get(proxy.HeaderReason)
	case t.err != nil && !t.err.Sent:
		return proxy.ReasonConnect
	}
	return ""
}

// tryAll sends the call until an answer is to be given to the caller.
func (c *call) tryAll() *tried {
	var last *tried
	if c.remaining() <= 0 {
		return &tried{failure: proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "no time is left for the call")}
	}
	for {
		choice, err := c.pick(last)
		if err != nil {
			return c.noServer(last, err)
		}
		c.drop(last)
		t := c.try(choice)
		c.count(t)
		if !c.again(t) {
			return t
		}
		c.exclude = append(c.exclude, choice.Endpoint.ID)
		last = t
	}
}

// again decides whether another server is tried after an attempt.
func (c *call) again(t *tried) bool {
	if c.body.Err() != nil {
		return false // no server can do better with a broken body
	}
	d := retry.Decide(c.describe(t))
	if d.Verdict == retry.TryNext && !d.Unbudgeted && !c.spend() {
		d.Verdict = retry.GiveUp
	}
	c.logAttempt(t, d)
	t.exhausted = d.Verdict == retry.GiveUp
	return d.Verdict == retry.TryNext
}

// expectedBytes is about how many bytes the call moves.
func (c *call) expectedBytes() int64 {
	if c.front.cfg.Sizes == nil {
		return 0
	}
	return c.front.cfg.Sizes.Mean(c.route.ID)
}

// patienceShare of the time to the route's latency objective may be spent
// waiting at one server while another one has not been asked yet.
const patienceShare = 0.25

// patience is how long the call would rather wait for a slot than be sent on
// to another server. It is 0, which sets no bound, when none is left.
func (c *call) patience(choice balance.Choice) time.Duration {
	objective := time.Duration(c.route.LatencyObjective)
	others := len(c.service.Endpoints) - len(c.exclude) - 1
	if objective == 0 || others <= 0 || c.refusals >= patientRefusals {
		return 0
	}
	left := objective - time.Since(c.started)
	return max(time.Duration(float64(left)*patienceShare), leastPatience)
}

const (
	// patientRefusals is how many servers are asked with a bound on the wait.
	// The next one may let the call wait for as long as its deadline allows.
	patientRefusals = 2
	// leastPatience keeps a call that is late from being refused everywhere.
	leastPatience = 10 * time.Millisecond
)

// count notes an attempt that ended. A refusal by the node beside a backend
// server adds no load there, so it is no try unless an earlier sending of the
// attempt may have run.
func (c *call) count(t *tried) {
	if t.outcome() == retry.NotRun && t.reason() != proxy.ReasonShed && !t.sentBefore {
		c.refusals++
		return
	}
	c.tries++
}

// maxRetries returns how many servers the call may be sent to after the first.
func (c *call) maxRetries() int {
	if c.route.MaxAttempts > 0 {
		return c.route.MaxAttempts - 1
	}
	return c.policy.Retries
}

func (c *call) describe(t *tried) retry.Attempt {
	a := retry.Attempt{
		Idempotent: c.idempotent, Outcome: t.outcome(), Reason: t.reason(), Status: t.status(),
		Tries: c.tries, Refusals: c.refusals, MaxRetries: c.maxRetries(), Remaining: c.remaining(), Needed: proxy.LeastAttempt,
		Canceled: c.ctx.Err() != nil, BodyLost: !c.body.Resendable(),
	}
	if t.answer != nil {
		a.AnswerHops = proxy.AnswerHops(t.answer.Header)
	}
	return a
}

func (c *call) spend() bool {
	return c.front.cfg.Budgets.Spend(c.service.Name, c.policy.RetryBudget, time.Now())
}

// pick chooses the next server. When every server was tried and the last one
// asked to be tried later, it waits for that time if the deadline allows.
func (c *call) pick(last *tried) (balance.Choice, error) {
	request := balance.Request{Service: c.service, Exclude: c.exclude, Bytes: c.expectedBytes()}
	choice, err := c.front.cfg.Balancer.Pick(time.Now(), request)
	if err == nil || last == nil || last.outcome() != retry.NotRun || last.answer == nil {
		return choice, err
	}
	after := proxy.RetryAfterOf(last.answer.Header)
	if after == 0 || after > c.remaining()/2 || !wait.For(c.ctx, after) {
		return choice, err
	}
	request.Exclude = nil
	return c.front.cfg.Balancer.Pick(time.Now(), request)
}

// noServer returns what to give when no server is left to be tried.
func (c *call) noServer(last *tried, err error) *tried {
	if last != nil {
		last.exhausted = true
		return last
	}
	reason, message := proxy.ReasonNoBackend, "the service has no backend server to send the call to"
	if errors.Is(err, balance.ErrCrossRegionLimit) {
		reason, message = proxy.ReasonBudget, "only other regions have a backend server and the bound on bytes to them is spent"
	}
	return &tried{failure: proxy.NotRun(http.StatusServiceUnavailable, reason, message).Later(time.Second)}
}

// drop closes the answer of an attempt that is not given to the caller.
func (c *call) drop(t *tried) {
	if t == nil {
		return
	}
	if t.answer != nil {
		t.answer.Discard()
	}
	c.finish(t, false)
}

// attempt sends the call to one server.
func (c *call) attempt(ctx context.Context, choice balance.Choice, early func(int, textproto.MIMEHeader)) *tried {
	t := &tried{choice: choice, begun: time.Now()}
	c.front.cfg.Stats.Begin(choice.Endpoint.ID, t.begun)
	t.answer, t.err = c.send(ctx, choice, false, early)
	if c.mayRepeat(t.err) {
		t.sentBefore = t.err.Sent
		if t.sentBefore {
			c.mayHaveRun.Store(true)
		}
		t.answer, t.err = c.send(ctx, choice, true, early)
		if t.err != nil {
			t.err.Sent = t.err.Sent || t.sentBefore
		}
	}
	t.elapsed = time.Since(t.begun)
	if t.answer != nil {
		t.load = proxy.ParseLoad(t.answer.Header.Get(proxy.HeaderLoad))
		c.learn(t.answer.Header)
	}
	return t
}

// mayRepeat reports whether a call that failed on a connection used before is
// sent again on a new one, before the server is blamed.
func (c *call) mayRepeat(err *proxy.SendError) bool {
	if err == nil || !err.Reused || err.Canceled || c.remaining() < proxy.LeastAttempt || !c.body.Resendable() {
		return false
	}
	return !err.Sent || ((c.idempotent || c.once) && c.spend())
}

func (c *call) send(ctx context.Context, choice balance.Choice, fresh bool, early func(int, textproto.MIMEHeader)) (*proxy.Answer, *proxy.SendError) {
	left := max(c.remaining(), time.Millisecond)
	header := maps.Clone(c.header)
	mark := strconv.FormatUint(rand.Uint64(), 36)
	header[proxy.HeaderCall] = []string{mark}
	if patience := c.patience(choice); patience > 0 {
		header[proxy.HeaderPatienceMs] = []string{strconv.FormatInt(patience.Milliseconds(), 10)}
	}
	header[proxy.HeaderDeadlineMs] = []string{proxy.FormatDeadline(left)}
	s := proxy.Sending{
		Address: choice.Endpoint.GuardAddress, Request: c.r, Header: header, Body: c.body,
		Wait: left, Fresh: fresh, Early: early,
	}
	if c.idempotent || c.once {
		s.IdleWait = time.Duration(float64(left) * idleWaitPart)
	}
	a, err := c.front.cfg.Link.Send(ctx, s)
	if err == nil && (a.Header.Get(proxy.HeaderCall) != mark || a.Header.Get(proxy.HeaderOutcome) == "") {
		a.Close()
		return nil, &proxy.SendError{Cause: proxy.ErrMismatch, Sent: true, Connected: true}
	}
	return a, err
}

// learn takes over what a node says beside its answer.
func (c *call) learn(h http.Header) {
	text := h.Get(proxy.HeaderQuarantine)
	if text == "" {
		return
	}
	if news := c.front.cfg.Quarantine.Merge(proxy.ParseEntries(text), time.Now()); len(news) > 0 {
		c.front.cfg.News(news)
	}
}

// finish reports an attempt to the balancer, at the first byte of the answer
// or the failure, so that long downloads do not look slow.
func (c *call) finish(t *tried, lost bool) {
	if t.choice.Endpoint == nil {
		return
	}
	if t.outcome() != retry.NotRun {
		c.mayHaveRun.Store(true)
	}
	now := time.Now()
	r := c.result(t)
	r.Canceled = lost || (t.err != nil && t.err.Canceled)
	c.front.cfg.Stats.End(t.choice.Endpoint.ID, now, r)
	if t.outcome() == retry.Ran || lost {
		c.front.cfg.Latencies.Observe(c.route.ID, t.elapsed, now)
	}
	c.spendBytes(t, max(c.r.ContentLength, 0))
}

// spendBytes counts bytes of bodies that go to or come from another region.
func (c *call) spendBytes(t *tried, n int64) {
	if t.choice.Tier == balance.TierCrossRegion {
		c.front.cfg.Balancer.SpendCrossRegion(time.Now(), n)
	}
}

// steers reports whether an answer speaks of the server's load, so that its
// retry-after holds for other calls too.
func steers(t *tried) bool {
	switch t.reason() {
	case proxy.ReasonOverloaded, proxy.ReasonShed, proxy.ReasonDraining, proxy.ReasonConnect, proxy.ReasonNotReported, proxy.ReasonWrongService:
		return true
	}
	return t.outcome() == retry.Ran && t.status() == http.StatusServiceUnavailable
}

func (c *call) result(t *tried) balance.Result {
	r := balance.Result{Latency: t.elapsed, NotRun: t.outcome() == retry.NotRun, Shed: t.reason() == proxy.ReasonShed}
	if t.answer == nil {
		r.Failed = c.body.Err() == nil
		r.Unreachable = r.Failed && t.err != nil && !t.err.Canceled && !t.err.TimedOut
		return r
	}
	h := t.answer.Header
	if steers(t) {
		r.RetryAfter = proxy.RetryAfterOf(h)
	}
	r.Failed = t.status() >= http.StatusInternalServerError && (!r.NotRun || h.Get(proxy.HeaderReason) == proxy.ReasonConnect)
	r.Report = t.load
	return r
}
