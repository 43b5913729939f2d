package distribution

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// Directory lists the members for discovery. Frequent updates such as
// heartbeats go between the nodes directly.
type Directory interface {
	// Announce adds an entry. It is idempotent: if the outcome is unknown, it
	// returns an error and the caller retries.
	Announce(ctx context.Context, m membership.Member) error
	// AnnounceDeparted adds the entry of another member that is gone, unless the
	// directory has one of a later start.
	AnnounceDeparted(ctx context.Context, m membership.Member) error
	// Entries returns the announcements after a cursor and the cursor for the
	// next call. The zero cursor, and one of an earlier era, start with the newest
	// announcements. If there are none, it waits up to wait for one.
	Entries(ctx context.Context, cursor Cursor, wait time.Duration) ([]membership.Member, Cursor, error)
}

// directoryTailRecords is how many announcements a starting node reads. A few
// live peers among them are enough, since each can send all member entries.
const directoryTailRecords = 64

// logDirectory implements Directory on the members stream of the platform's
// log, which names no era.
type logDirectory struct {
	log    platformlog.Log
	logger *slog.Logger
}

// Announce implements Directory.
func (d *logDirectory) Announce(ctx context.Context, m membership.Member) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	_, err = d.log.Append(ctx, platformlog.StreamMembers, data)
	return errors.Wrap(err, "announce")
}

// AnnounceDeparted implements Directory. The stream keeps every announcement.
func (d *logDirectory) AnnounceDeparted(ctx context.Context, m membership.Member) error {
	return d.Announce(ctx, m)
}

// Entries implements Directory.
func (d *logDirectory) Entries(ctx context.Context, cursor Cursor, wait time.Duration) ([]membership.Member, Cursor, error) {
	if !cursor.Known || cursor.Offset == 0 {
		return d.tail(ctx, wait)
	}
	b, err := d.log.Read(ctx, platformlog.StreamMembers, cursor.Offset, readBatch, wait)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return d.tail(ctx, wait)
	}
	if err != nil {
		return nil, cursor, errors.Wrap(err, "read announcements")
	}
	members, next := d.decode(cursor.Offset, b)
	return members, next, nil
}

// tail reads the newest announcements. If there are none, it waits up to wait
// for one, which the next call returns.
func (d *logDirectory) tail(ctx context.Context, wait time.Duration) ([]membership.Member, Cursor, error) {
	first, next, err := streamEnds(ctx, d.log, platformlog.StreamMembers)
	if err != nil {
		return nil, Cursor{}, err
	}
	if next == first {
		_, err = d.log.Read(ctx, platformlog.StreamMembers, next, 1, wait)
		return nil, Cursor{}, errors.Wrap(err, "read announcements")
	}
	from := max(first, next-directoryTailRecords)
	b, err := d.log.Read(ctx, platformlog.StreamMembers, from, directoryTailRecords, 0)
	if err != nil {
		return nil, Cursor{}, errors.Wrap(err, "read announcements")
	}
	members, after := d.decode(from, b)
	return members, after, nil
}

func (d *logDirectory) decode(from int64, b platformlog.Batch) ([]membership.Member, Cursor) {
	var members []membership.Member
	for _, e := range b.Entries {
		from = e.Offset + 1
		var m membership.Member
		if err := json.Unmarshal(e.Data, &m); err != nil || m.ID == "" {
			d.logger.Warn("announcement_unreadable", "offset", e.Offset)
			continue
		}
		members = append(members, m)
	}
	return members, Cursor{Known: true, Offset: from}
}

// streamEnds returns the first and the next offset of a stream.
func streamEnds(ctx context.Context, log platformlog.Log, stream string) (first, next int64, err error) {
	b, err := log.Read(ctx, stream, 0, 1, 0)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return outside.First, outside.Next, nil
	}
	return b.First, b.Next, errors.Wrap(err, "find the end of the log")
}
