// Package proxy holds what both hops of the path of calls share: connections,
// messages and their bodies, the headers of the system, and the answers that
// it gives itself. The hops are the packages front and guard; with them it
// alone knows callers' HTTP.
package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Headers of the system.
const (
	HeaderOutcome      = "Goldcrest-Outcome"
	HeaderReason       = "Goldcrest-Reason"
	HeaderRetryAfterMs = "Goldcrest-Retry-After-Ms"
	HeaderDeadlineMs   = "Goldcrest-Deadline-Ms" // time left for the call
	HeaderPriority     = "Goldcrest-Priority"
	HeaderHops         = "Goldcrest-Hops"
	HeaderKey          = "Goldcrest-Key" // the idempotency key between nodes
	HeaderRoute        = "Goldcrest-Route"
	HeaderPatienceMs   = "Goldcrest-Patience-Ms" // between nodes: longest wait for a slot while another server is left to ask
	HeaderService      = "Goldcrest-Service"     // between nodes: the service that a call is meant for
	HeaderKeyCaller    = "Idempotency-Key"       // the idempotency key from callers
	HeaderOnce         = "Goldcrest-Once"        // between nodes: run at most once under the key; the value is the form of keys
	HeaderRepeat       = "Goldcrest-Repeat"      // between nodes: the call may run more than once
	HeaderHeld         = "Goldcrest-Held"        // between nodes: id of the claim whose holder the call is sent on to
	HeaderCall         = "Goldcrest-Call"        // between nodes: a mark that the answer repeats
	HeaderLoad         = "Goldcrest-Load"        // between nodes: load report of the backend server
	HeaderQuarantine   = "Goldcrest-Quarantine"  // between nodes: news of quarantine
	HeaderAnswerHops   = "Goldcrest-Answer-Hops" // nodes that the answer has passed through
)

// Outcome tells a caller what became of a call.
type Outcome string

// Outcomes of a call.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of outcomes, as sent in HeaderReason.
const (
	ReasonNoRoute        = "no_route"
	ReasonNoBackend      = "no_backend"
	ReasonDraining       = "draining"
	ReasonOverloaded     = "overloaded"
	ReasonShed           = "shed_by_server" // the backend server itself did not run the call
	ReasonWrongService   = "wrong_service"  // another service runs at the address now
	ReasonNotReported    = "not_reported"   // the backend server has not reported to its node yet
	ReasonConnect        = "connect_failed"
	ReasonReleased       = "claim_released" // between nodes only
	ReasonCut            = "connection_cut"
	ReasonCanceled       = "canceled" // the caller left, or another attempt answered first
	ReasonNotReady       = "not_ready"
	ReasonTooManyHop     = "too_many_hops"
	ReasonHeaderTooLarge = "header_too_large"
	ReasonBodyTooLarge   = "body_too_large"
	ReasonBodyCut        = "body_cut"
	ReasonUpgrade        = "upgrade_refused"
	ReasonTarget         = "bad_target"
	ReasonDeadline       = "deadline"
	ReasonQuarantined    = "quarantined"
	ReasonSuspectBusy    = "suspect_busy"
	ReasonBudget         = "cross_region_budget"
)

// Words of HeaderPriority.
const (
	PriorityCaller     = "caller"
	PriorityBackground = "background"
)

// Values of HeaderOnce, which are those of the policy.
const (
	AnyKeys  = "any"
	uuidKeys = "uuidv7"
)

// KeyForm returns the form of keys that a policy asks for, as in HeaderOnce.
func KeyForm(p *profile.Policy) string {
	if p.Keys == AnyKeys {
		return AnyKeys
	}
	return uuidKeys
}

// MaxHops is the deepest chain of calls.
const MaxHops = 16

// Failure is an answer that the system gives itself.
type Failure struct {
	Status       int           `json:"-"`
	Outcome      Outcome       `json:"outcome"`
	Reason       string        `json:"reason"`
	Message      string        `json:"message"`
	RetryAfter   time.Duration `json:"-"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
	RanStatus    int           `json:"ranStatus,omitempty"` // of an answer that is no longer there
}

// Write answers a caller who speaks dialect d.
func (f Failure) Write(w http.ResponseWriter, d *Dialect) {
	f = d.edit(f)
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, f.Reason)
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		f.RetryAfterMs = max(f.RetryAfter.Milliseconds(), 1)
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(f.RetryAfterMs, 10))
		h.Set("Retry-After", d.retryAfter(f.RetryAfter))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(f)
}

// NotRun returns the answer to a call that was not run.
func NotRun(status int, reason, message string) *Failure {
	return &Failure{Status: status, Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// Later adds the time after which the call may be tried again.
func (f *Failure) Later(after time.Duration) *Failure {
	f.RetryAfter = after
	return f
}

// Unknown returns the answer to a call that may have been run.
func Unknown(status int, reason, message string) *Failure {
	return &Failure{Status: status, Outcome: OutcomeUnknown, Reason: reason, Message: message}
}
