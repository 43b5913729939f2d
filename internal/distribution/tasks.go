package distribution

import "sync"

// tasks runs short-lived goroutines and waits for them on close, so that none
// outlives the agent.
type tasks struct {
	mu     sync.Mutex
	closed bool // guarded by mu
	wg     sync.WaitGroup
}

// run starts f in a goroutine, unless close has been called.
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
