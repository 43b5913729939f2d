package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Standing says whether a server may be chosen for a call, or why not.
type Standing string

// Standings of a server.
const (
	StandingEligible      Standing = "eligible"
	StandingAvoided       Standing = "avoided"             // it takes no calls at present or cannot be reached; chosen only if all are avoided
	StandingNoSlot        Standing = "avoided_no_slot"     // it refused calls of this rank for want of a slot
	StandingNoLink        Standing = "avoided_no_link"     // it refused large calls of this rank for want of link
	StandingEjected       Standing = "ejected"             // its calls fail; it gets only probes
	StandingLeaving       Standing = "leaving"             // it said that it shuts down
	StandingCrossRegion   Standing = "cross_region_budget" // the budget for bytes across regions is used up
	StandingStaysInRegion Standing = "region_first"        // a call this large leaves its region only when no server there takes calls
)

// Candidate is a server as the balancer sees it for one call.
type Candidate struct {
	Endpoint *snapshot.Endpoint
	Tier     Tier
	Standing Standing
	Until    time.Time // end of the time for which it is avoided or ejected; zero if neither
	Expected time.Duration
	InFlight int
	Weight   float64 // in the random choice; below 1 during a cold start
	// Occupancy is the number of running and queued calls per slot, 0 if it is not
	// known.
	Occupancy float64
}

// Explain returns the servers of a service as a choice would see them now, the
// nearest and fastest first, and the server that one choice among them would take.
// It changes nothing: no server is counted as used, and no probe is claimed. A
// choice compares two servers that are drawn at random, so another one may take
// another server.
func (b *Balancer) Explain(now time.Time, r Request) ([]Candidate, Choice, error) {
	s := newSelection(b, now, r, b.crossRegion.allowed(now, r.Service.Policy.CrossRegionBytesPerSecond))
	s.readOnly = true
	s.applyEjectionCap()
	choice, err := s.choose()
	var out []Candidate
	for _, c := range s.all() {
		o := b.evaluate(now, c, r, s.fallback)
		standing, until := s.standing(c)
		out = append(out, Candidate{
			Endpoint: c.endpoint, Tier: c.tier, Standing: standing, Until: until, Expected: o.Expected,
			InFlight: c.server.inFlight, Weight: c.server.weight(b.stats.cfg, now), Occupancy: o.occupancy,
		})
	}
	slices.SortFunc(out, func(x, y Candidate) int {
		return cmp.Or(cmp.Compare(x.Tier, y.Tier), cmp.Compare(x.Expected, y.Expected), cmp.Compare(x.Endpoint.ID, y.Endpoint.ID))
	})
	return out, choice, err
}

// standing returns whether a candidate may be chosen, and until when not.
func (s *selection) standing(c *candidate) (Standing, time.Time) {
	v := &c.server
	switch {
	case c.hasLeft():
		return StandingLeaving, time.Time{}
	case c.removed:
		return StandingEjected, v.ejectedUntil
	case c.tier == TierCrossRegion && !s.crossRegion:
		return StandingCrossRegion, time.Time{}
	case c.tier == TierCrossRegion && s.staysInRegion():
		return StandingStaysInRegion, time.Time{}
	case s.now.Before(v.avoidUntil):
		return StandingAvoided, v.avoidUntil
	case v.noSlot.covers(s.now, s.request.Rank):
		return StandingNoSlot, v.noSlot.until
	case v.avoids(s.now, s.request):
		return StandingNoLink, v.noLink.until
	}
	return StandingEligible, time.Time{}
}
