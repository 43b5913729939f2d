package proxy

import (
	"sync/atomic"
	"time"
)

// Downstream notes failed calls of the services behind a node, made through
// its Front. A backend server that answers 5xx after such a failure most
// likely passes it on, so that its Guard tells the layers above not to retry:
// only the layer next to a failure does.
type Downstream struct {
	lastFailure atomic.Int64 // Unix time in ns
}

// NoteFailure notes that the Front gave a failure now.
func (d *Downstream) NoteFailure(now time.Time) {
	if d != nil {
		d.lastFailure.Store(now.UnixNano())
	}
}

// FailedSince reports whether the Front gave a failure after a time. Callers
// from elsewhere use the Front too, so it may be another call's; then one
// retry less is made while a service fails.
func (d *Downstream) FailedSince(begun time.Time) bool {
	return d != nil && d.lastFailure.Load() >= begun.UnixNano()
}
