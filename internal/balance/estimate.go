package balance

import (
	"math"
	"time"
)

// weight is the weight of a server in the random choice, below 1 during its cold
// start. Where the servers' nodes pace them, it is the part of the slots that are
// open by the last report, and small before the first one: nodes that all take a
// new server for idle would send it more than it can take.
func (s *server) weight(cfg Config, now time.Time, slots int) float64 {
	age := now.Sub(s.rampStart)
	if age >= cfg.ColdStart {
		return 1
	}
	if cfg.Paced && s.report.Slots > 0 && slots > 0 {
		return min(max(float64(s.report.Slots)/float64(slots), cfg.ColdWeight), 1)
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
	reported := s.reportedAnswers(now)
	sum := s.latencySum*keep + s.inFlightAge(now) + reported*float64(s.report.UnitTime) + float64(fallback)
	return sum / (s.answers*keep + reported + 1)
}

// measured is the mean latency from the node's own answers and the reported service
// time, 0 without either. It is the same measure as latency, so that a server
// without any ranks neither better nor worse than the mean of the others.
func (s *server) measured(cfg Config, now time.Time) time.Duration {
	reported := s.reportedAnswers(now)
	if reported == 0 {
		return s.mean()
	}
	keep := decay(now.Sub(s.lastSampleAt), cfg.LatencyDecay)
	sum := s.latencySum*keep + reported*float64(s.report.UnitTime)
	return time.Duration(sum / (s.answers*keep + reported))
}

const (
	// reportedTimeWeight is the number of own answers that a reported service time
	// counts as. It is the mean of more calls than this node sends to the server.
	reportedTimeWeight = 8
	// reportedTimeDecay is the time constant of its weight: a server that was slow
	// and gets few calls since is tried again.
	reportedTimeDecay = 3 * time.Second
)

// reportedAnswers is the number of answers that the reported service time counts
// as.
func (s *server) reportedAnswers(now time.Time) float64 {
	if s.report.UnitTime <= 0 {
		return 0
	}
	return reportedTimeWeight * decay(now.Sub(s.reportAt), reportedTimeDecay)
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
