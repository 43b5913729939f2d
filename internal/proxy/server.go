package proxy

import (
	"net/http"
	"time"
)

// Limits of the servers for calls.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = time.Minute
	// netHTTPHeaderBytes lies above maxHeaderBytes, so that calls up to it
	// get our answer in place of net/http's text.
	netHTTPHeaderBytes = 4 * maxHeaderBytes
	// unreadBodyWait is how long a caller may take to send the rest of a body
	// that was not wanted, before its connection is closed.
	unreadBodyWait = time.Second
)

// NewServer returns a server of calls over HTTP/1.1 and HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	srv := &http.Server{
		Handler: checked{h}, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: netHTTPHeaderBytes, Protocols: &http.Protocols{},
	}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	return srv
}

// checked answers what HTTP forbids or we do not support, before any call is
// routed.
type checked struct{ next http.Handler }

// ServeHTTP implements http.Handler.
func (c checked) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Time{}) // the last answer on the connection may have left one
	hasBody := r.ContentLength != 0
	if hasBody {
		// Without it net/http would read the body to its end before it writes
		// the header of an answer.
		_ = rc.EnableFullDuplex()
	}
	if f := refusalOf(r); f != nil {
		f.write(w)
	} else {
		c.next.ServeHTTP(w, r)
	}
	if hasBody {
		_ = rc.SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
}
