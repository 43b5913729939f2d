package admission

import (
	"math"
	"time"
)

const (
	// maxRank is the lowest rank that is told apart; lower ones count as this.
	maxRank = 7
	// minServedShare is the least share of its calls that a rank is served, as a
	// fraction of the share of all ranks. A strict order would starve the lower
	// ranks whenever the higher ones alone exceed the capacity.
	minServedShare = 0.4
	// shareWindow is the time constant of the counts of served calls.
	shareWindow = 3 * time.Second
	// minShareCalls is the number of recent calls of a rank from which its share
	// counts.
	minShareCalls = 5
)

// rankShares counts the recent calls of each rank, with exponential decay.
type rankShares struct {
	asked   [maxRank + 1]float64
	served  [maxRank + 1]float64
	updated time.Time
}

func (s *rankShares) decay(now time.Time) {
	age := now.Sub(s.updated)
	if age <= 0 {
		return
	}
	factor := math.Exp(-float64(age) / float64(shareWindow))
	for r := range s.asked {
		s.asked[r] *= factor
		s.served[r] *= factor
	}
	s.updated = now
}

func (s *rankShares) addCall(rank int, now time.Time) {
	s.decay(now)
	s.asked[rank]++
}

func (s *rankShares) addServed(rank int, now time.Time) {
	s.decay(now)
	s.served[rank]++
}

// interval returns the mean time between two calls of a rank that were served
// lately, or 0 when there were too few calls.
func (s *rankShares) interval(rank int, now time.Time) time.Duration {
	s.decay(now)
	if s.asked[rank] < minShareCalls {
		return 0
	}
	return time.Duration(float64(shareWindow) / max(s.served[rank], minServed))
}

// minServed keeps the interval of a rank finite that was not served lately.
const minServed = 0.5

// starved reports for each rank whether it is served less than its least share.
func (s *rankShares) starved() (out [maxRank + 1]bool) {
	asked, served := 0.0, 0.0
	for r := range s.asked {
		asked += s.asked[r]
		served += s.served[r]
	}
	for r := range s.asked {
		out[r] = s.asked[r] >= minShareCalls && s.served[r]*asked < minServedShare*served*s.asked[r]
	}
	return out
}
