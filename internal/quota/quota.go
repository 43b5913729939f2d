// Package quota decides which calls of an organisation are within its quota,
// which holds over all nodes together.
//
// A Limiter decides on the node that a call enters. A Counter, on one node of
// each failure domain, adds up what the nodes of the domain and the counters of
// other domains report, and answers with the fraction of calls to admit. The
// package does no I/O, reads no clock and knows no codec; internal/quotasync
// runs the exchange.
package quota

import (
	"time"
)

// Limit is the quota of an organisation over all nodes together. A rate of 0
// sets none.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Bounds says how far the calls of an organisation in any window may exceed its
// limit: (rate x Window + burst) x (1 + Overage) + Slack.
type Bounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64 // calls
}

// DefaultBounds are the bounds of a deployment that names none.
var DefaultBounds = Bounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Max returns the number of calls that may arrive in a window.
func (b Bounds) Max(l Limit) float64 {
	return l.quotaIn(b.Window) + b.room(l)
}

// room returns the number of calls by which a window may exceed the limit.
func (b Bounds) room(l Limit) float64 {
	return b.Overage*l.quotaIn(b.Window) + b.Slack
}

func (l Limit) quotaIn(window time.Duration) float64 {
	return l.RatePerSecond*window.Seconds() + l.Burst
}

// Decision is the answer to one call. RetryAfter is set when it is not allowed.
type Decision struct {
	Allowed    bool
	RetryAfter time.Duration
}

// Count is what one organisation asked for and got since the last report.
type Count struct {
	Organisation string
	Limit        Limit
	Asked        int64
	Admitted     int64 // less the calls that were given back; may be negative
}

// Restriction says which fraction of an organisation's calls to admit.
type Restriction struct {
	Organisation string
	Fraction     float64 // from 0 to below 1
}

// Answer is the response of a counter to a report: all restrictions in force,
// and when to report again.
type Answer struct {
	Restrictions []Restriction
	Interval     time.Duration
}

// Attention says how soon counts need to be sent.
type Attention int

// Levels of attention.
const (
	AttentionNone  Attention = iota
	AttentionLater           // at the next interval
	AttentionNow
)
