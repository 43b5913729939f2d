package path_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// TestOnlyTheLayerNextToAFailureRetries guards against retries that multiply
// along a chain of services whose servers answer 500 without passing on the
// reason.
func TestOnlyTheLayerNextToAFailureRetries(t *testing.T) {
	for _, tc := range []struct {
		name            string
		downstreamFails bool // a call made by the backend server fails before it answers
		reason          string
		wantRuns        int64
	}{
		{"failure of its own", false, retry.ReasonExhausted, 2}, // the first attempt and one retry
		{"failure passed on", true, retry.ReasonExhausted, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				downstream := &proxy.Downstream{}
				tb := newTestbed(t, "ab", countCalls(&ran, func(_ string, w http.ResponseWriter, _ *http.Request) {
					time.Sleep(time.Millisecond)
					if tc.downstreamFails {
						downstream.RecordFailure(time.Now())
					}
					w.WriteHeader(http.StatusInternalServerError)
				}), nil, configHooks{inbound: func(_ string, cfg *inbound.Config) { cfg.Downstream = downstream }})
				got := tb.call("GET", "/", "", nil)
				assert.Equal(t, got.status, http.StatusInternalServerError)
				assert.Equal(t, got.reason, tc.reason)
				assert.Equal(t, ran.Load(), tc.wantRuns)
			})
		})
	}
}

// TestOutboundProxyRecordsDownstreamFailures guards against an outbound proxy
// that does not record a failed call for the inbound proxy of its node.
func TestOutboundProxyRecordsDownstreamFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		downstream := &proxy.Downstream{}
		tb := newTestbed(t, "a", nil, nil, configHooks{outbound: func(cfg *outbound.Config) { cfg.Downstream = downstream }}) // no backend server
		start := time.Now()
		assert.Assert(t, !downstream.FailedSince(start))
		tb.call("GET", "/", "", nil)
		assert.Assert(t, downstream.FailedSince(start))
	})
}

// syncBuffer is a text buffer for concurrent use.
type syncBuffer struct {
	mu   sync.Mutex
	text strings.Builder // guarded by mu
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// TestCancelledCallIsLoggedAsAbandoned guards against log lines that report a
// cut connection for a call that its caller cancelled; they would hide real
// failures.
func TestCancelledCallIsLoggedAsAbandoned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &syncBuffer{}
		logger := slog.New(slog.NewTextHandler(out, nil))
		tb := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
		}, nil, configHooks{
			outbound: func(cfg *outbound.Config) { cfg.Logger = logger },
			inbound:  func(_ string, cfg *inbound.Config) { cfg.Logger = logger },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		got := tb.call("POST", "/", "a", func(r *http.Request) { *r = *r.WithContext(ctx) })
		assert.Assert(t, got.err != nil)
		time.Sleep(time.Second)
		assert.Assert(t, strings.Contains(out.String(), "msg=call_abandoned"), out.String())
		assert.Assert(t, !strings.Contains(out.String(), "connection_cut"), out.String())
	})
}
