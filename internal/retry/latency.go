package retry

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Latencies holds the recent latencies of each route, sharded by route.
type Latencies struct {
	routes *shard.Map[*routeLatency]
}

// Configuration of the histograms: 1 us to 1 min in microseconds with one
// significant digit, a few KB per route. A second digit would take 60 KB per route
// and copy as much for each percentile; a hedge does not need it.
const (
	histogramMax    = time.Minute
	histogramDigits = 1
	windowParts     = 2
)

// partLength is the time that one part of the window covers. The window covers
// between one and two parts.
const partLength = 10 * time.Second

// refreshInterval is the least time between two computations of the percentile.
const refreshInterval = 250 * time.Millisecond

// hedgePercentile is the percentage of attempts that are answered before a hedge
// is sent.
const hedgePercentile = 95

// minSamples is the least number of attempts in the window for a percentile.
const minSamples = 20

// minHedgeDelay keeps latency noise on very fast routes from causing hedges.
const minHedgeDelay = time.Millisecond

// Normally one attempt in twenty is slower than the percentile. When over half of
// the recent ones are, most servers are slow and a hedge would only add load.
const (
	maxSlowShare    = 0.5
	slowShareWeight = 1.0 / 16 // weight of one attempt in slowShare
)

type routeLatency struct {
	window      *hdrhistogram.WindowedHistogram
	rotatedAt   time.Time
	hedgeDelay  time.Duration // hedgePercentile of the window; 0 with too few samples
	refreshedAt time.Time
	slowShare   float64 // recent share of attempts slower than hedgeDelay
}

// NewLatencies returns Latencies without samples.
func NewLatencies() *Latencies {
	return &Latencies{routes: shard.NewMap[*routeLatency](shard.DefaultCount)}
}

// Observe records the latency of an answered attempt, from sending it to the
// first byte of the answer. An attempt that was cancelled because its hedge was
// faster is recorded with its time until then, since the percentile would
// otherwise drift towards the fast servers.
func (l *Latencies) Observe(route string, d time.Duration, now time.Time) {
	l.routes.Update(route, func(r *routeLatency, ok bool) (*routeLatency, bool) {
		if !ok {
			r = newRouteLatency(now)
		}
		r.rotate(now)
		r.observe(d)
		r.refresh(now)
		return r, true
	})
}

// HedgeAfter returns the time after which an attempt on a route is hedged. It
// returns false when there are too few samples or most recent attempts were slow.
func (l *Latencies) HedgeAfter(route string, now time.Time) (time.Duration, bool) {
	var delay time.Duration
	l.routes.Update(route, func(r *routeLatency, ok bool) (*routeLatency, bool) {
		if !ok {
			return nil, false
		}
		r.rotate(now)
		r.refresh(now)
		if r.slowShare <= maxSlowShare {
			delay = r.hedgeDelay
		}
		return r, true
	})
	return max(delay, minHedgeDelay), delay > 0
}

// Prune drops routes that neither Observe nor HedgeAfter was called for in the
// given time.
func (l *Latencies) Prune(now time.Time, unused time.Duration) int {
	return l.routes.DeleteFunc(func(_ string, r *routeLatency) bool { return now.Sub(r.refreshedAt) > unused })
}

func newRouteLatency(now time.Time) *routeLatency {
	return &routeLatency{
		window:    hdrhistogram.NewWindowed(windowParts, 1, histogramMax.Microseconds(), histogramDigits),
		rotatedAt: now,
	}
}

// rotate starts a new part of the window when the current one is over. After a
// gap of the whole window length the window is empty.
func (r *routeLatency) rotate(now time.Time) {
	for n := 0; n < windowParts && now.Sub(r.rotatedAt) >= partLength; n++ {
		r.window.Rotate()
		r.rotatedAt = r.rotatedAt.Add(partLength)
	}
	if now.Sub(r.rotatedAt) >= partLength {
		r.rotatedAt = now
	}
}

func (r *routeLatency) observe(d time.Duration) {
	micros := min(max(d, time.Microsecond), histogramMax).Microseconds()
	// The value is within the histogram's range, so recording cannot fail.
	_ = r.window.Current.RecordValue(micros)
	if r.hedgeDelay == 0 {
		return
	}
	slow := 0.0
	if d > r.hedgeDelay {
		slow = 1
	}
	r.slowShare += slowShareWeight * (slow - r.slowShare)
}

func (r *routeLatency) refresh(now time.Time) {
	if !r.refreshedAt.IsZero() && now.Sub(r.refreshedAt) < refreshInterval {
		return
	}
	r.refreshedAt = now
	merged := r.window.Merge()
	if merged.TotalCount() < minSamples {
		r.hedgeDelay = 0
		return
	}
	r.hedgeDelay = time.Duration(merged.ValueAtQuantile(hedgePercentile)) * time.Microsecond
}
