package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestRepeatedRefusalIsNotBelieved guards against a backend server that writes an
// earlier refusal once more on a kept connection, for a call that it runs: the
// caller would be told that the call has not run.
func TestRepeatedRefusalIsNotBelieved(t *testing.T) {
	for _, c := range []struct {
		name    string
		id      string   // that the refusal repeats
		callIDs []string // of the calls, the first of which is refused
	}{
		{"without an id", "", []string{"a", "b"}},
		{"with the id of an earlier call", "X-Call: a\r\n", []string{"a", "b"}},
		{"with the id of the same call, which is sent again", "X-Call: a\r\n", []string{"a", "a"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + c.id + "Content-Length: 0\r\n\r\n"
			var runs atomic.Int64
			backend := startScriptedBackend(t, func(conn net.Conn, r *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(conn, refusal)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					runs.Add(1)
					_, _ = io.WriteString(conn, refusal)
				}
			})
			address := startDialectPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
			assert.Equal(t, callWithDialect(t, address, c.callIDs[0]).StatusCode, http.StatusServiceUnavailable)
			assert.Equal(t, runs.Load(), int64(0))
			status := callWithDialect(t, address, c.callIDs[1]).StatusCode
			assert.Assert(t, runs.Load() == 0 || status != http.StatusServiceUnavailable, "status %d for a call that ran", status)
		})
	}
}

// TestBrokenHeadIsNoAnswer guards against a backend server that stops anywhere in
// the head of its answer and closes, and a caller that gets a success with an empty
// or short body.
func TestBrokenHeadIsNoAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Call: c\r\nContent-Length: 5\r\nX-Signature: s\r\n\r\n"
	for n := range head {
		t.Run(fmt.Sprintf("after %d bytes", n), func(t *testing.T) {
			backend := startScriptedBackend(t, func(conn net.Conn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(conn, head[:n])
			})
			address := startDialectPath(t, backend, nil, &inbound.ServerState{Instance: "i-1"})
			assert.Equal(t, callWithDialect(t, address, "c").StatusCode, http.StatusBadGateway)
		})
	}
}

// TestRefusalAfterLostRunKeepsOutcomeUnknown guards against a call that the backend
// server ran, whose answer was lost with its connection, and that is reported as not
// run because its resend was refused.
func TestRefusalAfterLostRunKeepsOutcomeUnknown(t *testing.T) {
	dialect := proxy.Dialect{NotExecuted: "X-Not-Run"}
	for _, c := range []struct {
		name   string
		onLost func(tb *testbed)                      // when the answer is lost
		resend func(w http.ResponseWriter) (ran bool) // of the backend server
	}{
		{"by the backend server", func(*testbed) {}, func(w http.ResponseWriter) bool {
			w.Header().Set(dialect.NotExecuted, "full")
			w.WriteHeader(http.StatusServiceUnavailable)
			return false
		}},
		{"by a server with another instance id", func(*testbed) {}, func(w http.ResponseWriter) bool {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return false
		}},
		{"by its node, which drains", func(tb *testbed) { tb.nodes["a"].inbound.Drain() }, func(http.ResponseWriter) bool { return true }},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var arrivals, runs atomic.Int64
				var tb *testbed
				backend := func(id string, w http.ResponseWriter, r *http.Request) {
					if r.URL.Path != "/lose" {
						answerWithID(id, w, r)
						return
					}
					if arrivals.Add(1) > 1 {
						if c.resend(w) {
							runs.Add(1)
						}
						return
					}
					runs.Add(1)
					c.onLost(tb)
					abortAnswer(id, w, r)
				}
				var calls atomic.Int64
				tb = newTestbed(t, "a", countCalls(&calls, backend), func(r *snapshot.Route) { r.Service.Policy.Retries = 0 },
					configHooks{inbound: func(_ string, cfg *inbound.Config) { cfg.Dialect = dialect }})
				for range 10 { // fills the budget for one resend
					assert.Equal(t, tb.call("GET", "/", "", nil).status, http.StatusOK)
				}
				got := tb.call("GET", "/lose", "", nil)
				assert.Equal(t, runs.Load(), int64(1))
				assert.Equal(t, got.outcome, string(proxy.OutcomeUnknown), got.body)
				assert.Equal(t, got.status, http.StatusBadGateway)
			})
		})
	}
}
