package proxy

import (
	"context"
	"sync"
)

// flight counts the calls that are under way, so that a shutdown can wait for
// their end.
type flight struct {
	mu    sync.Mutex
	calls int           // guarded by mu
	idle  chan struct{} // guarded by mu; closed while there are no calls
}

func newFlight() *flight {
	f := &flight{idle: make(chan struct{})}
	close(f.idle)
	return f
}

func (f *flight) enter() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.calls == 0 {
		f.idle = make(chan struct{})
	}
	f.calls++
}

func (f *flight) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls--
	if f.calls == 0 {
		close(f.idle)
	}
}

// wait returns when no call is under way.
func (f *flight) wait(ctx context.Context) error {
	f.mu.Lock()
	idle := f.idle
	f.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
