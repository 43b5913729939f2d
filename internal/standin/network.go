package standin

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// Network is a stand-in of the network between nodes, in memory. Links have a
// one-way delay and may be cut; connections may go silent. It works in
// virtual time.
type Network struct {
	delay func(from, to string) time.Duration
	sent  func(from, to string, bytes int)

	mu        sync.Mutex
	listeners map[string]*memListener    // guarded by mu; by address
	conns     map[*memConn]struct{}      // guarded by mu; both ends of open connections
	cut       func(from, to string) bool // guarded by mu
	paused    map[string]chan struct{}   // guarded by mu; closed on resume
}

// NewNetwork returns a network. delay gives the one-way delay between two
// addresses; sent, which may be nil, is told of all bytes that are sent.
func NewNetwork(delay func(from, to string) time.Duration, sent func(from, to string, bytes int)) *Network {
	if sent == nil {
		sent = func(string, string, int) {}
	}
	return &Network{
		delay: delay, sent: sent, listeners: map[string]*memListener{}, conns: map[*memConn]struct{}{},
		cut: func(string, string) bool { return false }, paused: map[string]chan struct{}{},
	}
}

// SetCut replaces the rule that tells which links are cut. Bytes sent over a
// cut link are lost, and the connection stays silent when the link returns.
func (n *Network) SetCut(cut func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

// Pause stops all input and output of an address until Resume.
func (n *Network) Pause(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.paused[address] == nil {
		n.paused[address] = make(chan struct{})
	}
}

// Resume ends a pause.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[address]; ch != nil {
		close(ch)
		delete(n.paused, address)
	}
}

// Silence makes the open connections between two addresses silent for good,
// while new ones work.
func (n *Network) Silence(a, b string) {
	for _, c := range n.open() {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.silence()
		}
	}
}

// Reset closes every connection of an address, as the end of its process does.
func (n *Network) Reset(address string) {
	for _, c := range n.open() {
		if c.from == address || c.to == address {
			_ = c.Close()
		}
	}
}

func (n *Network) open() []*memConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []*memConn
	for c := range n.conns {
		out = append(out, c)
	}
	return out
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(from, to)
}

func (n *Network) pauseOf(address string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[address]
}

// awaitResume blocks while the address is paused.
func (n *Network) awaitResume(address string, done <-chan struct{}) error {
	for ch := n.pauseOf(address); ch != nil; ch = n.pauseOf(address) {
		select {
		case <-ch:
		case <-done:
			return net.ErrClosed
		}
	}
	return nil
}

// Listen returns a listener on an address.
func (n *Network) Listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[address] != nil {
		return nil, errors.Newf("%s is in use", address)
	}
	l := &memListener{network: n, address: address, accept: make(chan net.Conn), done: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

// Dialer returns the dial function of an address.
func (n *Network) Dialer(from string) func(ctx context.Context, to string) (net.Conn, error) {
	return func(ctx context.Context, to string) (net.Conn, error) { return n.dial(ctx, from, to) }
}

func (n *Network) dial(ctx context.Context, from, to string) (net.Conn, error) {
	if err := n.awaitResume(from, ctx.Done()); err != nil {
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
	// The handshake takes a round trip.
	if !wait.For(ctx, n.delay(from, to)+n.delay(to, from)) {
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
	if n.isCut(from, to) || n.isCut(to, from) {
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
	n.mu.Lock()
	l := n.listeners[to]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.Newf("dial %s: connection refused", to)
	}
	near, far := n.pair(from, to)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.done:
		_ = near.Close()
		return nil, errors.Newf("dial %s: connection refused", to)
	case <-ctx.Done():
		_ = near.Close()
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
}

func (n *Network) pair(from, to string) (near, far *memConn) {
	out, in := newMemPipe(), newMemPipe()
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	near = &memConn{network: n, from: from, to: to, send: out, receive: in, done: done, end: end}
	far = &memConn{network: n, from: to, to: from, send: in, receive: out, done: done, end: end}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[near], n.conns[far] = struct{}{}, struct{}{}
	return near, far
}

func (n *Network) forget(c *memConn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

type memListener struct {
	network *Network
	address string
	accept  chan net.Conn
	done    chan struct{}
	once    sync.Once
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Close() error {
	l.once.Do(func() {
		close(l.done)
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		delete(l.network.listeners, l.address)
	})
	return nil
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

type memAddr string

func (memAddr) Network() string  { return "memory" }
func (a memAddr) String() string { return string(a) }

// segment is a written piece and the time at which it arrives.
type segment struct {
	at   time.Time
	data []byte
}

// memPipe is one direction of a connection.
type memPipe struct {
	mu       sync.Mutex
	segments []segment     // guarded by mu
	silent   bool          // guarded by mu
	grown    chan struct{} // capacity 1
}

func newMemPipe() *memPipe { return &memPipe{grown: make(chan struct{}, 1)} }

// memConn is one end of a connection.
type memConn struct {
	network       *Network
	from, to      string
	send, receive *memPipe
	done          chan struct{} // closed when either end closes
	end           func()
}

func (c *memConn) silence() {
	c.send.mu.Lock()
	defer c.send.mu.Unlock()
	c.send.silent = true
}

// Read implements net.Conn.
func (c *memConn) Read(p []byte) (int, error) {
	for {
		if err := c.network.awaitResume(c.from, c.done); err != nil {
			return 0, io.EOF
		}
		n, arrival := c.receive.take(p)
		if n > 0 {
			return n, nil
		}
		if !c.awaitData(arrival) {
			return 0, io.EOF
		}
	}
}

// take copies bytes that have arrived, or returns when the next ones do.
func (p *memPipe) take(buf []byte) (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.segments) == 0 {
		return 0, time.Time{}
	}
	s := &p.segments[0]
	if time.Now().Before(s.at) {
		return 0, s.at
	}
	n := copy(buf, s.data)
	s.data = s.data[n:]
	if len(s.data) == 0 {
		p.segments = p.segments[1:]
	}
	return n, time.Time{}
}

func (c *memConn) awaitData(arrival time.Time) bool {
	var due <-chan time.Time
	if !arrival.IsZero() {
		t := time.NewTimer(time.Until(arrival))
		defer t.Stop()
		due = t.C
	}
	select {
	case <-due:
		return true
	case <-c.receive.grown:
		return true
	case <-c.done:
		return false
	}
}

// Write implements net.Conn. It does not wait for the reader.
func (c *memConn) Write(p []byte) (int, error) {
	if err := c.network.awaitResume(c.from, c.done); err != nil {
		return 0, err
	}
	select {
	case <-c.done:
		return 0, net.ErrClosed
	default:
	}
	if c.network.isCut(c.from, c.to) {
		c.silence()
	}
	c.network.sent(c.from, c.to, len(p))
	c.send.put(p, time.Now().Add(c.network.delay(c.from, c.to)))
	return len(p), nil
}

func (p *memPipe) put(data []byte, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.silent {
		return
	}
	p.segments = append(p.segments, segment{at: at, data: append([]byte(nil), data...)})
	select {
	case p.grown <- struct{}{}:
	default:
	}
}

// Close implements net.Conn. The other end learns it at once, data on its way
// included; nothing in the protocol depends on the rest of a closed stream.
func (c *memConn) Close() error {
	c.end()
	c.network.forget(c)
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return memAddr(c.from) }
func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.to) }

// Deadlines are not kept: writes never block, and readers end by Close.
func (c *memConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *memConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *memConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
