// Package distribution brings the configuration and the members to every
// node: it reads the platform's log, folds records, and publishes generations.
package distribution

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

const (
	readBatch   = 256
	readWait    = 10 * time.Second // long poll
	retryBase   = 200 * time.Millisecond
	retryCap    = 5 * time.Second
	firstOffset = 0
)

// follow reads a stream from its first retained offset and calls handle for
// every batch, until the context ends. After an error it waits with full
// jitter. handle returns the offset to read next.
func follow(ctx context.Context, log platformlog.Log, stream string, logger *slog.Logger, handle func(platformlog.Batch, int64) int64) error {
	from, attempt := int64(firstOffset), 0
	for {
		batch, err := log.Read(ctx, stream, from, readBatch, readWait)
		var outside *platformlog.RangeError
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.As(err, &outside):
			logger.Warn("log_range", "stream", stream, "from", from, "first", outside.First, "next", outside.Next)
			from = outside.First
			continue
		case err != nil:
			logger.Warn("log_read_failed", "stream", stream, "error", err)
			attempt++
			if !sleep(ctx, fullJitter(attempt)) {
				return nil
			}
			continue
		}
		attempt = 0
		from = handle(batch, from)
	}
}

// fullJitter returns a random wait up to an exponential bound, so that many
// nodes that failed at one moment do not come back at one moment.
func fullJitter(attempt int) time.Duration {
	bound := retryBase << min(attempt, 10)
	return rand.N(min(bound, retryCap))
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
