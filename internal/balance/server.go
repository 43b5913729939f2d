package balance

import (
	"math"
	"math/bits"
	"time"
)

// server holds the statistics of one backend server. It is a plain value in a
// shard.Map; its methods run under the shard's lock or on a copy.
type server struct {
	incarnation int64
	lastUsed    time.Time // last use, for Prune
	rampStart   time.Time // start of the cold-start ramp

	// All times of calls are divided by their work, so that a server is not taken
	// for slow because it got the long calls.
	inFlight       int
	inFlightWeight float64 // sum over the calls in flight of 1 / work
	// startSum is the sum of the start times of the calls in flight, in ns after
	// rampStart, divided by their work. It yields their age, which detects a server
	// that has stopped answering before any call to it ends.
	startSum float64

	// latencySum / answers is the mean latency; both decay exponentially.
	// Cancelled attempts add their time but no answer, so that hedges that cancel
	// every slow attempt early do not hide a slow server.
	latencySum   float64 // ns
	answers      float64
	lastSampleAt time.Time

	report          LoadReport
	reportAt        time.Time
	sentSinceReport int // calls sent since the report

	badShare float64 // recent share of calls that failed or were shed; decays
	badAt    time.Time

	avoidUntil             time.Time // avoided until then, see updateAvoidance
	noSlot                 shortage  // for calls of a rank
	noLink                 shortage  // for large calls of a rank
	consecutiveUnreachable int       // consecutive attempts that did not reach it; concurrent ones count once

	ejectionState
}

// recentCalls is the number of calls over which the failure share is computed.
const recentCalls = 20

const recentMask = 1<<recentCalls - 1

// ejectionState is the ejection state of a server.
type ejectionState struct {
	consecutiveFailures int       // reset by a success
	recentResults       uint32    // the last recentCalls results as bits, 1 for a failure
	recentCount         int       // results in recentResults
	ejected             bool      // until a probe succeeds
	ejectedAt           time.Time // start of the ejection; the cap applies to the oldest first
	ejectedUntil        time.Time
	probeUntil          time.Time // timeout of the probe in flight
	ejections           int       // ejections without a healthy period in between
	readmittedAt        time.Time
}

func newServer(incarnation int64, now time.Time) server {
	return server{incarnation: incarnation, rampStart: now, lastUsed: now}
}

func (s *server) begin(now time.Time, work float64) {
	s.lastUsed = now
	s.inFlight++
	s.sentSinceReport++
	s.inFlightWeight += 1 / work
	s.startSum += float64(now.Sub(s.rampStart)) / work
}

// workOf returns the work of a call, 1 when it is unknown.
func workOf(work float64) float64 {
	if work <= 0 {
		return 1
	}
	return work
}

func (s *server) end(cfg Config, now time.Time, r Result) {
	s.lastUsed = now
	work := workOf(r.Work)
	s.endInFlight(now, r.Latency, work)
	s.observeLatency(cfg, now, r, time.Duration(float64(r.Latency)/work))
	s.updateAvoidance(cfg, now, r)
	if r.Report != nil {
		s.report = *r.Report
		s.reportAt = now
		s.sentSinceReport = 0
	}
	s.updateEjection(cfg, now, r)
	s.observeBad(now, r)
}

const (
	// badSampleWeight is the weight of one call in the moving share of bad calls.
	badSampleWeight = 1.0 / 10
	// badDecay is the time constant of the share's decay while the server gets no
	// calls, so that it is tried again.
	badDecay = 3 * time.Second
	// badPenalty is the extra cost of a server that fails every call, in multiples
	// of its latency: each such call has to be sent again.
	badPenalty = 6
)

// observeBad updates the share of bad calls. A refusal by the server's node and
// a cancelled call say nothing about the server and are ignored.
func (s *server) observeBad(now time.Time, r Result) {
	if r.Canceled || r.NotRun && !r.Shed && !r.Failed {
		return
	}
	bad := 0.0
	if r.Failed || r.Shed {
		bad = 1
	}
	share := s.recentBadShare(now)
	s.badShare = share + badSampleWeight*(bad-share)
	s.badAt = now
}

// recentBadShare returns the recent share of calls that failed or were shed.
func (s *server) recentBadShare(now time.Time) float64 {
	return s.badShare * decay(now.Sub(s.badAt), badDecay)
}

func (s *server) endInFlight(now time.Time, latency time.Duration, work float64) {
	if s.inFlight == 0 {
		return
	}
	s.inFlight--
	s.inFlightWeight -= 1 / work
	s.startSum -= float64(now.Sub(s.rampStart)-latency) / work
	if s.inFlight == 0 {
		s.inFlightWeight, s.startSum = 0, 0
	}
}

// observeLatency adds a latency sample. A refusal is not a sample, since a
// server that refuses fast would attract every call. For the same reason a
// failed call counts only when it took at least the mean.
func (s *server) observeLatency(cfg Config, now time.Time, r Result, latency time.Duration) {
	if r.NotRun || latency <= 0 {
		return
	}
	mean := s.mean()
	if r.Failed && latency < mean {
		return
	}
	keep := decay(now.Sub(s.lastSampleAt), cfg.LatencyDecay)
	if latency > slowFactor*mean {
		keep *= slowKeep
	}
	s.latencySum = s.latencySum*keep + float64(latency)
	s.answers *= keep
	if !r.Canceled {
		s.answers++
	}
	s.lastSampleAt = now
}

// An answer slower than slowFactor times the mean halves the weight of all
// earlier samples (a peak-sensitive average), so that a server that becomes slow
// is detected after a few calls.
const (
	slowFactor = 2
	slowKeep   = 0.5
)

// mean returns the mean latency, 0 before the first sample.
func (s *server) mean() time.Duration {
	if s.latencySum == 0 {
		return 0
	}
	return time.Duration(s.latencySum / max(s.answers, minAnswers))
}

// minAnswers keeps the mean finite while no attempt was answered.
const minAnswers = 0.1

// decay returns exp(-age/constant), at most 1.
func decay(age, constant time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-float64(age) / float64(constant))
}

// avoidLatencyFactor times the duration of a failed attempt is the least time for
// which its server is avoided. A server that refuses at once is cheap to try
// again; one that does not answer costs each call its timeout.
const avoidLatencyFactor = 4

// maxUnreachable bounds the count of consecutive unreachable attempts, and so
// how often the time for which the server is avoided doubles.
const maxUnreachable = 3

// updateAvoidance avoids a server that refused a call with a retry-after, accepts
// no connections, or is unreachable. Other refusals are about the request and say
// nothing about the server. The time doubles while the server stays unreachable:
// nodes take seconds to learn that it is down, and each attempt costs a call the
// connection timeout.
func (s *server) updateAvoidance(cfg Config, now time.Time, r Result) {
	s.countUnreachable(now, r)
	wait := r.RetryAfter
	if wait <= 0 && r.Failed {
		wait = max(cfg.AvoidUnreachable, avoidLatencyFactor*r.Latency) << max(s.consecutiveUnreachable-1, 0)
	}
	if !r.NotRun && !r.Unreachable || wait <= 0 {
		return
	}
	until := now.Add(min(wait, cfg.AvoidMax))
	switch {
	case r.Refused == RefusedRank:
		s.noSlot.extend(now, until, r.Rank)
	case r.Refused == RefusedLink:
		s.noLink.extend(now, until, r.Rank)
	case until.After(s.avoidUntil):
		s.avoidUntil = until
	}
}

// shortage is a time for which a server refuses calls of a rank and lower ones.
type shortage struct {
	until time.Time
	rank  int // the most important rank that was refused
}

// covers reports whether calls of a rank would be refused.
func (s shortage) covers(now time.Time, rank int) bool { return now.Before(s.until) && rank >= s.rank }

// extend records a refusal.
func (s *shortage) extend(now, until time.Time, rank int) {
	if !now.Before(s.until) {
		*s = shortage{until: until, rank: rank}
		return
	}
	s.rank = min(s.rank, rank)
	if until.After(s.until) {
		s.until = until
	}
}

// avoids reports whether a call is better sent to another server.
func (s *server) avoids(now time.Time, r Request) bool {
	return now.Before(s.avoidUntil) || s.noSlot.covers(now, r.Rank) || r.Bytes >= LargeCallBytes && s.noLink.covers(now, r.Rank)
}

// someAvoidedUntil returns until when the server is avoided for some calls.
func (s *server) someAvoidedUntil() time.Time {
	until := s.avoidUntil
	for _, other := range []time.Time{s.noSlot.until, s.noLink.until} {
		if other.After(until) {
			until = other
		}
	}
	return until
}

// countUnreachable counts consecutive attempts that did not reach the server. An
// attempt that began before avoidUntil adds no information, since it was sent
// before the last one was known to have failed, or for lack of another server.
func (s *server) countUnreachable(now time.Time, r Result) {
	switch {
	case r.Canceled:
	case !r.Unreachable:
		s.consecutiveUnreachable = 0
	case !now.Add(-r.Latency).Before(s.avoidUntil):
		s.consecutiveUnreachable = min(s.consecutiveUnreachable+1, maxUnreachable)
	}
}

// updateEjection updates the ejection state. A refusal without a failure and a
// cancelled call say nothing about the server's health; a probe that ends so may
// be repeated.
func (s *server) updateEjection(cfg Config, now time.Time, r Result) {
	if r.Canceled || (r.NotRun && !r.Failed) {
		s.probeUntil = time.Time{}
		return
	}
	s.countResult(r.Failed)
	switch {
	case s.ejected && !s.probeUntil.IsZero():
		s.endProbe(cfg, now, r.Failed)
	case !s.ejected && r.Failed && s.failing(cfg):
		s.eject(cfg, now)
	}
}

func (s *server) countResult(failed bool) {
	s.recentResults = s.recentResults << 1 & recentMask
	s.recentCount = min(s.recentCount+1, recentCalls)
	if !failed {
		s.consecutiveFailures = 0
		return
	}
	s.recentResults |= 1
	s.consecutiveFailures++
}

func (s *server) failing(cfg Config) bool {
	if s.consecutiveFailures >= cfg.ConsecutiveFailures {
		return true
	}
	failures := bits.OnesCount32(s.recentResults)
	return s.recentCount == recentCalls && float64(failures) > cfg.FailureShare*recentCalls
}

func (s *server) eject(cfg Config, now time.Time) {
	if now.Sub(s.readmittedAt) > cfg.EjectTimeMax {
		s.ejections = 0
	}
	wait := min(cfg.EjectTime<<min(s.ejections, maxDoublings), cfg.EjectTimeMax)
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

func (s *server) endProbe(cfg Config, now time.Time, failed bool) {
	if failed {
		s.readmittedAt = now // counts as no healthy period, so that the next ejection time doubles
		s.eject(cfg, now)
		return
	}
	ejections := s.ejections
	s.ejectionState = ejectionState{ejections: ejections, readmittedAt: now}
	s.restartRamp(now)
}

// restartRamp starts the cold-start ramp again, as after a restart of the server.
func (s *server) restartRamp(now time.Time) {
	s.startSum -= s.inFlightWeight * float64(now.Sub(s.rampStart))
	s.rampStart = now
}

// probeDue reports whether a probe may be sent to an ejected server. A probe
// that was refused is repeated when the server's retry-after is over.
func (s *server) probeDue(now time.Time) bool {
	return s.ejected &&
		!now.Before(s.ejectedUntil) &&
		!now.Before(s.probeUntil) &&
		!now.Before(s.avoidUntil)
}

// weight is the weight of a server in the random choice, below 1 during its cold
// start.
func (s *server) weight(cfg Config, now time.Time) float64 {
	age := now.Sub(s.rampStart)
	if age >= cfg.ColdStart {
		return 1
	}
	progress := max(float64(age)/float64(cfg.ColdStart), 0)
	return cfg.ColdWeight + (1-cfg.ColdWeight)*progress
}

// estimate is what is expected of one more call to a server, for a call of work 1.
type estimate struct {
	latency   time.Duration // without a wait for a slot
	answer    time.Duration // with the wait for a slot
	cost      time.Duration // for the choice: also avoids servers that fill up or fail calls
	occupancy float64       // 0 when it is not known
}

// estimate returns what is expected of one more call. fallback is the latency
// assumed while samples are missing or old.
func (s *server) estimate(cfg Config, now time.Time, fallback time.Duration) estimate {
	latency := s.latency(cfg, now, fallback)
	if cfg.ExactReports && s.report.Slots > 0 {
		occupancy := s.occupancy(cfg, now)
		return estimate{
			latency: time.Duration(latency), occupancy: occupancy,
			answer: time.Duration(latency * queueFactor(occupancy)),
			cost:   time.Duration(latency * occupancyFactor(occupancy) * (1 + badPenalty*s.recentBadShare(now))),
		}
	}
	cost := time.Duration(latency * float64(s.inFlight+1) * s.reportFactor(cfg, now))
	return estimate{latency: time.Duration(latency), answer: cost, cost: cost}
}

// occupancy is the number of running and queued calls per slot of the server,
// from its node's last report and this node's calls since then.
func (s *server) occupancy(cfg Config, now time.Time) float64 {
	age := float64(max(now.Sub(s.reportAt), 0)) / float64(cfg.ReportHalfLife)
	calls := float64(s.report.InUse+s.report.Queued)*math.Exp2(-age) + float64(s.sentSinceReport+1)
	return calls / float64(s.report.Slots)
}

// occupancyFactor is the factor by which a call takes longer at an occupancy. Up
// to one a call finds a slot, but servers slow down as they fill; above one it
// waits in the queue.
func occupancyFactor(occupancy float64) float64 {
	if occupancy <= 1 {
		return 1 + occupancy*occupancy
	}
	return 2 + queueSlope*(occupancy-1)
}

// queueFactor is the factor by which a call takes longer because it waits for a
// slot.
func queueFactor(occupancy float64) float64 { return 1 + max(occupancy-1, 0) }

// queueSlope is the increase of occupancyFactor for each further round of calls
// queued ahead. It is above 1 because many nodes see the same report and send
// calls at the same time.
const queueSlope = 3

// latency is the mean latency, in ns, in which calls in flight count with their
// age so far and fallback counts as one sample. It decays towards fallback while
// no sample arrives, so that a server that recovered is tried again.
func (s *server) latency(cfg Config, now time.Time, fallback time.Duration) float64 {
	keep := decay(now.Sub(s.lastSampleAt), cfg.LatencyDecay)
	sum := s.latencySum*keep + s.inFlightAge(now) + float64(fallback)
	return sum / (s.answers*keep + 1)
}

// inFlightAge is the sum of the ages of the calls in flight, in ns.
func (s *server) inFlightAge(now time.Time) float64 {
	return max(s.inFlightWeight*float64(now.Sub(s.rampStart))-s.startSum, 0)
}

// reportFactor is the factor from the load report, from 1 to 2. The report has
// the weight of one of the node's own recent calls, so it matters where those
// are few, and a report of an idle server never improves on what they show.
func (s *server) reportFactor(cfg Config, now time.Time) float64 {
	if s.reportAt.IsZero() || s.report.Slots <= 0 {
		return 1
	}
	busy := float64(s.report.InUse+s.report.Queued) / float64(s.report.Slots)
	age := float64(max(now.Sub(s.reportAt), 0)) / float64(cfg.ReportHalfLife)
	own := s.answers * decay(now.Sub(s.lastSampleAt), cfg.LatencyDecay)
	return 1 + min(max(busy, 0), 1)*math.Exp2(-age)/(1+own)
}
