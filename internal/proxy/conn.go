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

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Times of connections.
const (
	connectTimeout  = time.Second
	idleConnTimeout = 30 * time.Second
	keepAliveEvery  = time.Second // an idle connection whose other end is gone closes after about 4 s
	keepAliveCount  = 3
)

// maxIdlePerAddress bounds the idle connections to one address.
const maxIdlePerAddress = 64

// Errors of connections.
var (
	errSealed      = errors.New("connection is not to be written to")
	errUnsolicited = errors.New("answer arrived before its request was sent")
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// LinkConfig configures a Link.
type LinkConfig struct {
	Dial     Dial // nil dials TCP
	MaxConns int  // connections at once in all, idle ones included; 0 sets no bound
	// FreshAfter is how long a connection may have been idle that a call goes
	// out on that must not be sent twice; 0 sets no bound. The other side may
	// close an idle connection while the call is on its way.
	FreshAfter time.Duration
	// UnackedLimit is how long bytes may stay unacknowledged before the system
	// ends a connection: one that went silent is found without a time limit on
	// answers. 0 leaves it to the system. It has no effect with Dial.
	UnackedLimit time.Duration
	// ConnectTimeout bounds the opening of a connection; 0 takes the default.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept; 0 takes the default.
	IdleTimeout time.Duration
}

// Link sends calls to other processes. It keeps idle connections and can open
// a new one on demand.
type Link struct {
	dial           Dial
	slots          chan struct{} // one token per open connection; nil without a bound
	unackedLimit   time.Duration
	connectTimeout time.Duration
	idleTimeout    time.Duration
	freshAfter     time.Duration
	pooled         *http.Transport
	fresh          *http.Transport
	distrusted     *shard.Map[time.Time] // by address: older idle connections are not used
}

// NewLink returns a Link.
func NewLink(cfg LinkConfig) *Link {
	l := &Link{dial: cfg.Dial, distrusted: shard.NewMap[time.Time](shard.DefaultCount)}
	if l.dial == nil {
		l.unackedLimit = cfg.UnackedLimit
		l.dial = newDialer(cfg.UnackedLimit).DialContext
	}
	if cfg.MaxConns > 0 {
		l.slots = make(chan struct{}, cfg.MaxConns)
	}
	l.idleTimeout = cmp.Or(cfg.IdleTimeout, idleConnTimeout)
	l.freshAfter = cfg.FreshAfter
	l.connectTimeout = cmp.Or(cfg.ConnectTimeout, connectTimeout)
	l.pooled = l.transport(false)
	l.pooled.MaxConnsPerHost = cfg.MaxConns
	l.fresh = l.transport(true)
	return l
}

// newDialer returns a dialer whose connections end when the other side is
// gone, idle or not.
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

func (l *Link) transport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext: l.open, DisableKeepAlives: fresh, DisableCompression: true,
		MaxIdleConnsPerHost: maxIdlePerAddress, IdleConnTimeout: l.idleTimeout,
		ExpectContinueTimeout: time.Second, MaxResponseHeaderBytes: MaxHeaderBytes,
	}
}

// FreshAfter returns how long a connection may have been idle that a call goes
// out on that must not be sent twice.
func (l *Link) FreshAfter() time.Duration { return l.freshAfter }

// Close closes the idle connections.
func (l *Link) Close() { l.pooled.CloseIdleConnections() }

// Distrust keeps connections to an address that are open now from being used
// for another call. Calls that run on them are not disturbed.
func (l *Link) Distrust(address string, now time.Time) { l.distrusted.Set(address, now) }

func (l *Link) trusts(c *trackedConn) bool {
	since, ok := l.distrusted.Get(c.address)
	return !ok || c.opened.After(since)
}

func (l *Link) open(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, l.connectTimeout)
	defer cancel()
	if err := l.take(ctx); err != nil {
		return nil, err
	}
	conn, err := l.dial(ctx, network, address)
	if err != nil {
		l.release()
		return nil, errors.Mark(errors.Wrapf(err, "connect to %s", address), errConnect)
	}
	return newTrackedConn(conn, address, l.release), nil
}

func (l *Link) take(ctx context.Context) error {
	if l.slots == nil {
		return nil
	}
	select {
	case l.slots <- struct{}{}:
		return nil
	default:
	}
	// Idle connections hold places that a new connection may need.
	l.pooled.CloseIdleConnections()
	select {
	case l.slots <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "wait for a free connection")
	}
}

func (l *Link) release() {
	if l.slots != nil {
		<-l.slots
	}
}

// trackedConn knows whether a byte of a call may have left through it.
type trackedConn struct {
	net.Conn
	address string
	opened  time.Time
	release func()
	once    sync.Once
	written atomic.Int64 // bytes given to Write, counted before they are written
	base    atomic.Int64 // written when the present exchange began
	sealed  atomic.Bool

	mu      sync.Mutex
	moved   *sync.Cond // on mu; reading or closed has been set
	reading bool       // guarded by mu; a Read is under way
	closed  bool       // guarded by mu
}

func newTrackedConn(conn net.Conn, address string, release func()) *trackedConn {
	c := &trackedConn{Conn: conn, address: address, opened: time.Now(), release: release}
	c.moved = sync.NewCond(&c.mu)
	return c
}

// begin starts an exchange on the connection.
func (c *trackedConn) begin() { c.base.Store(c.written.Load()) }

// settled waits until net/http's Transport reads from a connection that it
// has just taken from its pool, and reports whether it does. Transport offers
// a connection for use before it looks whether bytes beyond the last answer
// are left in its buffer; only when it reads again is the buffer empty. With
// bytes left it closes the connection.
func (c *trackedConn) settled() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.reading && !c.closed {
		c.moved.Wait()
	}
	return !c.closed
}

func (c *trackedConn) setReading(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading = on
	if on {
		c.moved.Broadcast()
	}
}

// seal makes later writes fail and reports whether bytes of the present
// exchange may have been written. Write counts before it looks at sealed, so
// no byte can leave after seal has reported false.
func (c *trackedConn) seal() bool {
	c.sealed.Store(true)
	return c.written.Load() != c.base.Load()
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
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil {
		c.written.Add(-int64(len(p)))
	}
	return n, err
}

// ReadFrom implements io.ReaderFrom with a pooled buffer, since net/http would
// allocate one for each body.
func (c *trackedConn) ReadFrom(r io.Reader) (int64, error) {
	piece := pieces.Get().(*[PieceBytes]byte)
	defer pieces.Put(piece)
	return io.CopyBuffer(writerOnly{c}, r, piece[:])
}

// writerOnly hides ReadFrom from io.CopyBuffer.
type writerOnly struct{ io.Writer }

// Read implements net.Conn. Bytes that arrive before the request of an
// exchange is sent answer another call or none; the connection fails instead
// of handing them to the next caller.
func (c *trackedConn) Read(p []byte) (int, error) {
	c.setReading(true)
	n, err := c.Conn.Read(p)
	c.setReading(false)
	if n > 0 && c.written.Load() == c.base.Load() {
		return 0, errUnsolicited
	}
	return n, err
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.once.Do(c.release)
	c.mu.Lock()
	c.closed = true
	c.moved.Broadcast()
	c.mu.Unlock()
	return c.Conn.Close()
}

// Refuses reports whether an address refuses a new connection.
func (l *Link) Refuses(ctx context.Context, address string) bool {
	conn, err := l.open(ctx, "tcp", address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, errConnect) && ctx.Err() == nil
}
