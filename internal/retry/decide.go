// Package retry decides which calls are sent again: budgets that bound
// retries and hedges, rules on what may be retried, and the time after which a
// call is hedged. It does no I/O and reads no clock.
//
// A node records each call with Budgets.Call. When an attempt ends without an
// answer to pass on, it asks Decide, and for a TryNext that is not free also
// Budgets.Spend; if
// either says no, it answers with ReasonExhausted, but for PassOn as it is. A
// hedge is sent after Latencies.HedgeAfter, if Budgets.Spend allows it.
package retry

import (
	"net/http"
	"time"
)

// Outcome is what is known of an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	Ran     Outcome = "ran"     // the server answered
	NotRun  Outcome = "not-run" // refused before it ran
	Unknown Outcome = "unknown" // sent, and no answer came
)

// ReasonExhausted marks the answer of a node that has retried a call or was
// not allowed to. Nodes above pass it on, so that only the layer next to a
// failure retries it.
const ReasonExhausted = "retries_exhausted"

// finalReasons are refusals that every other backend server would repeat.
var finalReasons = map[string]bool{
	"no_route":        true,
	"no_backend":      true,
	"not_ready":       true,
	"too_many_hops":   true,
	"quarantined":     true,
	"log_unavailable": true,
	"key_refused":     true,
}

// unreachedReasons are refusals of a node whose backend server takes no calls.
var unreachedReasons = map[string]bool{
	"connect_failed": true,
	"draining":       true,
	"not_reported":   true,
	"overloaded":     true,
	"wrong_service":  true,
}

// maxRefusals bounds the nodes that refuse one call before it is given up, so
// that an overloaded service is not searched node by node.
const maxRefusals = 3

// maxAnswerHops is how many nodes below this one an answer may have passed
// through and still be retried here: the one beside the backend server.
const maxAnswerHops = 1

// Attempt is one attempt that ended, and what is left of its call.
type Attempt struct {
	Idempotent bool // the call may run more than once
	Outcome    Outcome
	Reason     string // of the answer's header; empty when there is none
	Status     int    // HTTP status of the answer; 0 when there is none
	// AnswerHops is how many nodes below this one the answer came through. It
	// is 0 when the attempt failed on the way to the first of them.
	AnswerHops int
	Tries      int // attempts so far that may have reached a backend server, hedges included
	Refusals   int // attempts so far that reached no backend server
	MaxRetries int // of the profile's policy
	// Remaining is the time left until the call's deadline, and Needed the
	// least time in which another attempt can succeed.
	Remaining time.Duration
	Needed    time.Duration
	Canceled  bool // the caller has gone
	// BodyLost means that the request body was read in part and is not kept,
	// so that it cannot be sent again.
	BodyLost bool
	// Streaming means that a part of the answer has reached the caller.
	Streaming bool
}

// Verdict names what to do with an attempt that ended.
type Verdict string

// Verdicts of Decide.
const (
	PassOn  Verdict = "pass-on" // give the answer to the caller as it is
	GiveUp  Verdict = "give-up" // give it with ReasonExhausted, so that no layer above retries
	TryNext Verdict = "retry"   // send to another server, if Budgets.Spend allows it
)

// Decision is what to do with an attempt that ended, and the rule that said so.
type Decision struct {
	Verdict Verdict
	Rule    string // name of the rule, for logs and counters
	// Free means that the retry needs no budget: the attempt reached no backend
	// server, so that sending the call to one is no additional load.
	Free bool
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

// Decide applies the rules to an attempt. A retry that is not free also needs
// Budgets.Spend; when that refuses, the node acts as for GiveUp.
func Decide(a Attempt) Decision {
	for _, r := range rules {
		if r.applies(a) {
			return Decision{Verdict: r.verdict, Rule: r.name, Free: r.verdict == TryNext && a.unreached()}
		}
	}
	return Decision{Verdict: PassOn}
}

// unreached reports whether no backend server got a part of the attempt.
func (a Attempt) unreached() bool {
	return a.Outcome == NotRun && unreachedReasons[a.Reason]
}

func (a Attempt) succeeded() bool {
	return a.Outcome == Ran && a.Status < http.StatusInternalServerError
}

// finalStatus reports whether a server's own answer is not retried here. With
// 502 and 504 the server says that one behind it failed, and the layer next to
// that has had its tries. Only 500 and 503 may differ on another server.
func (a Attempt) finalStatus() bool {
	return a.Outcome == Ran &&
		a.Status != http.StatusInternalServerError &&
		a.Status != http.StatusServiceUnavailable
}
