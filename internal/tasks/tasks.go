// Package tasks runs short-lived goroutines that must not outlive their owner.
package tasks

import "sync"

// Group runs functions in goroutines and waits for them on Close. The zero value is
// ready to use.
type Group struct {
	mu     sync.Mutex
	closed bool // guarded by mu
	wg     sync.WaitGroup
}

// Go starts f in a goroutine, unless Close has been called.
func (g *Group) Go(f func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.closed {
		g.wg.Go(f)
	}
}

// Close waits for the goroutines that run.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.wg.Wait()
}
