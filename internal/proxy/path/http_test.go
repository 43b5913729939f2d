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

// TestP4CutAnswerIsNeverWhole guards against an answer that broke off and
// looks complete to the caller.
func TestP4CutAnswerIsNeverWhole(t *testing.T) {
	tests := []struct{ name, answer string }{
		{"short of its length", "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nten bytes."},
		{"short of a long length", "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" + strings.Repeat("x", 100000)},
		{"without the last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\na\r\nten bytes.\r\n"},
		{"inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nten bytes."},
		{"without the end of the trailers", "HTTP/1.1 200 OK\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\na\r\nten bytes.\r\n0\r\nX-Sum"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := newPath(t, scripted(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, tt.answer) }))
			overBoth(t, func(t *testing.T, c *http.Client) {
				resp, body, err := do(t, c, newCall(t, "POST", address, "/", strings.NewReader("a")))
				if err == nil {
					assert.Assert(t, resp.StatusCode >= 500, "a cut answer passed as whole: %q", body)
				}
			})
		})
	}
}

// TestP4CloseDelimitedAnswer guards against chunked coding that claims an end
// which the backend server did not send, and against a reset that looks like
// the end.
func TestP4CloseDelimitedAnswer(t *testing.T) {
	for _, reset := range []bool{false, true} {
		t.Run(fmt.Sprintf("reset %v", reset), func(t *testing.T) {
			address := newPath(t, scripted(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nten bytes.")
				if reset {
					time.Sleep(50 * time.Millisecond) // lets the bytes pass before the reset discards them
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}))
			text, err := exchangeRaw(t, address, rawCall("GET / HTTP/1.1"))
			assert.Assert(t, strings.HasSuffix(text, "\r\n\r\nten bytes."), "%q", text)
			assert.Assert(t, !strings.Contains(text, "chunked"), "%q", text)
			assert.Equal(t, err != nil, reset)
		})
	}
}

// TestP4UnaskedAnswerReachesNoCaller guards against bytes that a backend
// server sends unasked on a kept connection becoming the next call's answer.
func TestP4UnaskedAnswerReachesNoCaller(t *testing.T) {
	const answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
	address := newPath(t, scripted(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
		for {
			_, _ = io.WriteString(c, answer+"good"+answer+"evil")
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
		}
	}))
	c := clientOf(t, false)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				_, body, err := do(t, c, newCall(t, "GET", address, "/", nil))
				assert.Check(t, err)
				assert.Check(t, body != "evil")
			}
		})
	}
	all.Wait()
}

// TestCutRequestIsNeverWhole guards against a request body that broke off and
// reaches the backend server as complete.
func TestCutRequestIsNeverWhole(t *testing.T) {
	for _, tt := range []struct {
		name, header, body string
		arrives            bool // its beginning may reach the backend server
	}{
		{"small", "Content-Length: 20", "ten bytes.", false},
		{"long", "Content-Length: 100000", "ten bytes.", true},
		{"chunked", "Transfer-Encoding: chunked", "a\r\nten bytes.\r\n", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			read := make(chan error, 1)
			address := newPath(t, backendOf(t, func(_ http.ResponseWriter, r *http.Request) {
				_, err := io.Copy(io.Discard, r.Body)
				read <- err
			}))
			conn, err := net.Dial("tcp", address)
			assert.NilError(t, err)
			_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\n"+tt.header+"\r\n\r\n"+tt.body)
			time.Sleep(5 * prefixWait) // lets the beginning reach the backend server
			_ = conn.(*net.TCPConn).CloseWrite()
			_, _ = io.ReadAll(conn) // until the path has dealt with it
			_ = conn.Close()
			if !tt.arrives {
				assert.Equal(t, len(read), 0)
				return
			}
			select {
			case err := <-read:
				assert.Assert(t, err != nil, "a cut body was read as whole")
			case <-time.After(5 * time.Second):
				t.Fatal("the backend server waits for the rest")
			}
		})
	}
}

// TestTargetPassesUnchanged guards against a path or query that is decoded,
// cleaned or encoded anew on the way.
func TestTargetPassesUnchanged(t *testing.T) {
	got := make(chan string, 1)
	address := newPath(t, scripted(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		got <- req.RequestURI
		_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")
	}))
	for _, target := range []string{
		"/", "/a//b/../c/./", "/a%2Fb%2f%41", "/a?", "/a?x=1&y=%zz;q", "/a|b\"c{}^", "//double/slash", "/?/?", "/a+b%20c?d+e", "/~a:b@c",
	} {
		_, err := exchangeRaw(t, address, rawCall("GET "+target+" HTTP/1.1"))
		assert.NilError(t, err)
		select {
		case uri := <-got:
			assert.Equal(t, uri, target)
		case <-time.After(5 * time.Second):
			t.Fatalf("%q did not arrive", target)
		}
	}
}

// TestHeadersPass guards against lost end-to-end headers, passed on
// connection headers, and headers that nobody sent.
func TestHeadersPass(t *testing.T) {
	address := newPath(t, scripted(t, func(c net.Conn, _ *bufio.Reader, req *http.Request) {
		_, hasAgent := req.Header["User-Agent"]
		ok := req.Header.Get("X-Kept") == "1" && req.Header.Get("X-Named") == "" && req.Header.Get("Keep-Alive") == "" &&
			req.Header.Get("Te") == "trailers" && req.Host == testHost && !hasAgent && len(req.Header["X-Twice"]) == 2
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: X-Drop\r\nX-Drop: 1\r\nX-Keep: 1\r\nSet-Cookie: a\r\nSet-Cookie: b\r\nContent-Length: 5\r\n\r\n%-5v", ok)
	}))
	text, err := exchangeRaw(t, address, strings.Join([]string{
		"GET / HTTP/1.1", "Host: " + testHost, "Connection: close, x-named", "X-Named: 1", "X-Kept: 1", "Keep-Alive: 5", "TE: trailers, deflate",
		"X-Twice: 1", "X-Twice: 2", "", ""}, "\r\n"))
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(text, "true "), "%q", text)
	assert.Assert(t, !strings.Contains(text, "X-Drop"), "%q", text)
	assert.Assert(t, !strings.Contains(text, "Content-Type"), "a content type was guessed: %q", text)
	for _, want := range []string{"X-Keep: 1", "Set-Cookie: a", "Set-Cookie: b", proxy.HeaderOutcome + ": ran"} {
		assert.Assert(t, strings.Contains(text, want), "%q lacks %q", text, want)
	}
}

// TestTrailersPass guards against trailers lost in either direction.
func TestTrailersPass(t *testing.T) {
	address := newPath(t, backendOf(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Trailer", "X-Told")
		_, _ = io.WriteString(w, "body")
		w.Header().Set("X-Told", r.Trailer.Get("X-Asked"))
		w.Header().Set(http.TrailerPrefix+"X-Late", "late")
	}))
	overBoth(t, func(t *testing.T, c *http.Client) {
		req := newCall(t, "POST", address, "/", io.MultiReader(strings.NewReader("some body")))
		req.Trailer = http.Header{"X-Asked": {"asked"}}
		resp, body, err := do(t, c, req)
		assert.NilError(t, err)
		assert.Equal(t, body, "body")
		assert.Equal(t, resp.Trailer.Get("X-Told"), "asked")
		assert.Equal(t, resp.Trailer.Get("X-Late"), "late")
	})
}

// TestInformationalAnswersPass guards against lost early hints, and against a
// body that is taken from the caller before the backend server asks for it.
func TestInformationalAnswersPass(t *testing.T) {
	address := newPath(t, backendOf(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Link", "</style.css>")
		w.WriteHeader(http.StatusEarlyHints)
		w.Header().Del("Link")
		if r.URL.Path == "/refuse" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		_, _ = io.Copy(w, r.Body)
	}))
	overBoth(t, func(t *testing.T, c *http.Client) {
		for path, want := range map[string]int{"/take": http.StatusOK, "/refuse": http.StatusForbidden} {
			var hint string
			var asked bool
			trace := &httptrace.ClientTrace{
				Got100Continue: func() { asked = true },
				Got1xxResponse: func(code int, h textproto.MIMEHeader) error {
					if code == http.StatusEarlyHints {
						hint = h.Get("Link")
					}
					return nil
				},
			}
			req := newCall(t, "POST", address, path, strings.NewReader("body"))
			req.Header.Set("Expect", "100-continue")
			resp, _, err := do(t, c, req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, want)
			assert.Equal(t, hint, "</style.css>")
			assert.Equal(t, resp.Header.Get("Link"), "")
			if resp.ProtoMajor == 1 { // net/http's HTTP/2 server hides from handlers that the caller waits
				assert.Equal(t, asked, want == http.StatusOK)
			}
		}
	})
}

// TestAnswersWithoutBody guards against a body, or a wait for one, where HTTP
// has none.
func TestAnswersWithoutBody(t *testing.T) {
	address := newPath(t, backendOf(t, func(w http.ResponseWriter, r *http.Request) {
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
	overBoth(t, func(t *testing.T, c *http.Client) {
		for _, tt := range []struct {
			method, path string
			status       int
			length       int64
		}{{"HEAD", "/", 200, 12345}, {"GET", "/204", 204, 0}, {"GET", "/304", 304, 0}, {"HEAD", "/304", 304, -1}} {
			resp, body, err := do(t, c, newCall(t, tt.method, address, tt.path, nil))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, tt.status)
			assert.Equal(t, body, "")
			if tt.length >= 0 {
				assert.Equal(t, resp.ContentLength, tt.length, tt.path)
			}
		}
	})
}

// TestBodiesStream guards against a body that is collected before it is
// passed on, in either direction.
func TestBodiesStream(t *testing.T) {
	address := newPath(t, backendOf(t, func(w http.ResponseWriter, r *http.Request) {
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
	overBoth(t, func(t *testing.T, c *http.Client) {
		out, in := io.Pipe()
		resp, err := c.Do(newCall(t, "POST", address, "/", out))
		assert.NilError(t, err)
		defer resp.Body.Close()
		for i := range 20 {
			word := fmt.Sprintf("%04d", i)
			_, err := io.WriteString(in, word)
			assert.NilError(t, err)
			echo := make([]byte, len(word))
			_, err = io.ReadFull(resp.Body, echo)
			assert.NilError(t, err)
			assert.Equal(t, string(echo), word)
		}
		_ = in.Close()
		rest, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, len(rest), 0)
	})
}

const (
	// prefixWait is how long a guard waits for the beginning of a streaming body.
	prefixWait = 20 * time.Millisecond
	// unreadBodyWait is how long the rest of a body may take after an early answer.
	unreadBodyWait = time.Second
)

// newEarlyPath returns the address of a path to a backend server that answers
// 403 before it reads the body.
func newEarlyPath(t *testing.T) string {
	t.Helper()
	return newPath(t, scripted(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 403 Forbidden\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
		_, _ = io.Copy(io.Discard, r)
	}))
}

// TestEarlyAnswerToLongBody guards against a connection that breaks, or whose
// next call is misread, after an answer that came before the end of a body.
func TestEarlyAnswerToLongBody(t *testing.T) {
	address := newEarlyPath(t)
	overBoth(t, func(t *testing.T, c *http.Client) {
		for _, size := range []int{100, 70000, 150000} {
			for range 5 {
				out, in := io.Pipe()
				go func() {
					_, _ = io.WriteString(in, strings.Repeat("a", size/2))
					time.Sleep(3 * prefixWait) // the answer comes first
					_, _ = io.WriteString(in, strings.Repeat("b", size/2))
					_ = in.Close()
				}()
				resp, _, err := do(t, c, newCall(t, "POST", address, "/", out))
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusForbidden)
			}
		}
	})
}

// TestRefusedByHTTP guards against calls that HTTP forbids or we do not
// support reaching a backend server, and against refusals without outcome.
func TestRefusedByHTTP(t *testing.T) {
	address := newPath(t, backendOf(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was passed on") }))
	long := strings.Repeat("a", proxy.MaxHeaderBytes)
	for _, tt := range []struct {
		name, text string
		status     int
		reason     string
	}{
		{"header", rawCall("GET / HTTP/1.1", "X-Long: "+long), 431, proxy.ReasonHeaderTooLarge},
		{"path", rawCall("GET /" + long + " HTTP/1.1"), 431, proxy.ReasonHeaderTooLarge},
		{"body", rawCall("POST / HTTP/1.1", "Content-Length: 2000000000"), 413, proxy.ReasonBodyTooLarge},
		{"upgrade", "GET / HTTP/1.1\r\nHost: " + testHost + "\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\r\n", 501, proxy.ReasonUpgradeRefused},
		{"connect", rawCall("CONNECT shop.example:80 HTTP/1.1"), 501, proxy.ReasonUpgradeRefused},
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

// TestNetHTTPRepeatsNoCall guards against the resends that net/http's
// Transport makes on its own on connections that it had kept.
func TestNetHTTPRepeatsNoCall(t *testing.T) {
	for _, method := range []string{"GET", "HEAD", "POST", "DELETE", "OPTIONS"} {
		t.Run(method, func(t *testing.T) {
			ran := make(chan struct{}, 10)
			address := scripted(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 204 No Content\r\n\r\n")
				if req, err := http.ReadRequest(r); err == nil && req.Header.Get(proxy.HeaderIdempotencyKey) == "k" {
					ran <- struct{}{} // and the connection is lost
				}
			})
			link := proxy.NewClient(proxy.ClientConfig{})
			for i := range 2 {
				req := newCall(t, method, address, "/", nil)
				req.RequestURI = "/"
				header := proxy.RequestHeader(req)
				header.Set(proxy.HeaderIdempotencyKey, "k")
				proxy.HideIdempotencyKeys(header)
				a, err := link.Send(context.Background(), proxy.Transmission{Address: address, Request: req, Header: header, Wait: time.Second})
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

// TestRestOfBodyAfterEarlyAnswer guards against a connection that is reset
// while the caller still sends the body of a call that is answered already:
// the reset can reach the caller before it has read the answer.
func TestRestOfBodyAfterEarlyAnswer(t *testing.T) {
	address := newEarlyPath(t)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\naaaa\r\n")
	assert.NilError(t, err)
	time.Sleep(5 * prefixWait) // the answer arrives and is not read
	for range 5 {
		_, err = io.WriteString(conn, "4\r\nbbbb\r\n")
		assert.NilError(t, err)
		time.Sleep(prefixWait)
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

// TestCallerWhoNeverSendsTheRest guards against connections that stay open
// for good after an early answer.
func TestCallerWhoNeverSendsTheRest(t *testing.T) {
	address := newEarlyPath(t)
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: "+testHost+"\r\nContent-Length: 100000\r\n\r\naaaa")
	assert.NilError(t, err)
	_ = conn.SetReadDeadline(time.Now().Add(10 * unreadBodyWait))
	answer, err := io.ReadAll(conn) // until the node closes
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 403"))
}
