package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

const (
	callInterval    = 20 * time.Millisecond // between reads, and between writes, that start at one node
	callTimeout     = 10 * time.Second      // longer than any test stops a node with SIGSTOP
	minSuccessShare = 0.9                   // minimum share of successful reads through nodes that received no signal
)

// callResult is the result of a call as its caller sees it.
type callResult struct {
	status          int // 0 without a response
	outcome, reason string
	server, path    string // as the backend server reports them
	bytes           int64  // length of the request body that the backend server received
	err             error
}

// callClient does not reuse connections, so that killing a node fails only the
// calls in flight there.
var callClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// send sends a call for shop.example to an address. The key, if any, is both the
// idempotency key and the body.
func send(ctx context.Context, method, address, path, key string) callResult {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(key))
	if err != nil {
		return callResult{err: err}
	}
	req.Host = "shop.example"
	if key != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	resp, err := callClient.Do(req)
	if err != nil {
		return callResult{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := callResult{status: resp.StatusCode, outcome: resp.Header.Get(proxy.HeaderOutcome), reason: resp.Header.Get(proxy.HeaderReason), err: err}
	var a standin.Answer
	if err == nil && r.status == http.StatusOK {
		r.err = json.Unmarshal(body, &a)
	}
	r.server, r.path, r.bytes = a.Server, a.Path, a.Bytes
	return r
}

// loadGenerator sends reads through every node, and writes with idempotency keys.
// Each write is sent through every node in turn, regardless of earlier results.
type loadGenerator struct {
	system *system
	mu     sync.Mutex

	reads, successes int                     // guarded by mu; through nodes that received no signal
	keyedResults     map[string][]callResult // guarded by mu; by key
	failures         map[string]int          // guarded by mu; number of failed reads by status, outcome, reason and error
}

func newLoadGenerator(s *system) *loadGenerator {
	return &loadGenerator{system: s, keyedResults: map[string][]callResult{}, failures: map[string]int{}}
}

func (l *loadGenerator) start(ctx context.Context) {
	for i := range l.system.specs {
		l.system.goroutines.Go(func() { l.callPeriodically(ctx, func() { l.read(i) }) })
		l.system.goroutines.Go(func() { l.callPeriodically(ctx, func() { l.write(i) }) })
	}
}

func (l *loadGenerator) callPeriodically(ctx context.Context, call func()) {
	tick := time.NewTicker(callInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			call()
		case <-ctx.Done():
			return
		}
	}
}

func (l *loadGenerator) read(i int) {
	path := "/offers/" + uuid.NewString()
	r := send(context.Background(), http.MethodGet, l.system.node(i).Calls, path, "")
	l.checkAnswer(r, path, "")
	if l.system.wasSignaled(i) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if r.status == http.StatusOK && r.err == nil {
		l.successes++
		return
	}
	l.failures[fmt.Sprintf("%d %s %s %v", r.status, r.outcome, r.reason, r.err)]++
}

// wasSignaled reports whether a fault has ever sent a signal to a node.
func (s *system) wasSignaled(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.signaled[i]
}

func (l *loadGenerator) write(first int) {
	key := uuid.Must(uuid.NewV7()).String()
	for i := range l.system.specs {
		r := send(context.Background(), http.MethodPost, l.system.node((first+i)%len(l.system.specs)).Calls, "/offers/"+key, key)
		l.checkAnswer(r, "/offers/"+key, key)
		l.mu.Lock()
		l.keyedResults[key] = append(l.keyedResults[key], r)
		l.mu.Unlock()
	}
}

// checkAnswer checks that a successful answer belongs to the call (P4) and that
// every response has an outcome.
func (l *loadGenerator) checkAnswer(r callResult, path, body string) {
	if r.status == http.StatusOK && r.err == nil && (r.path != path || r.bytes != int64(len(body))) {
		l.system.t.Errorf("P4: %s got the answer to %+v", path, r)
	}
	if r.status != 0 && r.outcome == "" {
		l.system.t.Errorf("response without an outcome: %+v", r)
	}
}

// checkRuns compares the reported outcomes with the runs that the backend servers
// counted (P5, P6). It also checks that a key ran and that enough reads succeeded.
// It must be called after the load has stopped, since it does not hold mu.
func (l *loadGenerator) checkRuns() {
	keysRan, outcomes := 0, map[string]int{}
	for key, results := range l.keyedResults {
		runs := 0
		for _, b := range l.system.backends {
			runs += b.RunsForKey(key)
		}
		keysRan += min(runs, 1)
		if runs > 1 {
			l.system.t.Errorf("P6: calls with key %s ran %d times: %+v", key, runs, results)
		}
		l.checkOutcomes(key, results, runs)
		for _, r := range results {
			outcomes[r.outcome+" "+r.reason]++
		}
	}
	l.system.t.Logf("%d of %d reads succeeded, failures %v; %d of %d keys ran, outcomes %v", l.successes, l.reads, l.failures, keysRan, len(l.keyedResults), outcomes)
	assert.Check(l.system.t, keysRan > 0, "no keyed call ran")
	assert.Check(l.system.t, float64(l.successes) >= minSuccessShare*float64(l.reads), "%d of %d reads succeeded", l.successes, l.reads)
}

// checkOutcomes checks that the outcomes not-run and ran are true (P5). Each result
// is of one call with the key, so not-run says that this call did not run. If every
// call reported not-run, none with the key may have run.
func (l *loadGenerator) checkOutcomes(key string, results []callResult, runs int) {
	notRun, reportedRan := 0, false
	for _, r := range results {
		if r.outcome == string(proxy.OutcomeNotRun) {
			notRun++
		}
		reportedRan = reportedRan || r.outcome == string(proxy.OutcomeRan)
	}
	if notRun == len(results) && runs > 0 {
		l.system.t.Errorf("P5: key %s ran although every call reported not-run: %+v", key, results)
	}
	if reportedRan && runs == 0 {
		l.system.t.Errorf("P5: key %s did not run although a call reported ran: %+v", key, results)
	}
}
