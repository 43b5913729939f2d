package admission

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxReceptions is how many large request bodies are received at once. Each of
	// them fills the link by itself; a few at a time complete earlier than many, and
	// short calls wait behind fewer bytes. A second one covers the round trip in
	// which the first begins.
	maxReceptions = 2
	// slowReceptionFactor is the multiple of the expected time after which a
	// reception no longer counts: its sender does not fill the link.
	slowReceptionFactor = 4
	// minReceptionTime is the least expected time of a reception: a round trip
	// between regions and the processing of its start.
	minReceptionTime = 25 * time.Millisecond
)

// Receptions decides when the bodies of large calls are received over the
// instance's link. A slot is not held meanwhile, since the backend server would
// not work on the call.
//
// It answers calls whose bodies together exceed the rate of a thin link: sent at
// once, they delay one another and every short call until all of them miss their
// limit. It has a single lock because the link of an instance is one resource; it
// is a leaf lock.
type Receptions struct {
	rate     float64 // bytes per second; immutable
	maxBytes int64   // of received bodies that are kept in memory; immutable

	mu      sync.Mutex
	active  []*ReceptionTicket // bodies that are being received; guarded by mu
	waiting []*ReceptionTicket // in order of arrival; guarded by mu
	kept    int64              // bytes of bodies that are being received or kept; guarded by mu
}

// ReceptionRequest asks for the reception of a body.
type ReceptionRequest struct {
	Bytes    int64
	Rank     int // as in Request
	Deadline time.Time
	MaxWait  time.Duration // as in Request, until the body is complete
}

// ReceptionTicket is the place of one body in the queue, on the link or in memory.
type ReceptionTicket struct {
	receptions *Receptions
	request    ReceptionRequest
	ready      chan struct{} // closed when the body may be received

	state   ticketState // guarded by receptions.mu; stateDone once the body is complete
	started time.Time   // guarded by receptions.mu
}

// NewReceptions returns Receptions for a link, or nil, which receives every body at
// once, when the rate is 0. maxBytes bounds the bodies kept in memory.
func NewReceptions(bytesPerSecond float64, maxBytes int64) *Receptions {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Receptions{rate: bytesPerSecond * linkShare, maxBytes: maxBytes}
}

// Accepts reports whether a body of a size is kept in memory until it is complete.
func (r *Receptions) Accepts(bytes int64) bool { return r != nil && bytes <= r.maxBytes/maxReceptions }

// Acquire requests the reception of a body that Accepts. The ticket is nil when the
// call is refused: the link or the memory has no room for the body in time.
func (r *Receptions) Acquire(now time.Time, request ReceptionRequest) (*ReceptionTicket, Decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSlowLocked(now)
	t := &ReceptionTicket{receptions: r, request: request, ready: make(chan struct{})}
	if wait := r.waitLocked(now, t); wait > t.patience(now) {
		return nil, Decision{Verdict: Refused, Reason: ReasonLinkBusy, RetryAfter: max(wait-t.duration(r.rate), minRetryAfter)}
	}
	r.waiting = append(r.waiting, t)
	r.grantLocked(now)
	if t.state == stateRunning {
		return t, Decision{Verdict: Admitted}
	}
	return t, Decision{Verdict: Queued}
}

// Tick starts receptions that a slow one has held up. It must be called about every
// ReceptionTick while a body waits.
func (r *Receptions) Tick(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropSlowLocked(now)
	r.grantLocked(now)
}

// ReceptionTick is the interval of Tick.
const ReceptionTick = 50 * time.Millisecond

// ReceptionsView is the state of Receptions for gauges and the state dump.
type ReceptionsView struct {
	Waiting  int   `json:"waiting"`  // bodies that are not received yet
	Active   int   `json:"active"`   // bodies that are being received
	Kept     int64 `json:"kept"`     // bytes of bodies that are being received or kept
	MaxBytes int64 `json:"maxBytes"` // bound of Kept
}

// View returns the state; the zero value on nil.
func (r *Receptions) View() ReceptionsView {
	if r == nil {
		return ReceptionsView{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return ReceptionsView{Waiting: len(r.waiting), Active: len(r.active), Kept: r.kept, MaxBytes: r.maxBytes}
}

// Ready returns a channel that is closed when the body may be received.
func (t *ReceptionTicket) Ready() <-chan struct{} { return t.ready }

// Complete records that the body was received or broke off, so that the next one
// may follow. The body stays in memory until Release.
func (t *ReceptionTicket) Complete(now time.Time) {
	r := t.receptions
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active = remove(r.active, t)
	r.dropSlowLocked(now)
	r.grantLocked(now)
}

// Release ends a ticket in any state. Calls on a nil ticket have no effect.
func (t *ReceptionTicket) Release(now time.Time) {
	if t == nil {
		return
	}
	r := t.receptions
	r.mu.Lock()
	defer r.mu.Unlock()
	r.active, r.waiting = remove(r.active, t), remove(r.waiting, t)
	if t.state == stateRunning {
		r.kept -= t.request.Bytes
	}
	t.state = stateDone
	r.grantLocked(now)
}

func remove(list []*ReceptionTicket, t *ReceptionTicket) []*ReceptionTicket {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}

// patience is the longest time until the body is complete that a call accepts.
func (t *ReceptionTicket) patience(now time.Time) time.Duration {
	patience := time.Duration(patienceShare * float64(t.request.Deadline.Sub(now)))
	if t.request.MaxWait > 0 {
		return min(patience, t.request.MaxWait)
	}
	return patience
}

// duration is the time that the body takes on a link of its own.
func (t *ReceptionTicket) duration(rate float64) time.Duration {
	return max(time.Duration(float64(t.request.Bytes)/rate*float64(time.Second)), minReceptionTime)
}

// waitLocked estimates the time until the body of a new ticket is complete. While
// the memory is full, the bodies in it count as ahead on the link.
func (r *Receptions) waitLocked(now time.Time, t *ReceptionTicket) time.Duration {
	wait := t.duration(r.rate)
	for _, other := range r.active {
		wait += max(other.duration(r.rate)-now.Sub(other.started), 0)
	}
	for _, other := range r.waiting {
		if !t.before(other) {
			wait += other.duration(r.rate)
		}
	}
	if r.kept+t.request.Bytes > r.maxBytes {
		wait += time.Duration(float64(r.kept) / r.rate * float64(time.Second))
	}
	return wait
}

// before reports whether a body goes before another one that has waited longer.
func (t *ReceptionTicket) before(other *ReceptionTicket) bool {
	return t.request.Rank < other.request.Rank
}

func (r *Receptions) grantLocked(now time.Time) {
	for len(r.active) < maxReceptions {
		t := r.nextLocked()
		if t == nil || r.kept > 0 && r.kept+t.request.Bytes > r.maxBytes {
			return
		}
		r.waiting = remove(r.waiting, t)
		r.active = append(r.active, t)
		r.kept += t.request.Bytes
		t.state, t.started = stateRunning, now
		close(t.ready)
	}
}

// nextLocked returns the body to receive next: the one that has waited longest
// among those of the most important rank.
func (r *Receptions) nextLocked() *ReceptionTicket {
	var next *ReceptionTicket
	for _, t := range r.waiting {
		if next == nil || t.before(next) {
			next = t
		}
	}
	return next
}

// dropSlowLocked stops counting receptions whose senders do not fill the link, so
// that a caller that sends slowly holds nobody up.
func (r *Receptions) dropSlowLocked(now time.Time) {
	r.active = slices.DeleteFunc(r.active, func(t *ReceptionTicket) bool {
		return now.Sub(t.started) > slowReceptionFactor*maxReceptions*t.duration(r.rate)
	})
}
