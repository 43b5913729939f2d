package proxy

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
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
	p.ticket.Leave(now, now.Sub(p.begun), ok)
	p.pass.Release()
	p.visit.guard.cfg.InFlight.Remove(p.visit.guard.cfg.Self, p.visit.fp)
}

// admit gets a place on the backend server, or the reason why there is none.
func (v *visit) admit() (*place, *Failure) {
	g := v.guard
	now := time.Now()
	pass, admission := g.cfg.Quarantine.Run(v.fp, g.cfg.Self, now)
	if admission != quarantine.Admitted {
		return nil, refusalBy(admission, g.cfg.Quarantine.Check(v.fp, now), now)
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
func (v *visit) enter(now time.Time) (*admission.Ticket, *Failure) {
	priority := admission.Caller
	if v.r.Header.Get(HeaderPriority) == priorityBackground {
		priority = admission.Background
	}
	ticket, d := v.guard.cfg.Gate.Enter(now, admission.Request{
		Route: v.r.Header.Get(HeaderRoute), Priority: priority, Deadline: v.deadline, Patience: patienceOf(v.r.Header),
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
	ticket.Leave(time.Now(), 0, false)
	return admission.Decision{Verdict: admission.Refused, Reason: admission.ReasonDeadline}
}

func gateFailure(d admission.Decision) *Failure {
	switch d.Reason {
	case admission.ReasonDraining:
		return drainingFailure()
	case admission.ReasonDeadline:
		return notRun(http.StatusGatewayTimeout, ReasonDeadline, "too little time is left for the call").later(d.RetryAfter)
	}
	return notRun(http.StatusServiceUnavailable, string(d.Reason), "the backend server has no slot in time").later(d.RetryAfter)
}

// exchange sends the call to the backend server and waits for the header of
// its answer.
func (v *visit) exchange() (*answer, *sendError) {
	v.guard.budget.Call(v.guard.cfg.Self, resendShare, time.Now())
	a, err := v.sendOnce(false)
	if err != nil && v.mayRepeat(err) {
		sent := err.sent
		a, err = v.sendOnce(true)
		if err != nil {
			err.sent = err.sent || sent // the first sending counts too
		}
	}
	v.early.stop()
	v.noteState(err)
	return a, err
}

// sendOnce sends the call and looks for a crash when it is lost.
func (v *visit) sendOnce(fresh bool) (*answer, *sendError) {
	if f := v.guard.closed(time.Now()); f != nil {
		return nil, &sendError{cause: errors.Mark(errors.New(f.Message), errClosed)}
	}
	a, err := v.send(fresh)
	if err == nil && !v.guard.cfg.Dialect.answers(v.r, a) {
		a.Close()
		return nil, &sendError{cause: errMismatch, sent: true, connected: true, reused: !fresh}
	}
	if err != nil && v.lost(err) {
		v.checkCrash()
	}
	return a, err
}

// mayRepeat reports whether a call that failed on a connection used before is
// sent again on a new one, before the server is blamed.
func (v *visit) mayRepeat(err *sendError) bool {
	if !err.reused || err.canceled || time.Until(v.deadline) < leastAttempt || v.guard.down.Load() {
		return false
	}
	return v.body.resendable() && (!err.sent || (v.repeat && v.spend()))
}

// resendShare bounds the calls that a guard sends again on a new connection,
// so that a server that loses every call is not sent each of them twice.
const resendShare = 0.1

func (v *visit) spend() bool {
	return v.guard.budget.Spend(v.guard.cfg.Self, resendShare, time.Now())
}

func (v *visit) send(fresh bool) (*answer, *sendError) {
	left := max(time.Until(v.deadline), time.Millisecond)
	s := sending{
		address: v.guard.cfg.Address, in: v.r, header: v.backendHeader(left), body: v.body,
		wait: left, fresh: fresh, early: v.early.pass,
	}
	if v.repeat {
		s.idleWait = time.Duration(float64(left) * guardIdleWait)
	} else {
		s.maxIdle = v.guard.cfg.Link.freshAfter
	}
	return v.guard.cfg.Link.send(v.ctx, s)
}

// backendHeader returns the headers for the backend server, which gets the
// deadline, hops and priority to pass them on.
func (v *visit) backendHeader(left time.Duration) http.Header {
	h := requestHeader(v.r)
	if key, ok := h[HeaderKey]; ok {
		h[HeaderKeyCaller] = key
	}
	for _, name := range []string{HeaderKey, HeaderRoute, HeaderService, HeaderPatienceMs, HeaderOnce, HeaderHeld, HeaderCall, HeaderRepeat, HeaderQuarantine} {
		delete(h, name)
	}
	v.speak(h, left)
	hideRepeatKeys(h)
	return h
}

// lost reports whether the connection ended under a call that the backend
// server may have begun to run.
func (v *visit) lost(err *sendError) bool {
	return err.sent && !err.canceled && !err.timedOut && v.body.failure() == nil
}

// noteState keeps account of whether the backend server takes connections. A
// server that comes back starts cold.
func (v *visit) noteState(err *sendError) {
	g := v.guard
	switch {
	case err == nil:
		if g.down.CompareAndSwap(true, false) {
			g.cfg.Gate.Started(time.Now())
		}
	case err.refused():
		g.down.Store(true)
	}
}

// downRetryAfter is the time after which a backend server that refuses
// connections is worth another try.
const downRetryAfter = 200 * time.Millisecond

func (v *visit) failureOf(err *sendError) *Failure {
	if errors.Is(err, errClosed) {
		return cmp.Or(v.guard.closed(time.Now()), drainingFailure())
	}
	f := failureOf(err, v.body)
	if err.refused() {
		f = f.later(downRetryAfter)
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
		if !g.cfg.Link.refuses(v.ctx, g.cfg.Address) {
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
func (v *visit) relay(a *answer) (int64, error) {
	h := a.Header
	hops := answerHops(h)
	exhausted := h.Get(HeaderReason) == retry.ReasonExhausted ||
		a.StatusCode >= http.StatusInternalServerError && v.guard.cfg.Downstream.failedSince(v.begun)
	delete(h, HeaderReason)
	delete(h, HeaderQuarantine)
	v.tag(h)
	h[HeaderOutcome] = []string{string(OutcomeRan)}
	if hops > 0 {
		h[HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	}
	if exhausted {
		h[HeaderReason] = []string{retry.ReasonExhausted}
	}
	n, err := relay(v.w, v.r, a)
	switch {
	case err == nil:
		v.tell(v.guard.cfg.Quarantine.Success(v.fp, time.Now()))
	case !errors.Is(err, errCaller) && v.ctx.Err() == nil && !errors.Is(context.Cause(a.Request.Context()), errProgress):
		v.checkCrash()
	}
	return n, err
}
