package distribution

import "sync"

// event is something that happens once.
type event struct {
	once sync.Once
	done chan struct{} // closed when it happens
}

func newEvent() *event { return &event{done: make(chan struct{})} }

// set records that the event has happened.
func (e *event) set() { e.once.Do(func() { close(e.done) }) }

// happened reports whether the event has happened.
func (e *event) happened() bool {
	select {
	case <-e.done:
		return true
	default:
		return false
	}
}
