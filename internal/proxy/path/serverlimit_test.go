package path_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestServerLimitReachesAdmission guards against a limit that a backend server names
// in its answers and that no part of the system reads, and against refusals because
// of it that do not say that the call has not run.
func TestServerLimitReachesAdmission(t *testing.T) {
	var arrivals atomic.Int64
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("X-Limit", "0.25")
		echoCallID(w, r)
	})
	address := startDialectPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
	refused := 0
	for range 6 {
		resp := callWithDialect(t, address, "c")
		if resp.StatusCode != http.StatusServiceUnavailable {
			continue
		}
		refused++
		assert.Equal(t, resp.Header.Get(proxy.HeaderOutcome), string(proxy.OutcomeNotRun))
		assert.Assert(t, resp.Header.Get("Retry-After") != "")
	}
	assert.Assert(t, arrivals.Load() <= 2, "%d calls reached a server that takes one in four seconds", arrivals.Load())
	assert.Equal(t, int64(refused), 6-arrivals.Load())
}

// TestStatedLimits guards against a value that is no limit, or one of several, and
// is taken for one that stops all calls or lets all pass.
func TestStatedLimits(t *testing.T) {
	named := func(limit float64) admission.StatedLimit {
		return admission.StatedLimit{Kind: admission.LimitNamed, CallsPerSecond: limit}
	}
	for _, c := range []struct {
		values []string
		want   admission.StatedLimit
	}{
		{nil, admission.StatedLimit{Kind: admission.LimitNone}},
		{[]string{"12.5"}, named(12.5)},
		{[]string{" 7 "}, named(7)},
		{[]string{"0"}, named(0)},
		{[]string{"1e300"}, named(1e300)},
		{[]string{"20", "5"}, named(5)},
		{[]string{"20, 5"}, named(5)},
		{[]string{"x", "5"}, named(5)},
		{[]string{""}, admission.StatedLimit{}},
		{[]string{"-1"}, admission.StatedLimit{}},
		{[]string{"NaN"}, admission.StatedLimit{}},
		{[]string{"Inf"}, admission.StatedLimit{}},
		{[]string{"1e999"}, admission.StatedLimit{}},
		{[]string{"ten"}, admission.StatedLimit{}},
	} {
		h := http.Header{}
		for _, v := range c.values {
			h.Add("X-Limit", v)
		}
		assert.Equal(t, testDialect.LimitOf(h), c.want, "%q", c.values)
	}
	assert.Equal(t, proxy.OwnDialect.LimitOf(http.Header{"X-Limit": {"1"}}), admission.StatedLimit{}, "a deployment without such a header")
}

// TestLeavingServerGetsNoMoreCalls guards against calls that reach a backend server
// after it has said in an answer that it shuts down, also where its node knows
// nothing of it any more, and against a later start that is taken for the one that
// left.
func TestLeavingServerGetsNoMoreCalls(t *testing.T) {
	var leaving, staying atomic.Int64
	var reported atomic.Value
	serve := func(arrivals *atomic.Int64, says string) string {
		return startBackend(t, func(w http.ResponseWriter, r *http.Request) {
			arrivals.Add(1)
			w.Header().Set("X-Leaving", says)
			echoCallID(w, r)
		})
	}
	node := func(id, backend string) *testNode {
		n := startTestNode(t, id, backend, func(cfg *inbound.Config) {
			cfg.Dialect, cfg.Reported, cfg.Service = testDialect, true, "shop"
			cfg.OnServerLeaving = func(instance string) { reported.Store(instance) }
		})
		n.inbound.SetServerState(inbound.ServerState{Instance: "i-" + id})
		return n
	}
	a, b := node("a", serve(&leaving, "1")), node("b", serve(&staying, "0"))
	newOutbound := func() string {
		cfg := newOutboundConfig([]string{a.address, b.address}, func(r *snapshot.Route) { r.MaxAttempts = 1 })
		cfg.Dialect = testDialect
		return startProxyServer(t, outbound.New(cfg))
	}
	caller := newOutbound()
	for leaving.Load() == 0 {
		callWithDialect(t, caller, "c")
	}
	assert.Equal(t, reported.Load(), "i-a")
	a.inbound.SetServerState(inbound.ServerState{Instance: "i-a"}) // as after a restart of its node
	for range 20 {
		assert.Equal(t, callWithDialect(t, caller, "c").StatusCode, http.StatusOK)
	}
	assert.Equal(t, leaving.Load(), int64(1), "a caller's node that has passed the answer on calls the server no more")

	other := newOutbound()
	for leaving.Load() == 1 {
		callWithDialect(t, other, "c")
	}
	for range 20 {
		callWithDialect(t, newOutbound(), "c")
	}
	assert.Equal(t, leaving.Load(), int64(2), "the server's node refuses the calls of other nodes")

	a.inbound.SetServerState(inbound.ServerState{Instance: "i-a2"})
	deadline := time.Now().Add(5 * time.Second)
	for fresh := newOutbound(); leaving.Load() == 2 && time.Now().Before(deadline); {
		callWithDialect(t, fresh, "c")
	}
	assert.Equal(t, leaving.Load(), int64(3), "a later start of the server gets calls")
}
