package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Latencies keeps the recent completion times of each route, sharded by route.
type Latencies struct {
	routes *shard.Map[*routeTimes]
}

// Form of the histograms: microseconds from 1 us to 1 min in two significant
// digits, about 60 KB a route.
const (
	histogramMax    = time.Minute
	histogramDigits = 2
	histogramParts  = 2
)

// partLength is the time that one part of the window covers. The window is
// between one and two parts long.
const partLength = 10 * time.Second

// refreshEvery bounds how often the percentile is computed from the window.
const refreshEvery = 250 * time.Millisecond

// hedgePercentile is the share of attempts that end before a hedge is sent.
const hedgePercentile = 95

// minSamples is the least number of attempts in the window for a percentile.
const minSamples = 20

// minHedgeDelay keeps the noise of very fast routes from causing hedges.
const minHedgeDelay = time.Millisecond

// Attempts slower than the percentile are one in twenty on an ordinary day.
// When they are over half of the recent ones, most servers are slow, and a
// second attempt would only add load.
const (
	mostlySlow   = 0.5
	slowSmoothed = 1.0 / 16 // weight of one attempt in the recent share
)

type routeTimes struct {
	window    *hdrhistogram.WindowedHistogram
	rotatedAt time.Time
	delay     time.Duration // the percentile; 0 while there are too few samples
	delayAt   time.Time
	slowShare float64 // recent share of attempts slower than delay
}

// NewLatencies returns Latencies without samples.
func NewLatencies() *Latencies {
	return &Latencies{routes: shard.NewMap[*routeTimes](shard.DefaultCount)}
}

// Observe records the time of an attempt that was answered, from its sending
// to the first byte of the answer. An attempt that lost to its hedge is
// recorded with the time it had taken when it was cancelled; without it the
// percentile would drift towards the fast servers.
func (l *Latencies) Observe(route string, d time.Duration, now time.Time) {
	l.routes.Update(route, func(t *routeTimes, ok bool) (*routeTimes, bool) {
		if !ok {
			t = newRouteTimes(now)
		}
		t.rotate(now)
		t.observe(d)
		t.refresh(now)
		return t, true
	})
}

// HedgeAfter returns the time after which an attempt on a route is slow enough
// for a second one, and false while hedges would not help: too few samples, or
// most servers are slow.
func (l *Latencies) HedgeAfter(route string, now time.Time) (time.Duration, bool) {
	var delay time.Duration
	l.routes.Update(route, func(t *routeTimes, ok bool) (*routeTimes, bool) {
		if !ok {
			return nil, false
		}
		t.rotate(now)
		t.refresh(now)
		if t.slowShare <= mostlySlow {
			delay = t.delay
		}
		return t, true
	})
	return max(delay, minHedgeDelay), delay > 0
}

// Prune drops routes without a sample in the given time.
func (l *Latencies) Prune(now time.Time, unused time.Duration) int {
	return l.routes.DeleteFunc(func(_ string, t *routeTimes) bool { return now.Sub(t.delayAt) > unused })
}

func newRouteTimes(now time.Time) *routeTimes {
	return &routeTimes{
		window:    hdrhistogram.NewWindowed(histogramParts, 1, histogramMax.Microseconds(), histogramDigits),
		rotatedAt: now,
	}
}

// rotate starts a new part of the window when the present one is over, and
// empties the window after a pause of its whole length.
func (t *routeTimes) rotate(now time.Time) {
	for n := 0; n < histogramParts && now.Sub(t.rotatedAt) >= partLength; n++ {
		t.window.Rotate()
		t.rotatedAt = t.rotatedAt.Add(partLength)
	}
	if now.Sub(t.rotatedAt) >= partLength {
		t.rotatedAt = now
	}
}

func (t *routeTimes) observe(d time.Duration) {
	micros := min(max(d, time.Microsecond), histogramMax).Microseconds()
	// The value is within the histogram's range, so recording cannot fail.
	_ = t.window.Current.RecordValue(micros)
	if t.delay == 0 {
		return
	}
	slow := 0.0
	if d > t.delay {
		slow = 1
	}
	t.slowShare += slowSmoothed * (slow - t.slowShare)
}

func (t *routeTimes) refresh(now time.Time) {
	if !t.delayAt.IsZero() && now.Sub(t.delayAt) < refreshEvery {
		return
	}
	t.delayAt = now
	merged := t.window.Merge()
	if merged.TotalCount() < minSamples {
		t.delay = 0
		return
	}
	t.delay = time.Duration(merged.ValueAtQuantile(hedgePercentile)) * time.Microsecond
}
