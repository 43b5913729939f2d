package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// notice wakes every goroutine that waits for the next change.
type notice struct {
	mu sync.Mutex
	ch chan struct{} // guarded by mu; closed and replaced by each change
}

func newNotice() *notice { return &notice{ch: make(chan struct{})} }

// next returns a channel that the next change closes. A waiter takes it before
// it looks at the state, so that no change is missed.
func (n *notice) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ch
}

func (n *notice) raise() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.ch)
	n.ch = make(chan struct{})
}

// wake marks work as due on a channel of capacity one.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default: // it is due already and will see the newest state
	}
}

const (
	retryBase = 200 * time.Millisecond
	retryCap  = 5 * time.Second
)

// fullJitter returns a random wait up to an exponential bound, so that many
// nodes that failed at one moment do not come back at one moment.
func fullJitter(attempt int) time.Duration {
	bound := retryBase << min(attempt, 10)
	return rand.N(min(bound, retryCap))
}

// sleep waits and reports false when the context ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// waitFor waits for a change, at most d.
func waitFor(ctx context.Context, change <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-change:
	case <-t.C:
	case <-ctx.Done():
	}
}
