package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Balancer picks backend servers for the calls of one node.
type Balancer struct {
	stats  *Stats
	local  Locality
	random func() uint64
	across *crossRegion
}

// NewBalancer returns a Balancer. random is called from many goroutines.
func NewBalancer(s *Stats, local Locality, random func() uint64) *Balancer {
	local.DomainRTT = cmp.Or(local.DomainRTT, defaultDomainRTT)
	local.RegionRTT = cmp.Or(local.RegionRTT, defaultRegionRTT)
	return &Balancer{stats: s, local: local, random: random, across: newCrossRegion()}
}

// candidate is one endpoint with a copy of its state.
type candidate struct {
	endpoint *snapshot.Endpoint
	server   server
	tier     Tier
	removed  bool // ejected within the cap
}

// Pick chooses the backend server of one attempt. The caller sends the call
// and reports it with Stats.Begin and Stats.End.
func (b *Balancer) Pick(now time.Time, r Request) (Choice, error) {
	all := b.candidates(now, r.Service)
	if c, ok := b.probe(now, r, all); ok {
		return c, nil
	}
	all = slices.DeleteFunc(all, func(c *candidate) bool {
		return c.removed || slices.Contains(r.Exclude, c.endpoint.ID)
	})
	if len(all) == 0 {
		return Choice{}, ErrNoEndpoint
	}
	limit := r.Service.Policy.CrossRegionBytesPerSecond
	if !b.across.allowed(now, limit) {
		all = slices.DeleteFunc(all, func(c *candidate) bool { return c.tier == TierAcross })
	}
	if len(all) == 0 {
		return Choice{}, ErrCrossRegionSpent
	}
	choice := b.choose(now, steered(now, all), r.Bytes)
	if choice.Tier == TierAcross {
		b.across.track(now, limit)
	}
	return choice, nil
}

// SpendCrossRegion charges bytes sent to or received from another region.
func (b *Balancer) SpendCrossRegion(now time.Time, bytes int64) {
	b.across.spend(now, bytes)
}

// Ejected returns the ids of a service's servers that get no calls now.
func (b *Balancer) Ejected(now time.Time, s *snapshot.Service) []string {
	var out []string
	for _, c := range b.candidates(now, s) {
		if c.removed {
			out = append(out, c.endpoint.ID)
		}
	}
	return out
}

func (b *Balancer) candidates(now time.Time, s *snapshot.Service) []*candidate {
	states := make([]candidate, len(s.Endpoints))
	all := make([]*candidate, len(s.Endpoints))
	for i, e := range s.Endpoints {
		all[i] = &states[i]
		all[i].endpoint = e
		all[i].server = b.stats.state(e.ID, e.Incarnation, now)
		all[i].tier = b.local.TierOf(e)
	}
	b.applyCap(all)
	return all
}

// applyCap honours ejections, oldest first, up to a share of the service.
// The rest keep their calls: a whole failing service is still tried.
func (b *Balancer) applyCap(all []*candidate) {
	var ejected []*candidate
	for _, c := range all {
		if c.server.ejected {
			ejected = append(ejected, c)
		}
	}
	slices.SortFunc(ejected, func(x, y *candidate) int {
		return cmp.Or(
			x.server.ejectedAt.Compare(y.server.ejectedAt),
			cmp.Compare(x.endpoint.ID, y.endpoint.ID),
		)
	})
	most := int(b.stats.cfg.EjectShare * float64(len(all)))
	for _, c := range ejected[:min(most, len(ejected))] {
		c.removed = true
	}
}

// probe sends a first attempt to an ejected server whose time is over.
// Retries and hedges are no probes: they need a server that answers.
func (b *Balancer) probe(now time.Time, r Request, all []*candidate) (Choice, bool) {
	if len(r.Exclude) > 0 {
		return Choice{}, false
	}
	for _, c := range all {
		if !c.server.probeDue(now) || !b.mayProbe(now, r, c.tier) {
			continue
		}
		if b.stats.claimProbe(c.endpoint.ID, now) {
			return Choice{Endpoint: c.endpoint, Tier: c.tier, Probe: true}, true
		}
	}
	return Choice{}, false
}

func (b *Balancer) mayProbe(now time.Time, r Request, t Tier) bool {
	return t != TierAcross || b.across.allowed(now, r.Service.Policy.CrossRegionBytesPerSecond)
}

// steered drops the servers that asked for no calls, unless all did.
func steered(now time.Time, all []*candidate) []*candidate {
	free := make([]*candidate, 0, len(all))
	for _, c := range all {
		if !now.Before(c.server.steerUntil) {
			free = append(free, c)
		}
	}
	if len(free) == 0 {
		return all
	}
	return free
}

// choose takes the best of two of the nearest tier and moves on to the next
// tier while that expects to be much faster.
func (b *Balancer) choose(now time.Time, all []*candidate, bytes int64) Choice {
	fallback := meanLatency(all)
	var best Choice
	for t := TierDomain; t < tierCount; t++ {
		tier := inTier(all, t)
		if len(tier) == 0 {
			continue
		}
		c := b.bestOfTwo(now, tier, fallback)
		if best.Endpoint == nil || b.spills(best, c, bytes) {
			best = c
		}
	}
	return best
}

// spills compares a nearer choice with one of a farther tier. The round trip
// is added although the measured latency holds it, so that calls do not move
// back and forth over small differences.
func (b *Balancer) spills(near, far Choice, bytes int64) bool {
	between := b.local.rtt(far.Tier) - b.local.rtt(near.Tier)
	between += b.local.cost(far.Tier, bytes) - b.local.cost(near.Tier, bytes)
	return float64(near.Expected) > b.stats.cfg.SpillRatio*float64(far.Expected)+float64(between)
}

func inTier(all []*candidate, t Tier) []*candidate {
	var out []*candidate
	for _, c := range all {
		if c.tier == t {
			out = append(out, c)
		}
	}
	return out
}

// meanLatency stands in for the latency of unmeasured servers: neither better
// nor worse than the rest. Before any measurement all are equal.
func meanLatency(all []*candidate) time.Duration {
	var sum time.Duration
	n := 0
	for _, c := range all {
		if m := c.server.mean(); m > 0 {
			sum += m
			n++
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}

func (b *Balancer) bestOfTwo(now time.Time, tier []*candidate, fallback time.Duration) Choice {
	first := b.draw(now, tier, -1)
	best := b.price(now, tier[first], fallback)
	if len(tier) == 1 {
		return best
	}
	second := b.price(now, tier[b.draw(now, tier, first)], fallback)
	if second.Expected < best.Expected {
		return second
	}
	return best
}

func (b *Balancer) price(now time.Time, c *candidate, fallback time.Duration) Choice {
	expected := c.server.expected(b.stats.cfg, now, fallback)
	return Choice{Endpoint: c.endpoint, Tier: c.tier, Expected: expected}
}

// draw picks an index at random in proportion to the cold-start weights,
// leaving out one index.
func (b *Balancer) draw(now time.Time, tier []*candidate, without int) int {
	total := 0.0
	for i := range tier {
		if i != without {
			total += tier[i].server.weight(b.stats.cfg, now)
		}
	}
	x := b.unit() * total
	last := 0
	for i := range tier {
		if i == without {
			continue
		}
		last = i
		if x -= tier[i].server.weight(b.stats.cfg, now); x < 0 {
			break
		}
	}
	return last
}

// unit returns a random number from 0 to below 1.
func (b *Balancer) unit() float64 {
	const bits = 53 // of a float64's mantissa
	return float64(b.random()>>(64-bits)) / (1 << bits)
}
