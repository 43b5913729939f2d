// Package platformlog is the client of the platform's append-only log. All
// access goes through the Log interface, since the protocol of the real service
// may differ from that of the stand-in.
package platformlog

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Streams of the log. Package idempotency names the streams of claims.
const (
	StreamConfig  = "config"  // genesis, changes, checkpoints
	StreamMembers = "members" // announcements of nodes
)

// Entry is one record of a stream.
type Entry struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Batch is the result of a read.
type Batch struct {
	LogID     string        // identity of the content, changes when the service loses it; may be empty
	First     int64         // first retained offset
	Next      int64         // offset of the next append
	Retention time.Duration // how long records are kept; 0 when unknown
	Entries   []Entry
}

// Log is an append-only log of streams with offsets and limited retention.
type Log interface {
	// Append adds one record and returns its offset. ErrNotApplied means that
	// the record is not in the log, ErrUnknown that it may be.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records from an offset on. If there are none, it
	// waits for one up to the time wait. It fails with *RangeError if the offset
	// is outside the retained range, and with ErrUnavailable if the service does
	// not respond or responds with an error.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error)
}

// Errors of the log.
var (
	ErrNotApplied  = errors.New("record was not appended")
	ErrUnknown     = errors.New("outcome of the append is unknown")
	ErrUnavailable = errors.New("log is unavailable")
)

// RangeError reports a read outside the retained offsets First to Next, where
// Next is the offset of the next append.
type RangeError struct {
	LogID string
	From  int64
	First int64
	Next  int64
}

// Error implements error.
func (e *RangeError) Error() string {
	return fmt.Sprintf("offset %d is outside the retained range %d to %d", e.From, e.First, e.Next)
}

// Expired reports whether the requested records were deleted by retention. If
// not, the offset is beyond the end, so the log has lost its content.
func (e *RangeError) Expired() bool { return e.From < e.First }
