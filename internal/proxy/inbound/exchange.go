package inbound

import (
	"cmp"
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// slot holds what a call occupies while it runs on the backend server.
type slot struct {
	call     *call
	ticket   *admission.Ticket
	permit   *quarantine.Permit
	started  time.Time
	released bool
}

// release frees the slot; further calls do nothing. ok reports whether the service
// time is a valid sample for the route.
func (s *slot) release(ok bool) {
	if s.released {
		return
	}
	s.released = true
	now := time.Now()
	s.ticket.Release(now, now.Sub(s.started), ok)
	s.permit.Release()
	s.call.proxy.cfg.InFlight.Remove(s.call.proxy.cfg.Self, s.call.fingerprint)
}

// admit acquires a slot on the backend server, or returns the reason for the
// refusal.
func (c *call) admit() (*slot, *proxy.Failure) {
	p := c.proxy
	now := time.Now()
	permit, admission := p.cfg.Quarantine.AdmitRun(c.fingerprint, p.cfg.Self, now)
	if admission != quarantine.Admitted {
		return nil, proxy.QuarantineRefusal(admission, p.cfg.Quarantine.Check(c.fingerprint, now), now)
	}
	ticket, f := c.acquireTicket(now)
	if f != nil {
		permit.Release()
		return nil, f
	}
	p.cfg.InFlight.Add(p.cfg.Self, c.fingerprint)
	return &slot{call: c, ticket: ticket, permit: permit, started: time.Now()}, nil
}

// slotRequest returns the request for a slot of the backend server.
func (c *call) slotRequest() admission.Request {
	priority := admission.Caller
	if c.r.Header.Get(proxy.HeaderPriority) == proxy.PriorityBackground {
		priority = admission.Background
	}
	request := admission.Request{
		Route: proxy.RouteOf(c.r.Header), Priority: priority, Rank: proxy.RankOf(c.r.Header),
		Work:     proxy.WorkOf(c.r.Header),
		Deadline: c.deadline, MaxWait: proxy.MaxSlotWaitOf(c.r.Header), Bytes: c.proxy.answerSizes.Mean(proxy.RouteOf(c.r.Header)),
	}
	if left, ok := proxy.ObjectiveOf(c.r.Header); ok {
		request.Objective = c.started.Add(left)
	}
	return request
}

// acquireTicket acquires a ticket from the admission controller and waits in
// its queue if necessary.
func (c *call) acquireTicket(now time.Time) (*admission.Ticket, *proxy.Failure) {
	request := c.slotRequest()
	if c.received {
		request.MaxWait = 0 // at another server the body would use its link again
	}
	ticket, d := c.proxy.cfg.Admission.Acquire(now, request)
	if d.Verdict == admission.Queued {
		d = c.awaitTicket(ticket)
	}
	if d.Verdict == admission.Refused {
		return nil, admissionFailure(d)
	}
	return ticket, nil
}

// awaitTicket waits for the decision on a queued call. When its deadline passes
// or its caller disconnects first, it is refused.
func (c *call) awaitTicket(ticket *admission.Ticket) admission.Decision {
	timer := time.NewTimer(time.Until(c.deadline))
	defer timer.Stop()
	select {
	case d := <-ticket.Ready():
		return d
	case <-timer.C:
	case <-c.ctx.Done():
	}
	ticket.Release(time.Now(), 0, false)
	return admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDeadline}
}

func admissionFailure(d admission.Decision) *proxy.Failure {
	switch d.Reason {
	case admission.ReasonDraining:
		return drainingFailure()
	case admission.ReasonDeadline:
		return proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "too little time is left for the call").WithRetryAfter(d.RetryAfter)
	}
	message := "no slot of the backend server becomes free in time"
	if d.Reason == admission.ReasonLinkBusy {
		message = "the link of the backend server has no room for the answer in time"
	}
	return proxy.NotRun(http.StatusServiceUnavailable, string(d.Reason), message).WithRetryAfter(d.RetryAfter)
}

// exchange sends the call to the backend server, again if mayResend allows it, and
// waits for the header of its answer. It returns a failure when the server did not
// answer or reports that it did not run the call.
func (c *call) exchange() (*proxy.Answer, *proxy.Failure) {
	c.proxy.budget.AddCall(c.proxy.cfg.Self, c.proxy.maxResends(), time.Now())
	a, err := c.sendAndDetectCrash(c.wasRefused())
	firstMayHaveRun := false
	if err != nil && c.mayResend(err) && c.limitAllowsResend(err) {
		firstMayHaveRun = err.Sent
		a, err = c.sendAndDetectCrash(true)
	}
	c.earlyHints.Stop()
	c.recordBackendState(err)
	f := c.exchangeFailure(a, err)
	if f != nil && f.Outcome == proxy.OutcomeNotRun && firstMayHaveRun {
		f = proxy.Unknown(http.StatusBadGateway, f.Reason, "an earlier transmission may have run and the resend was refused").WithRetryAfter(f.RetryAfter)
	}
	return a, f
}

// exchangeFailure returns the failure of the last transmission of a call, or nil when
// the backend server has run the call and answered.
func (c *call) exchangeFailure(a *proxy.Answer, err *proxy.SendError) *proxy.Failure {
	switch {
	case err != nil:
		return c.failureOf(err)
	case c.proxy.cfg.Dialect.ReportsNotRun(a):
		a.Close()
		return c.shedFailure(a)
	}
	return nil
}

// sendAndDetectCrash sends the call once and checks for a crash when the
// connection is lost.
func (c *call) sendAndDetectCrash(fresh bool) (*proxy.Answer, *proxy.SendError) {
	if f := c.proxy.sendRefusal(time.Now()); f != nil {
		return nil, &proxy.SendError{Cause: errors.Mark(errors.New(f.Message), errNotTakingCalls)}
	}
	if !time.Now().Before(c.deadline) {
		// The process may have been paused after the call got its slot.
		return nil, &proxy.SendError{Cause: errors.Mark(errors.New("the call's deadline has passed"), errExpired)}
	}
	server := c.proxy.serverState.Load()
	c.sentState = server
	sent := time.Now()
	a, err := c.send(fresh)
	if err == nil && !c.proxy.cfg.Dialect.Matches(c.r, a) {
		a.Close()
		return nil, &proxy.SendError{Cause: proxy.ErrMismatch, Sent: true, Connected: true, Reused: !fresh}
	}
	if err == nil {
		c.proxy.observeAnswer(a.Header, server, sent)
	}
	if err != nil && c.connectionLost(err) {
		c.checkCrash()
	}
	return a, err
}

// mayResend reports whether a call that failed on a reused connection is sent
// again on a new one before the failure counts against the server. If it may have
// run, this takes a token from the resend budget.
func (c *call) mayResend(err *proxy.SendError) bool {
	if !err.Reused || err.Canceled || time.Until(c.deadline) < proxy.MinAttemptTime || c.proxy.backendDown.Load() {
		return false
	}
	return c.body.Resendable() && (!err.Sent || (c.repeatable && c.spendResendBudget()))
}

// limitAllowsResend reports whether the limit of the backend server leaves room for
// a second transmission. The first counts only if the server got it.
func (c *call) limitAllowsResend(err *proxy.SendError) bool {
	return !err.Sent || c.proxy.cfg.Admission.SpendResend(time.Now())
}

// idleWaitFraction is the fraction of the remaining time after which a reused
// connection without an answer is treated as dead. It is smaller than that of
// the outbound proxy.
const idleWaitFraction = 1.0 / 3

// maxResendFraction limits the fraction of calls that are sent again on a new
// connection, so that a server that loses every call does not get each twice.
const maxResendFraction = 0.1

// resendFractionOfBudget limits that fraction in relation to the service's retry
// budget: resends come on top of the retries of the callers' nodes, which may use
// that budget in full.
const resendFractionOfBudget = 0.25

// SetRetryBudget sets the retry budget of the service's policy, as a fraction of
// its calls.
func (p *Proxy) SetRetryBudget(fraction float64) {
	p.resendFraction.Store(math.Float64bits(min(maxResendFraction, fraction*resendFractionOfBudget)))
}

// maxResends returns the fraction of calls that are sent again on a new connection.
func (p *Proxy) maxResends() float64 { return math.Float64frombits(p.resendFraction.Load()) }

func (c *call) spendResendBudget() bool {
	return c.proxy.budget.Spend(c.proxy.cfg.Self, c.proxy.maxResends(), time.Now())
}

func (c *call) send(fresh bool) (*proxy.Answer, *proxy.SendError) {
	left := max(time.Until(c.deadline), time.Millisecond)
	s := proxy.Transmission{
		Address: c.proxy.cfg.Address, Request: c.r, Header: c.backendHeader(left), Body: c.body,
		Wait: left, Fresh: fresh, OnEarlyHint: c.earlyHints.Relay,
	}
	if c.repeatable {
		s.IdleWait = time.Duration(float64(left) * idleWaitFraction)
	} else {
		s.MaxIdle = c.proxy.cfg.Backend.FreshAfter()
	}
	return c.proxy.cfg.Backend.Send(c.ctx, s)
}

// backendHeader returns the headers for the backend server. The server gets the
// deadline and, unless its dialect names another deadline header, the hops and
// priority, so that it can forward them with its own calls.
func (c *call) backendHeader(left time.Duration) http.Header {
	h := proxy.RequestHeader(c.r)
	if key, ok := h[proxy.HeaderInternalKey]; ok {
		h[proxy.HeaderIdempotencyKey] = key
	}
	for _, name := range []string{proxy.HeaderInternalKey, proxy.HeaderRoute, proxy.HeaderService, proxy.HeaderRank, proxy.HeaderObjectiveMs, proxy.HeaderWork, proxy.HeaderMaxSlotWaitMs, proxy.HeaderAtMostOnce, proxy.HeaderClaim, proxy.HeaderExchangeID, proxy.HeaderRepeatable, proxy.HeaderQuarantine} {
		delete(h, name)
	}
	if proxy.BodyOnDemand(h) {
		delete(h, proxy.HeaderBodyOnDemand)
		delete(h, "Expect") // it was the outbound proxy's
	}
	c.setDialectHeaders(h, left)
	proxy.SetOrganisation(h, &c.proxy.cfg.Dialect, proxy.OrganisationOf(c.r.Header))
	proxy.HideIdempotencyKeys(h)
	return h
}

// connectionLost reports whether the connection ended during a call that the
// backend server may have started to run.
func (c *call) connectionLost(err *proxy.SendError) bool {
	return err.Sent && !err.Canceled && !err.TimedOut && c.body.Err() == nil
}

// recordBackendState records whether the backend server accepts connections. A
// server that accepts them again goes through a cold start.
func (c *call) recordBackendState(err *proxy.SendError) {
	p := c.proxy
	switch {
	case err == nil:
		if p.backendDown.CompareAndSwap(true, false) {
			p.cfg.Admission.ServerStarted(time.Now())
		}
	case err.ConnectFailed():
		p.backendDown.Store(true)
	}
}

// downRetryAfter is the retry-after for a backend server that refuses
// connections.
const downRetryAfter = 200 * time.Millisecond

func (c *call) failureOf(err *proxy.SendError) *proxy.Failure {
	if errors.Is(err, errNotTakingCalls) {
		return cmp.Or(c.proxy.sendRefusal(time.Now()), drainingFailure())
	}
	if errors.Is(err, errExpired) && !err.Sent {
		return admissionFailure(admission.Decision{Reason: admission.ReasonDeadline})
	}
	f := proxy.FailureOf(err, c.body)
	if err.ConnectFailed() {
		f = f.WithRetryAfter(downRetryAfter)
	}
	return f
}

// crashProbeDelays are the waits before each check whether a server that lost a
// connection refuses new ones. An exiting process closes its connections and
// its listener one after the other.
var crashProbeDelays = []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond}

// checkCrash detects a crash after a lost connection: the backend server
// refuses new ones. All requests in flight become suspect.
func (c *call) checkCrash() {
	p := c.proxy
	for _, delay := range crashProbeDelays {
		if !wait.For(c.ctx, delay) {
			return
		}
		if !p.cfg.Backend.Refuses(c.ctx, p.cfg.Address) {
			continue
		}
		p.backendDown.Store(true)
		c.publishQuarantine(p.cfg.Quarantine.RecordCrash(p.cfg.Self, p.cfg.InFlight.On(p.cfg.Self), time.Now()))
		return
	}
}

// publishQuarantine sends changed quarantine entries to other nodes and to the
// outbound proxy.
func (c *call) publishQuarantine(changed []quarantine.Entry) {
	if len(changed) == 0 {
		return
	}
	c.quarantineUpdates = append(c.quarantineUpdates, changed...)
	c.proxy.cfg.PublishQuarantine(changed)
}

// relay copies the backend server's answer to the outbound proxy. An error
// means that the answer is incomplete.
func (c *call) relay(a *proxy.Answer) (int64, error) {
	h := a.Header
	hops := proxy.AnswerHopsOf(h)
	exhausted := h.Get(proxy.HeaderReason) == retry.ReasonExhausted ||
		a.StatusCode >= http.StatusInternalServerError && c.proxy.cfg.Downstream.FailedSince(c.started)
	delete(h, proxy.HeaderReason)
	delete(h, proxy.HeaderQuarantine)
	if c.proxy.cfg.Dialect.CallID == "" {
		delete(h, proxy.HeaderTransmissionID)
	}
	c.setNodeHeaders(h)
	h[proxy.HeaderOutcome] = []string{string(proxy.OutcomeRan)}
	if hops > 0 {
		h[proxy.HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	}
	if exhausted {
		h[proxy.HeaderReason] = []string{retry.ReasonExhausted}
	}
	n, err := proxy.Relay(c.w, c.r, a)
	if err == nil {
		c.proxy.answerSizes.Observe(proxy.RouteOf(c.r.Header), n, time.Now())
	}
	switch {
	case err == nil:
		c.publishQuarantine(c.proxy.cfg.Quarantine.RecordSuccess(c.fingerprint, time.Now()))
	case !errors.Is(err, proxy.ErrCallerWrite) && c.ctx.Err() == nil && !errors.Is(context.Cause(a.Request.Context()), proxy.ErrNoProgress):
		c.checkCrash()
	}
	return n, err
}
