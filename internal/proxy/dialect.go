package proxy

import (
	"net/http"
	"strconv"
	"time"
)

// Dialect names the headers that callers and backend servers use on a
// deployment. The zero value is the product's own interface. An empty name
// means that the deployment has no such header.
type Dialect struct {
	Deadline    string // time left for a call, in ms; empty stands for HeaderDeadlineMs
	CallID      string // id of one sending by a caller; backend servers repeat it in their answers
	Caller      string // service of the instance on which a call began; set by the front
	Target      string // instance of the backend server that a call is meant for; set by the guard
	NotExecuted string // in an answer of a backend server that did not run the call
	// RefusalStatus is the status of every answer that says that a call was
	// not run; 0 keeps the status that fits the reason. It is for callers who
	// read "not run" from the status alone.
	RefusalStatus int
	// WholeAnswer says that a call's deadline holds for the whole answer and
	// not only for its first byte.
	WholeAnswer bool
	// FractionalRetryAfter says that callers read fractions of a second.
	FractionalRetryAfter bool
}

// OwnDialect is the product's own interface, which nodes speak to one another.
var OwnDialect Dialect

// DeadlineName returns the name of the header with the time left.
func (d *Dialect) DeadlineName() string {
	if d.Deadline == "" {
		return HeaderDeadlineMs
	}
	return d.Deadline
}

// SaysNotRun reports whether a backend server says that it did not run a
// call.
func (d *Dialect) SaysNotRun(a *Answer) bool {
	if d.NotExecuted == "" {
		return false
	}
	return a.Header.Get(d.NotExecuted) != "" || a.StatusCode == http.StatusMisdirectedRequest
}

// Matches reports whether an answer of a backend server belongs to the call.
// A server may send a second answer late, where the next one is expected; the
// id tells it. Refusals are sent before a server has looked at the id.
func (d *Dialect) Matches(in *http.Request, a *Answer) bool {
	if d.CallID == "" {
		return true
	}
	id := a.Header.Get(d.CallID)
	if id == "" {
		return d.SaysNotRun(a)
	}
	return id == in.Header.Get(d.CallID)
}

// PromisesNotRun reports whether callers take a status for a promise that the call
// was not run.
func (d *Dialect) PromisesNotRun(status int) bool {
	if d.RefusalStatus == 0 {
		return false
	}
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// edit makes a failure say to callers of the deployment what its outcome is.
func (d *Dialect) edit(f Failure) Failure {
	if d.RefusalStatus == 0 {
		return f
	}
	switch {
	case f.Outcome == OutcomeNotRun && f.Status >= http.StatusInternalServerError:
		f.Status = d.RefusalStatus
	case f.Outcome != OutcomeNotRun && d.PromisesNotRun(f.Status):
		f.Status = http.StatusBadGateway
	}
	return f
}

// retryAfter writes the time after which a call may be sent again.
func (d *Dialect) retryAfter(after time.Duration) string {
	if d.FractionalRetryAfter {
		return strconv.FormatFloat(after.Seconds(), 'f', 3, 64)
	}
	return strconv.FormatInt(int64((after+time.Second-1)/time.Second), 10)
}
