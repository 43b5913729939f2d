package path_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// testDialect is a dialect that names every header.
var testDialect = proxy.Dialect{
	Deadline: "X-Left-Ms", CallID: "X-Call", Caller: "X-Caller", Target: "X-Target", NotExecuted: "X-Not-Run", Limit: "X-Limit", Leaving: "X-Leaving",
	RefusalStatus: http.StatusServiceUnavailable, DeadlineCoversAnswer: true, FractionalRetryAfter: true,
}

// startDialectPath starts an outbound and an inbound proxy in front of a backend
// server, both with testDialect, and returns the address for callers. A nil state
// means that the server has not reported.
func startDialectPath(t *testing.T, backend string, edit func(*inbound.Config), state *inbound.ServerState) string {
	t.Helper()
	n := startTestNode(t, "a", backend, func(cfg *inbound.Config) {
		cfg.Dialect, cfg.Reported, cfg.Service = testDialect, true, "shop"
		if edit != nil {
			edit(cfg)
		}
	})
	if state != nil {
		n.inbound.SetServerState(*state)
	}
	cfg := newOutboundConfig([]string{n.address}, func(r *snapshot.Route) { r.MaxAttempts = 1 })
	cfg.Dialect, cfg.Service = testDialect, "shop-front"
	return startProxyServer(t, outbound.New(cfg))
}

func callWithDialect(t *testing.T, address, id string) *http.Response {
	t.Helper()
	r := newRequest(t, http.MethodPost, address, "/x", nil)
	r.Header.Set("X-Call", id)
	r.Header.Set("X-Left-Ms", "900")
	r.Header.Set("X-Caller", "forged")
	resp, _, err := sendRequest(t, newHTTPClient(t, false), r)
	assert.NilError(t, err)
	return resp
}

func echoCallID(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Call", r.Header.Get("X-Call"))
}

// TestDialectHeadersAtBackend guards against a backend server that gets the
// product's own headers, a caller service that the caller forged, a deadline
// beyond the remaining time, or a target other than its own instance.
func TestDialectHeadersAtBackend(t *testing.T) {
	var got http.Header
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		echoCallID(w, r)
	})
	address := startDialectPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
	assert.Equal(t, callWithDialect(t, address, "c1").StatusCode, http.StatusOK)
	assert.Equal(t, got.Get("X-Caller"), "shop-front")
	assert.Equal(t, got.Get("X-Target"), "i-1")
	remaining, err := strconv.Atoi(got.Get("X-Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, remaining > 500 && remaining < 900, "%d", remaining)
	for name := range got {
		assert.Assert(t, name == "Goldcrest-Answer-Hops" || len(name) < 10 || name[:10] != "Goldcrest-", "the backend server got %s", name)
	}
}

// TestAnswerWithOtherCallIDIsRefused guards against an answer to another call
// that reaches a caller. A server may send it late on a connection that already
// carries the next call.
func TestAnswerWithOtherCallIDIsRefused(t *testing.T) {
	backend := startBackend(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Call", "other") })
	address := startDialectPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
	assert.Equal(t, callWithDialect(t, address, "c1").StatusCode, http.StatusBadGateway)
}

// TestRefusalStatusInDialect guards against a refusal status for a call that
// ran, and against another status or no Retry-After for a call that did not.
// Callers read "not run" from the status alone.
func TestRefusalStatusInDialect(t *testing.T) {
	answerWith := func(status int, notRun bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echoCallID(w, r)
			if notRun {
				w.Header().Set("X-Not-Run", "1")
			}
			w.WriteHeader(status)
		}
	}
	reported := &inbound.ServerState{Instance: "i-1"}
	for _, c := range []struct {
		name    string
		backend http.HandlerFunc
		edit    func(*inbound.Config)
		state   *inbound.ServerState
		status  int
	}{
		{"the server refuses the call", answerWith(503, true), nil, reported, 503},
		{"the server ran the call and answers 503", answerWith(503, false), nil, reported, 502},
		{"the server ran the call and failed", answerWith(500, false), nil, reported, 500},
		{"another server has the address", answerWith(421, false), nil, reported, 503},
		{"the server has not reported", echoCallID, nil, nil, 503},
		{"the server announced its shutdown", echoCallID, nil, &inbound.ServerState{Instance: "i-1", ShutdownAnnounced: time.Now()}, 503},
		{"another service has the node's address", echoCallID, func(cfg *inbound.Config) { cfg.Service = "other" }, reported, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := startDialectPath(t, startBackend(t, c.backend), c.edit, c.state)
			resp := callWithDialect(t, address, "c1")
			assert.Equal(t, resp.StatusCode, c.status)
			if c.status != http.StatusServiceUnavailable {
				return
			}
			retryAfter, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, retryAfter > 0 && retryAfter <= 1, "%v", retryAfter)
		})
	}
}

// TestDeadlineRefusalIsNotRunInDialect guards against status 504, which means
// that the call may have run, for a call that the inbound proxy refused because
// too little time remained.
func TestDeadlineRefusalIsNotRunInDialect(t *testing.T) {
	address := startProxyServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[proxy.HeaderExchangeID] = r.Header[proxy.HeaderExchangeID]
		proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "too little time").WithRetryAfter(40*time.Millisecond).Write(w, &proxy.OwnDialect)
	}))
	cfg := newOutboundConfig([]string{address}, nil)
	cfg.Dialect = testDialect
	resp := callWithDialect(t, startProxyServer(t, outbound.New(cfg)), "c1")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "0.040")
}
