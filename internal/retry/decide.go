// Package retry decides which calls are sent again. It holds budgets that limit
// retries and hedges, rules on what may be retried, and the time after which a
// call is hedged. It does no I/O and reads no clock.
//
// A node records each call with Budgets.AddCall and passes each attempt that
// ended to Decide. PassOn returns the answer unchanged and GiveUp returns it with
// ReasonExhausted. TryNext sends the call again; unless the decision is
// Unbudgeted it needs a token from Budgets.Spend and is treated as GiveUp without
// one. A hedge is sent after Latencies.HedgeAfter, if Budgets.Spend allows it.
package retry

import (
	"net/http"
	"time"
)

// Outcome is whether an attempt ran on a backend server.
type Outcome string

// Outcomes of an attempt.
const (
	Ran     Outcome = "ran"     // the server answered
	NotRun  Outcome = "not-run" // refused before it ran
	Unknown Outcome = "unknown" // may have run: sent, but not answered
)

// ReasonExhausted marks the answer of a node that has used up its retries of a
// call or may not retry it. Upper layers pass it on, so that only the layer
// next to a failure retries.
const ReasonExhausted = "retries_exhausted"

// finalReasons are reasons for which every other backend server would refuse the
// call too.
var finalReasons = map[string]bool{
	"no_route":        true,
	"no_backend":      true,
	"not_ready":       true,
	"too_many_hops":   true,
	"quarantined":     true,
	"log_unavailable": true,
	"key_refused":     true,
}

// undeliveredReasons are refusals by a node that sent nothing to its backend
// server.
var undeliveredReasons = map[string]bool{
	"connect_failed": true,
	"draining":       true,
	"not_reported":   true,
	"overloaded":     true,
	"link_busy":      true,
	"wrong_service":  true,
	"version_held":   true,
}

// maxRefusals is the largest number of refusals after which a call is still
// retried, so that a call to an overloaded service does not try every node.
const maxRefusals = 3

// maxAnswerHops is the largest number of nodes that the answer of a failed attempt
// may have passed through for this node to retry: only the one beside the backend
// server.
const maxAnswerHops = 1

// Attempt is an attempt that ended, with the state of its call.
type Attempt struct {
	Idempotent bool // the call may run more than once
	Outcome    Outcome
	Reason     string // reason header of the answer; empty when there is none
	Status     int    // HTTP status of the answer; 0 when there is none
	// AnswerHops is the number of nodes that the answer passed through before this
	// one, 0 when it has no answer.
	AnswerHops int
	Tries      int // attempts so far that may have reached a backend server, including hedges
	Refusals   int // attempts so far that reached no backend server
	MaxRetries int // from the profile's policy
	// Remaining is the time until the call's deadline, and Needed the least time in
	// which another attempt can succeed.
	Remaining time.Duration
	Needed    time.Duration
	Canceled  bool // by the caller
	// BodyLost means that the request body was partly read and not buffered, so
	// that it cannot be sent again.
	BodyLost bool
	// Streaming means that part of the answer was already sent to the caller.
	Streaming bool
}

// Verdict is the action after an attempt that ended.
type Verdict string

// Verdicts of Decide.
const (
	PassOn  Verdict = "pass-on" // return the answer unchanged
	GiveUp  Verdict = "give-up" // return it with ReasonExhausted, so that no upper layer retries
	TryNext Verdict = "retry"   // send the call to another server, if Budgets.Spend allows it
)

// Decision is a verdict and the rule that led to it.
type Decision struct {
	Verdict Verdict
	Rule    string // name of the rule, for logs and counters
	// Unbudgeted means that the retry needs no token: the attempt reached no
	// backend server, so that a retry adds no load.
	Unbudgeted bool
}

type rule struct {
	name    string
	applies func(Attempt) bool
	verdict Verdict
}

// rules are tried in order; the first that applies decides.
var rules = []rule{
	{"success", Attempt.succeeded, PassOn},
	{"caller_gone", func(a Attempt) bool { return a.Canceled }, PassOn},
	{"answer_begun", func(a Attempt) bool { return a.Streaming }, PassOn},
	{"retried_below", func(a Attempt) bool { return a.Reason == ReasonExhausted }, PassOn},
	{"failed_far_below", func(a Attempt) bool { return a.AnswerHops > maxAnswerHops }, PassOn},
	{"final_reason", func(a Attempt) bool { return finalReasons[a.Reason] }, PassOn},
	{"may_have_run", func(a Attempt) bool { return !a.Idempotent && a.Outcome != NotRun }, PassOn},
	{"final_status", Attempt.finalStatus, PassOn},
	{"body_lost", func(a Attempt) bool { return a.BodyLost }, GiveUp},
	{"tries_used", func(a Attempt) bool { return a.Tries > a.MaxRetries }, GiveUp},
	{"refusals_used", func(a Attempt) bool { return a.Refusals > maxRefusals }, GiveUp},
	{"no_time_left", func(a Attempt) bool { return a.Remaining <= a.Needed }, GiveUp},
	{"retry", func(Attempt) bool { return true }, TryNext},
}

// Decide applies the rules to an attempt. A retry that is not Unbudgeted also
// needs a token from Budgets.Spend; without one the node acts as for GiveUp.
func Decide(a Attempt) Decision {
	for _, r := range rules {
		if r.applies(a) {
			return Decision{Verdict: r.verdict, Rule: r.name, Unbudgeted: r.verdict == TryNext && a.undelivered()}
		}
	}
	return Decision{Verdict: PassOn}
}

// undelivered reports whether no backend server received any part of the attempt.
func (a Attempt) undelivered() bool {
	return a.Outcome == NotRun && undeliveredReasons[a.Reason]
}

func (a Attempt) succeeded() bool {
	return a.Outcome == Ran && a.Status < http.StatusInternalServerError
}

// finalStatus reports whether the status of a server's own answer rules out a
// retry. 502 and 504 mean that a server behind it failed, which the layer next to
// that one has already retried. Only 500 and 503 may differ on another server.
func (a Attempt) finalStatus() bool {
	return a.Outcome == Ran &&
		a.Status != http.StatusInternalServerError &&
		a.Status != http.StatusServiceUnavailable
}
