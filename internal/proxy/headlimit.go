package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

const (
	// headSlack is what a head may exceed the configured limit by before its
	// connection is closed. Calls slightly over the limit get the answer of
	// HTTPRefusal.
	headSlack = 4 << 10
	// nodeHeadBytes bounds a head from another node: a legal one, to whose lines the
	// first hop adds white space, and the headers between nodes.
	nodeHeadBytes = 2 * MaxHeaderBytes
	// headWait is how long a head waits for memory. In that time the calls of an
	// ordinary crowd end, and callers wait no longer for a head to be read.
	headWait = time.Second
	// refusalWait bounds the time for writing a refusal before the end of a head.
	refusalWait = 100 * time.Millisecond
	// retryAfterRefusal is the retry-after of a refusal for want of memory.
	retryAfterRefusal = time.Second
	// extraCallBytes is charged for a call that shares its connection with others:
	// its goroutines, connections and the buffered beginning of its answer.
	extraCallBytes = 48 << 10
)

// errHeadRefused ends a connection whose head was refused.
var errHeadRefused = errors.New("the head of the call was refused")

// headLimit returns the largest head that is read.
func (c *callerConn) headLimit() int64 {
	if c.limits == nil {
		return nodeHeadBytes
	}
	return HeaderLimit(c.limits()) + headSlack
}

// checkHead follows the head of a call in bytes that were read, and takes memory for
// it. It refuses a head that is too long or for which there is no memory.
func (c *callerConn) checkHead(b []byte, inCall bool, err error) (int, error) {
	switch {
	case c.refused != nil:
		return 0, c.refused
	case c.guard == nil || len(b) == 0:
		return len(b), err
	case inCall:
		if len(b) > 1 { // net/http's server reads single bytes to notice that the caller has disconnected
			c.readInCall.Store(true)
		}
		return len(b), err
	case c.meter.off:
		return len(b), err
	}
	if c.meter.bytes == 0 {
		c.waitsFrom(0)
	}
	c.meter.scan(b)
	if !c.meter.complete && int64(c.meter.bytes) > c.headLimit() {
		c.guard.counts.longHeads.Add(1)
		return 0, c.refuseHead(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge)
	}
	if !c.growHead() {
		c.guard.counts.refusedHeads.Add(1)
		return 0, c.refuseHead(http.StatusServiceUnavailable, ReasonOverloaded)
	}
	return len(b), err
}

// growHead raises the charge to the cost of the head so far.
func (c *callerConn) growHead() bool {
	cost := c.meter.cost()
	if c.meter.charge.TryGrow(cost) {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), headWait)
	defer cancel()
	return c.meter.charge.Grow(ctx, cost)
}

// refuseHead answers a call whose head was not passed on, and returns an error that
// makes net/http's server close the connection without an answer of its own. If calls
// run ahead on the connection, this may be one of them, and no answer is given.
func (c *callerConn) refuseHead(status int, reason string) error {
	c.refused = &net.OpError{Op: "read", Net: "tcp", Err: errHeadRefused}
	if c.runsCalls() {
		return c.refused
	}
	answer := http.Response{
		StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Close: true, Body: io.NopCloser(strings.NewReader("")),
		Header: http.Header{HeaderOutcome: {string(OutcomeNotRun)}, HeaderReason: {reason}},
	}
	if status == http.StatusServiceUnavailable {
		answer.Header["Retry-After"] = []string{OwnDialect.retryAfter(retryAfterRefusal)}
	}
	until := time.Now().Add(refusalWait)
	_ = c.SetWriteDeadline(until)
	_ = answer.Write(c.TCPConn) // a caller that does not read gets none
	c.restDeadline.Store(&until)
	return c.refused
}

// admitCall takes memory for the head of a call that net/http has parsed, as far as
// it was not measured while it was read. It returns the function that gives the
// memory back, or nil when there is none.
func (s *Server) admitCall(conn *callerConn, r *http.Request) (release func()) {
	switch {
	case s.Guard == nil || conn != nil && !conn.meter.off && !conn.meter.inexact:
		return func() {}
	case conn != nil && !conn.meter.off:
		// The connection returns it before the next head.
		if conn.meter.charge.TryGrow(headCost(headerLines(r.Header), 0)) {
			return func() {}
		}
	default: // HTTP/2
		charge := memory.NewCharge(s.Guard.Buffers)
		if charge.TryGrow(extraCallBytes + headCost(headerLines(r.Header), 0)) {
			return charge.Release
		}
	}
	s.Guard.counts.refusedHeads.Add(1)
	return nil
}

// refuseCall answers a call that was not run for want of memory.
func refuseCall(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	NotRun(http.StatusServiceUnavailable, ReasonOverloaded, "the node has no memory for the call").WithRetryAfter(retryAfterRefusal).Write(w, &OwnDialect)
}
