// Package proxy holds what the outbound and the inbound proxy share:
// connections, messages and their bodies, the headers of the system, and the
// answers that nodes generate. Only this package and its subpackages outbound
// and inbound handle the HTTP of calls.
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
	HeaderOutcome        = "Goldcrest-Outcome"
	HeaderReason         = "Goldcrest-Reason"
	HeaderRetryAfterMs   = "Goldcrest-Retry-After-Ms"
	HeaderDeadlineMs     = "Goldcrest-Deadline-Ms" // remaining time of the call
	HeaderPriority       = "Goldcrest-Priority"
	HeaderHops           = "Goldcrest-Hops"
	HeaderInternalKey    = "Goldcrest-Key" // the idempotency key between nodes
	HeaderRoute          = "Goldcrest-Route"
	HeaderMaxSlotWaitMs  = "Goldcrest-Patience-Ms"    // between nodes: longest wait for a slot while other servers are untried
	HeaderRank           = "Goldcrest-Rank"           // between nodes: rank of the call, 0 is the most important
	HeaderObjectiveMs    = "Goldcrest-Objective-Ms"   // between nodes: time left to the route's latency objective, 0 if it has passed
	HeaderWork           = "Goldcrest-Work"           // between nodes: expected time of the call in relation to the mean call of its service
	HeaderOrganisation   = "Goldcrest-Organisation"   // between nodes and, unless the dialect names another, to the backend server: the calling organisation
	HeaderService        = "Goldcrest-Service"        // between nodes: the service that a call is for
	HeaderIdempotencyKey = "Idempotency-Key"          // the idempotency key from callers
	HeaderAtMostOnce     = "Goldcrest-Once"           // between nodes: run at most once under the key; the value is the key format
	HeaderRepeatable     = "Goldcrest-Repeat"         // between nodes: the call may run more than once
	HeaderClaim          = "Goldcrest-Held"           // between nodes: id of the claim, on a call forwarded to its holder
	HeaderBodyOnDemand   = "Goldcrest-Body-On-Demand" // between nodes: the body is sent once the inbound proxy reads it
	HeaderExchangeID     = "Goldcrest-Call"           // between nodes: id that the answer returns
	HeaderTransmissionID = "Goldcrest-Transmission"   // id that the answer of a backend server may return
	HeaderLoad           = "Goldcrest-Load"           // between nodes: load report of the backend server
	HeaderQuarantine     = "Goldcrest-Quarantine"     // between nodes: quarantine entries
	HeaderAnswerHops     = "Goldcrest-Answer-Hops"    // nodes that the answer has passed through
)

// Outcome reports to a caller whether a call was run.
type Outcome string

// Outcomes of a call.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Reasons of outcomes, as sent in HeaderReason.
const (
	ReasonNoRoute           = "no_route"
	ReasonNoBackend         = "no_backend"
	ReasonDraining          = "draining"
	ReasonOverloaded        = "overloaded"
	ReasonLinkBusy          = "link_busy"      // the server's link has no room for a large answer
	ReasonShedByServer      = "shed_by_server" // the backend server itself did not run the call
	ReasonWrongService      = "wrong_service"  // the address now belongs to another service
	ReasonVersionHeld       = "version_held"   // the server's version gets no more calls for now
	ReasonNotReported       = "not_reported"   // the backend server has not reported to its node yet
	ReasonConnectFailed     = "connect_failed"
	ReasonClaimReleased     = "claim_released" // between nodes only
	ReasonConnectionCut     = "connection_cut"
	ReasonCanceled          = "canceled" // the caller disconnected, or another attempt answered first
	ReasonNotReady          = "not_ready"
	ReasonTooManyHops       = "too_many_hops"
	ReasonHeaderTooLarge    = "header_too_large"
	ReasonBodyTooLarge      = "body_too_large"
	ReasonBodyCut           = "body_cut"
	ReasonUpgradeRefused    = "upgrade_refused"
	ReasonBadTarget         = "bad_target"
	ReasonDeadline          = "deadline"
	ReasonQuarantined       = "quarantined"
	ReasonSuspectBusy       = "suspect_busy"
	ReasonQuota             = "quota" // the organisation has used up its quota
	ReasonCrossRegionBudget = "cross_region_budget"
	ReasonMissingKey        = "missing_key" // the route is not public and the call carries no key
	ReasonUnknownKey        = "unknown_key" // no organisation holds the key of the call
)

// Values of HeaderPriority.
const (
	PriorityCaller     = "caller"
	PriorityBackground = "background"
)

// Values of HeaderAtMostOnce, the same as in a policy.
const (
	AnyKeys    = "any"
	uuidv7Keys = "uuidv7"
)

// KeyFormat returns the format of keys that a policy requires, as a value of
// HeaderAtMostOnce.
func KeyFormat(p *profile.Policy) string {
	if p.Keys == AnyKeys {
		return AnyKeys
	}
	return uuidv7Keys
}

// MaxHops limits the hops in a chain of calls.
const MaxHops = 16

// Failure is an answer that a node generates.
type Failure struct {
	Status       int           `json:"-"`
	Outcome      Outcome       `json:"outcome"`
	Reason       string        `json:"reason"`
	Message      string        `json:"message"`
	RetryAfter   time.Duration `json:"-"`
	RetryAfterMs int64         `json:"retryAfterMs,omitempty"`
	RanStatus    int           `json:"ranStatus,omitempty"` // status of an answer that is no longer available
}

// Write sends the failure as the answer to a caller with dialect d.
func (f Failure) Write(w http.ResponseWriter, d *Dialect) {
	f = d.adapt(f)
	h := w.Header()
	h.Set(HeaderOutcome, string(f.Outcome))
	h.Set(HeaderReason, f.Reason)
	h.Set("Content-Type", "application/json")
	if f.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", keyScheme) // RFC 9110, 15.5.2 requires it
	}
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

// WithRetryAfter sets the time after which the call may be sent again.
func (f *Failure) WithRetryAfter(after time.Duration) *Failure {
	f.RetryAfter = after
	return f
}

// Unknown returns the answer to a call that may have been run.
func Unknown(status int, reason, message string) *Failure {
	return &Failure{Status: status, Outcome: OutcomeUnknown, Reason: reason, Message: message}
}
