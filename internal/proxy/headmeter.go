package proxy

import (
	"net/http"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

// Memory that a head takes until its call ends: net/http's map with a string and a
// slice for each line, the copy for the next hop, the sorted list that is written,
// buffers, and garbage that is not collected yet.
const (
	headLineCost = 320
	headByteCost = 4
	// freeHeadBytes of a head are not charged, but part of what each connection is
	// planned with. The heads of ordinary calls, of up to 32 lines, stay below it.
	freeHeadBytes = 16 << 10
	// headChargeStep keeps a head that arrives slowly from charging for each line.
	headChargeStep = 16 << 10
)

// headCost returns the memory for a head beyond freeHeadBytes.
func headCost(lines, bytes int) int64 {
	cost := int64(lines)*headLineCost + int64(bytes)*headByteCost - freeHeadBytes
	if cost <= 0 {
		return 0
	}
	return (cost + headChargeStep - 1) / headChargeStep * headChargeStep
}

// headerLines returns the number of lines of a parsed head.
func headerLines(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

// headMeter measures a head of HTTP/1 while it is read, before it is parsed.
type headMeter struct {
	charge   memory.Charge
	state    headState
	lines    int
	bytes    int
	preface  int  // bytes of http2Preface that the head begins with
	complete bool // the head has ended
	inexact  bool // bytes around the head were read together with others
	off      bool // the connection is not HTTP/1
	interim  bool // the head is that of an informational answer

	// Of an answer.
	inName    bool // the name of a field has begun
	malformed bool // a line is not a header field
}

// http2Preface begins a connection of HTTP/2. What follows it are frames.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

// statusAt is the position in a status line of the first digit of the status, which
// is 1 for an informational answer.
const statusAt = len("HTTP/1.1 ")

// reset prepares for the next head and returns the charge for the last one. inexact
// reports whether the beginning of the next head may have been read already.
func (m *headMeter) reset(inexact bool) {
	m.charge.Release()
	*m = headMeter{charge: m.charge, off: m.off, inexact: inexact}
}

// scan takes bytes of the stream up to the end of the head.
func (m *headMeter) scan(b []byte) {
	for _, c := range b {
		if m.complete || m.off {
			m.inexact = m.inexact || m.complete
			return
		}
		if m.bytes < len(http2Preface) && m.preface == m.bytes && c == http2Preface[m.bytes] {
			m.preface++
			m.off = m.preface == len(http2Preface)
		}
		m.step(c)
	}
}

func (m *headMeter) step(c byte) {
	m.bytes++
	switch {
	case c == '\n' && m.state != inLine:
		m.complete = true
	case c == '\n':
		m.lines++
		m.state = atLineStart
	case c == '\r' && m.state == atLineStart:
		m.state = afterReturn
	default:
		m.state = inLine
	}
}

// scanAnswer is like scan for the head of an answer, which informational ones may
// precede. Those are dropped as they come.
func (m *headMeter) scanAnswer(b []byte) {
	for _, c := range b {
		if m.complete && m.interim {
			m.complete, m.interim, m.bytes, m.lines, m.state = false, false, 0, 0, inLine
		}
		if m.complete {
			return
		}
		if m.bytes == statusAt {
			m.interim = c == '1'
			m.malformed = m.malformed || c == ' ' // net/http would skip it
		}
		m.checkField(c)
		m.step(c)
	}
}

// checkField checks the name of a field and that the line begins with it (RFC 9112,
// 5). net/http accepts names with blanks, so that it passes over a length or a coding,
// and lines that begin with a blank, as part of the line before.
func (m *headMeter) checkField(c byte) {
	begins := m.state == atLineStart && c != '\r' && c != '\n'
	m.inName = m.inName || begins
	switch {
	case m.state == afterReturn:
		m.malformed = m.malformed || c != '\n'
	case m.inName && c == ':' && !begins:
		m.inName = false
	case m.inName:
		m.malformed = m.malformed || !isTokenByte(c)
	}
}

// isTokenByte reports whether a byte may be part of the name of a field (RFC 9110,
// 5.6.2).
func isTokenByte(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}

func (m *headMeter) cost() int64 { return headCost(m.lines, m.bytes) }
