package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

// startPipelinedServer serves a handler with calls that run ahead and returns the
// address.
func startPipelinedServer(t testing.TB, h http.Handler, runAhead func(*http.Request) bool, edits ...func(*proxy.Server)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := proxy.NewServer(h)
	srv.RunAhead = runAhead
	for _, edit := range edits {
		edit(srv)
	}
	failOnPanic(t, &srv.Server)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

func isGet(r *http.Request) bool { return r.Method == http.MethodGet }

// getRequest returns the bytes of a GET request.
func getRequest(target string) string {
	return "GET " + target + " HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n"
}

// readAnswers reads answers until the connection ends or n were read.
func readAnswers(t testing.TB, r *bufio.Reader, n int) (bodies []string) {
	t.Helper()
	for range n {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return bodies
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return bodies
		}
		bodies = append(bodies, string(body))
	}
	return bodies
}

func dialCaller(t testing.TB, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	return conn, bufio.NewReader(conn)
}

// TestPipelinedCallsRunAtTheSameTime guards against a call that waits for the
// answers to those ahead of it on its connection, and against answers out of
// order. The calls end in reverse order, so each must have started before.
func TestPipelinedCallsRunAtTheSameTime(t *testing.T) {
	const calls = 5
	ended := make([]chan struct{}, calls+1)
	for i := range ended {
		ended[i] = make(chan struct{})
	}
	close(ended[calls])
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		i, _ := strconv.Atoi(r.URL.Path[1:])
		select {
		case <-ended[i+1]:
		case <-r.Context().Done():
		}
		_, _ = fmt.Fprint(w, i)
		close(ended[i])
	})
	cfg := newOutboundConfig([]string{startTestNode(t, "a", backend, nil).address}, nil)
	front := outbound.New(cfg)
	address := startPipelinedServer(t, front, front.MayRunAhead)
	conn, r := dialCaller(t, address)
	for i := range calls {
		_, err := io.WriteString(conn, getRequest("/"+strconv.Itoa(i)))
		assert.NilError(t, err)
		time.Sleep(time.Duration(i%2) * 5 * time.Millisecond) // some arrive together, some do not
	}
	assert.DeepEqual(t, readAnswers(t, r, calls), []string{"0", "1", "2", "3", "4"})
}

// TestUnrepeatableCallWaitsForItsTurn guards against a call that must not run
// twice and runs ahead: its caller sends it again when the answer before it
// closes the connection.
func TestUnrepeatableCallWaitsForItsTurn(t *testing.T) {
	var started atomic.Int64
	release := make(chan struct{})
	address := startPipelinedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		if r.URL.Path == "/0" {
			<-release
		}
		_, _ = io.WriteString(w, r.Method)
	}), isGet)
	conn, r := dialCaller(t, address)
	_, err := io.WriteString(conn, getRequest("/0")+"DELETE /1 HTTP/1.1\r\nHost: "+testHost+"\r\n\r\n"+getRequest("/2"))
	assert.NilError(t, err)
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, started.Load(), int64(1))
	close(release)
	assert.DeepEqual(t, readAnswers(t, r, 3), []string{"GET", "DELETE", "GET"})
}

// TestDisconnectCancelsPipelinedCalls guards against calls that go on after their
// caller has disconnected, which net/http's server does not notice once it has
// read a byte of the next request.
func TestDisconnectCancelsPipelinedCalls(t *testing.T) {
	var running atomic.Int64
	address := startPipelinedServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		<-r.Context().Done()
	}), isGet)
	conn, _ := dialCaller(t, address)
	_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1")+getRequest("/2"))
	assert.NilError(t, err)
	eventually(t, time.Second, "all run", func() bool { return running.Load() == 3 })
	_ = conn.Close()
	eventually(t, freedWithin, "all are cancelled", func() bool { return running.Load() == 0 })
}

// TestDisconnectBehindRequestWithBody guards against pipelined calls that run after
// their caller has disconnected, on a connection that has carried a body.
func TestDisconnectBehindRequestWithBody(t *testing.T) {
	const arrivalTime = 20 * time.Millisecond // of the calls that are sent while another one runs
	const post = "POST /0 HTTP/1.1\r\nHost: " + testHost + "\r\n"
	for _, c := range []struct{ name, post string }{
		{"of a known length", post + "Content-Length: 4\r\n\r\nbody"},
		{"in chunks", post + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var running, runs atomic.Int64
			address := startPipelinedServer(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				assert.Check(t, err)
				if r.Method == http.MethodPost {
					return
				}
				runs.Add(1)
				running.Add(1)
				defer running.Add(-1)
				<-r.Context().Done()
			}), isGet)
			conn, _ := dialCaller(t, address)
			_, err := io.WriteString(conn, c.post+getRequest("/1"))
			assert.NilError(t, err)
			eventually(t, time.Second, "a call runs", func() bool { return running.Load() > 0 })
			_, err = io.WriteString(conn, getRequest("/2")+getRequest("/3"))
			assert.NilError(t, err)
			time.Sleep(arrivalTime)
			_ = conn.Close()
			eventually(t, freedWithin, "all are cancelled", func() bool { return running.Load() == 0 })
			time.Sleep(freedWithin)
			assert.Equal(t, runs.Load(), int64(1))
		})
	}
}

// TestBrokenPipelinedAnswerIsNotComplete guards against an answer that ran ahead,
// broke off and looks complete to the caller.
func TestBrokenPipelinedAnswerIsNotComplete(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(w http.ResponseWriter)
	}{
		{"before the header", func(http.ResponseWriter) {}},
		{"within the body", func(w http.ResponseWriter) { _, _ = io.WriteString(w, "part") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			ahead := make(chan struct{})
			address := startPipelinedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/1" {
					close(ahead)
					c.answer(w)
					panic(http.ErrAbortHandler)
				}
				<-ahead
				_, _ = io.WriteString(w, "first")
			}), isGet)
			conn, r := dialCaller(t, address)
			_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1"))
			assert.NilError(t, err)
			assert.DeepEqual(t, readAnswers(t, r, 2), []string{"first"})
		})
	}
}

// TestBrokenAnswerKeepsCallsBehind guards against a short answer that breaks off
// and takes the connection, with calls behind it that a backend server runs.
func TestBrokenAnswerKeepsCallsBehind(t *testing.T) {
	ahead := make(chan struct{})
	backend := startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			close(ahead)
			_, _ = io.WriteString(w, "second")
			return
		}
		<-ahead
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		panic(http.ErrAbortHandler)
	})
	front := outbound.New(newOutboundConfig([]string{startTestNode(t, "a", backend, nil).address}, nil))
	conn, r := dialCaller(t, startPipelinedServer(t, front, front.MayRunAhead))
	_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1"))
	assert.NilError(t, err)
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusBadGateway)
	assert.DeepEqual(t, readAnswers(t, r, 1), []string{"second"})
}

// TestLongPipelinedAnswer guards against the body of an answer that is cut or
// kept in memory while it waits for its turn.
func TestLongPipelinedAnswer(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 64<<10)
	var written atomic.Int64
	ahead, release := make(chan struct{}), make(chan struct{})
	address := startPipelinedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/0" {
			<-release
			_, _ = io.WriteString(w, "first")
			return
		}
		close(ahead)
		w.Header().Set("Trailer", "X-Sum")
		for rest := body; len(rest) > 0; rest = rest[1<<10:] {
			_, _ = io.WriteString(w, rest[:1<<10])
			written.Add(1 << 10)
		}
		w.Header().Set("X-Sum", "7")
	}), isGet)
	conn, r := dialCaller(t, address)
	_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1"))
	assert.NilError(t, err)
	<-ahead
	time.Sleep(50 * time.Millisecond)
	assert.Assert(t, written.Load() <= 64<<10, "%d bytes are kept", written.Load())
	close(release)
	assert.DeepEqual(t, readAnswers(t, r, 1), []string{"first"})
	resp, err := http.ReadResponse(r, nil)
	assert.NilError(t, err)
	got, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == body)
	assert.Equal(t, resp.Trailer.Get("X-Sum"), "7")
}

// TestDrainAnswersCallsThatRunAhead guards against a draining node that closes a
// connection while a call behind the present one has reached a backend server.
func TestDrainAnswersCallsThatRunAhead(t *testing.T) {
	var draining atomic.Bool
	var started atomic.Int64
	release := make(chan struct{})
	mayRun := func(r *http.Request) bool { return !draining.Load() && isGet(r) }
	address := startPipelinedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	}), mayRun, func(srv *proxy.Server) { srv.Draining = draining.Load })
	conn, r := dialCaller(t, address)
	_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1"))
	assert.NilError(t, err)
	eventually(t, time.Second, "both run", func() bool { return started.Load() == 2 })
	draining.Store(true)
	_, err = io.WriteString(conn, getRequest("/2"))
	assert.NilError(t, err)
	close(release)
	for i, closes := range []bool{false, true} {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "/"+strconv.Itoa(i))
		assert.Equal(t, resp.Close, closes, "answer %d", i)
	}
	assert.Equal(t, started.Load(), int64(2), "the call behind the end of the connection did not run")
}

// TestRunningAheadChangesNoAnswer compares the answers to random requests, cut
// into random pieces, with those of a server without calls that run ahead. It
// guards against requests that are lost, joined or run out of turn.
func TestRunningAheadChangesNoAnswer(t *testing.T) {
	var mu sync.Mutex
	var order []string // of the calls that may not run ahead
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if r.Method != http.MethodGet {
			mu.Lock()
			order = append(order, r.URL.Path)
			mu.Unlock()
		}
		_, _ = fmt.Fprint(w, r.Method, r.URL.Path, r.Header.Get("X-Pad"), len(body))
	})
	plain := startPipelinedServer(t, h, nil)
	pipelined := startPipelinedServer(t, h, isGet)
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 24).Draw(rt, "requests")
		var all strings.Builder
		for i := range n {
			pad := strings.Repeat("p", rapid.SampledFrom([]int{0, 10, 4090, 9000}).Draw(rt, "pad"))
			switch rapid.SampledFrom([]string{"get", "get", "get", "post", "chunked", "delete", "keep"}).Draw(rt, "kind") {
			case "get":
				fmt.Fprintf(&all, "GET /%d HTTP/1.1\r\nHost: h\r\nX-Pad: %s\r\n\r\n", i, pad)
			case "keep":
				fmt.Fprintf(&all, "GET /%d HTTP/1.1\nHost: h\nConnection: keep-alive\n\n", i)
			case "delete":
				fmt.Fprintf(&all, "DELETE /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
			case "post":
				fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", i, len(pad), pad)
			case "chunked":
				fmt.Fprintf(&all, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", i)
			}
		}
		cuts := rapid.SliceOfN(rapid.IntRange(1, 5000), 1, 8).Draw(rt, "cuts")
		send := func(address string) []string {
			order = nil
			conn, r := dialCaller(t, address)
			go func() {
				rest := all.String()
				for i := 0; len(rest) > 0; i++ {
					piece := min(cuts[i%len(cuts)], len(rest))
					_, _ = io.WriteString(conn, rest[:piece])
					rest = rest[piece:]
				}
			}()
			answers := readAnswers(t, r, n)
			_ = conn.Close()
			return append(answers, order...)
		}
		want, got := send(plain), send(pipelined)
		assert.DeepEqual(rt, want, got)
	})
}

// TestShutdownWritesAnswersThatRanAhead guards against a shutdown that drops the
// answer to a call behind a long one, which a backend server has run.
func TestShutdownWritesAnswersThatRanAhead(t *testing.T) {
	var started atomic.Int64
	var server *proxy.Server
	release := make(chan struct{})
	address := startPipelinedServer(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		started.Add(1)
		if r.URL.Path == "/0" {
			<-release
		}
		_, _ = io.WriteString(w, r.URL.Path)
	}), isGet, func(srv *proxy.Server) { server = srv })
	conn, r := dialCaller(t, address)
	_, err := io.WriteString(conn, getRequest("/0")+getRequest("/1"))
	assert.NilError(t, err)
	eventually(t, time.Second, "both run", func() bool { return started.Load() == 2 })
	done := make(chan error, 1)
	go func() { done <- server.Shutdown(t.Context()) }()
	time.Sleep(50 * time.Millisecond)
	close(release)
	assert.DeepEqual(t, readAnswers(t, r, 2), []string{"/0", "/1"})
	assert.NilError(t, <-done)
}
