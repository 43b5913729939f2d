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
		if !errors.Is(err, ErrUnavailable) || !time.Now().Before(deadline) || !wait.For(ctx, wait.FullJitter(attempt)) {
			return b, err
		}
	}
}
