package proxy

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
)

// Dialect names the headers that the callers and backend servers of a
// deployment use. The zero value is the product's own interface. An empty name
// means that the deployment has no such header.
type Dialect struct {
	Deadline string // remaining time of a call, in ms; empty means HeaderDeadlineMs
	CallID   string // id of one transmission by a caller; backend servers return it in their answers; empty means HeaderTransmissionID, which they may return
	Caller   string // service of the calling instance; set by the outbound proxy
	// Organisation is the header that tells the backend server which organisation
	// made the call; empty means HeaderOrganisation. Set by the inbound proxy,
	// whatever the caller sent.
	Organisation string
	Target       string // instance of the backend server that a call is for; set by the inbound proxy
	NotExecuted  string // in an answer of a backend server that did not run the call
	Limit        string // in an answer of a backend server: the calls a second that it takes from all nodes together
	Leaving      string // in an answer of a backend server that shuts down; the value is leavingValue
	// RefusalStatus replaces the 5xx status of every answer that says that a
	// call was not run; 0 keeps the status of the reason. It is for callers that
	// read "not run" from the status alone.
	RefusalStatus int
	// DeadlineCoversAnswer means that a call's deadline applies to the complete
	// answer and not only to its first byte.
	DeadlineCoversAnswer bool
	// FractionalRetryAfter means that callers accept fractions of a second in
	// Retry-After.
	FractionalRetryAfter bool
}

// OwnDialect is the product's own interface, which nodes use among themselves.
var OwnDialect Dialect

// DeadlineName returns the name of the header with the remaining time.
func (d *Dialect) DeadlineName() string {
	if d.Deadline == "" {
		return HeaderDeadlineMs
	}
	return d.Deadline
}

// OrganisationName returns the name of the header with the calling organisation.
func (d *Dialect) OrganisationName() string {
	if d.Organisation == "" {
		return HeaderOrganisation
	}
	return d.Organisation
}

// ReportsNotRun reports whether an answer says that the backend server did not
// run the call: by the header NotExecuted or by status 421.
func (d *Dialect) ReportsNotRun(a *Answer) bool {
	if d.NotExecuted == "" {
		return false
	}
	return a.Header.Get(d.NotExecuted) != "" || a.StatusCode == http.StatusMisdirectedRequest
}

// leavingValue is the value of the header Leaving.
const leavingValue = "1"

// IsLeaving reports whether an answer says that the backend server shuts down.
func (d *Dialect) IsLeaving(h http.Header) bool {
	return d.Leaving != "" && h.Get(d.Leaving) == leavingValue
}

// LimitOf returns what an answer of the backend server says of its limit. Of
// several values the lowest counts, and those that are no limit are ignored.
func (d *Dialect) LimitOf(h http.Header) admission.StatedLimit {
	if d.Limit == "" {
		return admission.StatedLimit{}
	}
	values := h.Values(d.Limit)
	if len(values) == 0 {
		return admission.StatedLimit{Kind: admission.LimitNone}
	}
	var out admission.StatedLimit
	for text := range strings.SplitSeq(strings.Join(values, ","), ",") {
		limit, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			continue
		}
		if out.Kind != admission.LimitNamed || limit < out.CallsPerSecond {
			out = admission.StatedLimit{Kind: admission.LimitNamed, CallsPerSecond: limit}
		}
	}
	return out
}

// Matches reports whether an answer of a backend server belongs to the call.
// A server may send a second answer late, in place of the next one; its id shows
// that. Refusals may lack an id, since a server may send them before it reads the id;
// on a connection that has served other calls such a refusal may be one of those.
func (d *Dialect) Matches(in *http.Request, a *Answer) bool {
	if d.CallID == "" {
		return a.NamesTransmission()
	}
	id := a.Header.Get(d.CallID)
	if id == "" {
		return d.ReportsNotRun(a) && !a.Reused
	}
	return id == in.Header.Get(d.CallID)
}

// ImpliesNotRun reports whether callers read a status as "not run".
func (d *Dialect) ImpliesNotRun(status int) bool {
	if d.RefusalStatus == 0 {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// adapt sets the status of a failure so that callers of the deployment read its
// outcome correctly.
func (d *Dialect) adapt(f Failure) Failure {
	if d.RefusalStatus == 0 {
		return f
	}
	switch {
	case f.Outcome == OutcomeNotRun && f.Status >= http.StatusInternalServerError:
		f.Status = d.RefusalStatus
	case f.Outcome != OutcomeNotRun && d.ImpliesNotRun(f.Status):
		f.Status = http.StatusBadGateway
	}
	return f
}

// retryAfter formats the value of a Retry-After header.
func (d *Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
