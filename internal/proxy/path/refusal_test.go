package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
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
