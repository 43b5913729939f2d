package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// FailureOf turns a sending without an answer into the truthful outcome.
func FailureOf(err *SendError, body *Body) *Failure {
	status, reason, message := describe(err, body)
	if err.Sent {
		return Unknown(status, reason, message)
	}
	return NotRun(status, reason, message)
}

// describe names the phase that failed, the caller's own part first.
func describe(err *SendError, body *Body) (status int, reason, message string) {
	broken := body.Err()
	switch {
	case errors.Is(broken, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body exceeds the limit"
	case broken != nil:
		return http.StatusBadRequest, ReasonBodyCut, "the body ended before its announced end"
	case errors.Is(err, errTarget):
		return http.StatusBadRequest, ReasonTarget, "the path cannot be passed on unchanged"
	case err.Canceled:
		return http.StatusBadGateway, ReasonCanceled, "the caller left before the answer"
	case err.TimedOut:
		return http.StatusGatewayTimeout, ReasonDeadline, "no answer within the time limit"
	case !err.Sent:
		return http.StatusServiceUnavailable, ReasonConnect, "the backend server could not be reached"
	case errors.Is(err, ErrMismatch):
		return http.StatusBadGateway, ReasonCut, "the backend server sent an answer to another call"
	}
	return http.StatusBadGateway, ReasonCut, "the connection ended before the answer"
}
