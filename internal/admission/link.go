package admission

import (
	"sync"
	"time"
)

// linkShare is the part of the link that large answers may fill. The rest is for
// short answers, control traffic and the bytes of the protocols.
const linkShare = 0.85

// LargeAnswerBytes is the expected size from which a call waits for room on the
// link. Shorter answers hardly delay each other.
const LargeAnswerBytes = 16 << 10

// Link estimates how long bytes wait for the instance's network link. Slots do not
// bound the bytes that answers take: a server may be idle behind a link that is
// full, where every call to and from the instance is late.
//
// It counts the expected bytes of the calls that were let through as a queue that
// drains at the rate of the link. It has a single lock because the link of an
// instance is one resource; it is a leaf lock.
type Link struct {
	rate float64 // bytes per second; immutable

	mu      sync.Mutex
	queued  float64   // bytes; guarded by mu
	updated time.Time // guarded by mu
}

// NewLink returns a Link, or nil, which never delays calls, when the rate is 0.
func NewLink(bytesPerSecond float64) *Link {
	if bytesPerSecond <= 0 {
		return nil
	}
	return &Link{rate: bytesPerSecond * linkShare}
}

// Add counts bytes that will be sent. A negative number takes back bytes that
// will not be sent after all.
func (l *Link) Add(now time.Time, bytes int64) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainLocked(now)
	l.queued = max(l.queued+float64(bytes), 0)
}

// Wait returns how long the bytes of a new call would wait.
func (l *Link) Wait(now time.Time) time.Duration {
	if l == nil {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drainLocked(now)
	return time.Duration(l.queued / l.rate * float64(time.Second))
}

func (l *Link) drainLocked(now time.Time) {
	if age := now.Sub(l.updated); age > 0 {
		l.queued = max(l.queued-age.Seconds()*l.rate, 0)
		l.updated = now
	}
}
