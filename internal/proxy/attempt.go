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

// lateAnswerLimit is how long after a call's deadline the body of an answer
// may still arrive.
const lateAnswerLimit = 300 * time.Millisecond

// silentIdle is the idle time from which a connection may have gone silent
// unnoticed.
const silentIdle = time.Second

// Errors that say in which phase a sending failed.
var (
	errConnect   = errors.New("no connection")
	errFirstByte = errors.New("no answer within the time limit")
	errProgress  = errors.New("the body made no progress")
	errLost      = errors.New("another sending of the call answered first")
	errMismatch  = errors.New("the answer belongs to another call")
)

// sending is one transmission of a call to an address.
type sending struct {
	address string
	in      *http.Request
	header  http.Header
	body    *keptBody
	wait    time.Duration // limit until the first byte of the answer
	// idleWait is the limit when the connection had been idle for a while and
	// may have gone silent; 0 stands for wait.
	idleWait time.Duration
	fresh    bool // on a new connection
	// maxIdle is how long a connection may have been idle that the call is
	// sent on; 0 sets no bound. A server may close an idle connection while
	// the call is on its way.
	maxIdle time.Duration
	early   func(code int, header textproto.MIMEHeader)
}

// answer is an answer whose body is still open. Reading resets the time limit
// of the body.
type answer struct {
	*http.Response
	cancel context.CancelCauseFunc
	timer  *time.Timer
	until  time.Time // end of the whole answer; zero sets none
}

// Read implements io.Reader.
func (a *answer) Read(p []byte) (int, error) {
	limit := progressTimeout
	if !a.until.IsZero() {
		limit = min(limit, max(time.Until(a.until), 0))
	}
	a.timer.Reset(limit)
	return a.Body.Read(p)
}

// Close ends the exchange. A body that has not been read to its end closes
// the connection.
func (a *answer) Close() {
	a.timer.Stop()
	_ = a.Body.Close()
	a.cancel(nil)
}

// discardBytes is the largest body that is read to its end in order to keep
// the connection.
const discardBytes = 4 << 10

// discard ends the exchange and keeps the connection when the body is small.
func (a *answer) discard() {
	if a.ContentLength >= 0 && a.ContentLength <= discardBytes {
		_, _ = io.Copy(io.Discard, a)
	}
	a.Close()
}

// sendError tells how far a sending got.
type sendError struct {
	cause     error
	sent      bool          // a byte of the call may have reached the other side
	reused    bool          // the connection had served other calls before
	idle      time.Duration // time that a reused connection had been idle
	connected bool
	timedOut  bool // no answer within sending.wait
	canceled  bool // by the caller or by a faster sending
}

// Error implements error.
func (e *sendError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *sendError) Unwrap() error { return e.cause }

// refused reports whether no connection could be opened.
func (e *sendError) refused() bool { return errors.Is(e.cause, errConnect) }

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

// send sends a call and waits for the header of the answer.
func (l *Link) send(ctx context.Context, s sending) (*answer, *sendError) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(s.wait, func() { cancel(errFirstByte) })
	x := &exchange{link: l, timer: timer, idleWait: s.idleWait, maxIdle: s.maxIdle}
	out, err := s.request(httptrace.WithClientTrace(ctx, x.trace(s.early)))
	if err != nil {
		timer.Stop()
		cancel(nil)
		return nil, &sendError{cause: err}
	}
	resp, err := l.roundTripper(s.fresh).RoundTrip(out)
	if err == nil && resp.StatusCode == http.StatusSwitchingProtocols {
		_ = resp.Body.Close()
		err = errors.New("the backend server switched protocols unasked")
	}
	if err != nil {
		failure := x.failure(err, context.Cause(ctx))
		timer.Stop()
		cancel(nil)
		if failure.timedOut && failure.reused {
			l.Distrust(s.address, time.Now())
		}
		return nil, failure
	}
	timer.Reset(progressTimeout)
	return &answer{Response: resp, cancel: cancel, timer: timer}, nil
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
func (x *exchange) failure(err, cause error) *sendError {
	e := &sendError{cause: errors.Wrap(err, "send call"), timedOut: errors.Is(cause, errFirstByte)}
	e.canceled = cause != nil && !e.timedOut
	conn := x.conn.Load()
	if conn == nil {
		return e
	}
	info := x.info.Load()
	e.connected, e.reused, e.idle = true, info.Reused, info.IdleTime
	e.sent = conn.seal()
	return e
}

// request makes the outgoing request. net/http must neither change nor repeat
// it.
func (s *sending) request(ctx context.Context) (*http.Request, error) {
	u, err := targetOf(s.address, s.in)
	if err != nil {
		return nil, err
	}
	out := (&http.Request{
		Method: s.in.Method, URL: u, Host: s.in.Host, Header: s.header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
	}).WithContext(ctx)
	s.setBody(out)
	return out, nil
}

func (s *sending) setBody(out *http.Request) {
	if s.body != nil {
		out.ContentLength = s.in.ContentLength
		out.Body = s.body.forSending(out)
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

// hideRepeatKeys renames these headers to lower case, which HTTP holds to be
// the same name and Transport does not look for.
func hideRepeatKeys(h http.Header) {
	for _, name := range repeatKeys {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
