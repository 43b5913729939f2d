package inbound

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// ServerState is what the backend server beside a node says of itself.
type ServerState struct {
	Instance string    // id of this start of the server; sent along where the dialect has a header for it
	Leaving  time.Time // when it said that it leaves; zero while it takes calls
}

// leavingGrace is how long after a backend server said that it leaves calls
// that wait for a slot may still be passed to it. It lies below the 2 s after
// which such a server gets no new work.
const leavingGrace = time.Second

// errClosed marks a call that was not passed on because the backend server
// takes no calls any more.
var errClosed = errors.New("the backend server takes no calls")

// SetServer notes what the backend server reported. A Guard whose
// configuration asks for reports passes nothing on before the first one.
func (g *Proxy) SetServer(s ServerState) { g.server.Store(&s) }

// ForgetServer makes the Guard wait for the next report, after the address of
// the backend server was found to belong to another one.
func (g *Proxy) ForgetServer() { g.server.Store(nil) }

// closed returns why no call may be passed to the backend server, or nil.
func (g *Proxy) closed(now time.Time) *proxy.Failure {
	if g.draining.Load() {
		return drainingFailure()
	}
	if !g.cfg.Reported {
		return nil
	}
	s := g.server.Load()
	switch {
	case s == nil:
		return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReported, "the backend server has not reported to its node yet").Later(notReportedRetryAfter)
	case !s.Leaving.IsZero() && now.Sub(s.Leaving) > leavingGrace:
		return drainingFailure()
	}
	return nil
}

// entryClosed returns why a call that has just arrived is not passed to the
// backend server, or nil. Calls that wait for a slot get leavingGrace.
func (g *Proxy) entryClosed(now time.Time) *proxy.Failure {
	if s := g.server.Load(); s != nil && !s.Leaving.IsZero() {
		return drainingFailure()
	}
	return g.closed(now)
}

// misdirected refuses a call to another service. The addresses of an instance
// that is gone may belong to an instance of another service by now.
func (g *Proxy) misdirected(r *http.Request) *proxy.Failure {
	service := r.Header.Get(proxy.HeaderService)
	if service == "" || g.cfg.Service == "" || service == g.cfg.Service {
		return nil
	}
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonWrongService, "the node guards a backend server of another service").Later(wrongServiceRetryAfter)
}

// wrongServiceRetryAfter is about the time in which nodes learn of the other
// service.
const wrongServiceRetryAfter = time.Second

// notReportedRetryAfter is about the time between two reports of a backend
// server.
const notReportedRetryAfter = 500 * time.Millisecond

// speak sets the headers of the backend server's dialect on a call to it.
func (v *visit) speak(h http.Header, left time.Duration) {
	d := &v.guard.cfg.Dialect
	if d.Deadline != "" {
		for _, name := range []string{proxy.HeaderDeadlineMs, proxy.HeaderHops, proxy.HeaderPriority} {
			delete(h, name)
		}
	}
	h[d.DeadlineName()] = []string{proxy.FormatDeadline(left)}
	if s := v.guard.server.Load(); s != nil && d.Target != "" && s.Instance != "" {
		h[d.Target] = []string{s.Instance}
	}
}

// shed returns the refusal of a call that the backend server did not run.
func (v *visit) shed(a *proxy.Answer) *proxy.Failure {
	if a.StatusCode == http.StatusMisdirectedRequest {
		v.guard.ForgetServer()
		return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReported, "another backend server has the address").Later(notReportedRetryAfter)
	}
	after := proxy.RetryAfterOf(a.Header)
	if after == 0 {
		after = shedRetryAfter
	}
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonShed, "the backend server did not run the call").Later(after)
}

// shedRetryAfter is the time after which a backend server that refused a call
// without a time of its own is worth another try.
const shedRetryAfter = 100 * time.Millisecond
