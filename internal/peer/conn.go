package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// writeLimit bounds one write. A connection that went silent fills the
	// kernel's buffer and would block its writers for good.
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

// conn is one connection of the protocol. Both sides may call.
type conn struct {
	nc     net.Conn
	handle handleFunc
	out    chan struct{} // capacity 1: held for the write of one message, so that messages do not mix
	done   chan struct{}
	cancel context.CancelFunc
	slots  chan struct{}
	bytes  Counters
	total  *Counters // of the whole node

	mu      sync.Mutex
	next    uint64                // guarded by mu
	pending map[uint64]chan frame // guarded by mu
	closed  bool                  // guarded by mu
}

// newConn serves a connection until it is closed or the context ends.
func newConn(ctx context.Context, nc net.Conn, total *Counters, h handleFunc) *conn {
	ctx, cancel := context.WithCancel(ctx)
	c := &conn{
		nc: nc, handle: h, total: total, cancel: cancel,
		out: make(chan struct{}, 1), done: make(chan struct{}), slots: make(chan struct{}, maxRequests), pending: map[uint64]chan frame{},
	}
	context.AfterFunc(ctx, c.close)
	go c.read(ctx)
	return c
}

// close ends the connection and every call on it.
func (c *conn) close() {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	c.mu.Unlock()
	close(c.done)
	c.cancel()
	_ = c.nc.Close()
}

// Read implements io.Reader for the codec and counts.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.nc.Read(p)
	c.bytes.In.Add(int64(n))
	c.total.In.Add(int64(n))
	return n, err
}

// Write implements io.Writer for the codec and counts.
func (c *conn) Write(p []byte) (int, error) {
	_ = c.nc.SetWriteDeadline(time.Now().Add(writeLimit))
	n, err := c.nc.Write(p)
	c.bytes.Out.Add(int64(n))
	c.total.Out.Add(int64(n))
	return n, err
}

// send writes one message. A caller does not wait for the connection longer
// than its context allows.
func (c *conn) send(ctx context.Context, f frame) error {
	select {
	case c.out <- struct{}{}:
	case <-c.done:
		return errClosed
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-c.out }()
	err := writeFrame(c, f)
	if err != nil && !errors.Is(err, errTooLarge) {
		c.close() // part of the message may be on the wire
	}
	return err
}

// call sends a request and waits for its answer.
func (c *conn) call(ctx context.Context, method string, params, result any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, method)
	}
	id, answer, err := c.register()
	if err != nil {
		return errors.Wrap(err, method)
	}
	defer c.forget(id)
	if err := c.send(ctx, frame{ID: &id, Method: method, Params: body}); err != nil {
		return errors.Wrap(err, method)
	}
	select {
	case f := <-answer:
		return decodeAnswer(method, f, result)
	case <-c.done:
		return errors.Wrap(errClosed, method)
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), method)
	}
}

func decodeAnswer(method string, f frame, result any) error {
	if f.Error != nil {
		return errors.Wrap(f.Error, method)
	}
	if result == nil || len(f.Result) == 0 {
		return nil
	}
	return errors.Wrap(json.Unmarshal(f.Result, result), method)
}

func (c *conn) register() (uint64, chan frame, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, errClosed
	}
	c.next++
	answer := make(chan frame, 1)
	c.pending[c.next] = answer
	return c.next, answer, nil
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// notify sends a request without an answer.
func (c *conn) notify(ctx context.Context, method string, params any) error {
	body, err := json.Marshal(params)
	if err != nil {
		return errors.Wrap(err, method)
	}
	return errors.Wrap(c.send(ctx, frame{Method: method, Params: body}), method)
}

func (c *conn) read(ctx context.Context) {
	defer c.close()
	r := bufio.NewReader(c)
	for {
		f, err := readFrame(r)
		if err != nil {
			return
		}
		switch {
		case f.Method == "":
			c.deliver(f)
		case f.ID == nil:
			// Notifications keep their order, so a handler must not block.
			_, _ = c.handle(ctx, c, request{method: f.Method, params: f.Params, notify: true})
		default:
			if !c.serve(ctx, f) {
				return
			}
		}
	}
}

func (c *conn) deliver(f frame) {
	if f.ID == nil {
		return
	}
	c.mu.Lock()
	answer := c.pending[*f.ID]
	delete(c.pending, *f.ID)
	c.mu.Unlock()
	if answer != nil {
		answer <- f
	}
}

// serve runs a request beside the others of the connection.
func (c *conn) serve(ctx context.Context, f frame) bool {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	go func() {
		defer func() { <-c.slots }()
		result, err := c.handle(ctx, c, request{method: f.Method, params: f.Params})
		_ = c.send(ctx, answerOf(f.ID, result, err))
		if r, ok := result.(releaser); ok {
			r.release()
		}
	}()
	return true
}

// releaser is an answer that holds something until it is on the wire.
type releaser interface{ release() }

const codeFailed = -32000 // first code that JSON-RPC leaves to applications

func answerOf(id *uint64, result any, err error) frame {
	out := frame{ID: id}
	if err == nil {
		out.Result, err = json.Marshal(result)
	}
	if err != nil {
		out.Error = &Error{Code: codeFailed, Message: err.Error()}
	}
	return out
}
