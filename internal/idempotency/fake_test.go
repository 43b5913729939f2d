package idempotency

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// fakeLog is an in-memory log that injects the faults of the platform's log.
type fakeLog struct {
	retention time.Duration

	mu            sync.Mutex
	id            int // identity of the log's content
	first         int64
	entries       []platformlog.Entry
	down          bool
	slow          time.Duration
	answersToLose int           // number of next appends whose answers are lost
	late          time.Duration // delay after which a lost append is applied
	appends       int
}

func newFakeLog() *fakeLog { return &fakeLog{retention: time.Hour, id: 1} }

func (l *fakeLog) set(fn func(l *fakeLog)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fn(l)
}

// appendCount returns the appends so far.
func (l *fakeLog) appendCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

func (l *fakeLog) reset() {
	l.set(func(l *fakeLog) { l.id, l.first, l.entries = l.id+1, 0, nil })
}

func (l *fakeLog) delay(ctx context.Context) error {
	l.mu.Lock()
	d := l.slow
	l.mu.Unlock()
	if d > 0 && !wait.For(ctx, d) {
		return ctx.Err()
	}
	return nil
}

func (l *fakeLog) Append(ctx context.Context, _ string, data []byte) (int64, error) {
	if err := l.delay(ctx); err != nil {
		return 0, errors.Mark(err, platformlog.ErrUnknown)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return 0, platformlog.ErrNotApplied
	}
	l.appends++
	if l.answersToLose > 0 {
		l.answersToLose--
		if l.late > 0 {
			time.AfterFunc(l.late, func() { l.set(func(l *fakeLog) { l.add(data) }) })
		} else {
			l.add(data)
		}
		return 0, platformlog.ErrUnknown
	}
	return l.add(data), nil
}

func (l *fakeLog) add(data []byte) int64 {
	offset := l.first + int64(len(l.entries))
	l.entries = append(l.entries, platformlog.Entry{Offset: offset, Time: time.Now(), Data: data})
	return offset
}

func (l *fakeLog) Read(ctx context.Context, _ string, from int64, max int, _ time.Duration) (platformlog.Batch, error) {
	if err := l.delay(ctx); err != nil {
		return platformlog.Batch{}, errors.Mark(err, platformlog.ErrUnavailable)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return platformlog.Batch{}, platformlog.ErrUnavailable
	}
	for len(l.entries) > 0 && time.Since(l.entries[0].Time) > l.retention {
		l.first, l.entries = l.first+1, l.entries[1:]
	}
	id, next := fmt.Sprint(l.id), l.first+int64(len(l.entries))
	if from < l.first || from > next {
		return platformlog.Batch{}, &platformlog.RangeError{LogID: id, From: from, First: l.first, Next: next}
	}
	rest := l.entries[from-l.first:]
	rest = slices.Clone(rest[:min(max, len(rest))])
	return platformlog.Batch{LogID: id, First: l.first, Next: next, Retention: l.retention, Entries: rest}, nil
}
