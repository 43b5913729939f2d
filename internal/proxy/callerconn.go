package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn, nil
	}
	c := &callerConn{TCPConn: tcp, limits: l.server.Limits, guard: l.server.Guard}
	c.meter.charge = memory.NewCharge(c.guard.HeadBudget())
	c.waitsFrom(0)
	if l.server.RunAhead != nil {
		c.pipeline = newPipeline(tcp, l.server)
	}
	if !c.guard.admit(c) {
		_ = tcp.Close()
	}
	return c, nil // net/http's server ends one that is closed
}

// callerConn is a connection of a caller. When a call was answered before the
// end of its body, the rest of the body is read and discarded before the
// connection closes: net/http's server stops reading such a body when it
// interrupts a read in progress, and closing a connection with unread bytes
// resets it, so that the caller may lose the answer.
type callerConn struct {
	*net.TCPConn
	limits       func() profile.CallLimits // nil for none
	pipeline     *pipeline                 // nil where no calls run ahead
	phase        atomic.Int32
	beganEarly   atomic.Bool               // an answer began before the end of the call's body
	restDeadline atomic.Pointer[time.Time] // deadline for reading the rest of the body; set when the call has ended
	closing      atomic.Bool
	resetOnClose atomic.Bool // see setResetOnClose

	guard        *Guard
	refused      error        // of the head that ended the connection; used like meter
	meter        headMeter    // of the head that is read, and then of the call; used by the goroutine that serves the connection
	waitingSince atomic.Int64 // when it began to wait for a call, as a duration since processStart
	evicted      atomic.Bool  // closed in favour of a new connection
	readInCall   atomic.Bool  // the body was read from the connection, and possibly what follows it
}

// processStart is the origin of times that are kept as numbers.
var processStart = time.Now()

// waitsFrom records that the connection begins to wait for a call, as if that were
// later by a time.
func (c *callerConn) waitsFrom(later time.Duration) {
	c.waitingSince.Store(int64(time.Since(processStart) + later))
}

// runsCalls reports whether a call on the connection has begun and is not answered
// yet.
func (c *callerConn) runsCalls() bool {
	return c.phase.Load() == phaseCall || c.pipeline != nil && c.pipeline.pending.Load() > 0
}

// evict marks the connection as closed in favour of another one, and reports false
// when a call has begun meanwhile. A call that begins afterwards sees the mark and is
// not run.
func (c *callerConn) evict() bool {
	c.evicted.Store(true)
	if c.runsCalls() {
		c.evicted.Store(false)
		return false
	}
	return true
}

// closeNow closes the connection without waiting for the rest of a body.
func (c *callerConn) closeNow() error {
	c.guard.remove(c)
	return c.TCPConn.Close()
}

// Phases of a connection, which determine what its next read deadline is for.
const (
	phaseHeader int32 = iota // before a call: the next deadline is for its header
	phaseIdle                // a call has ended: the next deadline is for the idle time
	phaseCall                // within a call
)

// updatePhase is the ConnState hook of net/http's server, which sets the
// deadline for the idle time after it reports a connection as idle, and the one
// for a header before it reports the connection as active.
func updatePhase(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.meter.reset(conn.readInCall.Swap(false))
		conn.waitsFrom(idlePreference)
		conn.phase.Store(phaseIdle)
	case http.StateActive:
		conn.phase.Store(phaseCall)
	case http.StateClosed:
		conn.meter.reset(false)
		if conn.pipeline != nil {
			conn.pipeline.releaseAhead(true)
		}
	}
}

// limitDeadline returns the deadline that the configured limits set for the
// current phase, or t if they set none. After the deadline for the idle time, the
// next one is for a header.
func (c *callerConn) limitDeadline(t time.Time) time.Time {
	if c.limits == nil {
		return t
	}
	l, limit := c.limits(), time.Duration(0)
	switch c.phase.Load() {
	case phaseHeader:
		limit = time.Duration(l.HeaderTimeout)
	case phaseIdle:
		limit = time.Duration(l.IdleTimeout)
		c.phase.Store(phaseHeader)
	}
	if limit <= 0 {
		return t
	}
	return time.Now().Add(limit)
}

type callerConnKey struct{}

// withCallerConn stores the connection in the context of its calls.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a call, or nil when it is no
// callerConn.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// answeredEarly records that the answer began before the end of the body.
func (c *callerConn) answeredEarly() {
	if c != nil {
		c.beganEarly.Store(true)
	}
}

// endCall sets the deadline for reading the rest of the body.
func (c *callerConn) endCall(until time.Time) {
	if c != nil && c.beganEarly.Load() {
		c.restDeadline.Store(&until)
	}
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	inCall := c.phase.Load() == phaseCall
	if c.pipeline == nil {
		n, err := c.TCPConn.Read(b)
		return c.checkHead(b[:n], inCall, err)
	}
	n, err := c.pipeline.read(b, inCall)
	return c.checkHead(b[:n], inCall, err)
}

// SetReadDeadline implements net.Conn. net/http removes the deadline after it
// has interrupted a read; the one for the rest of a body is kept.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if end := c.restDeadline.Load(); end != nil && t.IsZero() {
		t = *end
	} else if !t.IsZero() {
		t = c.limitDeadline(t)
	}
	if c.pipeline != nil {
		c.pipeline.abortRead(t)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. After an early answer, the first call closes only the
// write side and discards the rest of the body; a second call closes immediately.
func (c *callerConn) Close() error {
	if c.pipeline != nil {
		c.pipeline.cancelAll()
	}
	end := c.restDeadline.Load()
	if end == nil || c.closing.Swap(true) || c.TCPConn.CloseWrite() != nil {
		return c.closeNow()
	}
	go c.discardRest(*end)
	return nil
}

// setResetOnClose determines whether the connection is reset when it closes, also
// when the kernel closes it because the process was killed. It is set while an
// answer is written that the caller would take for complete at a regular close.
func (c *callerConn) setResetOnClose(on bool) {
	if c == nil || c.resetOnClose.Swap(on) == on {
		return
	}
	linger := -1 // the default of the kernel
	if on {
		linger = 0
	}
	_ = c.SetLinger(linger) // fails on a closed connection only
}

// reset closes the connection with a TCP reset, so that the caller cannot take
// the end of the connection for the end of an answer.
func (c *callerConn) reset() {
	if c.pipeline != nil {
		c.pipeline.cancelAll()
	}
	_ = c.SetLinger(0) // fails on a closed connection only
	_ = c.closeNow()
}

// discardRest reads until the caller closes or the deadline passes, then closes.
func (c *callerConn) discardRest(until time.Time) {
	defer c.closeNow()
	if c.TCPConn.SetReadDeadline(until) != nil {
		return // the connection is closed already
	}
	// An error, the deadline and the end of the bytes all end the connection.
	if c.refused != nil { // set before the deadline that led here
		_, _ = io.CopyN(io.Discard, c.TCPConn, maxDiscardedHead)
		return
	}
	_, _ = io.Copy(io.Discard, readerOnly{c.TCPConn})
}

// maxDiscardedHead bounds what is read of a refused head, so that its caller sees the
// refusal. One that sends on gets a reset.
const maxDiscardedHead = 256 << 10

// readerOnly hides WriteTo from io.Copy, which would allocate for splicing.
type readerOnly struct{ io.Reader }
