package platformlog

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	retryBase = 200 * time.Millisecond
	retryCap  = 5 * time.Second
	// retryDoublings keeps the shift below from overflowing; the cap is
	// reached long before.
	retryDoublings = 10
)

// fullJitter returns a random wait up to an exponential bound, so that many
// clients that failed at one moment do not come back at one moment.
func fullJitter(attempt int) time.Duration {
	return rand.N(min(retryBase<<min(attempt, retryDoublings), retryCap))
}

// pause waits for d and reports whether it passed before the context ended.
func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ReadUntil reads as Log.Read does, and again with full jitter while the log
// is unavailable, until a read fails after the deadline.
func ReadUntil(ctx context.Context, log Log, deadline time.Time, stream string, from int64, max int, wait time.Duration) (Batch, error) {
	for attempt := 1; ; attempt++ {
		b, err := log.Read(ctx, stream, from, max, wait)
		if !errors.Is(err, ErrUnavailable) || !time.Now().Before(deadline) || !pause(ctx, fullJitter(attempt)) {
			return b, err
		}
	}
}
