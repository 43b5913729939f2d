package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Config holds the constants of the balancer. Zero fields take defaults.
type Config struct {
	LatencyDecay   time.Duration // time constant in which latency samples fade
	ReportHalfLife time.Duration // the weight of a load report halves in this time
	SteerAway      time.Duration // after a server could not be reached
	SteerAwayMax   time.Duration // bound on the time that a refusal may name
	ColdStart      time.Duration // length of the cold-start ramp
	ColdWeight     float64       // weight at the start of the ramp
	FailuresInRow  int           // failures in a row that eject
	FailureShare   float64       // share of the last 20 calls above which a server is ejected
	Eject          time.Duration // first ejection; doubles each time
	EjectMax       time.Duration // longest ejection, and healthy time after which it starts anew
	EjectShare     float64       // most of a service's servers that are ejected at once
	ProbeTimeout   time.Duration // a probe without a result is given up after this
	ExactReports   bool          // load reports come from nodes that count each call, and not from servers
	SpillRatio     float64       // a nearer tier is left when it expects this many times the next
}

// DefaultConfig returns the values of section 5.1 of the design page.
func DefaultConfig() Config {
	return Config{
		LatencyDecay:   10 * time.Second,
		ReportHalfLife: 500 * time.Millisecond,
		SteerAway:      100 * time.Millisecond,
		SteerAwayMax:   5 * time.Second,
		ColdStart:      10 * time.Second,
		ColdWeight:     0.1,
		FailuresInRow:  5,
		FailureShare:   0.5,
		Eject:          5 * time.Second,
		EjectMax:       60 * time.Second,
		EjectShare:     0.5,
		ProbeTimeout:   10 * time.Second,
		SpillRatio:     2,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.LatencyDecay = cmp.Or(c.LatencyDecay, d.LatencyDecay)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, d.ReportHalfLife)
	c.SteerAway = cmp.Or(c.SteerAway, d.SteerAway)
	c.SteerAwayMax = cmp.Or(c.SteerAwayMax, d.SteerAwayMax)
	c.ColdStart = cmp.Or(c.ColdStart, d.ColdStart)
	c.ColdWeight = cmp.Or(c.ColdWeight, d.ColdWeight)
	c.FailuresInRow = cmp.Or(c.FailuresInRow, d.FailuresInRow)
	c.FailureShare = cmp.Or(c.FailureShare, d.FailureShare)
	c.Eject = cmp.Or(c.Eject, d.Eject)
	c.EjectMax = cmp.Or(c.EjectMax, d.EjectMax)
	c.EjectShare = cmp.Or(c.EjectShare, d.EjectShare)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, d.ProbeTimeout)
	c.SpillRatio = cmp.Or(c.SpillRatio, d.SpillRatio)
	return c
}

// Stats holds what the node's own calls have shown of each backend server,
// sharded by node id.
type Stats struct {
	cfg     Config
	servers *shard.Map[server]
}

// NewStats returns Stats without servers.
func NewStats(cfg Config) *Stats {
	return &Stats{cfg: cfg.withDefaults(), servers: shard.NewMap[server](shard.DefaultCount)}
}

// Begin records that a call was sent to a server.
func (s *Stats) Begin(id string, now time.Time) {
	s.servers.Update(id, func(v server, ok bool) (server, bool) {
		if !ok {
			v = newServer(0, now)
		}
		v.begin(now)
		return v, true
	})
}

// End records what became of a call. Each Begin needs one End, at the first
// byte of the answer, the failure or the cancellation. Calls in flight count
// with their age, so an answer that streams for long would otherwise look like
// a server that has stopped answering.
func (s *Stats) End(id string, now time.Time, r Result) {
	s.servers.Update(id, func(v server, ok bool) (server, bool) {
		if !ok {
			v = newServer(0, now)
		}
		v.end(s.cfg, now, r)
		return v, true
	})
}

// state returns a copy of a server's state. The first sight of a server and a
// new incarnation both start it cold.
func (s *Stats) state(id string, incarnation int64, now time.Time) server {
	v, ok := s.servers.Get(id)
	if ok && v.incarnation >= incarnation {
		return v
	}
	s.servers.Update(id, func(have server, ok bool) (server, bool) {
		v = have
		switch {
		case !ok:
			v = newServer(incarnation, now)
		case have.incarnation < incarnation && have.incarnation > 0:
			v = newServer(incarnation, now)
			v.inFlight = have.inFlight // their End is still to come
		case have.incarnation < incarnation:
			v.incarnation = incarnation
		}
		return v, true
	})
	return v
}

// claimProbe reports whether the caller gets the one probe call of a server.
func (s *Stats) claimProbe(id string, now time.Time) bool {
	claimed := false
	s.servers.Update(id, func(v server, ok bool) (server, bool) {
		if ok && v.probeDue(now) {
			v.probeUntil = now.Add(s.cfg.ProbeTimeout)
			claimed = true
		}
		return v, ok
	})
	return claimed
}

// Prune drops servers that are idle and have not been used for the given time.
func (s *Stats) Prune(now time.Time, unused time.Duration) int {
	return s.servers.DeleteFunc(func(_ string, v server) bool {
		return v.inFlight == 0 && now.Sub(v.seen) > unused
	})
}

// View is the state of one server for dumps.
type View struct {
	ID           string        `json:"id"`
	InFlight     int           `json:"inFlight"`
	Latency      time.Duration `json:"latencyNs"`
	Ejected      bool          `json:"ejected"`
	EjectedUntil time.Time     `json:"ejectedUntil,omitzero"`
	SteerUntil   time.Time     `json:"steerUntil,omitzero"`
}

// Views returns the state of every server in the order of ids.
func (s *Stats) Views() []View {
	var out []View
	s.servers.Range(func(id string, v server) bool {
		out = append(out, View{
			ID: id, InFlight: v.inFlight, Latency: v.mean(),
			Ejected: v.ejected, EjectedUntil: v.ejectedUntil, SteerUntil: v.steerUntil,
		})
		return true
	})
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
