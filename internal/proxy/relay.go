package proxy

import (
	"io"
	"net/http"
	"net/textproto"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// CopyBufferBytes is the buffer size for copying bodies.
const CopyBufferBytes = 32 << 10

// The header of an answer of up to smallAnswerBytes is held back for at most
// headerFlushDelay, since its body usually arrives in the same packet.
const (
	smallAnswerBytes = 4 << 10
	headerFlushDelay = time.Millisecond
)

var copyBuffers = sync.Pool{New: func() any { return new([CopyBufferBytes]byte) }}

// ErrCallerWrite marks a failure to write to the caller.
var ErrCallerWrite = errors.New("the answer cannot be written to the caller")

// Relay copies an answer to the caller and returns the size of its body. After
// an error the answer is incomplete and the caller's connection must be
// aborted.
func Relay(w http.ResponseWriter, r *http.Request, a *Answer) (int64, error) {
	rc := http.NewResponseController(w)
	conn := callerConnOf(r)
	if endsWithConnection(r, a) {
		conn.setResetOnClose(true)
	}
	writeHeader(w, a)
	if r.Method == http.MethodHead || a.ContentLength == 0 {
		return 0, finishEmpty(w, a)
	}
	if a.ContentLength < 0 || a.ContentLength > smallAnswerBytes {
		if err := flush(rc); err != nil {
			return 0, err
		}
	}
	n, err := copyBody(w, rc, a)
	if err != nil {
		return n, err
	}
	conn.setResetOnClose(false)
	writeTrailer(w.Header(), a)
	return n, nil
}

// endsWithConnection reports whether the end of the connection is the end of the
// answer for the caller. HTTP/1.1 has chunked coding for an answer of unknown
// length, so that a connection that closes early never completes it; HTTP/1.0 has
// not.
func endsWithConnection(r *http.Request, a *Answer) bool {
	return a.ContentLength < 0 && !r.ProtoAtLeast(1, 1) && r.Method != http.MethodHead
}

func writeHeader(w http.ResponseWriter, a *Answer) {
	h := w.Header()
	CopyEndToEnd(h, a.Header)
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // keeps net/http from sniffing one
	}
	for name := range a.Trailer {
		h.Add("Trailer", name)
	}
	w.WriteHeader(a.StatusCode)
}

// finishEmpty ends an exchange whose answer has no body.
func finishEmpty(w http.ResponseWriter, a *Answer) error {
	if _, err := a.Read(make([]byte, 1)); err != io.EOF {
		return errors.Wrap(err, "read answer")
	}
	writeTrailer(w.Header(), a)
	return nil
}

// headerFlusher sends the header of an answer whose body is delayed.
type headerFlusher struct {
	mu          sync.Mutex
	rc          *http.ResponseController
	timer       *time.Timer
	bodyStarted bool // the first bytes of the body have arrived
}

func newHeaderFlusher(rc *http.ResponseController) *headerFlusher {
	f := &headerFlusher{rc: rc}
	f.timer = time.AfterFunc(headerFlushDelay, f.flush)
	return f
}

func (f *headerFlusher) flush() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.bodyStarted {
		_ = f.rc.Flush()
	}
}

// stop must be called before the body is written.
func (f *headerFlusher) stop() {
	if f == nil {
		return
	}
	f.timer.Stop()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodyStarted = true
}

// copyBody flushes after each chunk, since streams may pause between chunks. The
// last chunk of a body of known length is flushed with the end of the answer.
func copyBody(w io.Writer, rc *http.ResponseController, a *Answer) (int64, error) {
	buf := copyBuffers.Get().(*[CopyBufferBytes]byte)
	defer copyBuffers.Put(buf)
	var total int64
	var header *headerFlusher
	if a.ContentLength >= 0 && a.ContentLength <= smallAnswerBytes {
		header = newHeaderFlusher(rc)
	}
	for {
		n, err := a.Read(buf[:])
		header.stop()
		if n > 0 {
			total += int64(n)
			if err := writeChunk(w, rc, buf[:n], total != a.ContentLength); err != nil {
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

func writeChunk(w io.Writer, rc *http.ResponseController, p []byte, more bool) error {
	_ = rc.SetWriteDeadline(time.Now().Add(progressTimeout))
	if _, err := w.Write(p); err != nil {
		return errors.Mark(errors.Wrap(err, "write answer"), ErrCallerWrite)
	}
	if !more {
		return nil
	}
	return flush(rc)
}

func flush(rc *http.ResponseController) error {
	if err := rc.Flush(); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return errors.Mark(errors.Wrap(err, "write answer"), ErrCallerWrite)
	}
	return nil
}

// writeTrailer copies the trailers, including those that were not announced.
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

// Abort breaks the caller's connection, so that a truncated answer is not taken
// for a complete one. HTTP/1 connections are reset, since some bodies end with
// the connection.
func Abort(w http.ResponseWriter, r *http.Request) {
	markAborted(w)
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

// EarlyHints relays 1xx answers until the final answer is chosen. They arrive on
// the goroutine that reads from the backend server.
type EarlyHints struct {
	mu     sync.Mutex
	Writer http.ResponseWriter
	done   bool // guarded by mu
}

// Relay writes one informational answer, except 100, which net/http sends when
// the body is first read.
func (e *EarlyHints) Relay(code int, header textproto.MIMEHeader) {
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

// Stop ends the relaying of informational answers.
func (e *EarlyHints) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.done = true
}
