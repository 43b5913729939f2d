package admission

import (
	"math"
	"time"
)

const (
	// minServedShare is the least share of its calls that a route, and each rank on a
	// route, is served, as a fraction of the share of all calls. A strict order would
	// starve routes and organisations of low rank, or routes with long calls, whenever
	// the others alone exceed the capacity.
	minServedShare = 0.3
	// shareWindow is the time constant of the counts of served calls.
	shareWindow = 3 * time.Second
	// minShareCalls is the number of recent calls of a route, or of a rank on it, from
	// which its share counts.
	minShareCalls = 5
	// minCapacityLeft keeps the expected wait of a call finite.
	minCapacityLeft = 0.02
	// forgottenCalls is the decayed number of calls below which counts are dropped.
	forgottenCalls = 0.01
)

// share counts recent calls, with exponential decay.
type share struct {
	asked  float64
	served float64
	busy   float64 // time of the calls in slots, in s
}

func (s *share) scale(factor float64) {
	s.asked *= factor
	s.served *= factor
	s.busy *= factor
}

func (s *share) forgotten() bool { return s.asked < forgottenCalls && s.served < forgottenCalls }

// isStarved reports whether the calls are served less than their least share.
func (s *share) isStarved(all share) bool {
	return s.asked >= minShareCalls && s.served*all.asked < minServedShare*all.served*s.asked
}

// routeShare counts the recent calls of a route, in all and by their rank, which
// differs by organisation. A server sees too few calls of one organisation to count
// those one by one.
type routeShare struct {
	share
	ranks  map[int]*share
	length int // of the last call, see lengthOf
}

// routeShares holds the shares of the routes that were called lately.
type routeShares struct {
	routes  map[string]*routeShare
	updated time.Time
}

func newRouteShares() routeShares { return routeShares{routes: map[string]*routeShare{}} }

func (s *routeShares) decay(now time.Time) {
	age := now.Sub(s.updated)
	if age <= 0 {
		return
	}
	factor := math.Exp(-float64(age) / float64(shareWindow))
	for route, counts := range s.routes {
		counts.scale(factor)
		for rank, ofRank := range counts.ranks {
			if ofRank.scale(factor); ofRank.forgotten() {
				delete(counts.ranks, rank)
			}
		}
		if counts.forgotten() {
			delete(s.routes, route)
		}
	}
	s.updated = now
}

// add changes the counts of a call's route, and those of its rank there.
func (s *routeShares) add(t *Ticket, now time.Time, change func(*share)) *routeShare {
	s.decay(now)
	route, ok := s.routes[t.route]
	if !ok {
		route = &routeShare{ranks: map[int]*share{}}
		s.routes[t.route] = route
	}
	ofRank, ok := route.ranks[t.rank]
	if !ok {
		ofRank = &share{}
		route.ranks[t.rank] = ofRank
	}
	change(&route.share)
	change(ofRank)
	return route
}

func (s *routeShares) addCall(t *Ticket, now time.Time) {
	s.add(t, now, func(counts *share) { counts.asked++ }).length = t.length
}

func (s *routeShares) addServed(t *Ticket, now time.Time) {
	s.add(t, now, func(counts *share) { counts.served++ })
}

func (s *routeShares) addBusy(t *Ticket, serviceTime time.Duration, now time.Time) {
	s.add(t, now, func(counts *share) { counts.busy += serviceTime.Seconds() })
}

// capacityLeft returns the share of the slots that the calls that go before a call's
// own route and rank leave, as of lately.
func (s *routeShares) capacityLeft(t *Ticket, slots int, now time.Time) float64 {
	s.decay(now)
	busy := 0.0
	for route, counts := range s.routes {
		for rank, ofRank := range counts.ranks {
			if route != t.route && (rank < t.rank || rank == t.rank && counts.length < t.length) {
				busy += ofRank.busy
			}
		}
	}
	return max(1-busy/(float64(slots)*shareWindow.Seconds()), minCapacityLeft)
}

// starved returns a function that reports whether a call is of a route, or of a rank
// on it, that is served less than its least share.
func (s *routeShares) starved() func(*Ticket) bool {
	var all share
	for _, counts := range s.routes {
		all.asked += counts.asked
		all.served += counts.served
	}
	return func(t *Ticket) bool {
		counts, ok := s.routes[t.route]
		if !ok {
			return false
		}
		ofRank, ok := counts.ranks[t.rank]
		return counts.isStarved(all) || ok && ofRank.isStarved(all)
	}
}
