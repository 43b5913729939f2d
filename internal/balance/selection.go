package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// candidate is one endpoint with a copy of its state.
type candidate struct {
	endpoint *snapshot.Endpoint
	server   server
	tier     Tier
	removed  bool // ejected, and within the cap on ejected servers
}

// hasLeft reports whether this start of the server has said that it shuts down.
func (c *candidate) hasLeft() bool {
	return c.server.leftStart > 0 && c.server.leftStart >= c.endpoint.Start()
}

// selection is one choice among the servers of a service. States are copied by
// tier and only when needed: mostly those of the own failure domain suffice,
// and a service may have hundreds of servers.
type selection struct {
	balancer    *Balancer
	now         time.Time
	request     Request
	crossRegion bool // servers of other regions may be chosen
	readOnly    bool // the choice leaves no trace in the statistics
	tiers       [tierCount][]candidate
	loaded      [tierCount]bool
	fallback    time.Duration // see meanLatency
}

func newSelection(b *Balancer, now time.Time, r Request, crossRegion bool) *selection {
	return &selection{balancer: b, now: now, request: r, crossRegion: crossRegion}
}

// tier returns the candidates of a tier.
func (s *selection) tier(t Tier) []candidate {
	if s.loaded[t] {
		return s.tiers[t]
	}
	s.loaded[t] = true
	n := 0
	for _, e := range s.request.Service.Endpoints {
		if s.belongs(e, t) {
			n++
		}
	}
	s.tiers[t] = make([]candidate, 0, n)
	for _, e := range s.request.Service.Endpoints {
		if s.belongs(e, t) {
			s.tiers[t] = append(s.tiers[t], candidate{endpoint: e, server: s.stateOf(e), tier: t})
		}
	}
	return s.tiers[t]
}

// stateOf returns a copy of the state of a server.
func (s *selection) stateOf(e *snapshot.Endpoint) server {
	if s.readOnly {
		return s.balancer.stats.peek(e.ID, e.Incarnation, s.now)
	}
	return s.balancer.stats.state(e.ID, e.Incarnation, s.now)
}

// belongs reports whether an endpoint is a candidate of a tier.
func (s *selection) belongs(e *snapshot.Endpoint, t Tier) bool {
	return s.balancer.locality.TierOf(e) == t && (s.request.Accepts == nil || s.request.Accepts(e))
}

// all returns the candidates of all tiers.
func (s *selection) all() []*candidate {
	out := make([]*candidate, 0, len(s.request.Service.Endpoints))
	for t := TierDomain; t < tierCount; t++ {
		tier := s.tier(t)
		for i := range tier {
			out = append(out, &tier[i])
		}
	}
	return out
}

// applyEjectionCap marks ejected servers as removed, oldest ejection first, up
// to a share of the service. The others still get calls, so that a service of
// which every server fails is still tried.
func (s *selection) applyEjectionCap() {
	var ejected []*candidate
	all := s.all()
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
	limit := int(s.balancer.stats.cfg.MaxEjectedShare * float64(len(all)))
	for _, c := range ejected[:min(limit, len(ejected))] {
		c.removed = true
	}
}

// probe chooses an ejected server whose ejection time is over for a first
// attempt. Retries and hedges are never probes, since they need a server that
// is likely to answer.
func (s *selection) probe() (Choice, bool) {
	if len(s.request.Exclude) > 0 {
		return Choice{}, false
	}
	for _, c := range s.all() {
		if !c.server.probeDue(s.now) || c.hasLeft() || c.tier == TierCrossRegion && !s.crossRegion {
			continue
		}
		if s.balancer.stats.claimProbe(c.endpoint.ID, s.now) {
			return Choice{Endpoint: c.endpoint, Tier: c.tier, Probe: true}, true
		}
	}
	return Choice{}, false
}

// choose picks the best of a few random servers of the nearest tier, and one of
// a farther tier if that is expected to be much faster. Servers that are avoided
// are chosen only if all are.
func (s *selection) choose() (Choice, error) {
	s.fallback = s.meanLatency()
	for _, avoided := range []bool{false, true} {
		if best, ok := s.best(avoided); ok {
			best.Avoided = avoided
			return best, nil
		}
	}
	if !s.crossRegion && s.anyLeft(TierCrossRegion) {
		return Choice{}, ErrCrossRegionLimit
	}
	return Choice{}, ErrNoEndpoint
}

func (s *selection) best(avoided bool) (Choice, bool) {
	var best option
	for t := TierDomain; t < tierCount; t++ {
		if t == TierCrossRegion && (!s.crossRegion || s.staysInRegion()) {
			continue
		}
		if best.inTime {
			break // spills would prefer no farther tier
		}
		eligible := s.eligible(t, avoided)
		if len(eligible) == 0 {
			continue
		}
		o := s.balancer.bestOfSample(s.now, eligible, s.request, s.fallback)
		if best.Endpoint == nil || s.balancer.spills(best, o, s.request.Bytes) {
			best = o
		}
	}
	return best.Choice, best.Endpoint != nil
}

// staysInRegion reports whether the call is too large for the link between regions
// while its own region has servers that take calls: a link that all nodes share
// must not carry what a full server here refuses.
func (s *selection) staysInRegion() bool {
	if s.request.Bytes < LargeCallBytes {
		return false
	}
	for _, t := range []Tier{TierDomain, TierRegion} {
		tier := s.tier(t)
		for i := range tier {
			if !tier[i].removed && !tier[i].hasLeft() && !s.now.Before(tier[i].server.avoidUntil) {
				return true
			}
		}
	}
	return false
}

// eligible returns the candidates of a tier that may be chosen; avoided includes
// those that are avoided.
func (s *selection) eligible(t Tier, avoided bool) []*candidate {
	tier := s.tier(t)
	out := make([]*candidate, 0, len(tier))
	for i := range tier {
		c := &tier[i]
		if s.left(c) && (avoided || !c.server.avoids(s.now, s.request)) {
			out = append(out, c)
		}
	}
	return out
}

// left reports whether a candidate is neither removed, leaving nor excluded.
func (s *selection) left(c *candidate) bool {
	return !c.removed && !c.hasLeft() && !slices.Contains(s.request.Exclude, c.endpoint.ID)
}

func (s *selection) anyLeft(t Tier) bool { return len(s.eligible(t, true)) > 0 }

// meanLatency returns the mean over the measured servers of the nearest tiers
// that have any, 1 ms without any. It counts as one sample of every server, so
// that unmeasured servers rank neither better nor worse than the rest. Without an
// objective all tiers are compared, so it is the mean over all.
func (s *selection) meanLatency() time.Duration {
	var sum time.Duration
	n := 0
	for t := TierDomain; t < tierCount; t++ {
		if n > 0 && s.request.Objective > 0 {
			break
		}
		tier := s.tier(t)
		for i := range tier {
			if m := tier[i].server.measured(s.balancer.stats.cfg, s.now); m > 0 && s.left(&tier[i]) {
				sum += m
				n++
			}
		}
	}
	if n == 0 {
		return time.Millisecond
	}
	return sum / time.Duration(n)
}
