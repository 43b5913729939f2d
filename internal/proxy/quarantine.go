package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

// suspectRetryAfter is roughly the duration of a suspect's call.
const suspectRetryAfter = 100 * time.Millisecond

// QuarantineRefusal returns the answer to a request that the quarantine does not
// admit, or nil.
func QuarantineRefusal(a quarantine.Admission, v quarantine.Verdict, now time.Time) *Failure {
	switch a {
	case quarantine.Refused:
		return NotRun(http.StatusServiceUnavailable, ReasonQuarantined, "this request has crashed backend servers").WithRetryAfter(v.Until.Sub(now))
	case quarantine.Busy:
		return NotRun(http.StatusServiceUnavailable, ReasonSuspectBusy, "this request may have crashed a backend server and is already being tested").WithRetryAfter(suspectRetryAfter)
	}
	return nil
}

// FingerprintOf returns the fingerprint of a call with the given beginning of its
// body. It is the same at each node that has read the same beginning.
func FingerprintOf(r *http.Request, body []byte) quarantine.Fingerprint {
	path, query, _ := strings.Cut(originForm(r), "?")
	return quarantine.NewFingerprint(r.Method, r.Host, path, query, body)
}
