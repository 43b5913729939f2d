package e2e

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// halfAnswer is the beginning of an answer without length.
const halfAnswer = "ten bytes."

// startHalfBackend starts a backend server whose answers to /half have no length
// and stop halfway with the connection open.
func startHalfBackend(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	mux := http.NewServeMux()
	mux.HandleFunc("/half", func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+halfAnswer)
		_, _ = conn.Read(make([]byte, 1)) // until the node closes the connection
		_ = conn.Close()
	})
	mux.HandleFunc("/offers", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, `{"server":"vitrine"}`) })
	srv := &http.Server{Handler: mux}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// TestKilledNodeLeavesNoCompleteAnswer guards against an answer without length that
// looks complete to its caller although a node on its way was killed halfway: the
// kernel closes the connections of a killed process regularly.
func TestKilledNodeLeavesNoCompleteAnswer(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, killed := range []string{"callers' node", "server's node"} {
			t.Run(protocol+" "+killed, func(t *testing.T) {
				log := listenAddress(t, startProcess(t, "goldcrestctl", "dev", "log", "--listen", "127.0.0.1:0"))
				serversNode := startNode(t, "n0", "vitrine", log, startHalfBackend(t))
				callersNode := startNode(t, "n1", "agenda", log, startHalfBackend(t))
				out, code := runCtl(t, "publish", "--log", log, writeProfileFile(t, "vitrine"))
				assert.Equal(t, code, 0, out)
				awaitAnswer(t, []*startedNode{callersNode}, http.StatusOK, "vitrine")
				victim := serversNode
				if killed == "callers' node" {
					victim = callersNode
				}
				body, err := readHalf(t, callersNode.Calls, protocol, victim)
				assert.Assert(t, err != nil, "half an answer looks complete: %q", body)
			})
		}
	}
}

// readHalf sends a GET for /half, kills a node once the beginning of the answer is
// there, and reads the rest.
func readHalf(t *testing.T, address, protocol string, victim *startedNode) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err = fmt.Fprintf(c, "GET /half %s\r\nHost: shop.example\r\n\r\n", protocol)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	first := make([]byte, len(halfAnswer))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	assert.NilError(t, victim.cmd.Process.Kill())
	rest, err := io.ReadAll(resp.Body)
	return string(first) + string(rest), err
}
