package proxy

import (
	"net/http"

	"github.com/cockroachdb/errors"
)

// failureOf turns a sending without an answer into the truthful outcome.
func failureOf(err *sendError, body *keptBody) *Failure {
	status, reason, message := describe(err, body)
	if err.sent {
		return unknown(status, reason, message)
	}
	return notRun(status, reason, message)
}

// describe names the phase that failed, the caller's own part first.
func describe(err *sendError, body *keptBody) (status int, reason, message string) {
	broken := body.failure()
	switch {
	case errors.Is(broken, errBodyTooLarge):
		return http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body exceeds 1 GB"
	case broken != nil:
		return http.StatusBadRequest, ReasonBodyCut, "the body ended before its announced end"
	case errors.Is(err, errTarget):
		return http.StatusBadRequest, ReasonTarget, "the path cannot be passed on unchanged"
	case err.timedOut:
		return http.StatusGatewayTimeout, ReasonDeadline, "no answer within the time limit"
	case !err.sent:
		return http.StatusServiceUnavailable, ReasonConnect, "the backend server could not be reached"
	case errors.Is(err, errMismatch):
		return http.StatusBadGateway, ReasonCut, "the backend server sent an answer to another call"
	}
	return http.StatusBadGateway, ReasonCut, "the connection ended before the answer"
}
