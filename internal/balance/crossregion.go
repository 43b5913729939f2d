package balance

import (
	"strconv"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// crossRegionLimiter limits the node's bytes per second to and from other
// regions. Profiles may set different limits on this one total, so there is one
// token bucket per limit and every byte is charged to all of them.
type crossRegionLimiter struct {
	buckets *shard.Map[bucket]
}

// bucket is a token bucket that holds the bytes of one second. Calls are charged
// after they were sent, so the balance may go below zero; no call is allowed
// until it is positive again.
type bucket struct {
	rate       int64 // bytes per second
	tokens     float64
	refilledAt time.Time
	usedAt     time.Time
}

// bucketIdle is how long a bucket with a balance of zero or more is kept after
// the last call under its limit, which a profile may no longer set.
const bucketIdle = time.Minute

func newCrossRegionLimiter() *crossRegionLimiter {
	return &crossRegionLimiter{buckets: shard.NewMap[bucket](1)}
}

func (b bucket) refill(now time.Time) bucket {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*float64(b.rate), float64(b.rate))
		b.refilledAt = now
	}
	return b
}

// allowed reports whether a call may go to another region under a limit.
func (c *crossRegionLimiter) allowed(now time.Time, rate int64) bool {
	if rate <= 0 {
		return false
	}
	b, ok := c.buckets.Get(bucketKey(rate))
	return !ok || b.refill(now).tokens > 0
}

// track creates the bucket of a limit if needed, so that bytes are charged to it.
func (c *crossRegionLimiter) track(now time.Time, rate int64) {
	c.buckets.Update(bucketKey(rate), func(b bucket, ok bool) (bucket, bool) {
		if !ok {
			b = bucket{rate: rate, tokens: float64(rate), refilledAt: now}
		}
		b.usedAt = now
		return b, true
	})
}

// spend charges bytes to all buckets and drops idle ones.
func (c *crossRegionLimiter) spend(now time.Time, bytes int64) {
	c.buckets.UpdateAll(func(_ string, b bucket) (bucket, bool) {
		b = b.refill(now)
		b.tokens -= float64(bytes)
		return b, b.tokens < 0 || now.Sub(b.usedAt) < bucketIdle
	})
}

func bucketKey(rate int64) string { return strconv.FormatInt(rate, 10) }
