package proxy

import (
	"net"
	"net/http"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Limits of the servers for calls.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = time.Minute
	// netHTTPHeaderBytes lies above MaxHeaderBytes, so that calls somewhat
	// over the limit get our answer in place of net/http's text.
	netHTTPHeaderBytes = 4 * MaxHeaderBytes
	// unreadBodyWait is how long a caller may take to send the rest of a body
	// that was not wanted, before its connection is closed.
	unreadBodyWait = time.Second
)

// Server serves calls over HTTP/1.1 and HTTP/2 without TLS.
type Server struct {
	http.Server
	// Limits returns the bounds on the times of connections over HTTP/1.1; nil
	// leaves the product's own.
	Limits func() profile.CallLimits
}

// NewServer returns a Server.
func NewServer(h http.Handler) *Server {
	srv := &Server{Server: http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: netHTTPHeaderBytes, Protocols: &http.Protocols{}, ConnContext: withCallerConn, ConnState: noteState,
	}}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	return srv
}

// Serve accepts the connections of callers on ln.
func (s *Server) Serve(ln net.Listener) error {
	return s.Server.Serve(callerListener{Listener: ln, limits: s.Limits})
}

// BeginCall readies the connection of a call.
func BeginCall(w http.ResponseWriter) *http.ResponseController {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Time{}) // the last answer on the connection may have left one
	return rc
}

// EndCall bounds the wait for the rest of a body that nobody reads.
func EndCall(rc *http.ResponseController, r *http.Request) {
	if r.ContentLength == 0 {
		return
	}
	until := time.Now().Add(unreadBodyWait)
	callerConnOf(r).endCall(until)
	_ = rc.SetReadDeadline(until)
}

// Prepare takes a small body whole and readies the connection for a body that
// streams. It returns the writer to answer with.
func (b *Body) Prepare(w http.ResponseWriter, rc *http.ResponseController, deadline time.Time) (http.ResponseWriter, error) {
	switch {
	case b == nil:
		return w, nil
	case b.small():
		return w, b.take(rc, deadline)
	}
	// Without it net/http would read the body to its end before it writes the
	// header of an answer.
	if rc.EnableFullDuplex() != nil || b.in.ProtoMajor != 1 {
		return w, nil
	}
	return &duplexWriter{ResponseWriter: w, body: b}, nil
}

// duplexWriter closes the connection of an answer that begins before the end
// of the call's body. net/http's server fails on the next request if such a
// body ends after its handler has returned.
type duplexWriter struct {
	http.ResponseWriter
	body *Body
}

// Unwrap lets http.ResponseController find the methods of the writer below.
func (d *duplexWriter) Unwrap() http.ResponseWriter { return d.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (d *duplexWriter) WriteHeader(status int) {
	if status >= http.StatusOK && !d.body.ended() {
		d.Header().Set("Connection", "close")
		callerConnOf(d.body.in).answeredEarly()
	}
	d.ResponseWriter.WriteHeader(status)
}
