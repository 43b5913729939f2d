package proxy

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Times of connections.
const (
	connectTimeout  = time.Second
	idleConnTimeout = 30 * time.Second
	continueTimeout = time.Second
	keepAliveEvery  = time.Second // an idle connection to a dead peer closes after about 4 s
	keepAliveCount  = 3
)

// maxIdlePerAddress limits the idle connections to one address.
const maxIdlePerAddress = 64

// Errors of connections.
var (
	errSealed      = errors.New("connection is sealed against writes")
	errUnsolicited = errors.New("answer arrived before its request was sent")
	errNoMemory    = errors.New("no memory for the head of the answer")
	errMalformed   = errors.New("the head of the answer is malformed")
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// ClientConfig configures a Client.
type ClientConfig struct {
	Dial     Dial // nil dials TCP
	MaxConns int  // open connections in total, idle ones included; 0 sets no limit
	// FreshAfter is the longest idle time of a reused connection for a call that
	// must not be sent twice; 0 sets no limit. The peer may close an idle
	// connection while the call is in transit.
	FreshAfter time.Duration
	// UnackedLimit is how long sent bytes may stay unacknowledged before the
	// kernel closes a connection, so that a dead peer is detected without a time
	// limit on answers. 0 keeps the kernel's default. It has no effect with Dial.
	UnackedLimit time.Duration
	// ConnectTimeout limits the opening of a connection, including the wait for a
	// place within MaxConns; 0 means the default.
	ConnectTimeout time.Duration
	// ContinueTimeout limits the wait for status 100 of a call that expects it; the
	// body is then sent without it. 0 means the default.
	ContinueTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 0 means the default.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to all addresses; 0 sets no limit.
	MaxIdle int
	// Heads is the budget for heads of answers beyond an ordinary size; nil sets no
	// bound.
	Heads *memory.Budget
}

// Client is an HTTP client for calls to other processes. It pools idle
// connections and opens a new one on request.
type Client struct {
	dial           Dial
	slots          chan struct{} // one token per open connection; nil without a limit
	unackedLimit   time.Duration
	connectTimeout time.Duration
	idleTimeout    time.Duration
	continueWait   time.Duration
	freshAfter     time.Duration
	maxIdle        int
	heads          *memory.Budget
	pooled         *http.Transport
	fresh          *http.Transport
	reuseStopped   *shard.Map[time.Time] // by address: connections opened before are not reused
}

// NewClient returns a Client.
func NewClient(cfg ClientConfig) *Client {
	c := &Client{dial: cfg.Dial, reuseStopped: shard.NewMap[time.Time](shard.DefaultCount)}
	if c.dial == nil {
		c.unackedLimit = cfg.UnackedLimit
		c.dial = newDialer(cfg.UnackedLimit).DialContext
	}
	if cfg.MaxConns > 0 {
		c.slots = make(chan struct{}, cfg.MaxConns)
	}
	c.idleTimeout = cmp.Or(cfg.IdleTimeout, idleConnTimeout)
	c.continueWait = cmp.Or(cfg.ContinueTimeout, continueTimeout)
	c.freshAfter = cfg.FreshAfter
	c.maxIdle, c.heads = cfg.MaxIdle, cfg.Heads
	c.connectTimeout = cmp.Or(cfg.ConnectTimeout, connectTimeout)
	c.pooled = c.transport(false)
	c.pooled.MaxConnsPerHost = cfg.MaxConns
	c.fresh = c.transport(true)
	return c
}

// newDialer returns a dialer whose idle connections end when the peer is dead, and
// with a limit on unacknowledged bytes also those in use.
func newDialer(unacked time.Duration) *net.Dialer {
	d := &net.Dialer{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveEvery, Interval: keepAliveEvery, Count: keepAliveCount,
	}}
	if unacked <= 0 {
		return d
	}
	d.Control = func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacked.Milliseconds()))
		})
		return errors.Wrap(errors.CombineErrors(err, failed), "set TCP_USER_TIMEOUT")
	}
	return d
}

func (c *Client) transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: c.open, DisableKeepAlives: fresh, DisableCompression: true,
		MaxIdleConns: c.maxIdle, MaxIdleConnsPerHost: maxIdlePerAddress, IdleConnTimeout: c.idleTimeout,
		ExpectContinueTimeout: c.continueWait, MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}

// FreshAfter returns the longest idle time of a reused connection for a call
// that must not be sent twice.
func (c *Client) FreshAfter() time.Duration { return c.freshAfter }

// Close closes the idle connections.
func (c *Client) Close() { c.pooled.CloseIdleConnections() }

// StopReuse keeps the connections that are open to an address from being used
// for further calls. Calls in progress on them continue.
func (c *Client) StopReuse(address string, now time.Time) { c.reuseStopped.Set(address, now) }

func (c *Client) reusable(conn *trackedConn) bool {
	since, ok := c.reuseStopped.Get(conn.address)
	return !ok || conn.opened.After(since)
}

func (c *Client) open(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
	defer cancel()
	if err := c.acquireSlot(ctx); err != nil {
		return nil, err
	}
	conn, err := c.dial(ctx, network, address)
	if err != nil {
		c.releaseSlot()
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), errConnect)
	}
	return newTrackedConn(conn, address, c.releaseSlot, c.heads), nil
}

func (c *Client) acquireSlot(ctx context.Context) error {
	if c.slots == nil {
		return nil
	}
	select {
	case c.slots <- struct{}{}:
		return nil
	default:
	}
	// Idle connections count towards the limit.
	c.pooled.CloseIdleConnections()
	select {
	case c.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a free connection")
	}
}

func (c *Client) releaseSlot() {
	if c.slots != nil {
		<-c.slots
	}
}

// trackedConn tracks whether a byte of a call may have been written to the
// connection.
type trackedConn struct {
	net.Conn
	address       string
	opened        time.Time
	release       func()
	releaseOnce   sync.Once
	written       atomic.Int64 // bytes passed to Write, counted before they are written
	exchangeStart atomic.Int64 // value of written when the current exchange began
	sealed        atomic.Bool
	returnsIDs    atomic.Bool // an answer on the connection returned the id of its exchange
	inBody        atomic.Bool // the head of the answer has been read

	writeMu sync.Mutex // held during a write
	lost    error      // guarded by writeMu; loss of the connection that a write reported

	headMu sync.Mutex
	head   answerMeter // guarded by headMu
	serial int         // guarded by headMu; counts the exchanges

	mu               sync.Mutex
	readStateChanged *sync.Cond // on mu; signals that reading or closed was set
	reading          bool       // guarded by mu; a Read is in progress
	closed           bool       // guarded by mu
}

func newTrackedConn(conn net.Conn, address string, release func(), heads *memory.Budget) *trackedConn {
	c := &trackedConn{Conn: conn, address: address, opened: time.Now(), release: release}
	c.head.charge = memory.NewCharge(heads)
	c.readStateChanged = sync.NewCond(&c.mu)
	return c
}

// beginExchange starts an exchange on the connection.
func (c *trackedConn) beginExchange() {
	c.exchangeStart.Store(c.written.Load())
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.serial++
	c.head.reset()
	c.inBody.Store(false)
}

// currentExchange returns the number of the current exchange.
func (c *trackedConn) currentExchange() int {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.serial
}

// endExchange returns the memory for the head of an answer, unless another exchange
// has begun on the connection.
func (c *trackedConn) endExchange(serial int) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if c.serial == serial {
		c.head.charge.Release()
	}
}

// takeHead follows the head of an answer in bytes that were read. It fails when the
// head is malformed or there is no memory for it.
func (c *trackedConn) takeHead(b []byte) error {
	if c.inBody.Load() {
		return nil
	}
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head.scan(b)
	if c.head.complete && !c.head.interim {
		c.inBody.Store(true)
	}
	switch {
	case c.head.malformed:
		return errMalformed
	case !c.head.charge.TryGrow(c.head.cost()):
		return errNoMemory
	}
	return nil
}

// awaitRead waits until net/http's Transport reads from a connection that it has
// just taken from its pool, and returns false if it closes the connection
// instead. Transport hands out a connection before it checks its buffer for bytes
// after the last answer. If there are any, it closes the connection; otherwise it
// reads.
func (c *trackedConn) awaitRead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.readStateChanged.Wait()
	}
	return !c.closed
}

func (c *trackedConn) setReading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = on
	if on {
		c.readStateChanged.Broadcast()
	}
}

// seal makes later writes fail and reports whether bytes of the current
// exchange may have been written. Write counts before it checks sealed, so no
// byte can be written after seal has returned false.
func (c *trackedConn) seal() bool {
	c.sealed.Store(true)
	return c.written.Load() != c.exchangeStart.Load()
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.sealed.Load() {
		return 0, errSealed
	}
	c.written.Add(int64(len(p)))
	if c.sealed.Load() {
		return 0, errSealed
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Add(-int64(len(p)))
	}
	if c.lost == nil && isConnectionLoss(err) {
		c.lost = err
	}
	return n, err
}

// isConnectionLoss reports whether an error of a write says that the connection was
// lost before the peer had ended its side. After a regular end the kernel reports
// EPIPE for a reset.
func isConnectionLoss(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// lossBeforeEnd returns the loss of the connection that a write reported, when a read
// has found the end of the stream. The kernel reports a loss only once: after a write
// has got that report, a read sees a regular end.
func (c *trackedConn) lossBeforeEnd() error {
	// Nothing more can be answered, so a write that still waits for the peer ends.
	_ = c.SetWriteDeadline(time.Unix(0, 1))
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	return c.lost
}

// ReadFrom implements io.ReaderFrom with a pooled buffer, since net/http would
// allocate one for each body.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	buf := copyBuffers.Get().(*[CopyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	return io.CopyBuffer(writerOnly{c}, r, buf[:])
}

// writerOnly hides ReadFrom from io.CopyBuffer.
type writerOnly struct{ io.Writer }

// Read implements net.Conn. Bytes that arrive before the request of an exchange
// is sent belong to another call or to none, so the connection fails instead of
// returning them as the answer to the next call.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n > 0 && c.written.Load() == c.exchangeStart.Load() {
		return 0, errUnsolicited
	}
	if n > 0 {
		if err := c.takeHead(p[:n]); err != nil {
			return 0, err
		}
	}
	if err == io.EOF {
		if lost := c.lossBeforeEnd(); lost != nil {
			return n, errors.Wrap(lost, "connection lost before the end of the answer")
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.releaseOnce.Do(c.release)
	c.mu.Lock()
	c.closed = true
	c.readStateChanged.Broadcast()
	c.mu.Unlock()
	c.endExchange(c.currentExchange())
	return c.Conn.Close()
}

// Refuses reports whether a new connection to an address fails. It reports false
// when the context ends first or MaxConns leaves no room.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	conn, err := c.open(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, errConnect) && ctx.Err() == nil
}
