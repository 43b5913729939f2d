package balance

import "time"

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
