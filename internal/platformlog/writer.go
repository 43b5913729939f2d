package platformlog

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// lookupTimeout is the minimum time, from the end of the append's timeout,
	// for which the lookup of a record is retried while the log is unavailable.
	// The writer's retry time may be longer.
	lookupTimeout = 10 * time.Second
	// maxUnknownAppends bounds appends without a response whose record was not
	// found afterwards: a log that loses several consecutive appends needs an
	// operator.
	maxUnknownAppends = 3
	lookupBatchSize   = 256 // records
	lookupInterval    = 100 * time.Millisecond
)

// Writer appends records without duplicates: if the outcome of an append is
// unknown, it looks the record up before it appends again. Only an append that
// takes effect after AppendTimeout can still add a second copy.
type Writer struct {
	log       Log
	retryTime time.Duration
}

// NewWriter returns a writer that retries for retryTime while the log is
// unavailable. With 0 it fails at once if nothing was appended.
func NewWriter(log Log, retryTime time.Duration) *Writer {
	return &Writer{log: log, retryTime: retryTime}
}

// Append adds a record and returns its offset. The data must contain a unique
// id, so that no other record has the same bytes. minOffset is an offset read
// before: the record cannot be at a lower one.
//
// ErrNotApplied means that the record is not in the log, ErrUnknown that it was
// sent and may be in the log, although lookups failed or did not find it.
func (w *Writer) Append(ctx context.Context, stream string, minOffset int64, data []byte) (int64, error) {
	a := appendOperation{log: w.log, stream: stream, minOffset: minOffset, data: data, deadline: time.Now().Add(w.retryTime)}
	for attempt := 1; ; attempt++ {
		offset, err := a.attempt(ctx)
		if err == nil || !a.shouldRetry(err) {
			return offset, err
		}
		if !backOff(ctx, attempt, a.deadline) {
			return 0, err
		}
	}
}

// appendOperation is the state of one Writer.Append.
type appendOperation struct {
	log             Log
	stream          string
	minOffset       int64
	data            []byte
	deadline        time.Time
	unknownOutcomes int // number of appends without a response
}

// errNotFound reports an append without a response whose record a later read did
// not find.
var errNotFound = errors.New("the record was sent but is not in the log")

// shouldRetry reports whether to append again, which is safe only if the record
// was not applied or a lookup after the append's timeout did not find it.
func (a *appendOperation) shouldRetry(err error) bool {
	if errors.Is(err, errNotFound) {
		return a.unknownOutcomes < maxUnknownAppends
	}
	return errors.Is(err, ErrNotApplied) && time.Now().Before(a.deadline)
}

// attempt appends the record once and looks it up if the outcome is unknown.
func (a *appendOperation) attempt(ctx context.Context) (int64, error) {
	appendDeadline := time.Now().Add(AppendTimeout)
	offset, err := a.log.Append(ctx, a.stream, a.data)
	if err == nil {
		return offset, nil
	}
	if errors.Is(err, ErrNotApplied) {
		return 0, err
	}
	a.unknownOutcomes++
	offset, lookUpErr := a.lookUp(ctx, appendDeadline)
	if lookUpErr != nil {
		return 0, errors.Mark(errors.CombineErrors(lookUpErr, err), ErrUnknown)
	}
	return offset, nil
}

// lookUp reads until it finds the record, or until a read that began after the
// append's deadline reaches the end of the log without finding it.
func (a *appendOperation) lookUp(ctx context.Context, appendDeadline time.Time) (int64, error) {
	deadline := a.deadline
	if minDeadline := appendDeadline.Add(lookupTimeout); deadline.Before(minDeadline) {
		deadline = minDeadline
	}
	for from := a.minOffset; ; {
		began := time.Now()
		b, err := ReadWithRetry(ctx, a.log, deadline, a.stream, from, lookupBatchSize, max(0, appendDeadline.Sub(began)))
		var outside *RangeError
		switch {
		case errors.As(err, &outside) && !outside.Expired():
			// The log restarted without its content, and the append may have
			// reached the new one.
			a.minOffset = outside.First
			from = outside.First
			continue
		case err != nil:
			return 0, errors.Wrap(err, "look up the record")
		}
		for _, e := range b.Entries {
			if bytes.Equal(e.Data, a.data) {
				return e.Offset, nil
			}
			from = e.Offset + 1
		}
		if len(b.Entries) > 0 {
			continue
		}
		if !began.Before(appendDeadline) {
			return 0, errors.WithStack(errNotFound)
		}
		// Avoids a busy loop if the service returns from long polls early.
		wait.For(ctx, min(lookupInterval, time.Until(appendDeadline)))
	}
}
