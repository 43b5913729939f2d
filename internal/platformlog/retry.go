package platformlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// ReadWithRetry calls Log.Read and retries with full jitter while the log is
// unavailable, until a read fails after the deadline.
func ReadWithRetry(ctx context.Context, log Log, deadline time.Time, stream string, from int64, max int, poll time.Duration) (Batch, error) {
	for attempt := 1; ; attempt++ {
		b, err := log.Read(ctx, stream, from, max, poll)
		if !errors.Is(err, ErrUnavailable) || !time.Now().Before(deadline) || !backOff(ctx, attempt, deadline) {
			return b, err
		}
	}
}

// backOff waits before another attempt. It does not wait beyond a deadline in the
// future, so that the last attempt takes place at the deadline; a deadline that
// has passed does not shorten the wait. It reports false if the context ended.
func backOff(ctx context.Context, attempt int, deadline time.Time) bool {
	d := wait.FullJitter(attempt)
	if left := time.Until(deadline); left > 0 {
		d = min(d, left)
	}
	return wait.For(ctx, d)
}
