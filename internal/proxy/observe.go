package proxy

import (
	"net/http"
	"time"
)

// Observation describes one call as its caller saw it.
type Observation struct {
	Route   string  // id of the route; empty when none matched
	Outcome Outcome // empty when the answer was cut, see Abort, or the handler panicked
	Reason  string  // HeaderReason of the answer
	Status  int     // 0 when no final answer was begun by WriteHeader
	Elapsed time.Duration
}

// Observe returns a handler that reports each call to record when it ends.
func Observe(h http.Handler, record func(Observation)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		o := &observedWriter{ResponseWriter: w}
		begun := time.Now()
		completed := false
		defer func() {
			observation := Observation{Route: o.route, Status: o.status, Elapsed: time.Since(begun)}
			if completed && !o.aborted {
				observation.Outcome = Outcome(w.Header().Get(HeaderOutcome))
				observation.Reason = w.Header().Get(HeaderReason)
			}
			record(observation)
		}()
		h.ServeHTTP(o, r)
		completed = true
	})
}

// observedWriter records the route of a call and the status of its answer.
type observedWriter struct {
	http.ResponseWriter
	route   string
	status  int
	aborted bool
}

// markAborted records for the Observation of a call that its answer was cut.
func markAborted(w http.ResponseWriter) {
	for {
		if o, ok := w.(*observedWriter); ok {
			o.aborted = true
			return
		}
		inner, ok := w.(interface{ Unwrap() http.ResponseWriter })
		if !ok {
			return
		}
		w = inner.Unwrap()
	}
}

// SetRoute sets the route of a call for its Observation.
func SetRoute(w http.ResponseWriter, route string) {
	if o, ok := w.(*observedWriter); ok {
		o.route = route
	}
}

// Unwrap lets http.ResponseController reach the wrapped writer.
func (o *observedWriter) Unwrap() http.ResponseWriter { return o.ResponseWriter }

// WriteHeader records the status, except that of informational answers.
func (o *observedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		o.status = status
	}
	o.ResponseWriter.WriteHeader(status)
}
