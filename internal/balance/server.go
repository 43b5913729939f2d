package balance

import (
	"math"
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

	leftStart int64 // latest start, as of snapshot.Endpoint, that has said in an answer that it shuts down

	ejectionState
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

// restartRamp starts the cold-start ramp again, as after a restart of the server.
func (s *server) restartRamp(now time.Time) {
	s.startSum -= s.inFlightWeight * float64(now.Sub(s.rampStart))
	s.rampStart = now
}
