// Package load makes calls at given times and measures what their callers see.
// Its generator is open: a call that is slow holds no other one back, and times
// count from when a call was due, so that a stalled system does not look fast.
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
	Address  string // of a node
	Host     string
	Path     string
	Method   string
	Body     int     // bytes
	Rate     float64 // calls a second on average; they come at random times
	Length   time.Duration
	Deadline time.Duration // of one call
	Seed     uint64        // of the times between calls
	// Edit changes a call before it is sent; nil leaves it. It is for headers
	// of a deployment.
	Edit func(*http.Request)
}

// Report is what the callers saw.
type Report struct {
	Seed     uint64           `json:"seed"`
	Calls    int64            `json:"calls"`
	Statuses map[string]int64 `json:"statuses"` // by status, "none" without an answer
	Outcomes map[string]int64 `json:"outcomes"` // as in Goldcrest-Outcome, "" without one
	Skipped  int64            `json:"skipped"`  // calls not sent since too many were under way
	Good     Latency          `json:"good"`     // of calls answered with a status below 400
	All      Latency          `json:"all"`
}

// Latency is a distribution of times from when calls were due to the end of
// their answers.
type Latency struct {
	MeanMs float64 `json:"meanMs"`
	P50Ms  float64 `json:"p50Ms"`
	P90Ms  float64 `json:"p90Ms"`
	P99Ms  float64 `json:"p99Ms"`
	P999Ms float64 `json:"p999Ms"`
	MaxMs  float64 `json:"maxMs"`
}

const (
	// maxUnderWay bounds the calls under way, each of which takes a connection.
	maxUnderWay = 2000
	// longest is the longest time that a histogram tells from longer ones.
	longest = time.Minute
	// digits is the precision of histograms.
	digits = 3
)

// run is the state of one measurement.
type run struct {
	cfg    Config
	client *http.Client
	slots  chan struct{}

	mu     sync.Mutex
	report Report                  // guarded by mu
	good   *hdrhistogram.Histogram // guarded by mu; in us
	all    *hdrhistogram.Histogram // guarded by mu; in us
}

// Run makes the calls and returns when the last one has ended.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if cfg.Rate <= 0 || cfg.Length <= 0 || cfg.Deadline <= 0 {
		return Report{}, errors.New("rate, length and deadline must be over 0")
	}
	transport := &http.Transport{MaxIdleConnsPerHost: maxUnderWay, DisableCompression: true}
	defer transport.CloseIdleConnections()
	r := &run{
		cfg: cfg, client: &http.Client{Transport: transport}, slots: make(chan struct{}, maxUnderWay),
		report: Report{Seed: cfg.Seed, Statuses: map[string]int64{}, Outcomes: map[string]int64{}},
		good:   hdrhistogram.New(1, longest.Microseconds(), digits), all: hdrhistogram.New(1, longest.Microseconds(), digits),
	}
	r.generate(ctx)
	r.report.Good, r.report.All = latencyOf(r.good), latencyOf(r.all)
	return r.report, nil
}

// generate starts the calls when they are due.
func (r *run) generate(ctx context.Context) {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 0))
	var calls sync.WaitGroup
	defer calls.Wait()
	end := time.Now().Add(r.cfg.Length)
	for due := time.Now(); ; {
		due = due.Add(time.Duration(rng.ExpFloat64() / r.cfg.Rate * float64(time.Second)))
		if due.After(end) || !wait.For(ctx, time.Until(due)) {
			return
		}
		select {
		case r.slots <- struct{}{}:
			calls.Go(func() {
				defer func() { <-r.slots }()
				r.call(ctx, due)
			})
		default:
			r.skip()
		}
	}
}

func (r *run) skip() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Skipped++
}

func (r *run) call(ctx context.Context, due time.Time) {
	ctx, cancel := context.WithDeadline(ctx, due.Add(r.cfg.Deadline))
	defer cancel()
	status, outcome := r.send(ctx)
	r.record(status, outcome, time.Since(due))
}

// send makes one call and returns its status, 0 when there was no whole answer.
func (r *run) send(ctx context.Context) (status int, outcome string) {
	body := strings.NewReader(strings.Repeat("a", r.cfg.Body))
	req, err := http.NewRequestWithContext(ctx, r.cfg.Method, "http://"+r.cfg.Address+r.cfg.Path, body)
	if err != nil {
		return 0, ""
	}
	req.Host = r.cfg.Host
	req.Header.Set(proxy.HeaderDeadlineMs, strconv.FormatInt(r.cfg.Deadline.Milliseconds(), 10))
	if r.cfg.Edit != nil {
		r.cfg.Edit(req)
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

func (r *run) record(status int, outcome string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Calls++
	r.report.Outcomes[outcome]++
	us := min(max(took.Microseconds(), 1), longest.Microseconds())
	_ = r.all.RecordValue(us) // lies within the bounds of the histogram
	if status == 0 {
		r.report.Statuses["none"]++
		return
	}
	r.report.Statuses[strconv.Itoa(status)]++
	if status < http.StatusBadRequest {
		_ = r.good.RecordValue(us)
	}
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	const usPerMs = 1000
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / usPerMs }
	return Latency{
		MeanMs: h.Mean() / usPerMs, P50Ms: at(50), P90Ms: at(90), P99Ms: at(99), P999Ms: at(99.9),
		MaxMs: float64(h.Max()) / usPerMs,
	}
}

// StatusNames returns the statuses of a report in order.
func (r Report) StatusNames() []string { return slices.Sorted(maps.Keys(r.Statuses)) }
