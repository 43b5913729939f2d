package path_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

// TestCallLateInAStopIsRefused guards against a call that a stopping node takes,
// passes on and cuts without an answer, since the call may last longer than the
// node, and against refusals of calls that end in time.
func TestCallLateInAStopIsRefused(t *testing.T) {
	const left = time.Second // until the node stops
	for _, c := range []struct {
		name     string
		method   string
		limitMs  string
		withStop bool
		status   int
	}{
		{"no stop", http.MethodPost, "1900", false, http.StatusOK},
		{"one that must not be repeated and may last longer", http.MethodPost, "1900", true, http.StatusServiceUnavailable},
		{"one that must not be repeated and ends in time", http.MethodPost, "900", true, http.StatusOK},
		{"one that may be repeated, with half of its time", http.MethodGet, "1900", true, http.StatusOK},
		{"one that may be repeated, with less", http.MethodGet, "5000", true, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			var runs atomic.Int64
			backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
				runs.Add(1)
				echoCallID(w, r)
			})
			n := startTestNode(t, "a", backend, func(cfg *inbound.Config) { cfg.Dialect = testDialect })
			cfg := newOutboundConfig([]string{n.address}, nil)
			cfg.Dialect = testDialect
			p := outbound.New(cfg)
			if c.withStop {
				p.StopAt(time.Now().Add(left))
			}
			r := httptest.NewRequest(c.method, "http://"+testHost+"/", nil)
			r.Header.Set("X-Call", "c")
			r.Header.Set("X-Left-Ms", c.limitMs)
			w := httptest.NewRecorder()
			p.ServeHTTP(w, r)
			assert.Equal(t, w.Code, c.status)
			if c.status != http.StatusOK {
				assert.Equal(t, w.Header().Get(proxy.HeaderOutcome), string(proxy.OutcomeNotRun))
				assert.Equal(t, runs.Load(), int64(0))
			}
		})
	}
}
