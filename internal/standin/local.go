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

// LocalLog is a client of a Log in the same process, without HTTP. It has a delay,
// counts its reads, and can be disconnected from the log. It applies the Log's
// faults, but Down and SlowMs affect reads even with AppendsOnly, and an append
// whose context ends during the delay is not applied. It works in virtual time.
type LocalLog struct {
	log          *Log
	delay        time.Duration // one way
	disconnected atomic.Bool
	reads        atomic.Int64
}

// Local returns a client with a one-way delay to the log.
func (l *Log) Local(delay time.Duration) *LocalLog { return &LocalLog{log: l, delay: delay} }

// SetDisconnected sets whether the client is disconnected from the log.
func (c *LocalLog) SetDisconnected(on bool) { c.disconnected.Store(on) }

// Reads returns how many reads the client sent.
func (c *LocalLog) Reads() int64 { return c.reads.Load() }

// disconnectedTimeout is the time after which a request of a disconnected client
// fails, unless its context ends earlier.
const disconnectedTimeout = 5 * time.Second

// simulateLink applies the delays and the outages to a request. It waits for the
// delay of the answer too, before the request is executed.
func (c *LocalLog) simulateLink(ctx context.Context) error {
	c.log.mu.Lock()
	f := c.log.faults
	c.log.mu.Unlock()
	if c.disconnected.Load() {
		wait.For(ctx, disconnectedTimeout)
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
	if err := c.simulateLink(ctx); err != nil {
		return 0, errors.Mark(err, platformlog.ErrNotApplied)
	}
	out, lost := c.log.append(stream, data)
	if lost {
		return 0, errors.Mark(errors.New("the answer was lost"), platformlog.ErrUnknown)
	}
	return out.Offset, nil
}

// Read implements platformlog.Log.
func (c *LocalLog) Read(ctx context.Context, stream string, from int64, limit int, timeout time.Duration) (platformlog.Batch, error) {
	c.reads.Add(1)
	if err := c.simulateLink(ctx); err != nil {
		return platformlog.Batch{}, errors.Mark(err, platformlog.ErrUnavailable)
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	expired := timeout <= 0
	for {
		status, out, appended := c.log.read(stream, from, limit)
		if status != http.StatusOK {
			return platformlog.Batch{}, errors.WithStack(&platformlog.RangeError{LogID: out.LogID, From: from, First: out.First, Next: out.Next})
		}
		if len(out.Records) > 0 || expired {
			return batchOf(out), nil
		}
		select {
		case <-appended:
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
