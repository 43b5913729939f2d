package inbound

import (
	"cmp"
	"context"
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

// place is what a call holds while it runs on the backend server.
type place struct {
	visit  *visit
	ticket *admission.Ticket
	pass   *quarantine.Pass
	begun  time.Time
}

// leave gives the slot back. ok tells whether the time served is a fair
// sample of the route.
func (p *place) leave(ok bool) {
	now := time.Now()
	p.ticket.Release(now, now.Sub(p.begun), ok)
	p.pass.Release()
	p.visit.guard.cfg.InFlight.Remove(p.visit.guard.cfg.Self, p.visit.fp)
}

// admit gets a place on the backend server, or the reason why there is none.
func (v *visit) admit() (*place, *proxy.Failure) {
	g := v.guard
	now := time.Now()
	pass, admission := g.cfg.Quarantine.Run(v.fp, g.cfg.Self, now)
	if admission != quarantine.Admitted {
		return nil, proxy.QuarantineRefusal(admission, g.cfg.Quarantine.Check(v.fp, now), now)
	}
	ticket, f := v.enter(now)
	if f != nil {
		pass.Release()
		return nil, f
	}
	g.cfg.InFlight.Add(g.cfg.Self, v.fp)
	return &place{visit: v, ticket: ticket, pass: pass, begun: time.Now()}, nil
}

// enter gets a slot, waiting in the queue if need be.
func (v *visit) enter(now time.Time) (*admission.Ticket, *proxy.Failure) {
	priority := admission.Caller
	if v.r.Header.Get(proxy.HeaderPriority) == proxy.PriorityBackground {
		priority = admission.Background
	}
	ticket, d := v.guard.cfg.Gate.Acquire(now, admission.Request{
		Route: v.r.Header.Get(proxy.HeaderRoute), Priority: priority, Deadline: v.deadline, MaxWait: proxy.PatienceOf(v.r.Header),
	})
	if d.Verdict == admission.Queued {
		d = v.await(ticket)
	}
	if d.Verdict == admission.Refused {
		return nil, gateFailure(d)
	}
	return ticket, nil
}

// await waits for the decision on a queued call.
func (v *visit) await(ticket *admission.Ticket) admission.Decision {
	timer := time.NewTimer(time.Until(v.deadline))
	defer timer.Stop()
	select {
	case d := <-ticket.Ready():
		return d
	case <-timer.C:
	case <-v.ctx.Done():
	}
	ticket.Release(time.Now(), 0, false)
	return admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDeadline}
}

func gateFailure(d admission.Decision) *proxy.Failure {
	switch d.Reason {
	case admission.ReasonDraining:
		return drainingFailure()
	case admission.ReasonDeadline:
		return proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "too little time is left for the call").Later(d.RetryAfter)
	}
	return proxy.NotRun(http.StatusServiceUnavailable, string(d.Reason), "the backend server has no slot in time").Later(d.RetryAfter)
}

// exchange sends the call to the backend server and waits for the header of
// its answer.
func (v *visit) exchange() (*proxy.Answer, *proxy.SendError) {
	v.guard.budget.AddCall(v.guard.cfg.Self, resendShare, time.Now())
	a, err := v.sendOnce(false)
	if err != nil && v.mayRepeat(err) {
		sent := err.Sent
		a, err = v.sendOnce(true)
		if err != nil {
			err.Sent = err.Sent || sent // the first sending counts too
		}
	}
	v.early.Stop()
	v.noteState(err)
	return a, err
}

// sendOnce sends the call and looks for a crash when it is lost.
func (v *visit) sendOnce(fresh bool) (*proxy.Answer, *proxy.SendError) {
	if f := v.guard.closed(time.Now()); f != nil {
		return nil, &proxy.SendError{Cause: errors.Mark(errors.New(f.Message), errClosed)}
	}
	a, err := v.send(fresh)
	if err == nil && !v.guard.cfg.Dialect.Matches(v.r, a) {
		a.Close()
		return nil, &proxy.SendError{Cause: proxy.ErrMismatch, Sent: true, Connected: true, Reused: !fresh}
	}
	if err != nil && v.lost(err) {
		v.checkCrash()
	}
	return a, err
}

// mayRepeat reports whether a call that failed on a connection used before is
// sent again on a new one, before the server is blamed.
func (v *visit) mayRepeat(err *proxy.SendError) bool {
	if !err.Reused || err.Canceled || time.Until(v.deadline) < proxy.LeastAttempt || v.guard.down.Load() {
		return false
	}
	return v.body.Resendable() && (!err.Sent || (v.repeat && v.spend()))
}

// backendIdleWaitPart is the part of the time left after which a connection
// that had been idle counts as silent. It lies below the front's part.
const backendIdleWaitPart = 1.0 / 3

// resendShare bounds the calls that a guard sends again on a new connection,
// so that a server that loses every call is not sent each of them twice.
const resendShare = 0.1

func (v *visit) spend() bool {
	return v.guard.budget.Spend(v.guard.cfg.Self, resendShare, time.Now())
}

func (v *visit) send(fresh bool) (*proxy.Answer, *proxy.SendError) {
	left := max(time.Until(v.deadline), time.Millisecond)
	s := proxy.Sending{
		Address: v.guard.cfg.Address, Request: v.r, Header: v.backendHeader(left), Body: v.body,
		Wait: left, Fresh: fresh, Early: v.early.Pass,
	}
	if v.repeat {
		s.IdleWait = time.Duration(float64(left) * backendIdleWaitPart)
	} else {
		s.MaxIdle = v.guard.cfg.Link.FreshAfter()
	}
	return v.guard.cfg.Link.Send(v.ctx, s)
}

// backendHeader returns the headers for the backend server, which gets the
// deadline, hops and priority to pass them on.
func (v *visit) backendHeader(left time.Duration) http.Header {
	h := proxy.RequestHeader(v.r)
	if key, ok := h[proxy.HeaderKey]; ok {
		h[proxy.HeaderKeyCaller] = key
	}
	for _, name := range []string{proxy.HeaderKey, proxy.HeaderRoute, proxy.HeaderService, proxy.HeaderPatienceMs, proxy.HeaderOnce, proxy.HeaderHeld, proxy.HeaderCall, proxy.HeaderRepeat, proxy.HeaderQuarantine} {
		delete(h, name)
	}
	v.speak(h, left)
	proxy.HideRepeatKeys(h)
	return h
}

// lost reports whether the connection ended under a call that the backend
// server may have begun to run.
func (v *visit) lost(err *proxy.SendError) bool {
	return err.Sent && !err.Canceled && !err.TimedOut && v.body.Err() == nil
}

// noteState keeps account of whether the backend server takes connections. A
// server that comes back starts cold.
func (v *visit) noteState(err *proxy.SendError) {
	g := v.guard
	switch {
	case err == nil:
		if g.down.CompareAndSwap(true, false) {
			g.cfg.Gate.ServerStarted(time.Now())
		}
	case err.Refused():
		g.down.Store(true)
	}
}

// downRetryAfter is the time after which a backend server that refuses
// connections is worth another try.
const downRetryAfter = 200 * time.Millisecond

func (v *visit) failureOf(err *proxy.SendError) *proxy.Failure {
	if errors.Is(err, errClosed) {
		return cmp.Or(v.guard.closed(time.Now()), drainingFailure())
	}
	f := proxy.FailureOf(err, v.body)
	if err.Refused() {
		f = f.Later(downRetryAfter)
	}
	return f
}

// crashProbes are the waits before each look at whether a server that lost a
// connection refuses new ones. A dying process closes its connections and its
// listener one after the other.
var crashProbes = []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond}

// checkCrash recognises a crash after a lost connection: the backend server
// refuses new ones. All that was in flight becomes suspect.
func (v *visit) checkCrash() {
	g := v.guard
	for _, delay := range crashProbes {
		if !wait.For(v.ctx, delay) {
			return
		}
		if !g.cfg.Link.Refuses(v.ctx, g.cfg.Address) {
			continue
		}
		g.down.Store(true)
		v.tell(g.cfg.Quarantine.Crash(g.cfg.Self, g.cfg.InFlight.On(g.cfg.Self), time.Now()))
		return
	}
}

// tell passes news of quarantine on.
func (v *visit) tell(news []quarantine.Entry) {
	if len(news) == 0 {
		return
	}
	v.news = append(v.news, news...)
	v.guard.cfg.News(news)
}

// relay passes the backend server's answer on. Its error means that the answer
// is not whole.
func (v *visit) relay(a *proxy.Answer) (int64, error) {
	h := a.Header
	hops := proxy.AnswerHops(h)
	exhausted := h.Get(proxy.HeaderReason) == retry.ReasonExhausted ||
		a.StatusCode >= http.StatusInternalServerError && v.guard.cfg.Downstream.FailedSince(v.begun)
	delete(h, proxy.HeaderReason)
	delete(h, proxy.HeaderQuarantine)
	v.tag(h)
	h[proxy.HeaderOutcome] = []string{string(proxy.OutcomeRan)}
	if hops > 0 {
		h[proxy.HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	}
	if exhausted {
		h[proxy.HeaderReason] = []string{retry.ReasonExhausted}
	}
	n, err := proxy.Relay(v.w, v.r, a)
	switch {
	case err == nil:
		v.tell(v.guard.cfg.Quarantine.Success(v.fp, time.Now()))
	case !errors.Is(err, proxy.ErrCaller) && v.ctx.Err() == nil && !errors.Is(context.Cause(a.Request.Context()), proxy.ErrProgress):
		v.checkCrash()
	}
	return n, err
}
