package standin

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// LocalLog is a client of a Log in the same process, without HTTP. It keeps
// to the Log's faults, works in virtual time, and may be cut from the log.
type LocalLog struct {
	log   *Log
	delay time.Duration // one way
	cut   atomic.Bool
	reads atomic.Int64
}

// Local returns a client at a one-way delay from the log.
func (l *Log) Local(delay time.Duration) *LocalLog { return &LocalLog{log: l, delay: delay} }

// SetCut cuts the client from the log or ends the cut.
func (c *LocalLog) SetCut(cut bool) { c.cut.Store(cut) }

// Reads returns how many reads the client sent.
func (c *LocalLog) Reads() int64 { return c.reads.Load() }

// localTimeout is the time after which a request over a cut link fails.
const localTimeout = 5 * time.Second

// reach takes a request to the log and applies the delays and the outage.
func (c *LocalLog) reach(ctx context.Context) error {
	c.log.mu.Lock()
	f := c.log.faults
	c.log.mu.Unlock()
	if c.cut.Load() {
		wait.For(ctx, localTimeout)
		return errors.New("the log does not answer")
	}
	if !wait.For(ctx, 2*c.delay+time.Duration(f.SlowMs)*time.Millisecond) {
		return ctx.Err()
	}
	if f.Down {
		return errors.New("the log is down")
	}
	return nil
}

// Append implements platformlog.Log.
func (c *LocalLog) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	if err := c.reach(ctx); err != nil {
		return 0, errors.Mark(err, platformlog.ErrNotApplied)
	}
	out, lost := c.log.append(stream, data)
	if lost {
		return 0, errors.Mark(errors.New("the answer was lost"), platformlog.ErrUnknown)
	}
	return out.Offset, nil
}

// Read implements platformlog.Log.
func (c *LocalLog) Read(ctx context.Context, stream string, from int64, max int, limit time.Duration) (platformlog.Batch, error) {
	c.reads.Add(1)
	if err := c.reach(ctx); err != nil {
		return platformlog.Batch{}, errors.Mark(err, platformlog.ErrUnavailable)
	}
	deadline := time.NewTimer(limit)
	defer deadline.Stop()
	expired := limit <= 0
	for {
		status, out, grown := c.log.read(stream, from, max)
		if status != http.StatusOK {
			return platformlog.Batch{}, errors.WithStack(&platformlog.RangeError{LogID: out.LogID, From: from, First: out.First, Next: out.Next})
		}
		if len(out.Records) > 0 || expired {
			return batchOf(out), nil
		}
		select {
		case <-grown:
		case <-deadline.C:
			expired = true
		case <-ctx.Done():
			return platformlog.Batch{}, errors.Mark(ctx.Err(), platformlog.ErrUnavailable)
		}
	}
}

func batchOf(out platformlog.ReadResponse) platformlog.Batch {
	b := platformlog.Batch{LogID: out.LogID, First: out.First, Next: out.Next, Retention: time.Duration(out.RetentionMs) * time.Millisecond}
	for _, r := range out.Records {
		b.Entries = append(b.Entries, platformlog.Entry{Offset: r.Offset, Time: time.UnixMilli(r.TimeMs), Data: r.Data})
	}
	return b
}
