package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// directLog is a client of a Log in the same process, with the same faults and
// without HTTP, so that tests can use virtual time.
type directLog struct {
	log *Log
}

// Direct returns a platformlog.Log that calls the log directly, without HTTP.
func (l *Log) Direct() platformlog.Log { return directLog{log: l} }

// appendResult is the result of an append.
type appendResult struct {
	out  platformlog.AppendResponse
	lost bool // no answer is sent
	err  error
}

// Append implements platformlog.Log. A slow append is applied even when its
// context has ended.
func (d directLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if len(data) > platformlog.MaxRecordBytes {
		return 0, errors.Mark(errors.New("append: record too large"), platformlog.ErrNotApplied)
	}
	ctx, cancel := context.WithTimeout(ctx, platformlog.AppendTimeout)
	defer cancel()
	done := make(chan appendResult, 1)
	go func() {
		var r appendResult
		if r.err = d.log.delayOrReject(context.WithoutCancel(ctx), requestAppend); r.err == nil {
			r.out, r.lost = d.log.append(stream, data)
		}
		done <- r
	}()
	select {
	case r := <-done:
		return r.outcome()
	case <-ctx.Done():
		return 0, errors.Mark(errors.Wrap(ctx.Err(), "append"), platformlog.ErrUnknown)
	}
}

func (r appendResult) outcome() (int64, error) {
	switch {
	case r.err != nil:
		return 0, errors.Mark(errors.Wrap(r.err, "append"), platformlog.ErrNotApplied)
	case r.lost:
		return 0, errors.Mark(errors.New("append: connection closed without an answer"), platformlog.ErrUnknown)
	}
	return r.out.Offset, nil
}

// Read implements platformlog.Log.
func (d directLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+platformlog.ReadTimeoutMargin)
	defer cancel()
	status, out, err := d.log.poll(ctx, stream, from, limit, wait)
	if err != nil {
		return platformlog.Batch{}, errors.Mark(errors.Wrap(err, "read"), platformlog.ErrUnavailable)
	}
	if status != http.StatusOK {
		return platformlog.Batch{}, errors.WithStack(out.RangeError(from))
	}
	return out.Batch(), nil
}
