package proxy

import (
	"net/http"
	"sync/atomic"
)

// Guard stands before the backend server of its node and is the one place
// that can say that a call was not run.
type Guard struct {
	address   string
	transport http.RoundTripper
	draining  atomic.Bool
}

// NewGuard returns a Guard for the backend server at an address.
func NewGuard(address string, rt http.RoundTripper) *Guard {
	return &Guard{address: address, transport: rt}
}

// Drain refuses new calls from now on.
func (g *Guard) Drain() { g.draining.Store(true) }

// ServeHTTP implements http.Handler.
func (g *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if g.draining.Load() {
		Failure{Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: ReasonDraining, Message: "the backend server is leaving"}.write(w)
		return
	}
	resp, err := send(r.Context(), g.transport, g.address, r, func(h http.Header) {
		if key := h.Get(HeaderKey); key != "" {
			h.Del(HeaderKey)
			h.Set(HeaderKeyCaller, key)
		}
		h.Del(HeaderRoute)
	})
	if err != nil {
		failureOf(err).write(w)
		return
	}
	resp.Header.Set(HeaderOutcome, string(OutcomeRan))
	relay(w, resp)
}
