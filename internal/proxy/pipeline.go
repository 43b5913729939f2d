package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

// Limits of the calls that run ahead on one connection.
const (
	// maxAheadCalls is the number of calls that run ahead of the one whose answer
	// is due.
	maxAheadCalls = 16
	// maxAheadRequestBytes bounds the requests that were read and wait for their
	// turn.
	maxAheadRequestBytes = MaxHeaderBytes
	// Memory for requests that were read during a call is charged beyond
	// freeAheadBytes. The buffer grows by doubling, so a byte costs up to
	// aheadByteCost.
	freeAheadBytes = 4 << 10
	aheadByteCost  = 3
	// maxReusedHeadBytes bounds the buffer for heads that a connection keeps.
	maxReusedHeadBytes = 4 << 10
	// watchBufferBytes is the buffer size for reads during a call.
	watchBufferBytes = 4 << 10
)

var watchBuffers = sync.Pool{New: func() any { return new([watchBufferBytes]byte) }}

// pipeline lets calls that a caller sends on one connection before the earlier
// ones are answered run at the same time. net/http's server begins a request
// after the answer to the one before, so that each call would wait for all those
// ahead of it.
//
// It lies between the connection and net/http's server and passes requests on
// one by one. During a call, it reads on, and starts the handler for each
// further request that may run ahead. When the server comes to that request, its
// answer is already there or under way, and answers keep the order of requests.
//
// This covers requests without a body. From the first request with a body on, or
// one that changes the protocol, the bytes are passed on unchanged. During a call,
// they are still read, so that a caller that disconnects is noticed.
type pipeline struct {
	conn    net.Conn // for reading
	server  *Server
	aborted chan struct{} // signals a read deadline in the past; capacity 1

	cancelAll context.CancelFunc
	ctx       context.Context // of the calls that run ahead

	// Used by reads only, of which there is one at a time.
	passThrough bool
	http2       bool        // net/http's server reads the connection as HTTP/2
	head        headScanner // of the request that is being passed on
	ahead       []byte      // bytes read and not passed on yet
	started     int         // bytes of ahead whose calls have started
	stalled     bool        // the request after them must wait for its turn
	failed      error       // ends the connection once set

	mu      sync.Mutex
	calls   []*aheadCall  // guarded by mu; the started calls in order
	current *aheadCall    // guarded by mu; the call of the request that was passed on last
	closing bool          // guarded by mu; the connection closes after the present answer
	ended   bool          // guarded by mu; the connection has closed
	charge  memory.Charge // guarded by mu; for ahead

	pending atomic.Int32 // calls that were started and not taken for their answer yet
}

func newPipeline(conn net.Conn, server *Server) *pipeline {
	p := &pipeline{conn: conn, server: server, aborted: make(chan struct{}, 1), charge: memory.NewCharge(server.Guard.BufferBudget())}
	p.ctx, p.cancelAll = context.WithCancel(context.WithValue(context.Background(), runsAheadKey{}, true))
	return p
}

type runsAheadKey struct{}

// SharesConnection reports whether other calls run on the caller's connection of
// a call, ahead of it or behind it.
func SharesConnection(r *http.Request) bool {
	if r.Context().Value(runsAheadKey{}) != nil {
		return true
	}
	conn := callerConnOf(r)
	if conn == nil || conn.pipeline == nil {
		return false
	}
	conn.pipeline.mu.Lock()
	defer conn.pipeline.mu.Unlock()
	return len(conn.pipeline.calls) > 0
}

// read implements the Read of the connection. inCall reports whether a call has begun
// and is not answered yet.
func (p *pipeline) read(b []byte, inCall bool) (int, error) {
	switch {
	case p.failed != nil:
		return 0, p.failed
	case inCall && !p.http2 && len(b) == 1:
		// net/http's server reads one byte during a call, after its body, to notice
		// that the caller has disconnected.
		return 0, p.watch()
	}
	if n := p.passOnAhead(b); n > 0 {
		return n, nil
	}
	n, err := p.conn.Read(b)
	if n > 0 && !p.passThrough {
		n = p.passOn(b[:n])
	}
	return n, err
}

// passOnAhead copies bytes that were read before, at most to the end of one head.
func (p *pipeline) passOnAhead(b []byte) int {
	n := copy(b, p.ahead)
	if n == 0 {
		return 0
	}
	if !p.passThrough {
		n = p.scan(b[:n])
	}
	p.ahead = p.ahead[n:]
	if p.started = max(p.started-n, 0); len(p.ahead) == 0 {
		p.ahead = nil
		p.releaseAhead(false)
	}
	return n
}

// passOn keeps what follows the end of the head in b and returns the length of
// the rest.
func (p *pipeline) passOn(b []byte) int {
	n := p.scan(b)
	p.ahead = append(p.ahead, b[n:]...)
	return n
}

// scan follows the head of the request that is passed on and returns how many of
// the bytes belong to it.
func (p *pipeline) scan(b []byte) int {
	if p.head.complete {
		p.head = headScanner{bytes: p.head.bytes[:0]}
		if cap(p.head.bytes) > maxReusedHeadBytes {
			p.head.bytes = nil
		}
	}
	n := p.head.scan(b)
	if !p.head.complete {
		p.passThrough = p.head.tooLong()
		return n
	}
	if !p.head.endsRequest() {
		p.passThrough, p.http2 = true, p.head.isHTTP2Preface()
		return len(b)
	}
	p.stalled = false
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = nil
	if len(p.calls) > 0 {
		p.current, p.calls = p.calls[0], p.calls[1:]
	}
	return n
}

// hasRoom reports whether further requests may be read during a call.
func (p *pipeline) hasRoom() bool {
	if len(p.ahead) <= freeAheadBytes || len(p.ahead) >= maxAheadRequestBytes {
		return len(p.ahead) < maxAheadRequestBytes
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended || p.charge.TryGrow(aheadByteCost*int64(len(p.ahead)+watchBufferBytes))
}

// releaseAhead returns the memory for requests that were read during a call; for good
// when the connection has ended.
func (p *pipeline) releaseAhead(ended bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ended = p.ended || ended
	p.charge.Release()
}

// watch reads during a call until the read is aborted or fails, and starts the
// calls that may run ahead.
func (p *pipeline) watch() error {
	buffer := watchBuffers.Get().(*[watchBufferBytes]byte)
	defer watchBuffers.Put(buffer)
	p.startCalls()
	for {
		if !p.hasRoom() {
			<-p.aborted
			return os.ErrDeadlineExceeded
		}
		n, err := p.conn.Read(buffer[:])
		if n > 0 {
			p.ahead = append(p.ahead, buffer[:n]...)
			p.startCalls()
		}
		if err == nil {
			continue
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			p.failed = err
			p.cancelAll()
		}
		return err
	}
}

// abortRead ends a read that waits for its turn. It is called with each read
// deadline that is set.
func (p *pipeline) abortRead(deadline time.Time) {
	select {
	case <-p.aborted:
	default:
	}
	if deadline.IsZero() || deadline.After(time.Now()) {
		return
	}
	select {
	case p.aborted <- struct{}{}:
	default: // already signalled
	}
}

// startCalls starts the calls of the complete requests that were read and may run
// ahead. The first one that may not stops this until it is passed on.
func (p *pipeline) startCalls() {
	for !p.stalled && !p.passThrough {
		var head headScanner
		n := head.scan(p.ahead[p.started:])
		if !head.complete {
			return
		}
		request := parseAhead(&head)
		if request == nil || !p.server.RunAhead(request) {
			p.stalled = true
			return
		}
		charge, ok := p.chargeCall(request, n)
		if !ok {
			p.stalled = true
			return
		}
		if !p.start(request, charge) {
			charge.Release()
			return
		}
		p.started += n
	}
}

// chargeCall takes memory for a call that runs ahead. Without it, the call waits for
// its turn.
func (p *pipeline) chargeCall(r *http.Request, headBytes int) (*memory.Charge, bool) {
	charge := memory.NewCharge(p.server.Guard.BufferBudget())
	if !charge.TryGrow(extraCallBytes + headCost(headerLines(r.Header), headBytes)) {
		p.server.Guard.counts.heldBack.Add(1)
		return nil, false
	}
	return &charge, true
}

// start starts a call unless the connection is about to close or has enough.
func (p *pipeline) start(r *http.Request, charge *memory.Charge) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing || len(p.calls) >= maxAheadCalls {
		return false
	}
	p.pending.Add(1)
	p.calls = append(p.calls, startAheadCall(p.ctx, p.server, r, p.conn, charge))
	return true
}

// takeCall returns the call of the request that was passed on last, or nil when it
// did not run ahead.
func (p *pipeline) takeCall() *aheadCall {
	p.mu.Lock()
	defer p.mu.Unlock()
	call := p.current
	if call != nil {
		p.pending.Add(-1)
	}
	p.current = nil
	return call
}

// mayClose reports whether the connection may close after the present answer:
// no call behind it has started. None is started from then on.
func (p *pipeline) mayClose() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closing = len(p.calls) == 0
	return p.closing
}

// parseAhead parses a head that net/http's server would accept, or returns nil.
func parseAhead(head *headScanner) *http.Request {
	if !head.endsRequest() || !head.plain() {
		return nil
	}
	request, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(head.bytes)))
	if err != nil || request.Host == "" || !request.ProtoAtLeast(1, 1) || request.Close {
		return nil
	}
	return request
}
