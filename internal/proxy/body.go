package proxy

import (
	"bytes"
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

const (
	// maxKeptBytes is how much of a body is kept in memory, so that it can be
	// sent again and be part of a fingerprint.
	maxKeptBytes = 64 << 10
	// readBytes is the buffer size of one read from a caller.
	readBytes = 16 << 10
)

// Errors of reading a call's body.
var (
	errBodyTooLarge = errors.New("body exceeds the limit")
	errBodyNotKept  = errors.New("body was not kept and another reader has consumed it")
	errBodyClosed   = errors.New("body reader is closed")
	errBodySlow     = errors.New("body was not sent within the time limit")
)

// Body is the body of one call. It is read from the caller once, on
// demand, and its beginning is kept up to maxKeptBytes. While the body fits,
// several readers may read it from its start.
//
// Reads from the caller run on a goroutine of their own, since net/http's
// Transport does not return from a cancelled call while it waits for a body.
type Body struct {
	in     *http.Request
	limit  int64         // bytes
	charge memory.Charge // for what is kept; used while mu is held or before there are readers
	// trailerNames are the announced names. net/http changes in.Trailer when it reads
	// the end of the body.
	trailerNames []string
	buf          []byte // of reads from the caller, one at a time

	mu       sync.Mutex
	kept     []byte        // guarded by mu
	unkept   []byte        // guarded by mu; bytes read beyond kept, for the owner
	total    int64         // guarded by mu; bytes read from the caller
	end      error         // guarded by mu; set once the caller's body has ended, io.EOF included
	owner    *bodyReader   // guarded by mu; the only reader once the body exceeds kept
	reading  bool          // guarded by mu
	released bool          // guarded by mu; the call has ended
	changed  chan struct{} // guarded by mu; closed and replaced when a read from the caller returns
}

// NewBody returns the body of in, or nil when it has none. It ends with an
// error after limit bytes.
func NewBody(in *http.Request, limit int64) *Body {
	if in.Body == nil || in.Body == http.NoBody || in.ContentLength == 0 {
		return nil
	}
	return &Body{in: in, limit: limit, trailerNames: slices.Collect(maps.Keys(in.Trailer)), changed: make(chan struct{})}
}

// ChargeTo sets the budget from which memory for the body is taken. It returns the
// body.
func (b *Body) ChargeTo(budget *memory.Budget) *Body {
	if b != nil {
		b.charge = memory.NewCharge(budget)
	}
	return b
}

// Release returns the memory for the body when the call has ended.
func (b *Body) Release() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.released = true
	b.charge.Release()
}

// freeBodyBytes of a body are kept without a charge.
const freeBodyBytes = 8 << 10

// reserveLocked reports whether there is memory to keep a number of bytes.
func (b *Body) reserveLocked(n int) bool {
	return !b.released && (n <= freeBodyBytes || b.charge.TryGrow(int64(n)))
}

// reserveAll reports whether there is memory to keep the complete body, whose length
// is known.
func (b *Body) reserveAll() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserveLocked(int(b.in.ContentLength))
}

// fitsMemory reports whether the body can be read completely before the call is
// sent. A caller that sends Expect: 100-continue waits for a 100 first.
func (b *Body) fitsMemory() bool {
	return b != nil && b.in.ContentLength > 0 && b.in.ContentLength <= maxKeptBytes && b.in.Header.Get("Expect") == ""
}

// readAll reads the complete body. It is called before there are readers, for
// bodies that fit in memory.
func (b *Body) readAll(rc *http.ResponseController, deadline time.Time) error {
	_ = rc.SetReadDeadline(deadline)
	kept := make([]byte, b.in.ContentLength)
	n, err := io.ReadFull(b.in.Body, kept)
	if err != nil && !time.Now().Before(deadline) {
		err = errBodySlow
	}
	_ = rc.SetReadDeadline(time.Time{})
	b.mu.Lock()
	defer b.mu.Unlock()
	b.kept, b.end, b.total = kept[:n], io.EOF, int64(n)
	if err != nil {
		b.end = err
	}
	return err
}

// ReceiveWhole reads the complete body, whose length must be known, into memory.
// It is called before there are readers.
func (b *Body) ReceiveWhole(rc *http.ResponseController, deadline time.Time) error {
	if b.in.ContentLength > b.limit {
		return errBodyTooLarge
	}
	return b.readAll(rc, deadline)
}

// AwaitPrefix reads until the body has ended or the next bytes would exceed
// maxKeptBytes, at most for the given time. Readers still get the complete body.
func (b *Body) AwaitPrefix(limit time.Duration) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	for {
		b.mu.Lock()
		enough := b.end != nil || len(b.unkept) > 0 || len(b.kept) == maxKeptBytes
		if !enough {
			b.startReadLocked()
		}
		changed := b.changed
		b.mu.Unlock()
		if enough {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// Prefix returns the kept beginning of the body: the first maxKeptBytes, or what
// has arrived of them.
func (b *Body) Prefix() []byte {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.kept
}

// Resendable reports whether another reader could read the body from its
// start.
func (b *Body) Resendable() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner == nil && (b.end == nil || b.end == io.EOF)
}

// Complete reports whether the complete body is kept.
func (b *Body) Complete() bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owner == nil && b.end == io.EOF && len(b.unkept) == 0
}

// ended reports whether the caller's body was read to io.EOF.
func (b *Body) ended() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.end == io.EOF
}

// Err returns the error that ended the caller's body early, or nil.
func (b *Body) Err() error {
	if b == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.end == io.EOF {
		return nil
	}
	return b.end
}

// startReadLocked starts a read from the caller unless one is in progress.
func (b *Body) startReadLocked() {
	if b.reading {
		return
	}
	b.reading = true
	go b.readChunk()
}

func (b *Body) readChunk() {
	if b.buf == nil {
		b.buf = make([]byte, readBytes)
	}
	buf := b.buf // the bytes of the last read were consumed before this one began
	n, err := b.in.Body.Read(buf)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += int64(n)
	if b.total > b.limit {
		n, err = 0, errBodyTooLarge
	}
	b.end = err
	fits := 0
	if b.owner == nil {
		fits = min(n, maxKeptBytes-len(b.kept))
	}
	if fits > 0 && !b.reserveLocked(len(b.kept)+fits) {
		fits = 0 // the body is passed on without being kept
	}
	b.kept = append(b.kept, buf[:fits]...)
	b.unkept = buf[fits:n]
	b.reading = false
	close(b.changed)
	b.changed = make(chan struct{})
}

// reader returns a reader from the body's start. Trailers of the caller are
// added to trailer when the body ends.
func (b *Body) reader(trailer http.Header) *bodyReader {
	return &bodyReader{body: b, trailer: trailer, done: make(chan struct{})}
}

// bodyReader reads a Body for one transmission of the call. It cannot be
// rewound, so that net/http's Transport never resends a call.
type bodyReader struct {
	body      *Body
	pos       int // in kept
	trailer   http.Header
	closeOnce sync.Once
	done      chan struct{} // closed by Close
}

// Read implements io.Reader.
func (r *bodyReader) Read(p []byte) (int, error) {
	for {
		n, changed, err := r.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		if err := r.wait(changed); err != nil {
			return 0, err
		}
	}
}

func (r *bodyReader) wait(changed <-chan struct{}) error {
	timer := time.NewTimer(progressTimeout)
	defer timer.Stop()
	select {
	case <-changed:
		return nil
	case <-timer.C:
		return ErrNoProgress
	case <-r.done:
		return errBodyClosed
	}
}

// tryRead reads available bytes. If there are none, it starts a read from the
// caller and returns the channel that is closed when that read returns.
func (r *bodyReader) tryRead(p []byte) (int, <-chan struct{}, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.owner != nil && b.owner != r {
		return 0, nil, errBodyNotKept
	}
	if b.owner == nil && r.pos < len(b.kept) {
		n := copy(p, b.kept[r.pos:])
		r.pos += n
		return n, nil, nil
	}
	if len(b.unkept) > 0 {
		b.owner = r
		n := copy(p, b.unkept)
		b.unkept = b.unkept[n:]
		return n, nil, nil
	}
	if b.end != nil {
		r.copyTrailerLocked()
		return 0, nil, b.end
	}
	b.startReadLocked()
	return 0, b.changed, nil
}

func (r *bodyReader) copyTrailerLocked() {
	if r.body.end != io.EOF {
		return
	}
	for name, values := range r.body.in.Trailer {
		r.trailer[name] = values
	}
}

// Close implements io.Closer. The caller's body stays open for other
// transmissions.
func (r *bodyReader) Close() error {
	r.closeOnce.Do(func() { close(r.done) })
	return nil
}

// outgoing returns the body for one transmission. A body in memory is passed as
// a bytes.Reader, which net/http's Transport writes together with the header.
// Transport cannot rewind it, since the request has no GetBody.
func (b *Body) outgoing(out *http.Request) io.ReadCloser {
	if b.in.ContentLength > 0 && b.Complete() {
		return io.NopCloser(bytes.NewReader(b.Prefix()))
	}
	out.Trailer = make(http.Header, len(b.trailerNames))
	for _, name := range b.trailerNames {
		out.Trailer[name] = nil
	}
	r := b.reader(out.Trailer)
	context.AfterFunc(out.Context(), func() { _ = r.Close() })
	return r
}

// emptyBody returns an empty body that keeps net/http's Transport from resending
// a call, as it does for a nil body.
func emptyBody() io.ReadCloser { return io.NopCloser(bytes.NewReader(nil)) }
