package proxy

import (
	"context"
	"maps"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

// maxAheadAnswerBytes bounds the body of an answer that waits for its turn. A
// longer one waits in its handler.
const maxAheadAnswerBytes = 64 << 10

// aheadCall is a call that runs before its turn on the connection. It implements
// http.ResponseWriter for its handler and keeps the answer until its turn.
type aheadCall struct {
	ctx    context.Context
	header http.Header // of the handler
	leave  func()      // ends the call; may be called again

	mu      sync.Mutex
	changed *sync.Cond     // on mu
	status  int            // guarded by mu; 0 before the header of the answer
	final   http.Header    // guarded by mu; header as of WriteHeader
	body    []byte         // guarded by mu; not written yet
	ended   bool           // guarded by mu; the handler has returned
	broken  bool           // guarded by mu; the answer must not look complete
	turn    bool           // guarded by mu; the answer is being written to the caller
	charge  *memory.Charge // guarded by mu; for the call
	kept    memory.Charge  // guarded by mu; for body
}

// startAheadCall runs the handler for a request on a goroutine.
func startAheadCall(ctx context.Context, s *Server, r *http.Request, conn net.Conn, charge *memory.Charge) *aheadCall {
	ctx, cancel := context.WithCancel(ctx)
	c := &aheadCall{ctx: ctx, header: http.Header{}, charge: charge, kept: memory.NewCharge(s.Guard.BufferBudget())}
	c.changed = sync.NewCond(&c.mu)
	r.RemoteAddr = conn.RemoteAddr().String()
	s.ahead.Enter()
	c.leave = sync.OnceFunc(func() {
		cancel()
		s.ahead.Leave()
		c.release()
	})
	context.AfterFunc(ctx, c.leave) // when the connection ends
	go c.run(s, r.WithContext(ctx))
	return c
}

// wake makes the goroutines that wait look again.
func (c *aheadCall) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.changed.Broadcast()
}

func (c *aheadCall) run(s *Server, r *http.Request) {
	// A writer that waits for its turn must end with the connection.
	stop := context.AfterFunc(c.ctx, c.wake)
	defer stop()
	complete := false
	defer func() {
		if v := recover(); v != nil && v != http.ErrAbortHandler {
			s.logPanic(r, v)
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended, c.broken = true, !complete
		c.changed.Broadcast()
	}()
	s.calls.ServeHTTP(c, r)
	complete = true
}

// Header implements http.ResponseWriter.
func (c *aheadCall) Header() http.Header { return c.header }

// WriteHeader implements http.ResponseWriter. Informational answers are dropped:
// they could only be sent when the turn of the call comes.
func (c *aheadCall) WriteHeader(status int) {
	if status < http.StatusOK {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeHeaderLocked(status)
}

func (c *aheadCall) writeHeaderLocked(status int) {
	if c.status == 0 {
		c.status, c.final = status, maps.Clone(c.header)
		c.changed.Broadcast()
	}
}

// Write implements http.ResponseWriter.
func (c *aheadCall) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeHeaderLocked(http.StatusOK)
	for !c.mayKeepLocked(len(b)) && c.ctx.Err() == nil {
		c.changed.Wait()
	}
	if err := c.ctx.Err(); err != nil {
		return 0, err
	}
	c.body = append(c.body, b...)
	c.changed.Broadcast()
	return len(b), nil
}

// mayKeepLocked reports whether bytes of the answer may be added to those that were
// not written yet. Before the turn of the call there must be memory for them; from
// then on the caller takes them.
func (c *aheadCall) mayKeepLocked(n int) bool {
	if c.ctx.Err() != nil || len(c.body) > 0 && len(c.body)+n > maxAheadAnswerBytes {
		return false
	}
	total := len(c.body) + n
	return c.turn || total <= freeAheadBytes || c.kept.TryGrow(int64(total)*aheadByteCost)
}

// release returns the memory of the call.
func (c *aheadCall) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.charge.Release()
	c.kept.Release()
}

// writeAnswer writes the answer to the caller as it arrives.
func (c *aheadCall) writeAnswer(w http.ResponseWriter, r *http.Request) {
	defer c.leave()
	stop := context.AfterFunc(r.Context(), c.wake)
	defer stop()
	rc := http.NewResponseController(w)
	begun := false
	for {
		chunk, more := c.next(r.Context())
		if !more {
			break
		}
		if !begun {
			begun = true
			c.writeAnswerHeader(w)
		}
		_ = rc.SetWriteDeadline(time.Now().Add(progressTimeout))
		if _, err := w.Write(chunk); err != nil {
			return // net/http closes the connection
		}
	}
	if c.isBroken() {
		Abort(w, r)
		return
	}
	if !begun {
		c.writeAnswerHeader(w)
	}
	maps.Copy(w.Header(), c.header) // trailers
}

// next waits for bytes of the body. It returns false when there are no more, or
// when the caller has disconnected.
func (c *aheadCall) next(ctx context.Context) ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.turn {
		c.turn = true
		c.changed.Broadcast()
	}
	for len(c.body) == 0 && !c.ended && ctx.Err() == nil {
		c.changed.Wait()
	}
	chunk := c.body
	c.body = nil
	c.changed.Broadcast()
	return chunk, len(chunk) > 0
}

// isBroken reports whether the answer is incomplete.
func (c *aheadCall) isBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.broken || !c.ended
}

func (c *aheadCall) writeAnswerHeader(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.status == 0 {
		c.writeHeaderLocked(http.StatusOK)
	}
	connection, close := w.Header()["Connection"] // set by the server when it drains
	maps.Copy(w.Header(), c.final)
	if close {
		w.Header()["Connection"] = connection
	}
	w.WriteHeader(c.status)
}
