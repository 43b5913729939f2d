package peer

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// writeLimit bounds one write. A connection that went silent fills the
	// kernel's buffer and would block its writer for good.
	writeLimit = 2 * time.Second
	// maxRequests bounds the requests of one connection that run at once.
	maxRequests = 64
)

// errClosed reports a call on a connection that has ended.
var errClosed = errors.New("the connection is closed")

// Counters count the bytes of connections.
type Counters struct {
	In, Out atomic.Int64
}

// request is an incoming request or notification.
type request struct {
	method string
	params json.RawMessage
	notify bool
}

// handleFunc answers one request. The answer of a notification is dropped.
type handleFunc func(ctx context.Context, c *conn, r request) (any, error)

// conn is one connection of the protocol.
type conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	serve  handleFunc
	slots  chan struct{}
	bytes  Counters
	done   <-chan struct{}
}

// quiet drops the library's log lines: the end of a connection is an ordinary
// event here, and its users log what follows from it.
var quiet = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// newConn serves a connection until it is closed or the context ends.
func newConn(ctx context.Context, nc net.Conn, total *Counters, h handleFunc) *conn {
	c := &conn{serve: h, slots: make(chan struct{}, maxRequests)}
	c.stream = newStream(&counted{Conn: nc, own: &c.bytes, total: total})
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, started{conn: c, ready: ready}, quiet)
	c.done = c.rpc.DisconnectNotify()
	close(ready)
	return c
}

// started holds back the first request until the conn is complete, since the
// library reads from within NewConn.
type started struct {
	conn  *conn
	ready <-chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (s started) Handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-s.ready
	s.conn.handle(ctx, r)
}

// counted counts the bytes of a connection and bounds its writes.
type counted struct {
	net.Conn
	own, total *Counters
}

// Read implements io.Reader.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.own.In.Add(int64(n))
	c.total.In.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *counted) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := c.Conn.Write(p)
	c.own.Out.Add(int64(n))
	c.total.Out.Add(int64(n))
	return n, err
}

// close ends the connection and every call on it.
func (c *conn) close() { _ = c.rpc.Close() }

// call sends a request and waits for its answer.
func (c *conn) call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = errClosed
	}
	return errors.Wrap(err, method)
}

// notify sends a request without an answer.
func (c *conn) notify(ctx context.Context, method string, params any) error {
	err := c.rpc.Notify(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = errClosed
	}
	return errors.Wrap(err, method)
}

// handle runs a notification at once, so that notifications keep their order,
// and a request beside the others of the connection.
func (c *conn) handle(ctx context.Context, r *jsonrpc2.Request) {
	req := request{method: r.Method, notify: r.Notif}
	if r.Params != nil {
		req.params = *r.Params
	}
	if r.Notif {
		_, _ = c.serve(ctx, c, req)
		return
	}
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-c.slots }()
		result, err := c.serve(ctx, c, req)
		c.answer(ctx, r.ID, result, err)
	}()
}

// releaser is an answer that holds something until it is on the wire.
type releaser interface{ release() }

const codeFailed = -32000 // first code that JSON-RPC leaves to applications

func (c *conn) answer(ctx context.Context, id jsonrpc2.ID, result any, err error) {
	if err == nil {
		err = c.rpc.Reply(ctx, id, result)
		if r, ok := result.(releaser); ok {
			c.stream.flushed()
			r.release()
		}
	}
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: codeFailed, Message: err.Error()})
	}
}
