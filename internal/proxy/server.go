package proxy

import (
	"net/http"
	"time"
)

// Limits of the servers for calls.
const (
	readHeaderTimeout = 10 * time.Second
	callerIdleTimeout = time.Minute
	// netHTTPHeaderBytes lies above maxHeaderBytes, so that calls somewhat
	// over the limit get our answer in place of net/http's text.
	netHTTPHeaderBytes = 4 * maxHeaderBytes
	// unreadBodyWait is how long a caller may take to send the rest of a body
	// that was not wanted, before its connection is closed.
	unreadBodyWait = time.Second
)

// NewServer returns a server over HTTP/1.1 and HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	srv := &http.Server{
		Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout,
		MaxHeaderBytes: netHTTPHeaderBytes, Protocols: &http.Protocols{},
	}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	return srv
}

// beginCall readies a connection for streams in both directions.
func beginCall(w http.ResponseWriter, r *http.Request) *http.ResponseController {
	rc := http.NewResponseController(w)
	_ = rc.SetWriteDeadline(time.Time{}) // the last answer on the connection may have left one
	if r.ContentLength != 0 {
		// Without it net/http would read the body to its end before it writes
		// the header of an answer.
		_ = rc.EnableFullDuplex()
	}
	return rc
}

// endCall bounds the wait for the rest of a body that nobody reads.
func endCall(rc *http.ResponseController, r *http.Request) {
	if r.ContentLength != 0 {
		_ = rc.SetReadDeadline(time.Now().Add(unreadBodyWait))
	}
}
