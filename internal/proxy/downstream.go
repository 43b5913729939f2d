package proxy

import (
	"sync/atomic"
	"time"
)

// Downstream records failures of calls that the backend server of a node made
// through the outbound proxy. A 5xx answer of the server after such a failure
// most likely passes it on, so the inbound proxy marks the answer as not to be
// retried: only the layer next to a failure retries.
type Downstream struct {
	lastFailure atomic.Int64 // Unix time in ns
}

// RecordFailure records that the outbound proxy answered with a failure.
func (d *Downstream) RecordFailure(now time.Time) {
	if d != nil {
		d.lastFailure.Store(now.UnixNano())
	}
}

// FailedSince reports whether the outbound proxy answered with a failure since
// begun. The failure may belong to an unrelated call; then a retry is omitted
// while a service fails.
func (d *Downstream) FailedSince(begun time.Time) bool {
	return d != nil && d.lastFailure.Load() >= begun.UnixNano()
}
