package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// FailureOf returns the failure, with its outcome, for a transmission without an
// answer.
func FailureOf(err *SendError, body *Body) *Failure {
	status, reason, message := describeFailure(err, body)
	if err.Sent {
		return Unknown(status, reason, message)
	}
	return NotRun(status, reason, message)
}

// describeFailure names the phase that failed. Faults of the caller's body take
// precedence.
func describeFailure(err *SendError, body *Body) (status int, reason, message string) {
	bodyErr := body.Err()
	switch {
	case errors.Is(bodyErr, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body exceeds the limit"
	case bodyErr != nil:
		return http.StatusBadRequest, ReasonBodyCut, "the body ended before its announced length"
	case errors.Is(err, errTarget):
		return http.StatusBadRequest, ReasonBadTarget, "the path cannot be passed on unchanged"
	case err.Canceled:
		return http.StatusBadGateway, ReasonCanceled, "the caller disconnected before the answer"
	case err.TimedOut:
		return http.StatusGatewayTimeout, ReasonDeadline, "no answer within the time limit"
	case !err.Sent:
		return http.StatusServiceUnavailable, ReasonConnectFailed, "the backend server could not be reached"
	case errors.Is(err, ErrMismatch):
		return http.StatusBadGateway, ReasonConnectionCut, "the backend server sent an answer to another call"
	case errors.Is(err, errMalformed):
		return http.StatusBadGateway, ReasonConnectionCut, "the backend server sent a malformed answer"
	}
	return http.StatusBadGateway, ReasonConnectionCut, "the connection ended before the answer"
}
