package proxy

import "bytes"

// headScanner finds the end of the head of an HTTP/1 request in a stream of
// bytes.
type headScanner struct {
	bytes    []byte // of the head so far
	complete bool
	state    headState
}

// headState is the position within a possible end of the head: an empty line.
type headState int

const (
	inLine      headState = iota
	atLineStart           // after a line feed
	afterReturn           // after a carriage return at the start of a line
)

// scan takes the bytes up to the end of the head and returns their number.
func (h *headScanner) scan(b []byte) int {
	n := 0
	for n < len(b) && !h.complete {
		h.step(b[n])
		n++
	}
	h.bytes = append(h.bytes, b[:n]...)
	return n
}

func (h *headScanner) step(c byte) {
	switch {
	case c == '\n' && h.state != inLine:
		h.complete = true
	case c == '\n':
		h.state = atLineStart
	case c == '\r' && h.state == atLineStart:
		h.state = afterReturn
	default:
		h.state = inLine
	}
}

// tooLong reports whether the head is longer than what net/http's server accepts.
func (h *headScanner) tooLong() bool { return len(h.bytes) > netHTTPHeaderBytes }

// Names of headers, in lower case, after which more than the head belongs to the
// request or the connection changes.
var headersBeyondHead = [][]byte{
	[]byte("content-length"), []byte("transfer-encoding"), []byte("upgrade"), []byte("expect"), []byte("http2-settings"),
}

// endsRequest reports whether the request ends with its head and leaves the
// connection as it is.
func (h *headScanner) endsRequest() bool {
	if h.isHTTP2Preface() {
		return false
	}
	return !h.anyHeader(func(name, _ []byte) bool {
		for _, beyond := range headersBeyondHead {
			if bytes.EqualFold(name, beyond) {
				return true
			}
		}
		return false
	})
}

// isHTTP2Preface reports whether the head is the connection preface of HTTP/2.
func (h *headScanner) isHTTP2Preface() bool { return bytes.HasPrefix(h.bytes, []byte("PRI ")) }

// plain reports whether the head has one host and no bytes or headers that need
// the full checks of net/http's server.
func (h *headScanner) plain() bool {
	for _, c := range h.bytes {
		if c >= 0x7f || c < ' ' && c != '\r' && c != '\n' {
			return false
		}
	}
	hosts := 0
	odd := h.anyHeader(func(name, value []byte) bool {
		if bytes.EqualFold(name, []byte("host")) {
			hosts++
		}
		return len(name) == 0 || bytes.ContainsAny(name, " \t") || bytes.EqualFold(name, []byte("connection")) && !bytes.EqualFold(value, []byte("keep-alive"))
	})
	return hosts == 1 && !odd
}

// anyHeader reports whether a header of the head satisfies a condition.
func (h *headScanner) anyHeader(satisfies func(name, value []byte) bool) bool {
	_, rest, _ := bytes.Cut(h.bytes, []byte("\n"))
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		line = bytes.TrimRight(line, "\r")
		if len(line) == 0 {
			continue
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		if satisfies(name, bytes.TrimSpace(value)) {
			return true
		}
	}
	return false
}
