package platformlog

import (
	"bytes"
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// lookUpTime is how long a record is looked up while the log does not
	// answer reads, when the writer was not told to wait longer.
	lookUpTime = 10 * time.Second
	// maxUnknownAppends bounds appends whose answer was lost and that were not
	// found afterwards: a log that swallows several in a row needs a person.
	maxUnknownAppends = 3
	lookUpBatch       = 256
	lookUpPause       = 100 * time.Millisecond
)

// Writer appends records that must not stand in the log twice. After a lost
// answer it looks the record up before it appends again.
type Writer struct {
	log  Log
	wait time.Duration
}

// NewWriter returns a writer that keeps trying for the time wait while the log
// is unavailable. With 0 it gives up at once when nothing was appended.
func NewWriter(log Log, wait time.Duration) *Writer {
	return &Writer{log: log, wait: wait}
}

// Append adds a record and returns its offset. The data must hold a fresh id,
// so that no other record has the same bytes. Known is an offset read before:
// the record cannot stand before it.
//
// ErrNotApplied means that the record is not in the log, ErrUnknown that it
// was sent and could not be looked up.
func (w *Writer) Append(ctx context.Context, stream string, known int64, data []byte) (int64, error) {
	a := appending{log: w.log, stream: stream, known: known, data: data, deadline: time.Now().Add(w.wait)}
	for attempt := 1; ; attempt++ {
		offset, err := a.once(ctx)
		if err == nil || !a.again(err) {
			return offset, err
		}
		if !pause(ctx, attempt, a.deadline) {
			return 0, err
		}
	}
}

// appending is one record on its way into the log.
type appending struct {
	log      Log
	stream   string
	known    int64
	data     []byte
	deadline time.Time
	unknown  int // appends whose answer was lost
}

// errAbsent marks an append whose answer was lost and that a later read did
// not find.
var errAbsent = errors.New("the record was sent and is not in the log")

// again reports whether another append is due: it is only after it is known
// that the record is not in the log.
func (a *appending) again(err error) bool {
	if errors.Is(err, errAbsent) {
		return a.unknown < maxUnknownAppends
	}
	return errors.Is(err, ErrNotApplied) && time.Now().Before(a.deadline)
}

func (a *appending) once(ctx context.Context) (int64, error) {
	limit := time.Now().Add(AppendTimeout)
	offset, err := a.log.Append(ctx, a.stream, a.data)
	if err == nil {
		return offset, nil
	}
	if errors.Is(err, ErrNotApplied) {
		return 0, err
	}
	a.unknown++
	offset, lookUpErr := a.lookUp(ctx, limit)
	if lookUpErr != nil {
		return 0, errors.Mark(errors.CombineErrors(lookUpErr, err), ErrUnknown)
	}
	return offset, nil
}

// lookUp reads until it finds the record, or until a read that began after
// the append's time limit reaches the end of the log without it.
func (a *appending) lookUp(ctx context.Context, limit time.Time) (int64, error) {
	deadline := a.deadline
	if least := limit.Add(lookUpTime); deadline.Before(least) {
		deadline = least
	}
	for from := a.known; ; {
		began := time.Now()
		b, err := ReadUntil(ctx, a.log, deadline, a.stream, from, lookUpBatch, max(0, limit.Sub(began)))
		var outside *RangeError
		switch {
		case errors.As(err, &outside) && !outside.Expired():
			// The log was restarted, and the append may have reached the new one.
			a.known = outside.First
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
			return 0, errors.WithStack(errAbsent)
		}
		// A service that cuts long polls short must not be asked in a loop.
		wait.For(ctx, min(lookUpPause, time.Until(limit)))
	}
}
