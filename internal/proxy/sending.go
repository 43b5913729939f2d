package proxy

import (
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

// progressTimeout is the longest time without a byte while a body is read or
// written.
const progressTimeout = 15 * time.Second

// LateAnswerLimit is how long after a call's deadline the body of an answer
// may still arrive.
const LateAnswerLimit = 300 * time.Millisecond

// silentIdle is the idle time from which a connection may have gone silent
// unnoticed.
const silentIdle = time.Second

// LeastAttempt is the least time in which another attempt can succeed: a
// connection, two hops and a fast answer.
const LeastAttempt = 5 * time.Millisecond

// Errors that say in which phase a sending failed.
var (
	errConnect   = errors.New("no connection")
	errFirstByte = errors.New("no answer within the time limit")
	ErrProgress  = errors.New("the body made no progress")
	ErrLost      = errors.New("another sending of the call answered first")
	ErrMismatch  = errors.New("the answer belongs to another call")
)

// Sending is one transmission of a call to an address.
type Sending struct {
	Address string
	Request *http.Request
	Header  http.Header
	Body    *Body
	Wait    time.Duration // limit until the first byte of the answer
	// IdleWait is the limit when the connection had been idle for a while and
	// may have gone silent; 0 stands for wait.
	IdleWait time.Duration
	Fresh    bool // on a new connection
	// MaxIdle is how long a connection may have been idle that the call is
	// Sent on; 0 sets no bound. A server may close an idle connection while
	// the call is on its way.
	MaxIdle time.Duration
	Early   func(code int, header textproto.MIMEHeader)
}

// Answer is an answer whose body is still open. Reading resets the time limit
// of the body.
type Answer struct {
	*http.Response
	cancel context.CancelCauseFunc
	timer  *time.Timer
	Until  time.Time // end of the whole answer; zero sets none
}

// Read implements io.Reader.
func (a *Answer) Read(p []byte) (int, error) {
	limit := progressTimeout
	if !a.Until.IsZero() {
		limit = min(limit, max(time.Until(a.Until), 0))
	}
	a.timer.Reset(limit)
	return a.Body.Read(p)
}

// Close ends the exchange. A body that has not been read to its end closes
// the connection.
func (a *Answer) Close() {
	a.timer.Stop()
	_ = a.Body.Close()
	a.cancel(nil)
}

// discardBytes is the largest body that is read to its end in order to keep
// the connection.
const discardBytes = 4 << 10

// Discard ends the exchange and keeps the connection when the body is small.
func (a *Answer) Discard() {
	if a.ContentLength >= 0 && a.ContentLength <= discardBytes {
		_, _ = io.Copy(io.Discard, a)
	}
	a.Close()
}

// SendError tells how far a sending got.
type SendError struct {
	Cause     error
	Sent      bool          // a byte of the call may have reached the other side
	Reused    bool          // the connection had served other calls before
	idle      time.Duration // time that a reused connection had been idle
	Connected bool
	TimedOut  bool // no answer within sending.wait
	Canceled  bool // by the caller or by a faster sending
}

// Error implements error.
func (e *SendError) Error() string { return e.Cause.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Cause }

// Refused reports whether no connection could be opened.
func (e *SendError) Refused() bool { return errors.Is(e.Cause, errConnect) }

// exchange follows the connections of one sending.
type exchange struct {
	link     *Link
	timer    *time.Timer
	idleWait time.Duration
	maxIdle  time.Duration
	conn     atomic.Pointer[trackedConn]
	info     atomic.Pointer[httptrace.GotConnInfo]
}

func (x *exchange) gotConn(info httptrace.GotConnInfo) {
	conn, ok := info.Conn.(*trackedConn)
	if !ok {
		return
	}
	conn.begin()
	stale := x.maxIdle > 0 && info.IdleTime > x.maxIdle
	if info.Reused && (stale || !x.link.trusts(conn) || !conn.settled()) {
		conn.seal()
	}
	if x.link.unackedLimit == 0 && x.idleWait > 0 && info.Reused && info.IdleTime >= silentIdle {
		x.timer.Reset(x.idleWait)
	}
	x.info.Store(&info)
	x.conn.Store(conn)
}

// Send sends a call and waits for the header of the answer.
func (l *Link) Send(ctx context.Context, s Sending) (*Answer, *SendError) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(s.Wait, func() { cancel(errFirstByte) })
	x := &exchange{link: l, timer: timer, idleWait: s.IdleWait, maxIdle: s.MaxIdle}
	out, err := s.request(httptrace.WithClientTrace(ctx, x.trace(s.Early)))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, &SendError{Cause: err}
	}
	resp, err := l.roundTripper(s.Fresh).RoundTrip(out)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		err = errors.New("the backend server switched protocols unasked")
	}
	if err != nil {
		failure := x.failure(err, context.Cause(ctx))
		timer.Stop()
		cancel(nil)
		if failure.TimedOut && failure.Reused {
			l.Distrust(s.Address, time.Now())
		}
		return nil, failure
	}
	timer.Reset(progressTimeout)
	return &Answer{Response: resp, cancel: cancel, timer: timer}, nil
}

func (l *Link) roundTripper(fresh bool) http.RoundTripper {
	if fresh {
		return l.fresh
	}
	return l.pooled
}

func (x *exchange) trace(early func(int, textproto.MIMEHeader)) *httptrace.ClientTrace {
	t := &httptrace.ClientTrace{GotConn: x.gotConn}
	if early != nil {
		t.Got1xxResponse = func(code int, header textproto.MIMEHeader) error {
			early(code, header)
			return nil
		}
	}
	return t
}

// failure seals the connection first, so that what it reports stays true.
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

// request makes the outgoing request. net/http must neither change nor repeat
// it.
func (s *Sending) request(ctx context.Context) (*http.Request, error) {
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

func (s *Sending) setBody(out *http.Request) {
	if s.Body != nil {
		out.ContentLength = s.Request.ContentLength
		out.Body = s.Body.forSending(out)
		return
	}
	switch out.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		// net/http's Transport repeats these methods by itself when they have
		// no body. The identity coding keeps it from announcing one.
		out.Body = emptyBody()
		out.TransferEncoding = []string{"identity"}
	}
}

// repeatKeys are the headers by which net/http's Transport takes a call
// without a body for one that it may repeat.
var repeatKeys = []string{HeaderKeyCaller, "X-Idempotency-Key"}

// HideRepeatKeys renames these headers to lower case, which HTTP holds to be
// the same name and Transport does not look for.
func HideRepeatKeys(h http.Header) {
	for _, name := range repeatKeys {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
