package balance

import (
	"strconv"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// crossRegion bounds the node's bytes to other regions. Profiles may set
// different bounds for the one node total, so there is one token bucket per
// bound and every byte is charged to all of them.
type crossRegion struct {
	buckets *shard.Map[bucket]
}

// bucket holds up to one second's bytes. Calls are charged after they were
// sent, so a bucket goes below zero and then allows none until it is paid off.
type bucket struct {
	rate   int64 // bytes per second
	tokens float64
	at     time.Time
	used   time.Time
}

// bucketIdle is how long the bucket of a bound that no profile sets any more
// is kept after its debt is paid.
const bucketIdle = time.Minute

func newCrossRegion() *crossRegion {
	return &crossRegion{buckets: shard.NewMap[bucket](1)}
}

func (b bucket) refill(now time.Time) bucket {
	if passed := now.Sub(b.at); passed > 0 {
		b.tokens = min(b.tokens+passed.Seconds()*float64(b.rate), float64(b.rate))
		b.at = now
	}
	return b
}

// allowed reports whether a call may go to another region under a bound.
func (c *crossRegion) allowed(now time.Time, rate int64) bool {
	if rate <= 0 {
		return false
	}
	b, ok := c.buckets.Get(bucketKey(rate))
	return !ok || b.refill(now).tokens > 0
}

// track makes sure that bytes are charged to the bucket of a bound.
func (c *crossRegion) track(now time.Time, rate int64) {
	c.buckets.Update(bucketKey(rate), func(b bucket, ok bool) (bucket, bool) {
		if !ok {
			b = bucket{rate: rate, tokens: float64(rate), at: now}
		}
		b.used = now
		return b, true
	})
}

func (c *crossRegion) spend(now time.Time, bytes int64) {
	c.buckets.UpdateAll(func(_ string, b bucket) (bucket, bool) {
		b = b.refill(now)
		b.tokens -= float64(bytes)
		return b, b.tokens < 0 || now.Sub(b.used) < bucketIdle
	})
}

func bucketKey(rate int64) string { return strconv.FormatInt(rate, 10) }
