// Package platformlog is the client of the platform's append-only log. All
// access goes through the Log interface, since the real service's protocol
// may differ from the one of the stand-in.
package platformlog

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// Streams of the system.
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

// Batch is the answer to a read.
type Batch struct {
	LogID     string        // changes when the service lost its content; may be empty
	First     int64         // first offset that is retained
	Next      int64         // offset that the next append gets
	Retention time.Duration // how long records are kept; 0 when unknown
	Entries   []Entry
}

// Log is an append-only log with offsets and limited retention.
type Log interface {
	// Append adds one record and returns its offset. ErrNotApplied means that
	// the record is not in the log, ErrUnknown that it may be.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records from an offset on. When there are none
	// it waits up to wait. It fails with *RangeError when the offset is not
	// in the log, and with ErrUnavailable when the service does not answer.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Batch, error)
}

// Errors of the log.
var (
	ErrNotApplied  = errors.New("record was not appended")
	ErrUnknown     = errors.New("outcome of the append is unknown")
	ErrUnavailable = errors.New("log is unavailable")
)

// RangeError reports a read outside the retained offsets.
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

// Expired reports whether the records asked for are gone by retention. When
// false, the offset is beyond the end: the log is another one than before.
func (e *RangeError) Expired() bool { return e.From < e.First }
