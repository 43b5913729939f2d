package inbound

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// ServerState is what the backend server of a node reports about itself.
type ServerState struct {
	Instance          string    // id of this start of the server; sent in the dialect's Target header, if any
	ShutdownAnnounced time.Time // when the server announced its shutdown; zero before
}

// shutdownGrace is how long calls that wait for a slot or claim a key may still be
// passed to a backend server after it announced its shutdown. It is below the 2 s
// after which such a server must get no new work.
const shutdownGrace = time.Second

// errNotTakingCalls marks a call that was not passed on because the backend
// server takes no calls at present.
var errNotTakingCalls = errors.New("the backend server takes no calls")

// errExpired marks a call that was not passed on because its deadline had passed.
var errExpired = errors.New("the deadline has passed")

// SetServerState stores the state that the backend server reported. With
// Config.Reported set, no call is passed on before the first report.
func (p *Proxy) SetServerState(s ServerState) { p.serverState.Store(&s) }

// observeAnswer applies what an answer says of the backend server itself: the limit
// on its calls, and that it shuts down. server is its state when the call was sent.
func (p *Proxy) observeAnswer(h http.Header, server *ServerState, sent time.Time) {
	stated := p.cfg.Dialect.LimitOf(h)
	if p.cfg.Admission.ObserveAnswer(time.Now(), sent, stated) {
		p.cfg.Logger.Info("server_limit", "named", stated.Kind == admission.LimitNamed, "calls_per_second", stated.CallsPerSecond)
	}
	if !p.cfg.Dialect.IsLeaving(h) || server == nil {
		return
	}
	if server.ShutdownAnnounced.IsZero() {
		leaving := *server
		leaving.ShutdownAnnounced = time.Now()
		p.serverState.CompareAndSwap(server, &leaving) // unless another start has reported meanwhile
	}
	p.cfg.OnServerLeaving(server.Instance)
}

// clearServerState forgets a reported state, after the address of the backend server
// turned out to belong to another one, unless another state has been reported since.
// With Config.Reported set, calls are refused until the next report.
func (p *Proxy) clearServerState(state *ServerState) {
	if state == nil || !p.serverState.CompareAndSwap(state, nil) {
		return
	}
	p.cfg.Admission.ForgetLimit()
	p.cfg.OnServerReplaced(state.Instance)
}

// sendRefusal returns why no call may be passed to the backend server, or nil.
func (p *Proxy) sendRefusal(now time.Time) *proxy.Failure {
	if p.draining.Load() {
		return drainingFailure()
	}
	if !p.cfg.Reported {
		return nil
	}
	state := p.serverState.Load()
	switch {
	case state == nil:
		return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReported, "the backend server has not reported to its node yet").WithRetryAfter(notReportedRetryAfter)
	case !state.ShutdownAnnounced.IsZero() && now.Sub(state.ShutdownAnnounced) > shutdownGrace:
		return drainingFailure()
	}
	return nil
}

// arrivalRefusal returns why a call that has just arrived is not passed to the
// backend server, or nil. Only calls that already wait for a slot get
// shutdownGrace.
func (p *Proxy) arrivalRefusal(now time.Time) *proxy.Failure {
	if state := p.serverState.Load(); state != nil && !state.ShutdownAnnounced.IsZero() {
		return drainingFailure()
	}
	return p.sendRefusal(now)
}

// wrongServiceRefusal returns the refusal of a call to another service, or nil.
// The addresses of a stopped instance may have been reused by an instance of
// another service.
func (p *Proxy) wrongServiceRefusal(r *http.Request) *proxy.Failure {
	service := proxy.ServiceOf(r.Header)
	if service == "" || p.cfg.Service == "" || service == p.cfg.Service {
		return nil
	}
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonWrongService, "the backend server of this node belongs to another service").WithRetryAfter(wrongServiceRetryAfter)
}

// wrongServiceRetryAfter is roughly the time in which other nodes learn of the
// changed service.
const wrongServiceRetryAfter = time.Second

// notReportedRetryAfter is roughly the interval of a backend server's reports.
const notReportedRetryAfter = 500 * time.Millisecond

// setDialectHeaders sets the headers of the backend server's dialect.
func (c *call) setDialectHeaders(h http.Header, left time.Duration) {
	d := &c.proxy.cfg.Dialect
	if d.Deadline != "" {
		for _, name := range []string{proxy.HeaderDeadlineMs, proxy.HeaderHops, proxy.HeaderPriority} {
			delete(h, name)
		}
	}
	if d.CallID == "" {
		h[proxy.HeaderTransmissionID] = []string{proxy.NewExchangeID()}
	}
	h[d.DeadlineName()] = []string{proxy.FormatRemainingTime(left)}
	if state := c.proxy.serverState.Load(); state != nil && d.Target != "" && state.Instance != "" {
		h[d.Target] = []string{state.Instance}
	}
}

// shedFailure returns the refusal for a call that the backend server reports as
// not run.
func (c *call) shedFailure(a *proxy.Answer) *proxy.Failure {
	if id := c.callID(); id != "" {
		c.proxy.refusedCalls.Set(id, c.deadline)
	}
	if a.StatusCode == http.StatusMisdirectedRequest {
		c.proxy.clearServerState(c.sentState)
		return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReported, "the address belongs to another backend server").WithRetryAfter(notReportedRetryAfter)
	}
	c.proxy.cfg.Admission.CallRejected(time.Now())
	after := proxy.RetryAfterOf(a.Header)
	if after == 0 {
		after = shedRetryAfter
	}
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonShedByServer, "the backend server did not run the call").WithRetryAfter(after)
}

// shedRetryAfter is the retry-after for a call that the backend server refused
// without a Retry-After header.
const shedRetryAfter = 100 * time.Millisecond
