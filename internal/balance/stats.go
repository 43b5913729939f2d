package balance

import (
	"cmp"
	"slices"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Config holds the constants of the balancer. Zero fields take defaults.
type Config struct {
	LatencyDecay        time.Duration // time constant of the decay of latency samples
	ReportHalfLife      time.Duration // half-life of the weight of a load report
	AvoidUnreachable    time.Duration // least time for which an unreachable server is avoided
	AvoidMax            time.Duration // longest time for which a server is avoided, whatever its retry-after
	ColdStart           time.Duration // length of the cold-start ramp
	ColdWeight          float64       // weight at the start of the ramp
	ConsecutiveFailures int           // number after which a server is ejected
	FailureShare        float64       // share of the last 20 calls above which a server is ejected
	EjectTime           time.Duration // duration of the first ejection; doubles with each further one
	EjectTimeMax        time.Duration // longest ejection, and the healthy period that resets the doubling
	MaxEjectedShare     float64       // largest share of a service's servers that is ejected at once
	ProbeTimeout        time.Duration // time after which a probe without a result may be repeated
	ExactReports        bool          // load reports come from nodes, which count each call, not from servers
	SpillRatio          float64       // calls spill to a farther tier when the nearer one is expected to take this many times as long
}

// DefaultConfig returns the values of section 5.1 of the design page.
func DefaultConfig() Config {
	return Config{
		LatencyDecay:        10 * time.Second,
		ReportHalfLife:      500 * time.Millisecond,
		AvoidUnreachable:    100 * time.Millisecond,
		AvoidMax:            5 * time.Second,
		ColdStart:           10 * time.Second,
		ColdWeight:          0.1,
		ConsecutiveFailures: 5,
		FailureShare:        0.5,
		EjectTime:           5 * time.Second,
		EjectTimeMax:        60 * time.Second,
		MaxEjectedShare:     0.5,
		ProbeTimeout:        10 * time.Second,
		SpillRatio:          2,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.LatencyDecay = cmp.Or(c.LatencyDecay, d.LatencyDecay)
	c.ReportHalfLife = cmp.Or(c.ReportHalfLife, d.ReportHalfLife)
	c.AvoidUnreachable = cmp.Or(c.AvoidUnreachable, d.AvoidUnreachable)
	c.AvoidMax = cmp.Or(c.AvoidMax, d.AvoidMax)
	c.ColdStart = cmp.Or(c.ColdStart, d.ColdStart)
	c.ColdWeight = cmp.Or(c.ColdWeight, d.ColdWeight)
	c.ConsecutiveFailures = cmp.Or(c.ConsecutiveFailures, d.ConsecutiveFailures)
	c.FailureShare = cmp.Or(c.FailureShare, d.FailureShare)
	c.EjectTime = cmp.Or(c.EjectTime, d.EjectTime)
	c.EjectTimeMax = cmp.Or(c.EjectTimeMax, d.EjectTimeMax)
	c.MaxEjectedShare = cmp.Or(c.MaxEjectedShare, d.MaxEjectedShare)
	c.ProbeTimeout = cmp.Or(c.ProbeTimeout, d.ProbeTimeout)
	c.SpillRatio = cmp.Or(c.SpillRatio, d.SpillRatio)
	return c
}

// Stats holds the statistics of each backend server from this node's own calls,
// sharded by the id of the server's node.
type Stats struct {
	cfg     Config
	servers *shard.Map[server]
	ejected atomic.Int64 // number of ejected servers
}

// anyEjected reports whether a server is ejected, so that most choices need not
// look at all servers.
func (s *Stats) anyEjected() bool { return s.ejected.Load() > 0 }

// update changes the state of a server and keeps the count of ejected ones.
func (s *Stats) update(id string, change func(v server, ok bool) (server, bool)) {
	s.servers.Update(id, func(before server, ok bool) (server, bool) {
		after, keep := change(before, ok)
		s.ejected.Add(ejectedCount(after, keep) - ejectedCount(before, ok))
		return after, keep
	})
}

func ejectedCount(v server, ok bool) int64 {
	if ok && v.ejected {
		return 1
	}
	return 0
}

// NewStats returns Stats without servers.
func NewStats(cfg Config) *Stats {
	return &Stats{cfg: cfg.withDefaults(), servers: shard.NewMap[server](shard.DefaultCount)}
}

// Begin records that a call was sent to a server. work is as in Result.
func (s *Stats) Begin(id string, now time.Time, work float64) {
	s.update(id, func(v server, ok bool) (server, bool) {
		if !ok {
			v = newServer(0, now)
		}
		v.begin(now, workOf(work))
		return v, true
	})
}

// End records the result of a call. Each Begin needs one End, at the first byte
// of the answer, the failure or the cancellation. Calls in flight count with
// their age, so ending a call only after a long streamed answer would make the
// server look as if it had stopped answering.
func (s *Stats) End(id string, now time.Time, r Result) {
	s.update(id, func(v server, ok bool) (server, bool) {
		if !ok {
			v = newServer(0, now)
		}
		v.end(s.cfg, now, r)
		return v, true
	})
}

// MarkLeaving records that a start of a server, as of snapshot.Endpoint, has said
// that it shuts down. It gets no calls any more, even if its node restarts and
// knows nothing of this.
func (s *Stats) MarkLeaving(id string, start int64) {
	s.update(id, func(v server, ok bool) (server, bool) {
		v.leftStart = max(v.leftStart, start)
		return v, ok
	})
}

// state returns a copy of a server's state. A server that is new or has a new
// incarnation begins its cold start.
func (s *Stats) state(id string, incarnation int64, now time.Time) server {
	v, ok := s.servers.Get(id)
	if ok && v.incarnation >= incarnation {
		return v
	}
	s.update(id, func(current server, ok bool) (server, bool) {
		v = current.restarted(ok, incarnation, now)
		return v, true
	})
	return v
}

// peek returns what state would return, and changes nothing.
func (s *Stats) peek(id string, incarnation int64, now time.Time) server {
	v, ok := s.servers.Get(id)
	return v.restarted(ok, incarnation, now)
}

// restarted returns the state of a server, known or new, with an incarnation.
func (s server) restarted(known bool, incarnation int64, now time.Time) server {
	v := s
	switch {
	case !known:
		v = newServer(incarnation, now)
	case s.incarnation < incarnation && s.incarnation > 0:
		v = newServer(incarnation, now)
		v.inFlight, v.inFlightWeight = s.inFlight, s.inFlightWeight // their End is still outstanding
		v.leftStart = s.leftStart
	case s.incarnation < incarnation:
		v.incarnation = incarnation
	}
	return v
}

// claimProbe reports whether the caller may send the one probe to a server, and
// if so reserves it.
func (s *Stats) claimProbe(id string, now time.Time) bool {
	claimed := false
	s.update(id, func(v server, ok bool) (server, bool) {
		if ok && v.probeDue(now) {
			v.probeUntil = now.Add(s.cfg.ProbeTimeout)
			claimed = true
		}
		return v, ok
	})
	return claimed
}

// Prune drops servers without calls in flight that were not used for the given
// time, and returns their number.
func (s *Stats) Prune(now time.Time, unused time.Duration) int {
	return s.servers.DeleteFunc(func(_ string, v server) bool {
		expired := v.inFlight == 0 && now.Sub(v.lastUsed) > unused
		s.ejected.Add(-ejectedCount(v, expired))
		return expired
	})
}

// View is the state of one server for dumps.
type View struct {
	ID           string        `json:"id"`
	InFlight     int           `json:"inFlight"`
	Latency      time.Duration `json:"latencyNs"`
	Ejected      bool          `json:"ejected"`
	EjectedUntil time.Time     `json:"ejectedUntil,omitzero"`
	AvoidUntil   time.Time     `json:"steerUntil,omitzero"` // for some calls or all
}

// Views returns the state of every server, ordered by id.
func (s *Stats) Views() []View {
	var out []View
	s.servers.Range(func(id string, v server) bool {
		out = append(out, View{
			ID: id, InFlight: v.inFlight, Latency: v.mean(),
			Ejected: v.ejected, EjectedUntil: v.ejectedUntil, AvoidUntil: v.someAvoidedUntil(),
		})
		return true
	})
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
