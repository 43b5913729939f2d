package platformlog

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// lookupTimeout is the least time for which the lookup of a record is
	// retried while the log is unavailable. The writer's retry time may be
	// longer.
	lookupTimeout = 10 * time.Second
	// maxUnknownAppends bounds appends without a response whose record was not
	// found afterwards: a log that loses several consecutive appends needs an
	// operator.
	maxUnknownAppends = 3
	lookupBatchSize   = 256
	lookupInterval    = 100 * time.Millisecond
)

// Writer appends records that must not be in the log twice. If the outcome of an
// append is unknown, it looks the record up before it appends again.
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
// ErrNotApplied means that the record is not in the log, ErrUnknown that it
// was sent and the lookup did not determine whether it is in the log.
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
// is known not to be in the log.
func (a *appendOperation) shouldRetry(err error) bool {
	if errors.Is(err, errNotFound) {
		return a.unknownOutcomes < maxUnknownAppends
	}
	return errors.Is(err, ErrNotApplied) && time.Now().Before(a.deadline)
}

// attempt appends the record once and looks it up if the outcome is unknown.
func (a *appendOperation) attempt(ctx context.Context) (int64, error) {
	limit := time.Now().Add(AppendTimeout)
	offset, err := a.log.Append(ctx, a.stream, a.data)
	if err == nil {
		return offset, nil
	}
	if errors.Is(err, ErrNotApplied) {
		return 0, err
	}
	a.unknownOutcomes++
	offset, lookUpErr := a.lookUp(ctx, limit)
	if lookUpErr != nil {
		return 0, errors.Mark(errors.CombineErrors(lookUpErr, err), ErrUnknown)
	}
	return offset, nil
}

// lookUp reads until it finds the record, or until a read that began after the
// append's time limit reaches the end of the log without finding it.
func (a *appendOperation) lookUp(ctx context.Context, limit time.Time) (int64, error) {
	deadline := a.deadline
	if minDeadline := limit.Add(lookupTimeout); deadline.Before(minDeadline) {
		deadline = minDeadline
	}
	for from := a.minOffset; ; {
		began := time.Now()
		b, err := ReadWithRetry(ctx, a.log, deadline, a.stream, from, lookupBatchSize, max(0, limit.Sub(began)))
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
		if !began.Before(limit) {
			return 0, errors.WithStack(errNotFound)
		}
		// Avoids a busy loop if the service returns from long polls early.
		wait.For(ctx, min(lookupInterval, time.Until(limit)))
	}
}
