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
	// writeTimeout bounds one write. If the other side is unreachable or stops
	// reading, the kernel's buffer fills up and a write would block forever.
	writeTimeout = 2 * time.Second
	// maxConcurrentRequests bounds the concurrent requests of one connection.
	maxConcurrentRequests = 64
)

var errClosed = errors.New("connection closed")

// ByteCounters count the bytes read from and written to connections.
type ByteCounters struct {
	In, Out atomic.Int64
}

// request is an incoming request or notification.
type request struct {
	method string
	params json.RawMessage
	notify bool
}

// handleFunc handles one request. The result of a notification is ignored.
type handleFunc func(ctx context.Context, c *conn, r request) (any, error)

// conn is one connection of the peer protocol.
type conn struct {
	rpc     *jsonrpc2.Conn
	stream  *stream
	handler handleFunc
	sem     chan struct{} // limits concurrent requests
	bytes   ByteCounters
	done    <-chan struct{} // closed when the connection has ended
}

// discardLog drops the log lines of jsonrpc2: connections end in normal
// operation, and the callers log the consequences.
var discardLog = jsonrpc2.SetLogger(log.New(io.Discard, "", 0))

// newConn handles requests on a connection until it is closed or the context
// ends. It adds the bytes of the connection to total.
func newConn(ctx context.Context, nc net.Conn, total *ByteCounters, h handleFunc) *conn {
	c := &conn{handler: h, sem: make(chan struct{}, maxConcurrentRequests)}
	c.stream = newStream(&countingConn{Conn: nc, own: &c.bytes, total: total})
	ready := make(chan struct{})
	c.rpc = jsonrpc2.NewConn(ctx, c.stream, gatedHandler{conn: c, ready: ready}, discardLog)
	c.done = c.rpc.DisconnectNotify()
	close(ready)
	return c
}

// gatedHandler blocks the first request until the conn is initialised, since
// jsonrpc2.NewConn starts to read before it returns.
type gatedHandler struct {
	conn  *conn
	ready <-chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (g gatedHandler) Handle(ctx context.Context, _ *jsonrpc2.Conn, r *jsonrpc2.Request) {
	<-g.ready
	g.conn.dispatch(ctx, r)
}

// countingConn counts bytes and sets a deadline for each write.
type countingConn struct {
	net.Conn
	own, total *ByteCounters
}

// Read implements io.Reader.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.own.In.Add(int64(n))
	c.total.In.Add(int64(n))
	return n, err
}

// Write implements io.Writer.
func (c *countingConn) Write(p []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
	n, err := c.Conn.Write(p)
	c.own.Out.Add(int64(n))
	c.total.Out.Add(int64(n))
	return n, err
}

// close closes the connection; the calls in flight on it fail.
func (c *conn) close() { _ = c.rpc.Close() }

// call sends a request and waits for the response.
func (c *conn) call(ctx context.Context, method string, params, result any) error {
	err := c.rpc.Call(ctx, method, params, result)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = errClosed
	}
	return errors.Wrap(err, method)
}

// notify sends a notification.
func (c *conn) notify(ctx context.Context, method string, params any) error {
	err := c.rpc.Notify(ctx, method, params)
	if errors.Is(err, jsonrpc2.ErrClosed) {
		err = errClosed
	}
	return errors.Wrap(err, method)
}

// dispatch runs a notification synchronously, so that notifications keep their
// order, and a request concurrently, so that a slow one does not block others.
func (c *conn) dispatch(ctx context.Context, r *jsonrpc2.Request) {
	req := request{method: r.Method, notify: r.Notif}
	if r.Params != nil {
		req.params = *r.Params
	}
	if r.Notif {
		_, _ = c.handler(ctx, c, req)
		return
	}
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return
	}
	go func() {
		defer func() { <-c.sem }()
		result, err := c.handler(ctx, c, req)
		c.reply(ctx, r.ID, result, err)
	}()
}

// releaser is a result that holds a resource until it has been written or the
// connection has failed.
type releaser interface{ release() }

// codeHandlerError is in the range that JSON-RPC reserves for errors defined by
// the server.
const codeHandlerError = -32000

func (c *conn) reply(ctx context.Context, id jsonrpc2.ID, result any, err error) {
	if err == nil {
		err = c.rpc.Reply(ctx, id, result)
		if r, ok := result.(releaser); ok {
			c.stream.waitWritten()
			r.release()
		}
	}
	if err != nil {
		_ = c.rpc.ReplyWithError(ctx, id, &jsonrpc2.Error{Code: codeHandlerError, Message: err.Error()})
	}
}
