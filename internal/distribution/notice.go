package distribution

import "sync"

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
