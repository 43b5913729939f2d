package balance

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// sizeWeight is the weight of a new sample in a route's moving mean size.
const sizeWeight = 1.0 / 16

// CallSizes holds the mean size of the calls of each route, request and answer
// together, sharded by route.
type CallSizes struct {
	routes *shard.Map[callSize]
}

type callSize struct {
	mean     float64
	lastCall time.Time
}

// NewCallSizes returns CallSizes without samples.
func NewCallSizes() *CallSizes { return &CallSizes{routes: shard.NewMap[callSize](shard.DefaultCount)} }

// Observe adds the bytes of one call.
func (s *CallSizes) Observe(route string, bytes int64, now time.Time) {
	s.routes.Update(route, func(current callSize, ok bool) (callSize, bool) {
		if !ok {
			return callSize{mean: float64(bytes), lastCall: now}, true
		}
		current.mean += sizeWeight * (float64(bytes) - current.mean)
		current.lastCall = now
		return current, true
	})
}

// Mean returns the mean bytes of a call of a route, 0 before the first sample.
func (s *CallSizes) Mean(route string) int64 {
	current, _ := s.routes.Get(route)
	return int64(current.mean)
}

// Prune drops routes without a call in the given time and returns their number.
func (s *CallSizes) Prune(now time.Time, unused time.Duration) int {
	return s.routes.DeleteFunc(func(_ string, current callSize) bool { return now.Sub(current.lastCall) > unused })
}
