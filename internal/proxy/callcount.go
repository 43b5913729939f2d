package proxy

import (
	"context"
	"sync"
)

// CallCount counts the calls in progress, so that a shutdown can wait for their
// end.
type CallCount struct {
	mu    sync.Mutex
	calls int           // guarded by mu
	idle  chan struct{} // guarded by mu; closed while there are no calls
}

// NewCallCount returns a CallCount.
func NewCallCount() *CallCount {
	c := &CallCount{idle: make(chan struct{})}
	close(c.idle)
	return c
}

// Enter counts a call that begins.
func (c *CallCount) Enter() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls == 0 {
		c.idle = make(chan struct{})
	}
	c.calls++
}

// Leave counts a call that ends.
func (c *CallCount) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls--
	if c.calls == 0 {
		close(c.idle)
	}
}

// Wait waits until no call is in progress or the context ends. It returns the
// context's error in the latter case.
func (c *CallCount) Wait(ctx context.Context) error {
	c.mu.Lock()
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
