package platformlog_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

const (
	stream = platformlog.StreamConfig
	record = `{"id":"fresh"}`
)

// lossy loses the answers of the first appends: swallow of them never take
// effect, and the others only after a delay.
type lossy struct {
	platformlog.Log
	swallow int
	late    time.Duration
	noWait  bool // reads do not wait for records
}

func (l *lossy) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (platformlog.Batch, error) {
	if l.noWait {
		wait = 0
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

func (l *lossy) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	switch {
	case l.swallow > 0:
		l.swallow--
	case l.late > 0:
		time.AfterFunc(l.late, func() { _, _ = l.Log.Append(context.Background(), stream, data) })
		l.late = 0
	default:
		return l.Log.Append(ctx, stream, data)
	}
	return 0, errors.Mark(errors.New("connection cut"), platformlog.ErrUnknown)
}

// copies counts the record in the log, after every fault is over.
func copies(t *testing.T, l *standin.Log) int {
	l.SetFaults(standin.LogFaults{})
	time.Sleep(time.Minute) // virtual: slow appends take effect
	first := int64(0)
	_, err := l.Direct().Read(t.Context(), stream, 0, 1, 0)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		first = outside.First
	}
	b, err := l.Direct().Read(t.Context(), stream, first, 100, 0)
	assert.NilError(t, err)
	n := 0
	for _, e := range b.Entries {
		if string(e.Data) == record {
			n++
		}
	}
	return n
}

// Guards against a record that stands in the log twice or not at all when the
// writer reported success, and against a wrong report of its outcome.
func TestWriterUnderFaults(t *testing.T) {
	cases := []struct {
		name   string
		wait   time.Duration
		faults standin.LogFaults
		lossy  lossy
		later  time.Duration // when next takes the place of faults
		next   standin.LogFaults
		want   error
		copies int
		within time.Duration
	}{
		{name: "healthy", copies: 1},
		{name: "down", faults: standin.LogFaults{Down: true}, want: platformlog.ErrNotApplied},
		{name: "down for a while", wait: 30 * time.Second, faults: standin.LogFaults{Down: true}, later: 8 * time.Second, copies: 1, within: 14 * time.Second},
		{name: "down for longer than the wait", wait: 5 * time.Second, faults: standin.LogFaults{Down: true}, want: platformlog.ErrNotApplied, within: 11 * time.Second},
		{name: "slow", faults: standin.LogFaults{SlowMs: 3000}, copies: 1, within: 3 * time.Second},
		// The first append takes effect after its time limit. The second copy has
		// the same id, so the fold leaves it out.
		{name: "applied after the time limit", faults: standin.LogFaults{SlowMs: 6000}, later: time.Second, copies: 2, within: 6 * time.Second},
		{name: "slower than the time limit", faults: standin.LogFaults{SlowMs: 6000}, want: platformlog.ErrUnknown, copies: 1, within: 30 * time.Second},
		{name: "answer lost", faults: standin.LogFaults{LoseAnswers: 1}, copies: 1},
		{name: "answers lost", faults: standin.LogFaults{LoseAnswers: 5}, copies: 1},
		{name: "answer lost, then down", faults: standin.LogFaults{LoseAnswers: 1}, later: -1, next: standin.LogFaults{Down: true}, want: platformlog.ErrUnknown, copies: 1, within: 25 * time.Second},
		{name: "answer lost, then down for a while", wait: time.Minute, faults: standin.LogFaults{LoseAnswers: 1}, later: 40 * time.Second, copies: 1},
		{name: "answer lost, then expired", faults: standin.LogFaults{LoseAnswers: 1}, later: -1, next: standin.LogFaults{ExpireBefore: map[string]int64{stream: 4}}, want: platformlog.ErrUnknown},
		{name: "answer lost, then restarted", faults: standin.LogFaults{LoseAnswers: 1}, later: -1, next: standin.LogFaults{Reset: true}, copies: 1, within: 6 * time.Second},
		{name: "never applied", lossy: lossy{swallow: 1}, copies: 1, within: 6 * time.Second},
		{name: "never applied, again and again", lossy: lossy{swallow: 9}, want: platformlog.ErrUnknown, within: 17 * time.Second},
		{name: "applied late", lossy: lossy{late: 4 * time.Second}, copies: 1, within: 4 * time.Second},
		{name: "applied late, reads do not wait", lossy: lossy{late: 4 * time.Second, noWait: true}, copies: 1, within: 5 * time.Second},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := standin.NewLog(time.Hour, time.Now)
				for range 3 {
					_, err := l.Direct().Append(t.Context(), stream, []byte("before"))
					assert.NilError(t, err)
				}
				l.SetFaults(c.faults)
				c.lossy.Log = &switching{Log: l.Direct(), after: func() {
					if c.later < 0 {
						l.SetFaults(c.next)
					}
				}}
				if c.later > 0 {
					time.AfterFunc(c.later, func() { l.SetFaults(c.next) })
				}
				began := time.Now()
				_, err := platformlog.NewWriter(&c.lossy, c.wait).Append(t.Context(), stream, 3, []byte(record))
				took := time.Since(began)
				assert.Assert(t, errors.Is(err, c.want), "%v", err)
				if c.within > 0 {
					assert.Assert(t, took <= c.within, "took %s", took)
				}
				assert.Equal(t, copies(t, l), c.copies)
			})
		})
	}
}

// switching changes the faults right after the first append.
type switching struct {
	platformlog.Log
	after func()
	done  bool
}

func (s *switching) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	offset, err := s.Log.Append(ctx, stream, data)
	if !s.done {
		s.done = true
		s.after()
	}
	return offset, err
}

// Guards against a server error that came after the effect being taken for
// "not applied", after which the record would be sent again unchecked.
func TestAppendOutcomeByStatus(t *testing.T) {
	for status, want := range map[int]error{
		http.StatusBadRequest: platformlog.ErrNotApplied, http.StatusServiceUnavailable: platformlog.ErrNotApplied,
		http.StatusInternalServerError: platformlog.ErrUnknown, http.StatusBadGateway: platformlog.ErrUnknown, http.StatusGatewayTimeout: platformlog.ErrUnknown,
	} {
		client := platformlog.NewClient("127.0.0.1:1", answer(status))
		_, err := client.Append(t.Context(), stream, []byte(record))
		assert.Assert(t, errors.Is(err, want), "%d: %v", status, err)
	}
}

// answer is a transport that answers every request with one status.
type answer int

func (a answer) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: int(a), Body: http.NoBody, Request: r}, nil
}
