package distribution

import "sync"

// broadcast wakes every goroutine that waits for the next change.
type broadcast struct {
	mu sync.Mutex
	ch chan struct{} // guarded by mu; closed and replaced on each change
}

func newBroadcast() *broadcast { return &broadcast{ch: make(chan struct{})} }

// next returns a channel that is closed by the next change. A waiter calls it
// before it reads the state, so that no change is missed.
func (b *broadcast) next() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ch
}

func (b *broadcast) notify() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.ch)
	b.ch = make(chan struct{})
}

// wake signals pending work on a channel of capacity one.
func wake(ch chan<- struct{}) {
	select {
	case ch <- struct{}{}:
	default: // already signalled; the receiver will read the newest state
	}
}
