package balance

import (
	"math"
	"math/bits"
	"time"
)

// server is what is known of one backend server. It is a plain value that
// lives in a shard.Map; its methods run under the shard's lock or on a copy.
type server struct {
	incarnation int64
	seen        time.Time // last use, for Prune
	since       time.Time // start of the cold-start ramp

	inFlight int
	// startSum is the sum of the start times of calls in flight, in ns since
	// since. It gives their mean age, which shows a server that has stopped
	// answering before any call on it ends.
	startSum int64

	// workTime over answers, both fading, is the mean latency. Cancelled
	// attempts add their time but no answer, so that a hedge which ends every
	// slow attempt early does not hide a slow server.
	workTime  float64 // ns
	answers   float64
	sampledAt time.Time

	report    LoadReport
	reportAt  time.Time
	sentSince int // calls sent since the report

	badShare float64 // recent share of calls that failed or were shed, fading
	badAt    time.Time

	steerUntil time.Time // the server asked for no calls until then, or was not reached
	unreached  int       // tries in a row that did not reach it, those at the same time counted once

	outlier
}

// recentCalls is how many calls the share of failures is taken over.
const recentCalls = 20

const recentMask = 1<<recentCalls - 1

// outlier is the ejection state of a server.
type outlier struct {
	row          int       // failures in a row
	recent       uint32    // last recentCalls results, 1 for a failure
	recentCount  int       // results in recent
	ejected      bool      // until a probe succeeds
	ejectedAt    time.Time // order in which the cap honours ejections
	ejectedUntil time.Time
	probeUntil   time.Time // a probe is out until then
	ejections    int       // ejections without a healthy period in between
	returnedAt   time.Time
}

func newServer(incarnation int64, now time.Time) server {
	return server{incarnation: incarnation, since: now, seen: now}
}

func (s *server) begin(now time.Time) {
	s.seen = now
	s.inFlight++
	s.sentSince++
	s.startSum += now.Sub(s.since).Nanoseconds()
}

func (s *server) end(cfg Config, now time.Time, r Result) {
	s.seen = now
	s.leave(now, r.Latency)
	s.observe(cfg, now, r)
	s.steer(cfg, now, r)
	if r.Report != nil {
		s.report = *r.Report
		s.reportAt = now
		s.sentSince = 0
	}
	s.judge(cfg, now, r)
	s.noteBad(now, r)
}

const (
	// badWeight is the weight of one call in the share of bad ones.
	badWeight = 1.0 / 10
	// badFades is the time constant in which the share fades while the server
	// gets no calls, so that it is tried again.
	badFades = 3 * time.Second
	// badCost is how many times longer a server that fails every call is
	// expected to take, on top of its latency: each such call is sent again.
	badCost = 6
)

// noteBad notes whether a call was good. A refusal by the server's node and a
// cancelled call say nothing.
func (s *server) noteBad(now time.Time, r Result) {
	if r.Canceled || r.NotRun && !r.Shed && !r.Failed {
		return
	}
	bad := 0.0
	if r.Failed || r.Shed {
		bad = 1
	}
	have := s.bad(now)
	s.badShare = have + badWeight*(bad-have)
	s.badAt = now
}

// bad returns the recent share of calls that failed or were shed.
func (s *server) bad(now time.Time) float64 {
	return s.badShare * decay(now.Sub(s.badAt), badFades)
}

func (s *server) leave(now time.Time, latency time.Duration) {
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	s.startSum -= (now.Sub(s.since) - latency).Nanoseconds()
	if s.inFlight == 0 {
		s.startSum = 0
	}
}

// observe takes a latency sample. A refusal is no sample: a server that
// refuses fast would attract every call. A failed call only counts when it
// took long, since failing fast would attract calls too.
func (s *server) observe(cfg Config, now time.Time, r Result) {
	if r.NotRun || r.Latency <= 0 {
		return
	}
	mean := s.mean()
	if r.Failed && r.Latency < mean {
		return
	}
	keep := decay(now.Sub(s.sampledAt), cfg.LatencyDecay)
	if r.Latency > surprise*mean {
		keep *= surpriseKeep
	}
	s.workTime = s.workTime*keep + float64(r.Latency)
	s.answers *= keep
	if !r.Canceled {
		s.answers++
	}
	s.sampledAt = now
}

// An answer that takes this many times the mean halves the weight of all that
// was known, so that a server that turns slow is seen after a few calls, as
// with a peak-sensitive average.
const (
	surprise     = 2
	surpriseKeep = 0.5
)

// mean returns the mean latency, 0 while unmeasured.
func (s *server) mean() time.Duration {
	if s.workTime == 0 {
		return 0
	}
	return time.Duration(s.workTime / max(s.answers, minAnswers))
}

// minAnswers keeps the mean finite when no attempt was answered yet.
const minAnswers = 0.1

// decay returns exp(-age/constant), within 0 and 1.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// steerLatencies is how many times as long as a failed attempt took calls are
// kept from its server: one that refuses at once costs little to try again, one
// that does not answer costs each call its time limit.
const steerLatencies = 4

// maxUnreached bounds the doublings of the time that calls are kept from a
// server that is not reached.
const maxUnreached = 3

// steer keeps calls away from a server that asked for it or that could not be
// reached. Other refusals are about the request and say nothing of the server.
// The time doubles while the server stays out of reach: nodes learn of its end
// after seconds, and each try costs a call the time limit of connections.
func (s *server) steer(cfg Config, now time.Time, r Result) {
	s.countUnreached(now, r)
	wait := r.RetryAfter
	if wait <= 0 && r.Failed {
		wait = max(cfg.SteerAway, steerLatencies*r.Latency) << max(s.unreached-1, 0)
	}
	if !r.NotRun && !r.Unreached || wait <= 0 {
		return
	}
	if until := now.Add(min(wait, cfg.SteerAwayMax)); until.After(s.steerUntil) {
		s.steerUntil = until
	}
}

// countUnreached counts the tries that did not reach the server. A try that
// began before calls were kept away says nothing new.
func (s *server) countUnreached(now time.Time, r Result) {
	switch {
	case r.Canceled:
	case !r.Unreached:
		s.unreached = 0
	case !now.Add(-r.Latency).Before(s.steerUntil):
		s.unreached = min(s.unreached+1, maxUnreached)
	}
}

// judge updates the ejection state. A refusal without a failure and a
// cancelled call say nothing about the server's health.
func (s *server) judge(cfg Config, now time.Time, r Result) {
	if r.Canceled || (r.NotRun && !r.Failed) {
		s.probeUntil = time.Time{}
		return
	}
	s.count(r.Failed)
	switch {
	case s.ejected && !s.probeUntil.IsZero():
		s.settleProbe(cfg, now, r.Failed)
	case !s.ejected && r.Failed && s.failing(cfg):
		s.eject(cfg, now)
	}
}

func (s *server) count(failed bool) {
	s.recent = s.recent << 1 & recentMask
	s.recentCount = min(s.recentCount+1, recentCalls)
	if !failed {
		s.row = 0
		return
	}
	s.recent |= 1
	s.row++
}

func (s *server) failing(cfg Config) bool {
	if s.row >= cfg.FailuresInRow {
		return true
	}
	failures := bits.OnesCount32(s.recent)
	return s.recentCount == recentCalls && float64(failures) > cfg.FailureShare*recentCalls
}

func (s *server) eject(cfg Config, now time.Time) {
	if now.Sub(s.returnedAt) > cfg.EjectMax {
		s.ejections = 0
	}
	wait := min(cfg.Eject<<min(s.ejections, maxDoublings), cfg.EjectMax)
	s.ejections++
	if !s.ejected {
		s.ejectedAt = now
	}
	s.ejected = true
	s.ejectedUntil = now.Add(wait)
	s.probeUntil = time.Time{}
}

// maxDoublings keeps the shift of the ejection time in range.
const maxDoublings = 16

func (s *server) settleProbe(cfg Config, now time.Time, failed bool) {
	if failed {
		s.returnedAt = now // the next ejection follows on, so it doubles
		s.eject(cfg, now)
		return
	}
	ejections := s.ejections
	s.outlier = outlier{ejections: ejections, returnedAt: now}
	s.restartRamp(now)
}

// restartRamp makes the server start cold, as after a restart.
func (s *server) restartRamp(now time.Time) {
	s.startSum -= int64(s.inFlight) * now.Sub(s.since).Nanoseconds()
	s.since = now
}

// probeDue reports whether an ejected server may get its one probe call. A
// probe that was refused is repeated when the server's retry-after is over.
func (s *server) probeDue(now time.Time) bool {
	return s.ejected &&
		!now.Before(s.ejectedUntil) &&
		!now.Before(s.probeUntil) &&
		!now.Before(s.steerUntil)
}

// weight is the share of draws that a server gets while it starts cold.
func (s *server) weight(cfg Config, now time.Time) float64 {
	age := now.Sub(s.since)
	if age >= cfg.ColdStart {
		return 1
	}
	part := max(float64(age)/float64(cfg.ColdStart), 0)
	return cfg.ColdWeight + (1-cfg.ColdWeight)*part
}

// expected is the expected completion time of one more call. fallback stands
// in for the latency of a server that was never measured.
func (s *server) expected(cfg Config, now time.Time, fallback time.Duration) time.Duration {
	if cfg.ExactReports && s.report.Slots > 0 {
		return time.Duration(s.latency(cfg, now, fallback) * crowding(s.occupancy(cfg, now)) * (1 + badCost*s.bad(now)))
	}
	load := float64(s.inFlight + 1)
	return time.Duration(s.latency(cfg, now, fallback) * load * s.hint(cfg, now))
}

// occupancy is the share of the server's slots that calls hold or wait for, by
// its node's last report and the own calls since.
func (s *server) occupancy(cfg Config, now time.Time) float64 {
	age := float64(max(now.Sub(s.reportAt), 0)) / float64(cfg.ReportHalfLife)
	calls := float64(s.report.InFlight+s.report.Queued)*math.Exp2(-age) + float64(s.sentSince+1)
	return calls / float64(s.report.Slots)
}

// crowding is how many times longer a call takes at an occupancy. Below one a
// call finds a slot, but servers slow down as they fill; above one it waits.
func crowding(occupancy float64) float64 {
	if occupancy <= 1 {
		return 1 + occupancy*occupancy
	}
	return 2 + queueSlope*(occupancy-1)
}

// queueSlope is how much longer a call takes for each further round of calls
// that wait before it. It is above 1, since those ahead come from many nodes
// that all see the same report.
const queueSlope = 3

// latency is the mean latency, in ns, in which calls in flight count with
// their age so far. It fades towards fallback while no sample arrives, so that
// a server that recovered is tried again.
func (s *server) latency(cfg Config, now time.Time, fallback time.Duration) float64 {
	keep := decay(now.Sub(s.sampledAt), cfg.LatencyDecay)
	work := s.workTime*keep + s.age(now) + float64(fallback)
	return work / (s.answers*keep + 1)
}

// age is the sum of the ages of the calls in flight, in ns.
func (s *server) age(now time.Time) float64 {
	sum := int64(s.inFlight)*now.Sub(s.since).Nanoseconds() - s.startSum
	return float64(max(sum, 0))
}

// hint is the factor from the load report, from 1 to 2. The report counts as
// one call beside the node's own recent ones, so it matters where there are
// few, and one that says idle never makes a server better than they show.
func (s *server) hint(cfg Config, now time.Time) float64 {
	if s.reportAt.IsZero() || s.report.Slots <= 0 {
		return 1
	}
	busy := float64(s.report.InFlight+s.report.Queued) / float64(s.report.Slots)
	age := float64(max(now.Sub(s.reportAt), 0)) / float64(cfg.ReportHalfLife)
	own := s.answers * decay(now.Sub(s.sampledAt), cfg.LatencyDecay)
	return 1 + min(max(busy, 0), 1)*math.Exp2(-age)/(1+own)
}
