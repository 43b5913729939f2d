package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	limits func() profile.CallLimits // nil for none
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		return &callerConn{TCPConn: tcp, limits: l.limits}, nil
	}
	return conn, nil
}

// callerConn is a connection of a caller. When a call was answered before the
// end of its body, the rest of the body is read and dropped before the
// connection closes: net/http's server stops reading such a body when it
// interrupts a read that is under way, and closing a connection with unread
// bytes resets it, which loses the answer on its way to the caller.
type callerConn struct {
	*net.TCPConn
	limits  func() profile.CallLimits // nil for none
	phase   atomic.Int32
	early   atomic.Bool               // an answer began before the end of the call's body
	restEnd atomic.Pointer[time.Time] // until when the rest of the body is read; set when the call has ended
	closing atomic.Bool
}

// Phases of a connection, by which its read deadlines are told apart.
const (
	phaseNew  int32 = iota // before the first call: the next deadline is for a header
	phaseIdle              // between two calls: the next deadline is for the idle time
	phaseCall              // within a call
)

// noteState follows net/http's server, which sets the deadline for the idle
// time after it has made a connection idle, and the one for a header before it
// has made the connection active.
func noteState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*callerConn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		conn.phase.Store(phaseIdle)
	case http.StateActive:
		conn.phase.Store(phaseCall)
	}
}

// limited returns the deadline of the present phase by the operator's limits.
func (c *callerConn) limited(t time.Time) time.Time {
	if c.limits == nil {
		return t
	}
	l, limit := c.limits(), time.Duration(0)
	switch c.phase.Load() {
	case phaseNew:
		limit = time.Duration(l.HeaderTimeout)
	case phaseIdle:
		limit = time.Duration(l.IdleTimeout)
		c.phase.Store(phaseNew)
	}
	if limit <= 0 {
		return t
	}
	return time.Now().Add(limit)
}

type callerConnKey struct{}

// withCallerConn lets handlers find the connection of a call.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, callerConnKey{}, c)
}

// callerConnOf returns the connection of a call, or nil when it is of another
// kind.
func callerConnOf(r *http.Request) *callerConn {
	c, _ := r.Context().Value(callerConnKey{}).(*callerConn)
	return c
}

// answeredEarly notes that the answer begins before the end of the body.
func (c *callerConn) answeredEarly() {
	if c != nil {
		c.early.Store(true)
	}
}

// endCall bounds the time in which the rest of a body is read.
func (c *callerConn) endCall(until time.Time) {
	if c != nil && c.early.Load() {
		c.restEnd.Store(&until)
	}
}

// SetReadDeadline implements net.Conn. net/http removes the deadline after it
// has interrupted a read; the bound on the rest of a body stays.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	if end := c.restEnd.Load(); end != nil && t.IsZero() {
		t = *end
	} else if !t.IsZero() {
		t = c.limited(t)
	}
	return c.TCPConn.SetReadDeadline(t)
}

// Close implements net.Conn. A second call closes at once.
func (c *callerConn) Close() error {
	end := c.restEnd.Load()
	if end == nil || c.closing.Swap(true) || c.TCPConn.CloseWrite() != nil {
		return c.TCPConn.Close()
	}
	go c.dropRest(*end)
	return nil
}

// reset closes the connection at once, so that the caller cannot take the end
// of the connection for the end of an answer.
func (c *callerConn) reset() {
	_ = c.SetLinger(0) // fails on a closed connection only
	_ = c.TCPConn.Close()
}

// dropRest reads until the caller closes or the time is over, then closes.
func (c *callerConn) dropRest(until time.Time) {
	defer c.TCPConn.Close()
	if c.TCPConn.SetReadDeadline(until) != nil {
		return // the connection is closed already
	}
	// Any error ends the connection, as the end of the time does.
	_, _ = io.Copy(io.Discard, readerOnly{c.TCPConn})
}

// readerOnly hides WriteTo from io.Copy, which would allocate for splicing.
type readerOnly struct{ io.Reader }
