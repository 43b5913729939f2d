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
// along a chain of services whose servers answer 500 and do not pass on why.
func TestOnlyTheLayerNextToAFailureRetries(t *testing.T) {
	for _, tc := range []struct {
		name   string
		fails  bool // a call of the backend server fails before it answers
		reason string
		ran    int64
	}{
		{"failure of its own", false, retry.ReasonExhausted, 2}, // one retry, then given up
		{"failure passed on", true, retry.ReasonExhausted, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				below := &proxy.Downstream{}
				w := newTestbed(t, "ab", counting(&ran, func(_ string, w http.ResponseWriter, _ *http.Request) {
					time.Sleep(time.Millisecond)
					if tc.fails {
						below.RecordFailure(time.Now())
					}
					w.WriteHeader(http.StatusInternalServerError)
				}), nil, tuning{guard: func(_ string, cfg *inbound.Config) { cfg.Downstream = below }})
				got := w.call("GET", "/", "", nil)
				assert.Equal(t, got.status, http.StatusInternalServerError)
				assert.Equal(t, got.reason, tc.reason)
				assert.Equal(t, ran.Load(), tc.ran)
			})
		})
	}
}

// TestFrontNotesFailures guards against a Front that does not tell its Guard
// of a failed call.
func TestFrontNotesFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		below := &proxy.Downstream{}
		w := newTestbed(t, "a", nil, nil, tuning{front: func(cfg *outbound.Config) { cfg.Downstream = below }}) // no backend server
		begun := time.Now()
		assert.Assert(t, !below.FailedSince(begun))
		w.call("GET", "/", "", nil)
		assert.Assert(t, below.FailedSince(begun))
	})
}

// lockedText keeps what is written to it.
type lockedText struct {
	mu   sync.Mutex
	text strings.Builder // guarded by mu
}

// Write implements io.Writer.
func (l *lockedText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

// String returns all that was written so far.
func (l *lockedText) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// TestLogsTellWhoLeft guards against logs that blame a connection or a server
// for a call whose caller left, which hides the calls that did fail.
func TestLogsTellWhoLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &lockedText{}
		logger := slog.New(slog.NewTextHandler(out, nil))
		w := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			})
		}, nil, tuning{
			front: func(cfg *outbound.Config) { cfg.Logger = logger },
			guard: func(_ string, cfg *inbound.Config) { cfg.Logger = logger },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		got := w.call("POST", "/", "a", func(r *http.Request) { *r = *r.WithContext(ctx) })
		assert.Assert(t, got.err != nil)
		time.Sleep(time.Second)
		assert.Assert(t, strings.Contains(out.String(), "msg=call_abandoned"), out.String())
		assert.Assert(t, !strings.Contains(out.String(), "connection_cut"), out.String())
	})
}
