package path_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// TestTruncatedAnswerIsNeverComplete guards against a truncated answer that looks
// complete to the caller.
func TestTruncatedAnswerIsNeverComplete(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nten bytes."},
		{"short of a long length", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000)},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nten bytes.\r\n"},
		{"inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nten bytes."},
		{"without the end of the trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\na\r\nten bytes.\r\n0\r\nX-Sum"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, tt.answer) }))
			runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
				resp, body, err := sendRequest(t, c, newRequest(t, "POST", address, "/", strings.NewReader("a")))
				if err == nil {
					assert.Assert(t, resp.StatusCode >= 500, "a truncated answer looks complete: %q", body)
				}
			})
		})
	}
}

// TestUnsolicitedAnswerReachesNoCaller guards against an answer that a backend
// server sends without a request on a kept-alive connection and that is returned
// for the next call.
func TestUnsolicitedAnswerReachesNoCaller(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	address := startPath(t, startScriptedBackend(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
		for {
			_, _ = io.WriteString(c, answer+"good"+answer+"evil")
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
		}
	}))
	c := newHTTPClient(t, false)
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				_, body, err := sendRequest(t, c, newRequest(t, "GET", address, "/", nil))
				assert.Check(t, err)
				assert.Check(t, body != "evil")
			}
		})
	}
	callers.Wait()
}

// TestTruncatedRequestIsNeverComplete guards against a truncated request body
// that reaches the backend server as complete.
func TestTruncatedRequestIsNeverComplete(t *testing.T) {
	for _, tt := range []struct {
		name, header, body string
		arrives            bool // the beginning may reach the backend server
	}{
		{"small", "Content-Length: 20", "ten bytes.", false},
		{"long", "Content-Length: 100000", "ten bytes.", true},
		{"chunked", "Transfer-Encoding: chunked", "a\r\nten bytes.\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan error, 1)
			address := startPath(t, startBackend(t, func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				read <- err
			}))
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\n"+tt.header+"\r\n\r\n"+tt.body)
			time.Sleep(5 * streamPrefixWait) // lets the beginning reach the backend server
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.ReadAll(conn) // until the proxies have ended the call
			_ = conn.Close()
			if !tt.arrives {
				assert.Equal(t, len(read), 0)
				return
			}
			select {
			case err := <-read:
				assert.Assert(t, err != nil, "a truncated body was read as complete")
			case <-time.After(5 * time.Second):
				t.Fatal("the backend server still waits for the rest of the body")
			}
		})
	}
}

// TestRequestTargetIsUnchanged guards against a proxy that decodes, cleans or
// re-encodes the path or query.
func TestRequestTargetIsUnchanged(t *testing.T) {
	got := make(chan string, 1)
	address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		got <- req.RequestURI
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	}))
	for _, target := range []string{
		"/", "/a//b/../c/./", "/a%2Fb%2f%41", "/a?", "/a?x=1&y=%zz;q", "/a|b\"c{}^", "//double/slash", "/?/?", "/a+b%20c?d+e", "/~a:b@c",
	} {
		_, err := sendRaw(t, address, rawRequest("GET "+target+" HTTP/1.1"))
		assert.NilError(t, err)
		select {
		case uri := <-got:
			assert.Equal(t, uri, target)
		case <-time.After(5 * time.Second):
			t.Fatalf("%q did not arrive", target)
		}
	}
}

// TestEndToEndHeadersAreForwarded guards against lost end-to-end headers,
// forwarded hop-by-hop headers, and headers that neither side sent.
func TestEndToEndHeadersAreForwarded(t *testing.T) {
	address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		_, hasAgent := req.Header["User-Agent"]
		ok := req.Header.Get("X-Kept") == "1" && req.Header.Get("X-Named") == "" && req.Header.Get("Keep-Alive") == "" &&
			req.Header.Get("Te") == "trailers" && req.Host == testHost && !hasAgent && len(req.Header["X-Twice"]) == 2
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: X-Drop\r\nX-Drop: 1\r\nX-Keep: 1\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 5\r\n\r\n%-5v", ok)
	}))
	text, err := sendRaw(t, address, strings.Join([]string{
		"GET / HTTP/1.1", "Host: " + testHost, "Connection: close, x-named", "X-Named: 1", "X-Kept: 1", "Keep-Alive: 5", "TE: trailers, deflate",
		"X-Twice: 1", "X-Twice: 2", "", ""}, "\r\n"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(text, "true "), "%q", text)
	assert.Assert(t, !strings.Contains(text, "X-Drop"), "%q", text)
	assert.Assert(t, !strings.Contains(text, "Content-Type"), "a content type was added: %q", text)
	for _, want := range []string{"X-Keep: 1", "Set-Cookie: a", "Set-Cookie: b", proxy.HeaderOutcome + ": ran"} {
		assert.Assert(t, strings.Contains(text, want), "%q lacks %q", text, want)
	}
}

// TestTrailersAreForwarded guards against trailers that are lost in either
// direction.
func TestTrailersAreForwarded(t *testing.T) {
	address := startPath(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Response-Trailer")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Response-Trailer", r.Trailer.Get("X-Request-Trailer"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "late")
	}))
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		req := newRequest(t, "POST", address, "/", io.MultiReader(strings.NewReader("some body")))
		req.Trailer = http.Header{"X-Request-Trailer": {"sent"}}
		resp, body, err := sendRequest(t, c, req)
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
		assert.Equal(t, resp.Trailer.Get("X-Response-Trailer"), "sent")
		assert.Equal(t, resp.Trailer.Get("X-Late"), "late")
	})
}

// TestInformationalAnswersAreForwarded guards against lost early hints, and
// against a 100 Continue that the backend server did not send.
func TestInformationalAnswersAreForwarded(t *testing.T) {
	address := startPath(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		for path, want := range map[string]int{"/take": http.StatusOK, "/refuse": http.StatusForbidden} {
			var hint string
			var got100Continue bool
			trace := &httptrace.ClientTrace{
				Got100Continue: func() { got100Continue = true },
				Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if code == http.StatusEarlyHints {
						hint = h.Get("Link")
					}
					return nil
				},
			}
			req := newRequest(t, "POST", address, path, strings.NewReader("body"))
			req.Header.Set("Expect", "100-continue")
			resp, _, err := sendRequest(t, c, req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, want)
			assert.Equal(t, hint, "</style.css>")
			assert.Equal(t, resp.Header.Get("Link"), "")
			if resp.ProtoMajor == 1 { // net/http's HTTP/2 server hides the Expect header from handlers
				assert.Equal(t, got100Continue, want == http.StatusOK)
			}
		}
	})
}

// TestAnswersWithoutBody guards against a body, or a wait for one, in answers
// that have none in HTTP.
func TestAnswersWithoutBody(t *testing.T) {
	address := startPath(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/204":
			w.WriteHeader(http.StatusNoContent)
		case "/304":
			w.Header().Set("Etag", `"a"`)
			w.WriteHeader(http.StatusNotModified)
		default:
			w.Header().Set("Content-Length", "12345")
		}
	}))
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		for _, tt := range []struct {
			method, path string
			status       int
			length       int64
		}{{"HEAD", "/", 200, 12345}, {"GET", "/204", 204, 0}, {"GET", "/304", 304, 0}, {"HEAD", "/304", 304, -1}} {
			resp, body, err := sendRequest(t, c, newRequest(t, tt.method, address, tt.path, nil))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, body, "")
			if tt.length >= 0 {
				assert.Equal(t, resp.ContentLength, tt.length, tt.path)
			}
		}
	})
}

// TestBodiesAreStreamed guards against a body that is buffered before it is
// forwarded, in either direction.
func TestBodiesAreStreamed(t *testing.T) {
	address := startPath(t, startBackend(t, func(w http.ResponseWriter, r *http.Request) {
		_ = http.NewResponseController(w).EnableFullDuplex()
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
		piece := make([]byte, 64)
		for {
			n, err := r.Body.Read(piece)
			_, _ = w.Write(piece[:n])
			_ = http.NewResponseController(w).Flush()
			if err != nil {
				return
			}
		}
	}))
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		out, in := io.Pipe()
		resp, err := c.Do(newRequest(t, "POST", address, "/", out))
		assert.NilError(t, err)
		defer resp.Body.Close()
		for i := range 20 {
			chunk := fmt.Sprintf("%04d", i)
			_, err := io.WriteString(in, chunk)
			assert.NilError(t, err)
			echo := make([]byte, len(chunk))
			_, err = io.ReadFull(resp.Body, echo)
			assert.NilError(t, err)
			assert.Equal(t, string(echo), chunk)
		}
		_ = in.Close()
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
	})
}

const (
	// streamPrefixWait is how long an inbound proxy waits for the beginning of a
	// streamed body, the same as in package inbound.
	streamPrefixWait = 20 * time.Millisecond
	// unreadBodyWait is how long a caller may take to send the rest of a body
	// after an early answer, the same as in package proxy.
	unreadBodyWait = time.Second
)

// startEarlyAnswerPath is startPath with a backend server that answers 403 before
// it reads the body.
func startEarlyAnswerPath(t *testing.T) string {
	t.Helper()
	return startPath(t, startScriptedBackend(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, r)
	}))
}

// TestEarlyAnswerToLongBody guards against an answer that arrives before the end
// of a request body and breaks the connection or the next call on it.
func TestEarlyAnswerToLongBody(t *testing.T) {
	address := startEarlyAnswerPath(t)
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		for _, size := range []int{100, 70000, 150000} {
			for range 5 {
				out, in := io.Pipe()
				go func() {
					_, _ = io.WriteString(in, strings.Repeat("a", size/2))
					time.Sleep(3 * streamPrefixWait) // the answer comes first
					_, _ = io.WriteString(in, strings.Repeat("b", size/2))
					_ = in.Close()
				}()
				resp, _, err := sendRequest(t, c, newRequest(t, "POST", address, "/", out))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusForbidden)
			}
		}
	})
}

// TestUnsupportedRequestsAreRefused guards against oversized or unsupported
// requests that reach a backend server, and against refusals without an outcome.
func TestUnsupportedRequestsAreRefused(t *testing.T) {
	address := startPath(t, startBackend(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was forwarded") }))
	long := strings.Repeat("a", proxy.MaxHeaderBytes)
	for _, tt := range []struct {
		name, text string
		status     int
		reason     string
	}{
		{"header", rawRequest("GET / HTTP/1.1", "X-Long: "+long), 431, proxy.ReasonHeaderTooLarge},
		{"path", rawRequest("GET /" + long + " HTTP/1.1"), 431, proxy.ReasonHeaderTooLarge},
		{"body", rawRequest("POST / HTTP/1.1", "Content-Length: 2000000000"), 413, proxy.ReasonBodyTooLarge},
		{"upgrade", "GET / HTTP/1.1\r\nHost: " + testHost + "\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501, proxy.ReasonUpgradeRefused},
		{"connect", rawRequest("CONNECT shop.example:80 HTTP/1.1"), 501, proxy.ReasonUpgradeRefused},
	} {
		t.Run(tt.name, func(t *testing.T) {
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			defer conn.Close()
			_, _ = io.WriteString(conn, tt.text)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			assert.NilError(t, err)
			defer resp.Body.Close()
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, resp.Header.Get(proxy.HeaderOutcome), string(proxy.OutcomeNotRun))
			var f proxy.Failure
			assert.NilError(t, json.NewDecoder(resp.Body).Decode(&f))
			assert.Equal(t, f.Reason, tt.reason)
		})
	}
}

// TestTransportResendsNoCall guards against the automatic resend of net/http's
// Transport when a reused connection is lost.
func TestTransportResendsNoCall(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "DELETE", "OPTIONS"} {
		t.Run(method, func(t *testing.T) {
			ran := make(chan struct{}, 10)
			address := startScriptedBackend(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				if req, err := http.ReadRequest(r); err == nil && req.Header.Get(proxy.HeaderIdempotencyKey) == "k" {
					ran <- struct{}{} // then closes the connection
				}
			})
			client := proxy.NewClient(proxy.ClientConfig{})
			for i := range 2 {
				req := newRequest(t, method, address, "/", nil)
				req.RequestURI = "/"
				header := proxy.RequestHeader(req)
				header.Set(proxy.HeaderIdempotencyKey, "k")
				proxy.HideIdempotencyKeys(header)
				a, err := client.Send(context.Background(), proxy.Transmission{Address: address, Request: req, Header: header, Wait: time.Second})
				if i == 0 {
					assert.Assert(t, err == nil)
					a.Close()
					continue
				}
				assert.Assert(t, err != nil && err.Sent && err.Reused)
			}
			assert.Equal(t, len(ran), 1)
		})
	}
}

// TestRestOfBodyAfterEarlyAnswer guards against a reset of the connection while
// the caller still sends the body of a call that was answered early: the reset
// can arrive before the caller has read the answer.
func TestRestOfBodyAfterEarlyAnswer(t *testing.T) {
	address := startEarlyAnswerPath(t)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\naaaa\r\n")
	assert.NilError(t, err)
	time.Sleep(5 * streamPrefixWait) // the answer arrives and is not read
	for range 5 {
		_, err = io.WriteString(conn, "4\r\nbbbb\r\n")
		assert.NilError(t, err)
		time.Sleep(streamPrefixWait)
	}
	_, err = io.WriteString(conn, "0\r\n\r\n")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusForbidden)
	_, err = io.Copy(io.Discard, conn)
	assert.NilError(t, err)
}

// TestStalledBodyAfterEarlyAnswerClosesConnection guards against a connection
// that stays open forever because the caller never sends the rest of the body
// after an early answer.
func TestStalledBodyAfterEarlyAnswerClosesConnection(t *testing.T) {
	address := startEarlyAnswerPath(t)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 100000\r\n\r\naaaa")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(10 * unreadBodyWait))
	answer, err := io.ReadAll(conn) // until the node closes the connection
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 403"))
}
