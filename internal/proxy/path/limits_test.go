package path_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

// operatorLimits are shorter and smaller than the product's own.
var operatorLimits = profile.CallLimits{
	HeaderBytes: 2000, BodyBytes: 1000,
	HeaderTimeout: jsonc.Duration(300 * time.Millisecond), IdleTimeout: jsonc.Duration(600 * time.Millisecond),
}

// newLimitedPath returns the address of a front whose configuration sets
// limits, and how many calls reached the backend server.
func newLimitedPath(t *testing.T) string {
	t.Helper()
	n := newTestNode(t, "a", backendOf(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), nil)
	cfg := frontConfig([]string{n.address}, nil)
	g := *cfg.Snapshots.Latest()
	g.Generation++
	g.Limits = operatorLimits
	cfg.Snapshots.Install(&g)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := proxy.NewServer(outbound.New(cfg))
	srv.Limits = cfg.Snapshots.Limits
	failOnPanic(t, &srv.Server)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// TestOperatorsLimitsOnCalls guards against calls over the operator's limits
// that are passed on, and calls within them that are refused.
func TestOperatorsLimitsOnCalls(t *testing.T) {
	address := newLimitedPath(t)
	for _, c := range []struct {
		name   string
		call   string
		status int
	}{
		{"within", rawCall("POST / HTTP/1.1", "Content-Length: 1000") + strings.Repeat("a", 1000), 200},
		{"header", rawCall("GET / HTTP/1.1", "X-Long: "+strings.Repeat("a", 2000)), 431},
		{"body", rawCall("POST / HTTP/1.1", "Content-Length: 1001") + strings.Repeat("a", 1001), 413},
		{"streaming body", rawCall("POST / HTTP/1.1", "Transfer-Encoding: chunked") + "3e9\r\n" + strings.Repeat("a", 1001) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer conn.Close()
			_, _ = io.WriteString(conn, c.call) // may fail once the call is refused
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}

// TestOperatorsLimitsOnConnections guards against connections that wait longer
// than the operator allows, and against a limit on headers or idle time that
// ends a call whose body takes longer.
func TestOperatorsLimitsOnConnections(t *testing.T) {
	address := newLimitedPath(t)
	header, idle := time.Duration(operatorLimits.HeaderTimeout), time.Duration(operatorLimits.IdleTimeout)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	r := bufio.NewReader(conn)
	post := func(pause time.Duration) {
		t.Helper()
		_, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 4\r\n\r\naa")
		assert.NilError(t, err)
		time.Sleep(pause)
		_, err = io.WriteString(conn, "bb")
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, 200)
	}
	post(idle + header)      // a slow body
	time.Sleep(idle * 4 / 5) // as long as callers reuse connections
	post(0)
	begun := time.Now()
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
	waited := time.Since(begun)
	assert.Assert(t, waited > idle*9/10 && waited < idle+time.Second, "closed after %v", waited)

	slow, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer slow.Close()
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	assert.NilError(t, err)
	begun = time.Now()
	_ = slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.ReadAll(slow)
	assert.NilError(t, err)
	waited = time.Since(begun)
	assert.Assert(t, waited < header+time.Second, "closed after %v", waited)
}
