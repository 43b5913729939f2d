// Package wait provides the delays of background loops: waits that end with
// their context, and retry delays with full jitter.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	baseRetryDelay = 200 * time.Millisecond
	maxRetryDelay  = 5 * time.Second
	// maxRetryDoublings prevents overflow of the shift; the cap is reached long
	// before.
	maxRetryDoublings = 10
)

// For waits for d and reports whether d elapsed before the context ended.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Until waits until change is signalled, d elapses or the context ends.
func Until(ctx context.Context, change <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-change:
	case <-t.C:
	case <-ctx.Done():
	}
}

// FullJitter returns a random delay below a bound that doubles with each
// attempt up to a cap, so that callers that failed at the same time do not
// retry at the same time.
func FullJitter(attempt int) time.Duration {
	return rand.N(min(baseRetryDelay<<min(attempt, maxRetryDoublings), maxRetryDelay))
}
