package balance

import (
	"math/bits"
	"time"
)

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

// probeDue reports whether a probe may be sent to an ejected server. A probe
// that was refused is repeated when the server's retry-after is over.
func (s *server) probeDue(now time.Time) bool {
	return s.ejected &&
		!now.Before(s.ejectedUntil) &&
		!now.Before(s.probeUntil) &&
		!now.Before(s.avoidUntil)
}
