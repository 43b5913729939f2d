package proxy

import (
	"net/http"
	"sync/atomic"
	"time"
)

// Guard stands before the backend server of its node and is the one place
// that can say that a call was not run.
type Guard struct {
	address  string
	link     *Link
	draining atomic.Bool
}

// NewGuard returns a Guard for the backend server at an address.
func NewGuard(address string, l *Link) *Guard {
	return &Guard{address: address, link: l}
}

// Drain refuses new calls from now on.
func (g *Guard) Drain() { g.draining.Store(true) }

const defaultWait = time.Minute

// ServeHTTP implements http.Handler.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		notRun(http.StatusServiceUnavailable, ReasonDraining, "the backend server is leaving").write(w)
		return
	}
	header := requestHeader(r)
	if key := header.Get(HeaderKey); key != "" {
		header.Del(HeaderKey)
		header.Set(HeaderKeyCaller, key)
	}
	header.Del(HeaderRoute)
	hideRepeatKeys(header)
	early := &earlyHints{w: w}
	body := newKeptBody(r)
	if body.small() {
		if err := body.take(http.NewResponseController(w), time.Now().Add(defaultWait)); err != nil {
			failureOf(&sendError{cause: err}, body).write(w)
			return
		}
	}
	answer, err := g.link.send(r.Context(), sending{
		address: g.address, in: r, header: header, body: body, wait: defaultWait, early: early.pass,
	})
	early.stop()
	if err != nil {
		failureOf(err, body).write(w)
		return
	}
	defer answer.Close()
	answer.Header.Set(HeaderOutcome, string(OutcomeRan))
	if err := relay(w, r, answer); err != nil {
		abort(w, r)
	}
}
