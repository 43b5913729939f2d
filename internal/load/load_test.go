package load

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

func runAgainst(t *testing.T, h http.HandlerFunc, cfg Config) Report {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	cfg.Address, cfg.Path, cfg.Method = strings.TrimPrefix(srv.URL, "http://"), "/", http.MethodGet
	r, err := Run(t.Context(), cfg)
	assert.NilError(t, err)
	return r
}

// TestSlowAnswersDoNotDelayCalls guards against a generator that waits for
// answers: a stalled server would get fewer calls and look fast.
func TestSlowAnswersDoNotDelayCalls(t *testing.T) {
	const rate, length, stall = 400, 500 * time.Millisecond, 300 * time.Millisecond
	r := runAgainst(t, func(http.ResponseWriter, *http.Request) { time.Sleep(stall) }, Config{Rate: rate, Duration: length, Deadline: 5 * time.Second, Seed: 1})
	assert.Assert(t, r.Calls > rate/4, "%d calls", r.Calls)
	assert.Equal(t, r.Skipped, int64(0))
	assert.Assert(t, r.Good.P50Ms >= float64(stall.Milliseconds()), "%v", r.Good)
}

// TestReportClassifiesAnswers guards against counting refusals and lost answers
// as good calls.
func TestReportClassifiesAnswers(t *testing.T) {
	var n atomic.Int64
	r := runAgainst(t, func(w http.ResponseWriter, _ *http.Request) {
		switch n.Add(1) % 3 {
		case 0:
			w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeNotRun))
			w.WriteHeader(http.StatusServiceUnavailable)
		case 1:
			w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
		default:
			panic(http.ErrAbortHandler)
		}
	}, Config{Rate: 300, Duration: 300 * time.Millisecond, Deadline: time.Second, Seed: 2})
	assert.Equal(t, r.Statuses["200"]+r.Statuses["503"]+r.Statuses["none"], r.Calls)
	assert.Assert(t, r.Statuses["200"] > 0 && r.Statuses["503"] > 0 && r.Statuses["none"] > 0, "%v", r.Statuses)
	assert.Equal(t, r.Outcomes[string(proxy.OutcomeRan)], r.Statuses["200"])
	assert.Equal(t, r.Outcomes[string(proxy.OutcomeNotRun)], r.Statuses["503"])
}

// TestInvalidRateIsRejected guards against a run that makes no calls or never
// ends.
func TestInvalidRateIsRejected(t *testing.T) {
	_, err := Run(t.Context(), Config{Rate: 0, Duration: time.Second, Deadline: time.Second})
	assert.ErrorContains(t, err, "rate")
}
