// Package wait holds the waits of background loops: they end with their
// context, and retries are spread by full jitter.
package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	retryBase = 200 * time.Millisecond
	retryCap  = 5 * time.Second
	// retryDoublings keeps the shift from overflowing; the cap is reached long
	// before.
	retryDoublings = 10
)

// For waits for d and reports whether it passed before the context ended.
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

// Until waits for a change, at most d or until the context ends.
func Until(ctx context.Context, change <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-change:
	case <-t.C:
	case <-ctx.Done():
	}
}

// FullJitter returns a random wait up to a bound that doubles with each
// attempt, so that many callers that failed at one moment do not come back at
// one moment.
func FullJitter(attempt int) time.Duration {
	return rand.N(min(retryBase<<min(attempt, retryDoublings), retryCap))
}
