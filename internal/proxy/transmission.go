package proxy

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// progressTimeout is the longest pause while a body is read or written.
const progressTimeout = 15 * time.Second

// LateAnswerLimit is how long after a call's deadline the body of an answer
// may still arrive.
const LateAnswerLimit = 300 * time.Millisecond

// possiblyDeadIdle is the idle time from which a connection may be dead
// without that being detected.
const possiblyDeadIdle = time.Second

// MinAttemptTime is the shortest time in which another attempt can succeed: a
// connection, two hops and a fast answer.
const MinAttemptTime = 5 * time.Millisecond

// Errors of a transmission.
var (
	errConnect    = errors.New("no connection")
	errFirstByte  = errors.New("no answer within the time limit")
	ErrNoProgress = errors.New("the body made no progress")
	ErrSuperseded = errors.New("another transmission of the call answered first")
	ErrMismatch   = errors.New("the answer belongs to another call")

	errInformational = errors.New("too many informational answers")
)

// Transmission describes one transmission of a call to an address.
type Transmission struct {
	Address string
	Request *http.Request
	Header  http.Header
	Body    *Body
	Wait    time.Duration // limit until the header of the answer
	// IdleWait replaces Wait on a connection that was idle for long enough to be
	// dead, unless ClientConfig.UnackedLimit detects that; 0 means Wait.
	IdleWait time.Duration
	Fresh    bool // use a new connection
	// MaxIdle is the longest idle time of a reused connection; 0 sets no limit.
	// A server may close an idle connection while the call is in transit.
	MaxIdle     time.Duration
	OnEarlyHint func(code int, header textproto.MIMEHeader)
}

// Answer is an answer whose body is still open. Each read restarts the time
// limit of the body.
type Answer struct {
	*http.Response
	cancel   context.CancelCauseFunc
	timer    *time.Timer
	Deadline time.Time // deadline of the complete answer; zero sets none
	Reused   bool      // the connection had served other calls before
	conn     *trackedConn
	serial   int // of the exchange on conn
}

// NamesTransmission reports whether the answer may be that to its transmission. A
// peer need not return HeaderTransmissionID; once it has done so on a connection, an
// answer without it belongs to no call.
func (a *Answer) NamesTransmission() bool {
	id, got := a.Request.Header.Get(HeaderTransmissionID), a.Header.Get(HeaderTransmissionID)
	switch {
	case id == "" || a.conn == nil:
		return true
	case got == "":
		return !a.conn.returnsIDs.Load()
	}
	a.conn.returnsIDs.Store(true)
	return got == id
}

// Read implements io.Reader.
func (a *Answer) Read(p []byte) (int, error) {
	limit := progressTimeout
	if !a.Deadline.IsZero() {
		limit = min(limit, max(time.Until(a.Deadline), 0))
	}
	a.timer.Reset(limit)
	return a.Body.Read(p)
}

// Close ends the exchange. If the body has not been read to its end, the
// connection is closed.
func (a *Answer) Close() {
	a.timer.Stop()
	_ = a.Body.Close()
	a.cancel(nil)
	if a.conn != nil {
		a.conn.endExchange(a.serial)
	}
}

// MaxBufferedAnswer is the largest body that Buffer reads.
const MaxBufferedAnswer = 16 << 10

// Buffer reads a body of known length up to MaxBufferedAnswer into memory. It
// fails when the body breaks off, before any of it was passed on.
func (a *Answer) Buffer() error {
	if a.ContentLength <= 0 || a.ContentLength > MaxBufferedAnswer {
		return nil
	}
	data := make([]byte, a.ContentLength)
	if _, err := io.ReadFull(a, data); err != nil {
		return errors.Wrap(err, "read answer")
	}
	// The next read returns the end of the body, and with it the connection.
	a.Body = &bufferedBody{Reader: io.MultiReader(bytes.NewReader(data), a.Body), Closer: a.Body}
	return nil
}

// bufferedBody is a body whose beginning was read before.
type bufferedBody struct {
	io.Reader
	io.Closer
}

// maxDiscardBytes is the largest body that Discard reads to its end in order to
// keep the connection.
const maxDiscardBytes = 4 << 10

// discardWait is how long Discard waits for the rest of a small body. It usually
// arrives with the header; a server that never sends it must not hold the call.
const discardWait = 20 * time.Millisecond

// Discard ends the exchange and keeps the connection when the body is small.
func (a *Answer) Discard() {
	if a.ContentLength >= 0 && a.ContentLength <= maxDiscardBytes {
		a.timer.Reset(discardWait)
		_, _ = io.Copy(io.Discard, a.Body)
	}
	a.Close()
}

// SendError reports how far a transmission got.
type SendError struct {
	Cause     error
	Sent      bool          // a byte of the call may have reached the peer
	Reused    bool          // the connection had served other calls before
	idle      time.Duration // idle time of a reused connection
	Connected bool
	TimedOut  bool // no answer within Transmission.Wait or IdleWait
	Canceled  bool // by the caller or by a faster transmission
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// ConnectFailed reports whether no connection could be opened.
func (e *SendError) ConnectFailed() bool { return errors.Is(e.Cause, errConnect) }

// exchange tracks the connection of one transmission.
type exchange struct {
	client   *Client
	timer    *time.Timer
	idleWait time.Duration
	maxIdle  time.Duration
	conn     atomic.Pointer[trackedConn]
	info     atomic.Pointer[httptrace.GotConnInfo]
	serial   int // of the exchange on conn; set before conn
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	conn.beginExchange()
	x.serial = conn.currentExchange()
	stale := x.maxIdle > 0 && info.IdleTime > x.maxIdle
	if info.Reused && (stale || !x.client.reusable(conn) || !conn.awaitRead()) {
		conn.seal()
	}
	if x.client.unackedLimit == 0 && x.idleWait > 0 && info.Reused && info.IdleTime >= possiblyDeadIdle {
		x.timer.Reset(x.idleWait)
	}
	x.info.Store(&info)
	x.conn.Store(conn)
}

// Send sends a call and waits for the header of the answer.
func (c *Client) Send(ctx context.Context, s Transmission) (*Answer, *SendError) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(s.Wait, func() { cancel(errFirstByte) })
	x := &exchange{client: c, timer: timer, idleWait: s.IdleWait, maxIdle: s.MaxIdle}
	out, err := s.request(httptrace.WithClientTrace(ctx, x.trace(s.OnEarlyHint)))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, &SendError{Cause: err}
	}
	resp, err := c.roundTripper(s.Fresh).RoundTrip(out)
	if err == nil && resp.StatusCode < http.StatusOK {
		// net/http returns 101, for which no call asks, and the statuses below 100,
		// for which its server panics.
		_ = resp.Body.Close()
		err = errors.Newf("status %03d is not that of a final answer", resp.StatusCode)
	}
	if err != nil {
		failure := x.failure(err, context.Cause(ctx))
		timer.Stop()
		cancel(nil)
		if failure.TimedOut && failure.Reused {
			c.StopReuse(s.Address, time.Now())
		}
		return nil, failure
	}
	timer.Reset(progressTimeout)
	a := &Answer{Response: resp, cancel: cancel, timer: timer, conn: x.conn.Load(), serial: x.serial}
	if info := x.info.Load(); info != nil {
		a.Reused = info.Reused
	}
	return a, nil
}

func (c *Client) roundTripper(fresh bool) http.RoundTripper {
	if fresh {
		return c.fresh
	}
	return c.pooled
}

func (x *exchange) trace(early func(int, textproto.MIMEHeader)) *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: x.gotConn}
	count := 0
	t.Got1xxResponse = func(code int, header textproto.MIMEHeader) error {
		if count++; count > maxInformationalAnswers {
			return errInformational
		}
		if early != nil {
			early(code, header)
		}
		return nil
	}
	return t
}

// maxInformationalAnswers bounds the 1xx answers to one call. Without a bound, a
// server that sends them without end would hold the call until its deadline.
const maxInformationalAnswers = 32

// failure seals the connection, so that no byte is sent after it has reported
// Sent as false.
func (x *exchange) failure(err, cause error) *SendError {
	e := &SendError{Cause: errors.Wrap(err, "send call"), TimedOut: errors.Is(cause, errFirstByte)}
	e.Canceled = cause != nil && !e.TimedOut
	conn := x.conn.Load()
	if conn == nil {
		return e
	}
	info := x.info.Load()
	e.Connected, e.Reused, e.idle = true, info.Reused, info.IdleTime
	e.Sent = conn.seal()
	return e
}

// request returns the outgoing request, in a form that net/http neither changes
// nor repeats.
func (s *Transmission) request(ctx context.Context) (*http.Request, error) {
	u, err := targetOf(s.Address, s.Request)
	if err != nil {
		return nil, err
	}
	out := (&http.Request{
		Method: s.Request.Method, URL: u, Host: s.Request.Host, Header: s.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	s.setBody(out)
	return out, nil
}

func (s *Transmission) setBody(out *http.Request) {
	if s.Body != nil {
		out.ContentLength = s.Request.ContentLength
		out.Body = s.Body.outgoing(out)
		return
	}
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// net/http's Transport repeats calls with these methods when they have
		// no body. The identity coding keeps it from announcing the empty one.
		out.Body = emptyBody()
		out.TransferEncoding = []string{"identity"}
	}
}

// idempotencyKeyHeaders are the headers with which net/http's Transport assumes
// that it may repeat a call without a body.
var idempotencyKeyHeaders = []string{HeaderIdempotencyKey, "X-Idempotency-Key"}

// HideIdempotencyKeys renames these headers to lower case, which is the same
// name in HTTP but not recognised by Transport.
func HideIdempotencyKeys(h http.Header) {
	for _, name := range idempotencyKeyHeaders {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
