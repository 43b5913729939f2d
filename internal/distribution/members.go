package distribution

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// announceSpread is the jitter of the first announcement: a whole failure
	// domain then appends under 100 records a second.
	announceSpread = 2 * time.Second
	// announceEvery keeps an announcement within reach of starting nodes.
	announceEvery = 10 * time.Minute
	// tailRecords is how many announcements a starting node reads. A few live
	// peers among them are enough, since they hand out the whole table.
	tailRecords = 64
)

// announceSelf appends the own entry at start and from time to time.
func (a *Agent) announceSelf(ctx context.Context) error {
	if !wait.For(ctx, rand.N(announceSpread)) {
		return nil
	}
	for {
		for attempt := 1; ; attempt++ {
			err := a.appendEntry(ctx, a.self())
			if err == nil {
				break
			}
			a.Logger.Warn("announce_failed", "error", err)
			if !wait.For(ctx, wait.FullJitter(attempt)) {
				return nil
			}
		}
		if !wait.For(ctx, announceEvery) {
			return nil
		}
	}
}

// appendEntry appends an entry to the members stream. Appending it twice is
// harmless, so an unknown outcome counts as a failure.
func (a *Agent) appendEntry(ctx context.Context, m membership.Member) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	_, err = a.Log.Append(ctx, platformlog.StreamMembers, data)
	return errors.Wrap(err, "announce")
}

// readMembers follows the announcements while the node is a reader; it passes
// on what the other nodes of its region do not read.
func (a *Agent) readMembers(ctx context.Context) error {
	next, attempt := int64(0), 0
	for {
		if _, ok := a.awaitRole(ctx); !ok {
			return nil
		}
		after, err := a.readAnnouncements(ctx, next)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			next, attempt = after, 0
			continue
		}
		a.Logger.Warn("log_read_failed", "stream", platformlog.StreamMembers, "error", err)
		attempt++
		if !wait.For(ctx, wait.FullJitter(attempt)) {
			return nil
		}
	}
}

// readAnnouncements makes one read and returns the offset to read next.
func (a *Agent) readAnnouncements(ctx context.Context, from int64) (int64, error) {
	if from == 0 {
		return a.readTail(ctx)
	}
	b, err := a.Log.Read(ctx, platformlog.StreamMembers, from, readBatch, readWait)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return a.readTail(ctx)
	}
	if err != nil {
		return from, err
	}
	return a.mergeAnnouncements(from, b), nil
}

// readTail reads the newest announcements and returns the offset after them.
func (a *Agent) readTail(ctx context.Context) (int64, error) {
	first, next, err := a.streamEnds(ctx, platformlog.StreamMembers)
	if err != nil {
		return 0, err
	}
	from := max(first, next-tailRecords)
	b, err := a.Log.Read(ctx, platformlog.StreamMembers, from, tailRecords, 0)
	if err != nil {
		return 0, errors.Wrap(err, "read announcements")
	}
	if after := a.mergeAnnouncements(from, b); after > 0 {
		return after, nil
	}
	// An empty stream: the first announcement is the own one.
	_, err = a.Log.Read(ctx, platformlog.StreamMembers, 0, 1, readWait)
	return 0, err
}

// streamEnds returns the first and the next offset of a stream.
func (a *Agent) streamEnds(ctx context.Context, stream string) (first, next int64, err error) {
	b, err := a.Log.Read(ctx, stream, 0, 1, 0)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return outside.First, outside.Next, nil
	}
	return b.First, b.Next, errors.Wrap(err, "find the end of the log")
}

func (a *Agent) mergeAnnouncements(from int64, b platformlog.Batch) int64 {
	var members []membership.Member
	for _, e := range b.Entries {
		from = e.Offset + 1
		var m membership.Member
		if err := json.Unmarshal(e.Data, &m); err != nil || m.ID == "" {
			a.Logger.Warn("announcement_unreadable", "offset", e.Offset)
			continue
		}
		members = append(members, m)
	}
	a.merge("", members)
	return from
}
