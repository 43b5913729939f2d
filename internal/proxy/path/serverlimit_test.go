package path_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
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
