package platformlog

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// ReadUntil reads as Log.Read does, and again with full jitter while the log
// is unavailable, until a read fails after the deadline.
func ReadUntil(ctx context.Context, log Log, deadline time.Time, stream string, from int64, max int, poll time.Duration) (Batch, error) {
	for attempt := 1; ; attempt++ {
		b, err := log.Read(ctx, stream, from, max, poll)
		if !errors.Is(err, ErrUnavailable) || !time.Now().Before(deadline) || !pause(ctx, attempt, deadline) {
			return b, err
		}
	}
}

// pause waits before another attempt. It does not pass a deadline that is
// still ahead, so that the last attempt comes at the time that the caller
// asked for.
func pause(ctx context.Context, attempt int, deadline time.Time) bool {
	d := wait.FullJitter(attempt)
	if left := time.Until(deadline); left > 0 {
		d = min(d, left)
	}
	return wait.For(ctx, d)
}
