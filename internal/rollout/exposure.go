package rollout

import (
	"math"
	"time"
)

const (
	// usedShare and usedSlack are the parts of the two bounds that a coordinator
	// grants. The rest is for calls that it does not know of: those to a server
	// whose node counts them anew after a restart.
	usedShare = 0.8
	usedSlack = 0.6
	// futureShare is the part of the calls until the end of the duration that it
	// counts on in advance; the demand may fall.
	futureShare = 0.5
	// rateSpan is the time over which the rate of calls is measured.
	rateSpan = time.Second
)

// known is what a coordinator knows of one server.
type known struct {
	Report
	at      time.Time
	limit   int64 // granted
	retired int64 // calls of earlier starts of the node
	base    int64 // calls that the progress record of an earlier coordinator covers
}

// passed returns the calls that the server got since the order, or since the
// coordinator took over.
func (k *known) passed() int64 { return k.retired + k.Runs - k.base }

// granted returns the calls that the server may have got.
func (k *known) granted() int64 { return k.retired + max(k.Runs, k.limit) - k.base }

// accept replaces the report of a server. It returns false for an older one.
func (k *known) accept(r Report, now time.Time) bool {
	switch {
	case r.Start < k.Start || r.Start == k.Start && r.Runs < k.Runs:
		return false
	case k.Start != 0 && r.Start > k.Start:
		k.retired, k.limit, k.base = k.granted(), 0, 0
	}
	k.Report, k.at = r, now
	return true
}

// rateMeter measures the rate at which a total grows.
type rateMeter struct {
	at    time.Time
	total int64
	rate  float64 // per second
}

func (m *rateMeter) update(now time.Time, total int64) {
	span := now.Sub(m.at)
	switch {
	case m.at.IsZero():
		m.at, m.total = now, total
	case span >= rateSpan:
		m.rate = float64(total-m.total) / span.Seconds()
		m.at, m.total = now, total
	case m.rate == 0 && span >= rateSpan/4:
		m.rate = float64(total-m.total) / span.Seconds()
	}
}

// allowance returns how many calls the target version may have got by now, and over
// the whole duration at the present rate.
func (b Bounds) allowance(total int64, rate float64, left time.Duration) int64 {
	future := futureShare * rate * max(left, 0).Seconds()
	return int64(math.Floor(usedShare*b.ExposureShare*(float64(total)+future) + usedSlack*b.ExposureSlack))
}
