package distribution

import "sync"

// tasks runs short goroutines and waits for them at the end, so that a
// stopped agent leaves none behind.
type tasks struct {
	mu     sync.Mutex
	closed bool // guarded by mu
	wg     sync.WaitGroup
}

// run starts f, or nothing once close was called.
func (t *tasks) run(f func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.closed {
		t.wg.Go(f)
	}
}

func (t *tasks) close() {
	t.mu.Lock()
	t.closed = true
	t.mu.Unlock()
	t.wg.Wait()
}
