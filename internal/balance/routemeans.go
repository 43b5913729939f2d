package balance

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// routeMeanWeight is the weight of a new sample in a route's moving mean.
const routeMeanWeight = 1.0 / 16

// routeMeans holds a moving mean for each route, sharded by route.
type routeMeans struct {
	routes *shard.Map[routeMean]
}

type routeMean struct {
	mean     float64
	lastCall time.Time
}

func newRouteMeans() routeMeans {
	return routeMeans{routes: shard.NewMap[routeMean](shard.DefaultCount)}
}

func (s routeMeans) observe(route string, sample float64, now time.Time) {
	s.routes.Update(route, func(current routeMean, ok bool) (routeMean, bool) {
		if !ok {
			return routeMean{mean: sample, lastCall: now}, true
		}
		current.mean += routeMeanWeight * (sample - current.mean)
		current.lastCall = now
		return current, true
	})
}

// mean returns the mean of a route, 0 before the first sample.
func (s routeMeans) mean(route string) float64 {
	current, _ := s.routes.Get(route)
	return current.mean
}

// Prune drops routes without a call in the given time and returns their number.
func (s routeMeans) Prune(now time.Time, unused time.Duration) int {
	return s.routes.DeleteFunc(func(_ string, current routeMean) bool { return now.Sub(current.lastCall) > unused })
}

// CallSizes holds the mean size of the calls of each route, request and answer
// together.
type CallSizes struct{ routeMeans }

// NewCallSizes returns CallSizes without samples.
func NewCallSizes() *CallSizes { return &CallSizes{newRouteMeans()} }

// Observe adds the bytes of one call.
func (s *CallSizes) Observe(route string, bytes int64, now time.Time) {
	s.observe(route, float64(bytes), now)
}

// Mean returns the mean bytes of a call of a route, 0 before the first sample.
func (s *CallSizes) Mean(route string) int64 { return int64(s.mean(route)) }

// CallTimes holds the mean time of the calls of each route on a server of mean
// speed.
type CallTimes struct{ routeMeans }

// NewCallTimes returns CallTimes without samples.
func NewCallTimes() *CallTimes { return &CallTimes{newRouteMeans()} }

// allRoutes is the key of the mean over all routes.
const allRoutes = ""

// Observe adds the time of one answered call. slowness is that of the server
// (Choice.Slowness).
func (t *CallTimes) Observe(route string, latency time.Duration, slowness float64, now time.Time) {
	if latency <= 0 || slowness <= 0 {
		return
	}
	sample := float64(latency) / slowness
	t.observe(route, sample, now)
	t.observe(allRoutes, sample, now)
}

// Bounds of Work, so that one odd sample of a new route does not decide.
const (
	MinWork = 1.0 / 16
	MaxWork = 16
)

// Work returns the time of a route's calls in relation to the mean over all
// calls, 1 before the first sample.
func (t *CallTimes) Work(route string) float64 {
	own, all := t.mean(route), t.mean(allRoutes)
	if own <= 0 || all <= 0 {
		return 1
	}
	return min(max(own/all, MinWork), MaxWork)
}
