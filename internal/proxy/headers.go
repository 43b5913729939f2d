// Package proxy is the path of calls: net/http on both sides, decisions from
// the packages balance, admission, retry, once and quarantine. It alone knows
// callers' HTTP.
package proxy

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
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
	HeaderKeyCaller    = "Idempotency-Key" // the idempotency key from callers
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
	ReasonConnect        = "connect_failed"
	ReasonCut            = "connection_cut"
	ReasonNotReady       = "not_ready"
	ReasonTooManyHop     = "too_many_hops"
	ReasonHeaderTooLarge = "header_too_large"
	ReasonBodyTooLarge   = "body_too_large"
	ReasonBodyCut        = "body_cut"
	ReasonUpgrade        = "upgrade_refused"
	ReasonTarget         = "bad_target"
	ReasonDeadline       = "deadline"
)

// maxHops is the deepest chain of calls.
const maxHops = 16

// Failure is an answer that the system gives itself.
type Failure struct {
	Status       int           `json:"-"`
	Outcome      Outcome       `json:"outcome"`
	Reason       string        `json:"reason"`
	Message      string        `json:"message"`
	RetryAfter   time.Duration `json:"-"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
}

func (f Failure) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, f.Reason)
	h.Set("Content-Type", "application/json")
	if f.RetryAfter > 0 {
		f.RetryAfterMs = max(f.RetryAfter.Milliseconds(), 1)
		h.Set(HeaderRetryAfterMs, strconv.FormatInt(f.RetryAfterMs, 10))
		seconds := int64((f.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(f.Status)
	_ = json.NewEncoder(w).Encode(f)
}

// notRun returns the answer to a call that was not run.
func notRun(status int, reason, message string) *Failure {
	return &Failure{Status: status, Outcome: OutcomeNotRun, Reason: reason, Message: message}
}

// unknown returns the answer to a call that may have been run.
func unknown(status int, reason, message string) *Failure {
	return &Failure{Status: status, Outcome: OutcomeUnknown, Reason: reason, Message: message}
}
