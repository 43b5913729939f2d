package proxy

import (
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// PieceBytes is the most that is copied at once.
const PieceBytes = 32 << 10

// The header of an answer of up to promptBytes waits for its body for
// promptWait, since both usually come in one packet.
const (
	promptBytes = 4 << 10
	promptWait  = time.Millisecond
)

var pieces = sync.Pool{New: func() any { return new([PieceBytes]byte) }}

// ErrCaller marks a failure to write to the caller.
var ErrCaller = errors.New("the caller does not take the answer")

// Relay copies an answer to the caller and returns the bytes of its body.
// After an error the answer is not whole and the caller's connection must be
// aborted.
func Relay(w http.ResponseWriter, r *http.Request, a *Answer) (int64, error) {
	rc := http.NewResponseController(w)
	writeHeader(w, r, a)
	if r.Method == http.MethodHead || a.ContentLength == 0 {
		return 0, drainEmpty(w, a)
	}
	if a.ContentLength < 0 || a.ContentLength > promptBytes {
		if err := flush(rc); err != nil {
			return 0, err
		}
	}
	n, err := copyBody(w, rc, a)
	if err != nil {
		return n, err
	}
	writeTrailer(w.Header(), a)
	return n, nil
}

func writeHeader(w http.ResponseWriter, r *http.Request, a *Answer) {
	h := w.Header()
	CopyEndToEnd(h, a.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	for name := range a.Trailer {
		h.Add("Trailer", name)
	}
	if closeDelimited(a) && r.ProtoMajor == 1 {
		// The end of such a body is not proven, and chunked coding towards
		// the caller would claim that it is.
		h.Set("Transfer-Encoding", "identity")
	}
	w.WriteHeader(a.StatusCode)
}

// closeDelimited reports whether only the end of the connection ends the
// body.
func closeDelimited(a *Answer) bool {
	return a.ContentLength < 0 && len(a.TransferEncoding) == 0 && a.Request.Method != http.MethodHead
}

// drainEmpty ends an exchange whose answer has no body.
func drainEmpty(w http.ResponseWriter, a *Answer) error {
	if _, err := a.Read(make([]byte, 1)); err != io.EOF {
		return errors.Wrap(err, "read answer")
	}
	writeTrailer(w.Header(), a)
	return nil
}

// lateHeader sends the header of an answer whose body does not come at once.
type lateHeader struct {
	mu    sync.Mutex
	rc    *http.ResponseController
	timer *time.Timer
	over  bool // the first piece is there
}

func newLateHeader(rc *http.ResponseController) *lateHeader {
	l := &lateHeader{rc: rc}
	l.timer = time.AfterFunc(promptWait, l.send)
	return l
}

func (l *lateHeader) send() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		_ = l.rc.Flush()
	}
}

// Stop must come before the answer is written to.
func (l *lateHeader) stop() {
	if l == nil {
		return
	}
	l.timer.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
}

// copyBody passes each piece on at once, since streams may pause between
// pieces. The last piece of a body of known length leaves with the end of the
// answer.
func copyBody(w io.Writer, rc *http.ResponseController, a *Answer) (int64, error) {
	piece := pieces.Get().(*[PieceBytes]byte)
	defer pieces.Put(piece)
	var total int64
	var late *lateHeader
	if a.ContentLength >= 0 && a.ContentLength <= promptBytes {
		late = newLateHeader(rc)
	}
	for {
		n, err := a.Read(piece[:])
		late.stop()
		if n > 0 {
			total += int64(n)
			if err := writePiece(w, rc, piece[:n], total != a.ContentLength); err != nil {
				return total, err
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, errors.Wrap(err, "read answer")
		}
	}
}

func writePiece(w io.Writer, rc *http.ResponseController, p []byte, more bool) error {
	_ = rc.SetWriteDeadline(time.Now().Add(progressTimeout))
	if _, err := w.Write(p); err != nil {
		return errors.Mark(errors.Wrap(err, "write answer"), ErrCaller)
	}
	if !more {
		return nil
	}
	return flush(rc)
}

func flush(rc *http.ResponseController) error {
	if err := rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Mark(errors.Wrap(err, "write answer"), ErrCaller)
	}
	return nil
}

// writeTrailer passes the trailers on, those that were not announced too.
func writeTrailer(h http.Header, a *Answer) {
	announced := make(map[string]bool)
	for _, name := range h["Trailer"] {
		announced[name] = true
	}
	for name, values := range a.Trailer {
		if !announced[name] {
			name = http.TrailerPrefix + name
		}
		h[name] = values
	}
}

// Abort breaks the caller's connection, so that a cut answer cannot pass as
// whole. HTTP/1 connections are reset, since the end of the connection is
// how some bodies end.
func Abort(w http.ResponseWriter, r *http.Request) {
	if r.ProtoMajor != 1 {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if c, ok := conn.(*callerConn); ok {
		c.reset()
		return
	}
	_ = conn.Close()
}

// EarlyHints passes 1xx answers on until the final answer is chosen. They
// arrive on the goroutine that reads from the backend server.
type EarlyHints struct {
	mu     sync.Mutex
	Writer http.ResponseWriter
	done   bool // guarded by mu
}

// Pass writes one informational answer. 100 is left to net/http, which sends
// it when the body is first read.
func (e *EarlyHints) Pass(code int, header textproto.MIMEHeader) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.done || code == http.StatusContinue {
		return
	}
	h := e.Writer.Header()
	CopyEndToEnd(h, http.Header(header))
	e.Writer.WriteHeader(code)
	clear(h)
}

// Stop ends the passing of informational answers.
func (e *EarlyHints) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
}
