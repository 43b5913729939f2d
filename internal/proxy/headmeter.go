package proxy

import (
	"net/http"

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
}

// http2Preface begins a connection of HTTP/2. What follows it are frames.
const http2Preface = "PRI * HTTP/2.0\r\n\r\n"

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

func (m *headMeter) cost() int64 { return headCost(m.lines, m.bytes) }
