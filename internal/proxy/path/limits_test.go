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

// testLimits are below the built-in limits.
var testLimits = profile.CallLimits{
	HeaderBytes: 2000, BodyBytes: 1000,
	HeaderTimeout: jsonc.Duration(300 * time.Millisecond), IdleTimeout: jsonc.Duration(600 * time.Millisecond),
}

// startLimitedPath is startPath with an outbound proxy whose snapshot sets
// testLimits.
func startLimitedPath(t *testing.T) string {
	t.Helper()
	n := startTestNode(t, "a", startBackend(t, func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }), nil)
	cfg := newOutboundConfig([]string{n.address}, nil)
	s := *cfg.Snapshots.Latest()
	s.Generation++
	s.Limits = testLimits
	cfg.Snapshots.Install(&s)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := proxy.NewServer(outbound.New(cfg))
	srv.Limits = cfg.Snapshots.Limits
	failOnPanic(t, &srv.Server)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// TestConfiguredCallLimits guards against calls over the configured limits that
// are forwarded, and calls within them that are refused.
func TestConfiguredCallLimits(t *testing.T) {
	address := startLimitedPath(t)
	for _, c := range []struct {
		name   string
		call   string
		status int
	}{
		{"within", rawRequest("POST / HTTP/1.1", "Content-Length: 1000") + strings.Repeat("a", 1000), 200},
		{"header", rawRequest("GET / HTTP/1.1", "X-Long: "+strings.Repeat("a", 2000)), 431},
		{"body", rawRequest("POST / HTTP/1.1", "Content-Length: 1001") + strings.Repeat("a", 1001), 413},
		{"streaming body", rawRequest("POST / HTTP/1.1", "Transfer-Encoding: chunked") + "3e9\r\n" + strings.Repeat("a", 1001) + "\r\n0\r\n\r\n", 413},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer conn.Close()
			_, _ = io.WriteString(conn, c.call) // may fail if the call is refused first
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, c.status)
		})
	}
}

// TestConfiguredConnectionLimits guards against connections that stay open longer
// than the configured header or idle timeout, and against such a timeout that
// ends a call with a slower body.
func TestConfiguredConnectionLimits(t *testing.T) {
	address := startLimitedPath(t)
	header, idle := time.Duration(testLimits.HeaderTimeout), time.Duration(testLimits.IdleTimeout)
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
	time.Sleep(idle * 4 / 5) // still within the idle timeout
	post(0)
	start := time.Now()
	_, err = r.ReadByte()
	assert.Equal(t, err, io.EOF)
	waited := time.Since(start)
	assert.Assert(t, waited > idle*9/10 && waited < idle+time.Second, "closed after %v", waited)

	slow, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer slow.Close()
	_, err = io.WriteString(slow, "GET / HTTP/1.1\r\nHost: ")
	assert.NilError(t, err)
	start = time.Now()
	_ = slow.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err = io.ReadAll(slow)
	assert.NilError(t, err)
	waited = time.Since(start)
	assert.Assert(t, waited < header+time.Second, "closed after %v", waited)
}
