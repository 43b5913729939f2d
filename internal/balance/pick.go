package balance

import (
	"cmp"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Balancer picks backend servers for the calls of one node.
type Balancer struct {
	stats       *Stats
	locality    Locality
	random      func() uint64
	crossRegion *crossRegionLimiter
}

// NewBalancer returns a Balancer. random must be safe for concurrent use.
func NewBalancer(s *Stats, local Locality, random func() uint64) *Balancer {
	local.DomainRTT = cmp.Or(local.DomainRTT, defaultDomainRTT)
	local.RegionRTT = cmp.Or(local.RegionRTT, defaultRegionRTT)
	return &Balancer{stats: s, locality: local, random: random, crossRegion: newCrossRegionLimiter()}
}

// Pick chooses the backend server of one attempt. The caller sends the attempt
// and records it with Stats.Begin and Stats.End.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, error) {
	limit := r.Service.Policy.CrossRegionBytesPerSecond
	s := newSelection(b, now, r, b.crossRegion.allowed(now, limit))
	if b.stats.anyEjected() {
		s.applyEjectionCap()
		if c, ok := s.probe(); ok {
			return c, nil
		}
	}
	choice, err := s.choose()
	if err == nil && choice.Tier == TierCrossRegion {
		b.crossRegion.track(now, limit)
	}
	return choice, err
}

// SpendCrossRegion charges bytes sent to or received from another region
// against the limit on cross-region bytes.
func (b *Balancer) SpendCrossRegion(now time.Time, bytes int64) {
	b.crossRegion.spend(now, bytes)
}

// Ejected returns the ids of a service's servers that get no calls but probes
// because they are ejected.
func (b *Balancer) Ejected(now time.Time, service *snapshot.Service) []string {
	s := newSelection(b, now, Request{Service: service}, true)
	s.applyEjectionCap()
	var out []string
	for _, c := range s.all() {
		if c.removed {
			out = append(out, c.endpoint.ID)
		}
	}
	return out
}

// spills reports whether an option of a farther tier is preferred to a nearer
// one. The round trip is added although the measured latency includes it: this
// hysteresis keeps calls from alternating between tiers over small differences.
// While the nearer one is in time, nothing is gained.
func (b *Balancer) spills(near, far option, bytes int64) bool {
	if near.inTime {
		return false
	}
	between := b.locality.rtt(far.Tier) - b.locality.rtt(near.Tier)
	between += b.locality.cost(far.Tier, bytes) - b.locality.cost(near.Tier, bytes)
	return float64(near.Expected) > b.stats.cfg.SpillRatio*float64(far.Expected)+float64(between)
}

// option is a server that was evaluated for a call.
type option struct {
	Choice
	inTime    bool // most answers arrive within the objective
	safe      bool // nearly all answers do, also when the server fills up meanwhile
	occupancy float64
}

// sampledServers is how many servers of a tier are compared for a call. With two,
// slow and full servers are chosen too often where servers differ in speed; with
// all of them, the nodes that know of the same idle server fill it at once.
const sampledServers = 4

// bestOfSample returns the best of a few random servers of a tier.
func (b *Balancer) bestOfSample(now time.Time, tier []*candidate, r Request, fallback time.Duration) option {
	chosen := b.weightedIndex(now, tier, -1)
	best := b.evaluate(now, tier[chosen], r, fallback)
	for range min(sampledServers, len(tier)) - 1 {
		other := b.weightedIndex(now, tier, chosen)
		if o := b.evaluate(now, tier[other], r, fallback); o.preferredTo(best) {
			best, chosen = o, other
		}
	}
	return best
}

const (
	// inTimeHeadroom and safeHeadroom are the multiples of the expected time that
	// must be left to the objective for a call to count as in time and as safe.
	inTimeHeadroom = 1.6
	safeHeadroom   = 2.5
	// maxSlowOccupancy is the occupancy up to which a slower server is preferred
	// for a call that is in time on it.
	maxSlowOccupancy = 0.8
)

// preferredTo reports whether an option is better than another one of its tier. A
// call that is safe on both goes to the slower server, which leaves the faster one
// to calls that need it.
func (o option) preferredTo(other option) bool {
	if o.safe != other.safe {
		return o.safe
	}
	if o.safe && o.mayFill() && other.mayFill() {
		return o.Slowness > other.Slowness
	}
	return o.Expected < other.Expected
}

// mayFill reports whether the server has room beside its present load.
func (o option) mayFill() bool { return o.occupancy > 0 && o.occupancy <= maxSlowOccupancy }

func (b *Balancer) evaluate(now time.Time, c *candidate, r Request, fallback time.Duration) option {
	e := c.server.estimate(b.stats.cfg, now, fallback)
	work := workOf(r.Work)
	o := option{occupancy: e.occupancy, Choice: Choice{
		Endpoint: c.endpoint, Tier: c.tier,
		Expected: time.Duration(float64(e.cost) * work),
		Slowness: float64(e.latency) / float64(fallback),
	}}
	expected := float64(e.answer) * work
	o.inTime = r.Objective > 0 && inTimeHeadroom*expected <= float64(r.Objective)
	o.safe = r.Objective > 0 && safeHeadroom*expected <= float64(r.Objective)
	return o
}

// weightedIndex picks a random index in proportion to the cold-start weights,
// never the excluded one.
func (b *Balancer) weightedIndex(now time.Time, tier []*candidate, excluded int) int {
	total := 0.0
	for i := range tier {
		if i != excluded {
			total += tier[i].server.weight(b.stats.cfg, now, tier[i].endpoint.Slots)
		}
	}
	x := b.randomFloat() * total
	last := 0
	for i := range tier {
		if i == excluded {
			continue
		}
		last = i
		if x -= tier[i].server.weight(b.stats.cfg, now, tier[i].endpoint.Slots); x < 0 {
			break
		}
	}
	return last
}

// randomFloat returns a random number in [0, 1).
func (b *Balancer) randomFloat() float64 {
	const bits = 53 // of a float64's mantissa
	return float64(b.random()>>(64-bits)) / (1 << bits)
}
