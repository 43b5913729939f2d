package path_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// malformedLines are lines of a head that are no header fields (RFC 9112, 5).
var malformedLines = []string{
	"X-Bad Name: 1", "X-Bad : 1", "Content-Length : 3", "Transfer-Encoding : chunked", "X-Call : other",
	" X-Folded: 1", "\tX-Folded: 1", " Content-Length: 3", "X-Bad\t: 1", "X-\tBad: 1",
	"X-\x01Bad: 1", "X-\x00Bad: 1", "X-Bad\x7f: 1", "X-\rBad: 1", "\rX-Bad: 1", "X-\x1b[0m: 1", "X-Bad\x80: 1", "X(Bad): 1",
	": 1", "X-No-Colon", "X-No-Colon ",
}

// malformedHeads returns answers whose head, or that of an informational answer
// before it, holds a line.
func malformedHeads(line string) map[string]string {
	const (
		status = "HTTP/1.1 200 OK\r\n"
		fields = "X-Sum: 7\r\nContent-Length: 4\r\n"
		body   = "\r\nbody"
	)
	line += "\r\n"
	return map[string]string{
		"first":                  status + line + fields + body,
		"between":                status + "X-Sum: 7\r\n" + line + "Content-Length: 4\r\n" + body,
		"last":                   status + fields + line + body,
		"without length":         status + "Connection: close\r\n" + line + body,
		"informational":          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n" + line + "\r\n" + status + fields + body,
		"after an informational": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + status + fields + line + body,
		"after a spaced status":  "HTTP/1.1  103 Early Hints\r\nLink: </a>\r\n\r\n" + status + fields + line + body,
	}
}

// TestMalformedFieldIsNoAnswer guards against an answer in whose head a line is no
// header field, and that reaches the caller with that line, without a header that was
// taken for part of another, or with a body that ends elsewhere than the server's.
func TestMalformedFieldIsNoAnswer(t *testing.T) {
	for _, line := range malformedLines {
		for place, answer := range malformedHeads(line) {
			t.Run(fmt.Sprintf("%q %s", line, place), func(t *testing.T) {
				address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, answer) }))
				runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
					resp, body, err := sendRequest(t, c, newRequest(t, "POST", address, "/", strings.NewReader("a")))
					assert.NilError(t, err)
					assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%v %q", resp.Header, body)
					assert.Equal(t, resp.Header.Get(proxy.HeaderOutcome), string(proxy.OutcomeUnknown))
				})
			})
		}
	}
}

// TestMalformedFieldOnKeptConnection guards against a malformed head that is only
// found in the first answer on a connection.
func TestMalformedFieldOnKeptConnection(t *testing.T) {
	address := startPath(t, startScriptedBackend(t, func(c net.Conn, r *bufio.Reader, _ *http.Request) {
		for line := ""; ; line = "X-Bad Name: 1\r\n" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+line+"Content-Length: 4\r\n\r\nbody")
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
		}
	}))
	c := newHTTPClient(t, false)
	for _, want := range []int{http.StatusOK, http.StatusBadGateway, http.StatusOK} {
		resp, _, err := sendRequest(t, c, newRequest(t, "POST", address, "/", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, want)
	}
}

// TestAnyFieldNameIsForwarded guards against a check of names that refuses valid ones.
func TestAnyFieldNameIsForwarded(t *testing.T) {
	const name = "!#$%&'*+-.^_`|~09az"
	address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Empty:\r\n"+name+":\ta: b\t\r\nContent-Length:4\r\n\r\nbody")
	}))
	runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
		resp, body, err := sendRequest(t, c, newRequest(t, "POST", address, "/", nil))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, resp.Header.Get(name), "a: b")
		assert.Equal(t, body, "body")
	})
}

// TestCodingOfEarlierVersionIsNoAnswer guards against an answer of HTTP/1.0 with a
// transfer coding, whose coded bytes reach the caller as the body.
func TestCodingOfEarlierVersionIsNoAnswer(t *testing.T) {
	const chunks = "\r\n4\r\nbody\r\n0\r\n\r\n"
	for answer, want := range map[string]int{
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                                         http.StatusBadGateway,
		"HTTP/1.0 200 OK\r\nX-Sum: 7\r\ntransfer-ENCODING:chunked\r\n" + chunks:                                              http.StatusBadGateway,
		"HTTP/1.0 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\nbody":                                     http.StatusBadGateway,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                         http.StatusBadGateway,
		"HTTP/1.0 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                         http.StatusOK,
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: 1\r\nTransfer: 2\r\nX-Transfer-Encoding: 3\r\nContent-Length: 4\r\n\r\nbody": http.StatusOK,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + chunks:                                                         http.StatusOK,
	} {
		t.Run(answer, func(t *testing.T) {
			address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) { _, _ = io.WriteString(c, answer) }))
			resp, body, err := sendRequest(t, newHTTPClient(t, false), newRequest(t, "POST", address, "/", nil))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, want, "%q", body)
			assert.Assert(t, want != http.StatusOK || body == "body", "%q", body)
		})
	}
}

// TestMalformedTrailerIsNotForwarded guards against a line of the trailers that is no
// header field and reaches the caller.
func TestMalformedTrailerIsNotForwarded(t *testing.T) {
	for _, line := range malformedLines {
		t.Run(fmt.Sprintf("%q", line), func(t *testing.T) {
			address := startPath(t, startScriptedBackend(t, func(c net.Conn, _ *bufio.Reader, _ *http.Request) {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Sum: 7\r\n"+line+"\r\n\r\n")
			}))
			runOverBothProtocols(t, func(t *testing.T, c *http.Client) {
				resp, _, err := sendRequest(t, c, newRequest(t, "POST", address, "/", nil))
				if err != nil {
					return // the answer broke off
				}
				for name := range resp.Trailer {
					assert.Equal(t, name, "X-Sum")
				}
			})
		})
	}
}
