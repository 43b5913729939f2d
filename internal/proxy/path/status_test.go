package path_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// TestStatusBelowFinalIsNoAnswer guards against an answer with a status below 200
// that costs a slot of its server for good, since net/http's server panics when it
// is passed on.
func TestStatusBelowFinalIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000 OK", "042 Odd", "099 Odd", "101 Switching Protocols"} {
		t.Run(status, func(t *testing.T) {
			var garbled atomic.Bool
			garbled.Store(true)
			n := startTestNode(t, "a", startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
				line := "200 OK"
				if garbled.Load() {
					line = status
				}
				_, _ = io.WriteString(c, "HTTP/1.1 "+line+"\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody")
			}), nil)
			address := startOutboundProxy(t, []string{n.address}, nil)
			client := newHTTPClient(t, false)
			for range 20 { // more than the slots
				resp, _, err := sendRequest(t, client, newRequest(t, "POST", address, "/", strings.NewReader("x")))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
				assert.Equal(t, resp.Header.Get(proxy.HeaderOutcome), string(proxy.OutcomeUnknown))
			}
			garbled.Store(false)
			eventually(t, freedWithin, "the slots are free", func() bool { return n.admission.Report(time.Now()).InUse == 0 })
			eventually(t, 10*time.Second, "the server gets calls again", func() bool {
				resp, _, err := sendRequest(t, client, newRequest(t, "GET", address, "/", nil))
				return err == nil && resp.StatusCode == http.StatusOK
			})
		})
	}
}

// panicWriter panics when an answer is written to it.
type panicWriter struct{ http.ResponseWriter }

func (panicWriter) WriteHeader(int) { panic("no answer can be written") }

// TestPanicFreesTheSlot guards against a call that ends with a panic and whose slot
// is never free again.
func TestPanicFreesTheSlot(t *testing.T) {
	n := newTestNode("a", startBackend(t, func(http.ResponseWriter, *http.Request) {}), nil)
	func() {
		defer func() { assert.Assert(t, recover() != nil) }()
		n.inbound.ServeHTTP(panicWriter{httptest.NewRecorder()}, newRequest(t, "GET", "127.0.0.1:1", "/", nil))
	}()
	assert.Equal(t, n.admission.Report(time.Now()).InUse, 0)
}
