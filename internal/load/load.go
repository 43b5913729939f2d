// Package load generates calls and measures the results that callers see. It is
// an open-loop generator: slow calls do not delay others, and latency counts from
// the scheduled time of a call, so that a stalled system does not look fast.
package load

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// Config describes the calls.
type Config struct {
	Address   string // of a node
	Host      string
	Path      string
	Method    string
	BodyBytes int
	Rate      float64 // mean calls per second; arrivals are a Poisson process
	Duration  time.Duration
	Deadline  time.Duration // of one call
	Seed      uint64        // of the arrival times
	// EditRequest, when set, changes a request before it is sent, such as to add
	// the headers of a deployment.
	EditRequest func(*http.Request)
}

// Report is the result of a run as the callers saw it.
type Report struct {
	Seed     uint64           `json:"seed"`
	Calls    int64            `json:"calls"`    // calls sent
	Statuses map[string]int64 `json:"statuses"` // by status code, "none" without a complete answer
	Outcomes map[string]int64 `json:"outcomes"` // by Goldcrest-Outcome, "" when absent
	Skipped  int64            `json:"skipped"`  // calls not sent because too many were in flight
	Good     Latency          `json:"good"`     // of calls with a status below 400
	All      Latency          `json:"all"`      // of all calls sent
}

// Latency is a distribution of the times from the scheduled time of a call to
// the end of its answer or its failure.
type Latency struct {
	MeanMs float64 `json:"meanMs"`
	P50Ms  float64 `json:"p50Ms"`
	P90Ms  float64 `json:"p90Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

const (
	// maxInFlight bounds the calls in flight, each of which takes a connection.
	maxInFlight = 2000
	// maxLatency is the upper bound of the histograms; longer times count as it.
	maxLatency = time.Minute
	// histogramDigits is the number of significant digits of the histograms.
	histogramDigits = 3
)

// runner is the state of one run.
type runner struct {
	cfg      Config
	client   *http.Client
	inFlight chan struct{} // one element per call in flight

	mu     sync.Mutex
	report Report                  // guarded by mu
	good   *hdrhistogram.Histogram // guarded by mu; in µs
	all    *hdrhistogram.Histogram // guarded by mu; in µs
}

// Run makes the calls and returns after the last one has ended.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Rate <= 0 || cfg.Duration <= 0 || cfg.Deadline <= 0 {
		return Report{}, errors.New("rate, duration and deadline must be above 0")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &runner{
		cfg: cfg, client: &http.Client{Transport: transport}, inFlight: make(chan struct{}, maxInFlight),
		report: Report{Seed: cfg.Seed, Statuses: map[string]int64{}, Outcomes: map[string]int64{}},
		good:   hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits), all: hdrhistogram.New(1, maxLatency.Microseconds(), histogramDigits),
	}
	r.generate(ctx)
	r.report.Good, r.report.All = newLatency(r.good), newLatency(r.all)
	return r.report, nil
}

// generate starts each call at its scheduled time.
func (r *runner) generate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0))
	var calls sync.WaitGroup
	defer calls.Wait()
	end := time.Now().Add(r.cfg.Duration)
	for due := time.Now(); ; {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if due.After(end) || !wait.For(ctx, time.Until(due)) {
			return
		}
		select {
		case r.inFlight <- struct{}{}:
			calls.Go(func() {
				defer func() { <-r.inFlight }()
				r.makeCall(ctx, due)
			})
		default:
			r.skip()
		}
	}
}

func (r *runner) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Skipped++
}

func (r *runner) makeCall(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.cfg.Deadline))
	defer cancel()
	status, outcome := r.send(ctx)
	r.recordResult(status, outcome, time.Since(due))
}

// send sends one request and returns the status and the outcome of its answer. The
// status is 0 without a complete answer.
func (r *runner) send(ctx context.Context) (status int, outcome string) {
	body := strings.NewReader(strings.Repeat("a", r.cfg.BodyBytes))
	req, err := http.NewRequestWithContext(ctx, r.cfg.Method, "http://"+r.cfg.Address+r.cfg.Path, body)
	if err != nil {
		return 0, ""
	}
	req.Host = r.cfg.Host
	req.Header.Set(proxy.HeaderDeadlineMs, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	if r.cfg.EditRequest != nil {
		r.cfg.EditRequest(req)
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, ""
	}
	return resp.StatusCode, resp.Header.Get(proxy.HeaderOutcome)
}

func (r *runner) recordResult(status int, outcome string, latency time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	r.report.Outcomes[outcome]++
	us := min(max(latency.Microseconds(), 1), maxLatency.Microseconds())
	_ = r.all.RecordValue(us) // cannot fail: us is within the bounds
	if status == 0 {
		r.report.Statuses["none"]++
		return
	}
	r.report.Statuses[strconv.Itoa(status)]++
	if status < http.StatusBadRequest {
		_ = r.good.RecordValue(us)
	}
}

func newLatency(h *hdrhistogram.Histogram) Latency {
	const usPerMs = 1000
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / usPerMs }
	return Latency{
		MeanMs: h.Mean() / usPerMs, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9),
		MaxMs: float64(h.Max()) / usPerMs,
	}
}

// SortedStatuses returns the statuses of the report in sorted order.
func (r Report) SortedStatuses() []string { return slices.Sorted(maps.Keys(r.Statuses)) }
