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

// foreign is a dialect with a name for each header.
var foreign = proxy.Dialect{
	Deadline: "X-Left-Ms", CallID: "X-Call", Caller: "X-Caller", Target: "X-Target", NotExecuted: "X-Not-Run",
	RefusalStatus: http.StatusServiceUnavailable, WholeAnswer: true, FractionalRetryAfter: true,
}

// newForeignPath returns the address of a front before one node and its
// backend server, which has reported as instance i-1.
func newForeignPath(t *testing.T, backend string, edit func(*inbound.Config), state *inbound.ServerState) string {
	t.Helper()
	n := newTestNode(t, "a", backend, func(cfg *inbound.Config) {
		cfg.Dialect, cfg.Reported, cfg.Service = foreign, true, "shop"
		if edit != nil {
			edit(cfg)
		}
	})
	if state != nil {
		n.guard.SetServerState(*state)
	}
	cfg := frontConfig([]string{n.address}, func(r *snapshot.Route) { r.MaxAttempts = 1 })
	cfg.Dialect, cfg.Service = foreign, "shop-front"
	return serveCalls(t, outbound.New(cfg))
}

func callForeign(t *testing.T, address, id string) *http.Response {
	t.Helper()
	r := newCall(t, http.MethodPost, address, "/x", nil)
	r.Header.Set("X-Call", id)
	r.Header.Set("X-Left-Ms", "900")
	r.Header.Set("X-Caller", "forged")
	resp, _, err := do(t, clientOf(t, false), r)
	assert.NilError(t, err)
	return resp
}

func echo(w http.ResponseWriter, r *http.Request) { w.Header().Set("X-Call", r.Header.Get("X-Call")) }

// Guards against a backend server that gets the product's own headers, a
// forged caller, more time than is left, or a call meant for another start.
func TestDialectAtTheBackendServer(t *testing.T) {
	var got http.Header
	backend := backendOf(t, func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		echo(w, r)
	})
	address := newForeignPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
	assert.Equal(t, callForeign(t, address, "c1").StatusCode, http.StatusOK)
	assert.Equal(t, got.Get("X-Caller"), "shop-front")
	assert.Equal(t, got.Get("X-Target"), "i-1")
	left, err := strconv.Atoi(got.Get("X-Left-Ms"))
	assert.NilError(t, err)
	assert.Assert(t, left > 500 && left < 900, "%d", left)
	for name := range got {
		assert.Assert(t, name == "Goldcrest-Answer-Hops" || len(name) < 10 || name[:10] != "Goldcrest-", "%s reaches the backend server", name)
	}
}

// Guards against an answer to another call, which a server may send late where
// the next one is expected, reaching a caller.
func TestAnswerWithAnotherIDIsRefused(t *testing.T) {
	backend := backendOf(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Call", "other") })
	address := newForeignPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
	assert.Equal(t, callForeign(t, address, "c1").StatusCode, http.StatusBadGateway)
}

// Each case guards a caller who reads "not run" from the status: it must be
// given for calls that were not run, with a time to come back, and for no
// other.
func TestRefusalsInTheCallersWords(t *testing.T) {
	answer := func(status int, notRun bool) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			echo(w, r)
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
		{"the server sheds the call", answer(503, true), nil, reported, 503},
		{"the server ran the call and answers 503", answer(503, false), nil, reported, 502},
		{"the server ran the call and failed", answer(500, false), nil, reported, 500},
		{"another server has the address", answer(421, false), nil, reported, 503},
		{"the server has not reported", echo, nil, nil, 503},
		{"the server leaves", echo, nil, &inbound.ServerState{Instance: "i-1", ShutdownAnnounced: time.Now()}, 503},
		{"another service has the node's address", echo, func(cfg *inbound.Config) { cfg.Service = "other" }, reported, 503},
	} {
		t.Run(c.name, func(t *testing.T) {
			address := newForeignPath(t, backendOf(t, c.backend), c.edit, c.state)
			resp := callForeign(t, address, "c1")
			assert.Equal(t, resp.StatusCode, c.status)
			if c.status != http.StatusServiceUnavailable {
				return
			}
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			assert.Assert(t, after > 0 && after <= 1, "%v", after)
		})
	}
}

// Guards against a caller who gets the status 504 for a call that its node's
// neighbour refused for want of time, and so must not send it again.
func TestRefusalForWantOfTimeIsAPromise(t *testing.T) {
	address := serveCalls(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()[proxy.HeaderExchangeID] = r.Header[proxy.HeaderExchangeID]
		proxy.NotRun(http.StatusGatewayTimeout, proxy.ReasonDeadline, "too little time").WithRetryAfter(40*time.Millisecond).Write(w, &proxy.OwnDialect)
	}))
	cfg := frontConfig([]string{address}, nil)
	cfg.Dialect = foreign
	resp := callForeign(t, serveCalls(t, outbound.New(cfg)), "c1")
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), "0.040")
}
