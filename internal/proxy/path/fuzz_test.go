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
)

// FuzzRequestBytes guards against bytes of a caller that make a node panic, keep
// the connection open forever, or answer with something other than HTTP.
func FuzzRequestBytes(f *testing.F) {
	for _, seed := range []string{
		rawRequest("GET / HTTP/1.1"),
		"GET / HTTP/1.1\r\nHost: " + testHost + "\r\n\r\nGET /next HTTP/1.1\r\n",
		"POST / HTTP/1.1\r\nHost: " + testHost + "\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: " + testHost + "\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: " + testHost + "\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n",
		"GET //a/../b?x=%zz HTTP/1.1\r\nHost: " + testHost + "\r\n\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00",
		"\x16\x03\x01",
	} {
		f.Add([]byte(seed))
	}
	address := startPath(f, startBackend(f, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	}))
	f.Fuzz(func(t *testing.T, data []byte) {
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		// Both fail if the node has already refused the bytes and closed.
		_, _ = conn.Write(data)
		_ = conn.(*net.TCPConn).CloseWrite()
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		answer, err := io.ReadAll(conn)
		if err, ok := err.(net.Error); ok {
			assert.Assert(t, !err.Timeout(), "the connection stays open")
		}
		http1 := strings.HasPrefix(string(answer), "HTTP/1.")
		assert.Assert(t, len(answer) == 0 || http1 || strings.HasPrefix(string(data), "PRI * HTTP/2.0"), "%q", answer)
	})
}

// FuzzAnswerBytes guards against bytes of a backend server that make a node panic,
// that leave the caller waiting, or that reach it as more than one answer.
func FuzzAnswerBytes(f *testing.F) {
	for _, seed := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
		"HTTP/1.1 999 \r\nContent-Length: -1\r\n\r\n",
		"HTTP/1.0 200 OK\r\n\r\nrest",
		"\x00\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = c.Write(data) }))
		conn, err := net.Dial("tcp", address)
		assert.NilError(t, err)
		defer conn.Close()
		_, err = io.WriteString(conn, rawRequest("POST / HTTP/1.1", "Content-Length: 0"))
		assert.NilError(t, err)
		_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
		r := bufio.NewReader(conn)
		for {
			resp, err := http.ReadResponse(r, nil)
			if err != nil {
				e, timeout := err.(net.Error)
				assert.Assert(t, !timeout || !e.Timeout(), "no answer")
				return // a truncated answer resets the connection
			}
			if resp.StatusCode < http.StatusOK {
				continue
			}
			_, err = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if err == nil {
				rest, _ := io.ReadAll(r) // a reset ends the connection too
				assert.Equal(t, len(rest), 0, "%q", rest)
			}
			return
		}
	})
}
