package balance

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// sizeWeight is the weight of a new sample in a route's mean size.
const sizeWeight = 1.0 / 16

// Sizes holds the mean bytes of a call of each route, request and answer
// together, sharded by route.
type Sizes struct {
	routes *shard.Map[size]
}

type size struct {
	mean float64
	at   time.Time
}

// NewSizes returns Sizes that know no route.
func NewSizes() *Sizes { return &Sizes{routes: shard.NewMap[size](shard.DefaultCount)} }

// Observe adds the bytes of one call.
func (s *Sizes) Observe(route string, bytes int64, now time.Time) {
	s.routes.Update(route, func(have size, ok bool) (size, bool) {
		if !ok {
			return size{mean: float64(bytes), at: now}, true
		}
		have.mean += sizeWeight * (float64(bytes) - have.mean)
		have.at = now
		return have, true
	})
}

// Mean returns the mean bytes of a call of a route, 0 while unknown.
func (s *Sizes) Mean(route string) int64 {
	have, _ := s.routes.Get(route)
	return int64(have.mean)
}

// Prune drops routes without a call in the given time.
func (s *Sizes) Prune(now time.Time, unused time.Duration) int {
	return s.routes.DeleteFunc(func(_ string, have size) bool { return now.Sub(have.at) > unused })
}
