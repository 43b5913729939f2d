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

// Network emulates the network between nodes in memory. Links have a one-way
// delay and can be cut; connections can be blackholed. It works in virtual time.
type Network struct {
	delay  func(from, to string) time.Duration
	onSend func(from, to string, bytes int)

	mu        sync.Mutex
	listeners map[string]*memListener    // guarded by mu; by address
	conns     map[*memConn]struct{}      // guarded by mu; both ends of open connections
	cut       func(from, to string) bool // guarded by mu
	paused    map[string]chan struct{}   // guarded by mu; by address; closed by Resume
}

// NewNetwork returns a network. delay returns the one-way delay between two
// addresses; onSend, which may be nil, is called for each write.
func NewNetwork(delay func(from, to string) time.Duration, onSend func(from, to string, bytes int)) *Network {
	if onSend == nil {
		onSend = func(string, string, int) {}
	}
	return &Network{
		delay: delay, onSend: onSend, listeners: map[string]*memListener{}, conns: map[*memConn]struct{}{},
		cut: func(string, string) bool { return false }, paused: map[string]chan struct{}{},
	}
}

// SetCut sets the function that reports which links are cut, by direction. Bytes
// sent over a cut link are lost, and after the link is restored the connection
// still loses all bytes in that direction.
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

// Resume ends the pause of an address.
func (n *Network) Resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if ch := n.paused[address]; ch != nil {
		close(ch)
		delete(n.paused, address)
	}
}

// Blackhole drops all further data on the open connections between two
// addresses. New connections work.
func (n *Network) Blackhole(a, b string) {
	for _, c := range n.openConns() {
		if c.from == a && c.to == b || c.from == b && c.to == a {
			c.blackhole()
		}
	}
}

// Reset closes every connection of an address, as if its process had exited.
func (n *Network) Reset(address string) {
	for _, c := range n.openConns() {
		if c.from == address || c.to == address {
			_ = c.Close()
		}
	}
}

func (n *Network) openConns() []*memConn {
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

// resumed returns a channel that is closed when the address resumes, or nil when
// it is not paused.
func (n *Network) resumed(address string) <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.paused[address]
}

// awaitResume blocks while the address is paused, or until done is closed.
func (n *Network) awaitResume(address string, done <-chan struct{}) error {
	for ch := n.resumed(address); ch != nil; ch = n.resumed(address) {
		select {
		case <-ch:
		case <-done:
			return net.ErrClosed
		}
	}
	return nil
}

// Listen opens a listener on an address.
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

// Dialer returns a function that dials from an address.
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
	local, remote := n.newConnPair(from, to)
	select {
	case l.accept <- remote:
		return local, nil
	case <-l.done:
		_ = local.Close()
		return nil, errors.Newf("dial %s: connection refused", to)
	case <-ctx.Done():
		_ = local.Close()
		return nil, errors.Wrap(ctx.Err(), "dial")
	}
}

func (n *Network) newConnPair(from, to string) (local, remote *memConn) {
	outgoing, incoming := newMemPipe(), newMemPipe()
	done := make(chan struct{})
	var once sync.Once
	end := func() { once.Do(func() { close(done) }) }
	local = &memConn{network: n, from: from, to: to, send: outgoing, receive: incoming, done: done, closeOnce: end}
	remote = &memConn{network: n, from: to, to: from, send: incoming, receive: outgoing, done: done, closeOnce: end}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[local], n.conns[remote] = struct{}{}, struct{}{}
	return local, remote
}

func (n *Network) remove(c *memConn) {
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

// segment is the data of one write and its arrival time.
type segment struct {
	arrival time.Time
	data    []byte
}

// memPipe is one direction of a connection.
type memPipe struct {
	mu         sync.Mutex
	segments   []segment     // guarded by mu
	blackholed bool          // guarded by mu
	readable   chan struct{} // capacity 1
}

func newMemPipe() *memPipe { return &memPipe{readable: make(chan struct{}, 1)} }

// memConn is one end of a connection.
type memConn struct {
	network       *Network
	from, to      string
	send, receive *memPipe
	done          chan struct{} // closed when either end closes
	closeOnce     func()
}

func (c *memConn) blackhole() {
	c.send.mu.Lock()
	defer c.send.mu.Unlock()
	c.send.blackholed = true
}

// Read implements net.Conn.
func (c *memConn) Read(p []byte) (int, error) {
	for {
		if err := c.network.awaitResume(c.from, c.done); err != nil {
			return 0, io.EOF
		}
		n, arrival := c.receive.read(p)
		if n > 0 {
			return n, nil
		}
		if !c.awaitData(arrival) {
			return 0, io.EOF
		}
	}
}

// read copies bytes that have arrived. When none have, it returns the arrival
// time of the next ones, or the zero time when none are on the way.
func (p *memPipe) read(buf []byte) (int, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.segments) == 0 {
		return 0, time.Time{}
	}
	s := &p.segments[0]
	if time.Now().Before(s.arrival) {
		return 0, s.arrival
	}
	n := copy(buf, s.data)
	s.data = s.data[n:]
	if len(s.data) == 0 {
		p.segments = p.segments[1:]
	}
	return n, time.Time{}
}

// awaitData waits until data may be readable, at the latest at the given arrival
// time unless it is zero. It reports false when the connection is closed.
func (c *memConn) awaitData(arrival time.Time) bool {
	var arrived <-chan time.Time
	if !arrival.IsZero() {
		t := time.NewTimer(time.Until(arrival))
		defer t.Stop()
		arrived = t.C
	}
	select {
	case <-arrived:
		return true
	case <-c.receive.readable:
		return true
	case <-c.done:
		return false
	}
}

// Write implements net.Conn. It waits while the address is paused, but not for the
// reader.
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
		c.blackhole()
	}
	c.network.onSend(c.from, c.to, len(p))
	c.send.write(p, time.Now().Add(c.network.delay(c.from, c.to)))
	return len(p), nil
}

func (p *memPipe) write(data []byte, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.blackholed {
		return
	}
	p.segments = append(p.segments, segment{arrival: at, data: append([]byte(nil), data...)})
	select {
	case p.readable <- struct{}{}:
	default:
	}
}

// Close implements net.Conn. It also closes the other end immediately and
// discards data in flight, since the protocol does not need the rest of a closed
// stream.
func (c *memConn) Close() error {
	c.closeOnce()
	c.network.remove(c)
	return nil
}

func (c *memConn) LocalAddr() net.Addr  { return memAddr(c.from) }
func (c *memConn) RemoteAddr() net.Addr { return memAddr(c.to) }

// Deadlines are not supported: writes block only while the address is paused, and
// Close unblocks reads and writes.
func (c *memConn) SetDeadline(time.Time) error      { return os.ErrNoDeadline }
func (c *memConn) SetReadDeadline(time.Time) error  { return os.ErrNoDeadline }
func (c *memConn) SetWriteDeadline(time.Time) error { return os.ErrNoDeadline }
