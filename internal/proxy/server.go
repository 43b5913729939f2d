package proxy

import (
	"context"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Limits of a Server.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = time.Minute
	// netHTTPHeaderBytes is above the limits of this package, so that calls over the
	// limit get its answer instead of net/http's text.
	netHTTPHeaderBytes = 4 * MaxHeaderBytes
	// unreadBodyWait is how long a caller may take to send the rest of a body
	// that was answered early, before its connection is closed.
	unreadBodyWait = time.Second
	// Limits of a connection over HTTP/2: calls at once, and bytes of bodies that
	// were received and not read.
	maxStreams         = 100
	connReceiveBytes   = 256 << 10
	streamReceiveBytes = 64 << 10
)

// Server serves calls over HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	http.Server
	// Limits returns the timeouts of HTTP/1.1 connections; nil means the built-in
	// ones.
	Limits func() profile.CallLimits
	// RunAhead reports whether a call may run before the earlier calls on its
	// connection are answered; nil lets none. A call that must not run twice may
	// not: the caller sends it again when an answer before it closes the connection.
	RunAhead func(*http.Request) bool
	// Draining reports whether answers over HTTP/1.1 close their connection, so
	// that callers reconnect to other nodes; nil means never. Closing idle
	// connections instead would cut calls that arrive at the same moment.
	Draining func() bool
	// Guard bounds what all connections hold together; nil sets no bounds.
	Guard *Guard

	calls http.Handler // without what concerns the connection
	ahead *CallCount   // calls that run ahead and whose answers were not written yet
}

// NewServer returns a Server.
func NewServer(h http.Handler) *Server {
	srv := &Server{calls: h, ahead: NewCallCount(), Server: http.Server{
		ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: netHTTPHeaderBytes, Protocols: &http.Protocols{}, ConnContext: withCallerConn, ConnState: updatePhase,
	}}
	srv.Handler = http.HandlerFunc(srv.serveCall)
	srv.HTTP2 = &http.HTTP2Config{MaxConcurrentStreams: maxStreams, MaxReceiveBufferPerConnection: connReceiveBytes, MaxReceiveBufferPerStream: streamReceiveBytes}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	return srv
}

// Serve accepts the connections of callers on ln.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(callerListener{Listener: ln, server: s})
}

// Shutdown closes the server gracefully. net/http's server serves no further
// request on a connection from then on, so it begins once the answers of the
// calls that ran ahead are written. Draining keeps others from starting.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.ahead.Wait(ctx)
	return errors.CombineErrors(s.Server.Shutdown(ctx), err)
}

// serveCall answers a call in its turn on the connection.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	var p *pipeline
	conn := callerConnOf(r)
	if conn != nil {
		p = conn.pipeline
	}
	release := s.admitCall(conn, r)
	if release == nil || conn != nil && conn.evicted.Load() {
		refuseCall(w)
		return
	}
	defer release()
	if r.ProtoMajor == 1 && s.Draining != nil && s.Draining() && (p == nil || p.mayClose()) {
		w.Header().Set("Connection", "close")
	}
	if p != nil {
		if call := p.takeCall(); call != nil {
			call.writeAnswer(w, r)
			return
		}
	}
	s.calls.ServeHTTP(w, r)
}

// logPanic logs a panic of a handler that runs ahead, as net/http's server does
// for others.
func (s *Server) logPanic(r *http.Request, v any) {
	logf := log.Printf
	if s.ErrorLog != nil {
		logf = s.ErrorLog.Printf
	}
	logf("http: panic serving %v: %v\n%s", r.RemoteAddr, v, debug.Stack())
}

// BeginCall prepares the connection for a call.
func BeginCall(w http.ResponseWriter) *http.ResponseController {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Time{}) // the previous answer on the connection may have set one
	return rc
}

// EndCall limits the wait for the rest of a body that was not read.
func EndCall(rc *http.ResponseController, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	until := time.Now().Add(unreadBodyWait)
	callerConnOf(r).endCall(until)
	_ = rc.SetReadDeadline(until)
}

// Prepare reads a small body completely and prepares the connection for a
// streamed body. It returns the writer for the answer.
func (b *Body) Prepare(w http.ResponseWriter, rc *http.ResponseController, deadline time.Time) (http.ResponseWriter, error) {
	switch {
	case b == nil:
		return w, nil
	case b.fitsMemory() && b.reserveAll():
		return w, b.readAll(rc, deadline)
	}
	// Without full duplex, net/http reads the body to its end before it writes
	// the header of an answer.
	if rc.EnableFullDuplex() != nil || b.in.ProtoMajor != 1 {
		return w, nil
	}
	return &duplexWriter{ResponseWriter: w, body: b}, nil
}

// duplexWriter closes the connection after an answer that begins before the end
// of the call's body. net/http's server fails on the next request if such a body
// ends after its handler has returned.
type duplexWriter struct {
	http.ResponseWriter
	body *Body
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (d *duplexWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (d *duplexWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !d.body.ended() {
		d.Header().Set("Connection", "close")
		callerConnOf(d.body.in).answeredEarly()
	}
	d.ResponseWriter.WriteHeader(status)
}
