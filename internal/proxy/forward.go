package proxy

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// ErrNotSent marks a failure before a connection was there, so that no byte
// of the call can have reached the other side.
var ErrNotSent = errors.New("call was not sent")

// onceBody cannot be rewound and is never nil, so that net/http's Transport
// does not send a call a second time by itself.
type onceBody struct{ io.Reader }

func (onceBody) Close() error { return nil }

// send sends a call to an address and returns the answer with its body open.
func send(ctx context.Context, rt http.RoundTripper, address string, in *http.Request, edit func(http.Header)) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	out, err := http.NewRequestWithContext(ctx, in.Method, "http://"+address+in.URL.RequestURI(), onceBody{in.Body})
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "make request"), ErrNotSent)
	}
	out.ContentLength = in.ContentLength
	out.Host = in.Host
	copyHeader(out.Header, in.Header)
	edit(out.Header)
	resp, err := rt.RoundTrip(out)
	if err != nil {
		err = errors.Wrapf(err, "call %s", address)
		if !connected.Load() {
			err = errors.Mark(err, ErrNotSent)
		}
		return nil, err
	}
	return resp, nil
}

// relay copies an answer to the caller. When the answer is cut short it cuts
// the caller's connection, so that a part never passes as the whole.
func relay(w http.ResponseWriter, resp *http.Response) {
	defer resp.Body.Close()
	copyHeader(w.Header(), resp.Header)
	for name := range resp.Trailer {
		w.Header().Add("Trailer", name)
	}
	w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(flushWriter{w, http.NewResponseController(w)}, resp.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	for name, values := range resp.Trailer {
		w.Header()[name] = values
	}
}

// flushWriter passes each piece on at once, since streams may pause between
// pieces.
type flushWriter struct {
	http.ResponseWriter
	rc *http.ResponseController
}

func (f flushWriter) Write(p []byte) (int, error) {
	n, err := f.ResponseWriter.Write(p)
	if err != nil {
		return n, err
	}
	return n, f.rc.Flush()
}

// failureOf turns an error of send into the truthful outcome.
func failureOf(err error) Failure {
	if errors.Is(err, ErrNotSent) {
		return Failure{Status: http.StatusServiceUnavailable, Outcome: OutcomeNotRun, Reason: ReasonConnect, Message: "the backend server could not be reached"}
	}
	return Failure{Status: http.StatusBadGateway, Outcome: OutcomeUnknown, Reason: ReasonCut, Message: "the connection ended before the answer"}
}
