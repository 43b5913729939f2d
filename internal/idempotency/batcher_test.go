package idempotency

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// claimNewKeys sends claims for new keys at a constant rate.
func (c *cluster) claimNewKeys(count int, every time.Duration) {
	var all sync.WaitGroup
	for range count {
		k := c.key()
		all.Go(func() {
			_, err := c.batchers[0].Claim(c.ctx, Claim{ID: k.Text, Key: k})
			assert.Check(c.t, err)
		})
		time.Sleep(every)
	}
	all.Wait()
}

// Guards the log's capacity: at most 20 appends per second for any number of
// claims, and none for repeats of a held key. An idle batcher appends at once.
func TestBatcherLimitsAppendRate(t *testing.T) {
	inCluster(t, func(c *cluster) {
		start, before := time.Now(), c.log.appendCount()
		c.claimNewKeys(1, 0)
		assert.Assert(t, time.Since(start) < minAppendInterval)
		c.claimNewKeys(500, 2*time.Millisecond)
		took := time.Since(start)
		assert.Assert(t, c.log.appendCount()-before <= 2+int(took/minAppendInterval), "%d appends in %s", c.log.appendCount()-before, took)
		k := c.key()
		assert.Equal(t, c.node("a", 0).begin(k, time.Second).Kind, KindRun)
		before = c.log.appendCount()
		for range 2 * maxClaimsPerKey {
			assert.Equal(t, c.node("b", 0).begin(k, time.Second).Kind, KindForward)
		}
		assert.Equal(t, c.log.appendCount(), before)
	})
}

// Guards against claims that win after their caller's context ended: a claim that
// is still queued then is never appended.
func TestBatcherDropsClaimsOfCanceledCalls(t *testing.T) {
	inCluster(t, func(c *cluster) {
		c.claimNewKeys(1, 0)
		k := c.key()
		ctx, cancel := context.WithTimeout(c.ctx, minAppendInterval/2)
		defer cancel()
		_, err := c.batchers[0].Claim(ctx, Claim{ID: "canceled", Key: k})
		assert.ErrorIs(t, err, ErrUndecided)
		time.Sleep(time.Second)
		synctest.Wait()
		_, known := c.batchers[0].reader.state.Lookup(Claim{ID: "canceled", Key: k})
		assert.Assert(t, !known)
	})
}

// Guards against a sender that waits forever when two send the same claim.
func TestBatcherAnswersEverySenderOfAClaim(t *testing.T) {
	inCluster(t, func(c *cluster) {
		k := c.key()
		c.log.set(func(l *fakeLog) { l.answersToLose, l.late = 2, time.Second })
		var all sync.WaitGroup
		for range 2 {
			all.Go(func() {
				v, err := c.batchers[0].Claim(c.ctx, Claim{ID: "twice", Key: k})
				assert.Check(t, err)
				assert.Check(t, v.Won)
			})
			time.Sleep(2 * minAppendInterval)
		}
		all.Wait()
	})
}

// Guards the errors of a claim that was not decided, and their codes.
func TestBatcherErrors(t *testing.T) {
	inCluster(t, func(c *cluster) {
		k := c.key()
		other := NewBatcher(BatcherConfig{Partition: testPartition + 1}, c.log)
		_, err := other.Claim(c.ctx, Claim{ID: "1", Key: k})
		assert.ErrorIs(t, err, ErrWrongPartition)
		ctx, cancel := context.WithTimeout(c.ctx, time.Second)
		defer cancel()
		stopped := NewBatcher(BatcherConfig{Partition: testPartition, Queue: 1}, c.log)
		_, err = stopped.Claim(ctx, Claim{ID: "1", Key: k})
		assert.ErrorIs(t, err, ErrUndecided)
		_, err = stopped.Claim(c.ctx, Claim{ID: "2", Key: k})
		assert.ErrorIs(t, err, ErrBusy)
		for _, known := range errorCodes {
			assert.ErrorIs(t, CodeOf(errors.Wrap(known.err, "over the network")).Err(), known.err)
		}
	})
}

// Guards against an idle stream whose records all expire, which would leave new
// keys uncovered.
func TestIdleStreamStaysCovered(t *testing.T) {
	inCluster(t, func(c *cluster) {
		time.Sleep(5 * time.Hour)
		k := c.key()
		time.Sleep(time.Second)
		assert.Equal(t, c.node("b", c.startBatcher()).begin(k, time.Second).Kind, KindRun)
	})
}

// Guards against applying the records of two logs to one state. Each case
// replaces the log in a way that only one check detects.
func TestReaderDetectsReplacedLog(t *testing.T) {
	record := func(l *fakeLog, id string, k Key) {
		data, err := encode(Record{ID: id, Claims: []Claim{{ID: id, Key: k}}})
		assert.NilError(t, err)
		l.set(func(l *fakeLog) { l.add(data) })
	}
	cases := []struct {
		name    string
		restart func(l *fakeLog, k Key)
		covered bool
	}{
		{"same log", func(l *fakeLog, k Key) { record(l, "2", k) }, true},
		{"last applied record expired", func(l *fakeLog, _ Key) { l.set(func(l *fakeLog) { l.first, l.entries = 1, nil }) }, true},
		{"records lost in between", func(l *fakeLog, _ Key) { l.set(func(l *fakeLog) { l.first, l.entries = 5, nil }) }, false},
		{"shorter, same log id", func(l *fakeLog, _ Key) { l.set(func(l *fakeLog) { l.entries = nil }) }, false},
		{"same length, same log id", func(l *fakeLog, k Key) {
			l.set(func(l *fakeLog) { l.entries = nil })
			record(l, "other", k)
		}, false},
		{"same record, other log id", func(l *fakeLog, k Key) {
			l.reset()
			record(l, "1", k)
		}, false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				l, k := newFakeLog(), c.key()
				r := newReader(testPartition, l, func(Record, []Verdict) {})
				record(l, "1", k)
				assert.NilError(t, r.catchUp(c.ctx))
				first := r.state
				tc.restart(l, k)
				assert.NilError(t, r.catchUp(c.ctx))
				assert.Equal(t, r.state == first, tc.covered)
			})
		})
	}
}

// inconsistentLog refuses the offset of every read.
type inconsistentLog struct{ platformlog.Log }

func (inconsistentLog) Read(_ context.Context, _ string, from int64, _ int, _ time.Duration) (platformlog.Batch, error) {
	return platformlog.Batch{}, &platformlog.RangeError{From: from, First: from + 1, Next: from + 1}
}

// Guards against a busy loop on a log that refuses the offset of every read.
func TestReaderFailsOnInconsistentLog(t *testing.T) {
	r := newReader(0, inconsistentLog{}, func(Record, []Verdict) {})
	assert.ErrorIs(t, r.catchUp(t.Context()), platformlog.ErrUnavailable)
}
