package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

// tcpRelay forwards connections to an address and can close them in the way in
// which the kernel closes those of a killed process.
type tcpRelay struct {
	address string // where it listens
	mu      sync.Mutex
	conns   []net.Conn // guarded by mu; both ends of each connection
}

func startTCPRelay(t *testing.T, to string) *tcpRelay {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	r := &tcpRelay{address: ln.Addr().String()}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				_ = in.Close()
				continue
			}
			r.forward(in, out)
		}
	}()
	return r
}

func (r *tcpRelay) forward(a, b net.Conn) {
	r.mu.Lock()
	r.conns = append(r.conns, a, b)
	r.mu.Unlock()
	pass := func(dst, src net.Conn) {
		_, _ = io.Copy(dst, src)
		_ = dst.Close()
		_ = src.Close()
	}
	go pass(a, b)
	go pass(b, a)
}

// closeAll closes all connections, each end with a FIN.
func (r *tcpRelay) closeAll() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close()
	}
}

// firstHalf and secondHalf are the body of an answer that ends with its connection.
const (
	firstHalf  = "ten bytes."
	secondHalf = "the rest."
)

// startUnframedBackend starts a backend server whose answers have no length. It
// sends the second half once release is closed.
func startUnframedBackend(t *testing.T, release <-chan struct{}, end func(net.Conn)) string {
	return startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Sum: 7\r\nConnection: close\r\n\r\n"+firstHalf)
		<-release
		_, _ = io.WriteString(c, secondHalf)
		if end != nil {
			end(c)
		}
	})
}

// rawAnswer is an answer as a caller reads it from its connection.
type rawAnswer struct {
	header http.Header
	body   string
	err    error // of reading the body; nil means that it looks complete
}

// readUnframed sends a GET and reads its answer. halfway is called after the first
// half of the body.
func readUnframed(t *testing.T, address, protocol string, halfway func()) rawAnswer {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = fmt.Fprintf(c, "GET / %s\r\nHost: %s\r\n\r\n", protocol, testHost)
	assert.NilError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, 200)
	first := make([]byte, len(firstHalf))
	_, err = io.ReadFull(resp.Body, first)
	assert.NilError(t, err)
	halfway()
	rest, err := io.ReadAll(resp.Body)
	return rawAnswer{header: resp.Header, body: string(first) + string(rest), err: err}
}

// TestUnframedAnswerEndsAsItsServerEndsIt guards against an answer without length
// that is not passed on whole, or that looks complete although its backend server
// reset the connection.
func TestUnframedAnswerEndsAsItsServerEndsIt(t *testing.T) {
	reset := func(c net.Conn) {
		time.Sleep(50 * time.Millisecond) // the reset discards bytes that are not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
	}
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for name, end := range map[string]func(net.Conn){"regular end": nil, "reset": reset} {
			t.Run(protocol+" "+name, func(t *testing.T) {
				release := make(chan struct{})
				address := startPath(t, startUnframedBackend(t, release, end))
				got := readUnframed(t, address, protocol, func() { close(release) })
				assert.Equal(t, got.header.Get("X-Sum"), "7")
				if name == "reset" {
					assert.Assert(t, got.err != nil, "an answer that was reset looks complete")
					return
				}
				assert.NilError(t, got.err)
				assert.Equal(t, got.body, firstHalf+secondHalf)
			})
		}
	}
}

// TestClosedConnectionNeverEndsAnswer guards against an answer without length that
// looks complete because a connection on its way closed: the kernel closes the
// connections of a killed node as if their last byte had been sent.
func TestClosedConnectionNeverEndsAnswer(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run("between nodes, "+protocol, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			inner := startTCPRelay(t, startTestNode(t, "a", startUnframedBackend(t, release, nil), nil).address)
			got := readUnframed(t, startOutboundProxy(t, []string{inner.address}, nil), protocol, inner.closeAll)
			assert.Assert(t, got.err != nil, "half an answer looks complete")
		})
	}
	t.Run("to the caller", func(t *testing.T) {
		release := make(chan struct{})
		defer close(release)
		outer := startTCPRelay(t, startPath(t, startUnframedBackend(t, release, nil)))
		got := readUnframed(t, outer.address, "HTTP/1.1", outer.closeAll)
		assert.Assert(t, got.err != nil, "half an answer looks complete")
	})
}

// TestStoppedServerNeverEndsAnswer guards against an answer that looks complete to a
// caller because its node stopped before the answer was passed on. A caller of
// HTTP/1.0 knows no other end of an answer without length than that of the connection.
func TestStoppedServerNeverEndsAnswer(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		t.Run(protocol, func(t *testing.T) {
			release := make(chan struct{})
			defer close(release)
			node := startTestNode(t, "a", startUnframedBackend(t, release, nil), nil)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			srv := proxy.NewServer(outbound.New(newOutboundConfig([]string{node.address}, nil)))
			go func() { _ = srv.Serve(ln) }()
			got := readUnframed(t, ln.Addr().String(), protocol, func() { _ = srv.Close() })
			assert.Assert(t, got.err != nil, "half an answer looks complete")
		})
	}
}

// TestUnframedAnswerKeepsConnection guards against calls that are cut because the
// answer before theirs on the connection had no length.
func TestUnframedAnswerKeepsConnection(t *testing.T) {
	release := make(chan struct{})
	close(release)
	address := startPath(t, startUnframedBackend(t, release, nil))
	request := "GET / HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n"
	text, err := sendRaw(t, address, request+request+rawRequest("GET / HTTP/1.1"))
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(text, "HTTP/1.1 200 OK"), 3, "%q", text)
}
