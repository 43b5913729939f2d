package proxy

import (
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Front takes calls from callers and sends them to the node beside a backend
// server of their service.
type Front struct {
	holder    *snapshot.Holder
	transport http.RoundTripper
	pick      func(*snapshot.Service) *snapshot.Endpoint
}

// NewFront returns a Front that routes by the generations of a holder.
func NewFront(h *snapshot.Holder, rt http.RoundTripper, pick func(*snapshot.Service) *snapshot.Endpoint) *Front {
	return &Front{holder: h, transport: rt, pick: pick}
}

// ServeHTTP implements http.Handler.
func (f *Front) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	route, failure := f.route(r)
	if failure != nil {
		failure.write(w)
		return
	}
	hops, _ := strconv.Atoi(r.Header.Get(HeaderHops))
	if hops >= maxHops {
		Failure{Status: http.StatusLoopDetected, Outcome: OutcomeNotRun, Reason: ReasonTooManyHop, Message: "the chain of calls is too deep"}.write(w)
		return
	}
	endpoint := f.pick(route.Service)
	resp, err := send(r.Context(), f.transport, endpoint.GuardAddress, r, func(h http.Header) {
		h.Set(HeaderHops, strconv.Itoa(hops+1))
		h.Set(HeaderRoute, route.ID)
		if key := h.Get(HeaderKeyCaller); key != "" {
			h.Del(HeaderKeyCaller)
			h.Set(HeaderKey, key)
		}
	})
	if err != nil {
		failureOf(err).write(w)
		return
	}
	relay(w, resp)
}

func (f *Front) route(r *http.Request) (*snapshot.Route, *Failure) {
	m := f.holder.Lookup(hostOf(r), r.Method, r.URL.Path)
	switch {
	case m.Generation == 0:
		return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: ReasonNotReady, Message: "the node has no configuration yet"}
	case m.Route == nil:
		return nil, &Failure{Status: http.StatusNotFound, Outcome: OutcomeNotRun, Reason: ReasonNoRoute, Message: "no route matches"}
	case m.HeldBack:
		return nil, &Failure{Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: ReasonNoBackend, Message: "the service has no backend server"}
	}
	return m.Route, nil
}

func hostOf(r *http.Request) string {
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}
