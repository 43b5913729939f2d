package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

func init() { measurements["calls"] = measureCalls }

// At each interval, one call is sent through complete nodes and one to the backend
// servers themselves, so that both paths meet the same faults.
const (
	callsPerPath          = 11000
	callsInterval         = 2800 * time.Microsecond // between two calls of one path
	callsMaxAttempts      = 3
	callsAttemptTimeout   = 3 * time.Second
	callsConcurrentShare  = 0.1 // of keyed calls, sent through two nodes at once
	callsRepeatShare      = 0.2 // of keyed calls through nodes, sent again after their answer
	callsMaxDownloadBytes = 64 << 10
	callsMaxBodyBytes     = 2000
)

// callKind classifies calls by whether and how they may be retried.
type callKind int

const (
	callRead callKind = iota
	callKeyed
	callUnkeyed // not idempotent, without a key
	callDownload
)

// callKindMix is drawn from uniformly, so repetition sets the weights.
var callKindMix = [...]callKind{callRead, callRead, callRead, callRead, callKeyed, callKeyed, callKeyed, callUnkeyed, callDownload, callDownload}

// callsPath is one way to reach the backend servers.
type callsPath struct {
	address      func(i int) string
	outcomeOf    func(callsAttempt) proxy.Outcome
	alwaysResend bool // retries any call without a complete answer, whatever its outcome
	lastIndex    atomic.Int64
}

// callsAttempt is one attempt of a call and its result as the caller saw it.
type callsAttempt struct {
	path      string // of the URL
	status    int
	outcome   proxy.Outcome
	reason    string
	err       error
	answered  bool // received the complete answer to this call
	truncated bool // received an incomplete answer without an error
	misrouted bool // received the answer to another call
}

func measureCalls(ctx context.Context, seed int64, report func(Result)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t, err := newCallsTestbed(ctx)
	if err != nil {
		return err
	}
	defer t.stopNodes()
	ours := &callsPath{address: func(i int) string { return t.members[i].node.Load().CallsAddress() }, outcomeOf: reportedOutcome}
	direct := &callsPath{address: func(i int) string { return t.members[i].address }, outcomeOf: directOutcome, alwaysResend: true}
	viaNodes, baseline := t.runCalls(ours, direct, uint64(seed))
	for _, m := range []struct {
		name       string
		ours, base float64
		unit, note string
	}{
		{"calls_once_violations", float64(viaNodes.violations), float64(baseline.violations), "calls", viaNodes.String()},
		{"calls_not_run_lies", float64(viaNodes.falseNotRun), float64(baseline.falseNotRun), "calls", t.faultSummary()},
		{"calls_cut_answers", float64(viaNodes.truncated), float64(baseline.truncated), "answers", ""},
		{"calls_crossed_answers", float64(viaNodes.misrouted), float64(baseline.misrouted), "answers", ""},
		{"calls_answered_pct", viaNodes.unkeyed.answeredPercent(), baseline.unkeyed.answeredPercent(), "%", "without a key; " + viaNodes.reasonSummary()},
		{"calls_keyed_answered_pct", viaNodes.keyed.answeredPercent(), baseline.keyed.answeredPercent(), "%", "need the log; baseline: " + baseline.String()},
	} {
		report(Result{Measure: m.name, Ours: m.ours, Baseline: m.base, Unit: m.unit, Nodes: callsNodes, Seed: seed, Note: m.note})
	}
	return ctx.Err()
}

// runCalls sends the calls of both paths while faults are injected.
func (t *callsTestbed) runCalls(ours, direct *callsPath, seed uint64) (viaNodes, baseline callsResult) {
	faultCtx, stopFaults := context.WithCancel(t.ctx)
	var faults, callers sync.WaitGroup
	faults.Go(func() { t.injectFaults(faultCtx, seed) })
	sent := [2][]*callsCaller{}
	start := time.Now()
	for i := range callsPerPath {
		wait.For(t.ctx, time.Until(start.Add(time.Duration(i)*callsInterval)))
		for p, path := range []*callsPath{ours, direct} {
			c := newCallsCaller(path, rand.New(rand.NewPCG(seed, uint64(2*i+p+3))))
			sent[p] = append(sent[p], c)
			callers.Go(func() { c.run(t.ctx) })
		}
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	return t.countResult(sent[0]), t.countResult(sent[1])
}

// callsCaller makes one call and its retries.
type callsCaller struct {
	target   *callsPath
	random   *rand.Rand
	kind     callKind
	id       string // the idempotency key of a keyed call
	bytes    int    // of the request body, or of the answer to a download
	attempts []callsAttempt
}

func newCallsCaller(target *callsPath, r *rand.Rand) *callsCaller {
	c := &callsCaller{target: target, random: r, kind: callKindMix[r.IntN(len(callKindMix))], id: uuid.Must(uuid.NewV7()).String()}
	switch c.kind {
	case callDownload:
		c.bytes = 1 + r.IntN(callsMaxDownloadBytes)
	case callKeyed, callUnkeyed:
		c.bytes = 1 + r.IntN(callsMaxBodyBytes)
	}
	return c
}

// run sends the call until it is answered, each attempt to the next address. Through
// nodes, a call that is not idempotent is resent only if it did not run, and some
// keyed calls are sent again although they were answered.
func (c *callsCaller) run(ctx context.Context) {
	if c.kind == callKeyed && c.random.Float64() < callsConcurrentShare {
		other := make(chan callsAttempt, 1)
		address := c.target.nextAddress()
		go func() { other <- c.send(ctx, address, 0) }()
		defer func() { c.attempts = append(c.attempts, <-other) }()
	}
	for try := range callsMaxAttempts {
		attempt := c.send(ctx, c.target.nextAddress(), try)
		c.attempts = append(c.attempts, attempt)
		if attempt.answered && (c.kind != callKeyed || c.target.alwaysResend || c.random.Float64() >= callsRepeatShare) {
			return
		}
		if c.kind == callUnkeyed && !c.target.alwaysResend && attempt.outcome != proxy.OutcomeNotRun {
			return
		}
	}
}

func (p *callsPath) nextAddress() string { return p.address(int(p.lastIndex.Add(1)) % callsNodes) }

// callsClient opens a connection for each request. On a reused connection,
// net/http may resend a request itself, and a refused connection would no longer
// mean that the call did not run.
var callsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send makes one attempt. All attempts of a keyed call use one path; those of
// other calls have a path each, so that their runs are counted separately.
func (c *callsCaller) send(ctx context.Context, address string, try int) callsAttempt {
	ctx, cancel := context.WithTimeout(ctx, callsAttemptTimeout)
	defer cancel()
	attempt := callsAttempt{path: fmt.Sprintf("/offers/%s/%d", c.id, try)}
	if c.kind == callKeyed {
		attempt.path = "/offers/" + c.id
	}
	req, err := c.newRequest(ctx, address, attempt.path)
	if err != nil {
		panic(err) // method and URL are always valid
	}
	resp, err := callsClient.Do(req)
	if err != nil {
		attempt.err = err
	} else {
		c.readAnswer(&attempt, resp)
	}
	attempt.outcome = c.target.outcomeOf(attempt)
	return attempt
}

func (c *callsCaller) newRequest(ctx context.Context, address, path string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	switch c.kind {
	case callDownload:
		path += fmt.Sprintf("?bytes=%d", c.bytes)
	case callKeyed, callUnkeyed:
		method, body = http.MethodPost, io.MultiReader(strings.NewReader(strings.Repeat("x", c.bytes)))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return nil, err
	}
	req.Host = callsHost
	if c.kind == callKeyed {
		req.Header.Set(proxy.HeaderIdempotencyKey, c.id)
	}
	return req, nil
}

// readAnswer reads the answer and checks that it is complete and belongs to the
// call.
func (c *callsCaller) readAnswer(attempt *callsAttempt, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	attempt.status, attempt.outcome, attempt.err = resp.StatusCode, proxy.Outcome(resp.Header.Get(proxy.HeaderOutcome)), err
	attempt.reason = resp.Header.Get(proxy.HeaderReason)
	if err != nil || attempt.status != http.StatusOK {
		return
	}
	if c.kind == callDownload {
		c.checkDownload(attempt, resp, body)
		return
	}
	var answer standin.Answer
	attempt.truncated = json.Unmarshal(body, &answer) != nil
	attempt.misrouted = !attempt.truncated && (answer.Path != attempt.path || answer.Bytes != int64(c.bytes))
	attempt.answered = !attempt.truncated && !attempt.misrouted
}

// checkDownload checks that the body is the requested number of zero bytes. A
// different Content-Length means that the answer belongs to another call.
func (c *callsCaller) checkDownload(attempt *callsAttempt, resp *http.Response, body []byte) {
	attempt.misrouted = resp.ContentLength >= 0 && resp.ContentLength != int64(c.bytes)
	attempt.truncated = !attempt.misrouted && (len(body) != c.bytes || strings.Trim(string(body), "\x00") != "")
	attempt.answered = !attempt.truncated && !attempt.misrouted
}

// reportedOutcome returns the outcome that the node reported, if there is one.
func reportedOutcome(attempt callsAttempt) proxy.Outcome {
	if attempt.outcome == "" {
		return errorOutcome(attempt.err)
	}
	return attempt.outcome
}

// directOutcome returns the outcome that a caller can infer without a node.
func directOutcome(attempt callsAttempt) proxy.Outcome {
	switch {
	case attempt.err != nil:
		return errorOutcome(attempt.err)
	case attempt.status == http.StatusServiceUnavailable:
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeRan
}

// errorOutcome returns not-run only for a failed connect, since any later error
// may have come after the call ran.
func errorOutcome(err error) proxy.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeUnknown
}

// callsShare counts calls and those answered completely.
type callsShare struct{ calls, answered int }

func (r callsShare) answeredPercent() float64 {
	return 100 * float64(r.answered) / float64(max(r.calls, 1))
}

// callsResult is the result of one path. violations counts the POST calls that ran
// more than once, falseNotRun the URL paths that ran although every attempt was
// reported as not-run.
type callsResult struct {
	unkeyed, keyed                                callsShare
	violations, falseNotRun, truncated, misrouted int
	outcomes                                      map[proxy.Outcome]int
	reasons                                       map[string]int // of attempts without a complete answer, by outcome and reason
}

func (r callsResult) String() string {
	ran, notRun, unknown := r.outcomes[proxy.OutcomeRan], r.outcomes[proxy.OutcomeNotRun], r.outcomes[proxy.OutcomeUnknown]
	return fmt.Sprintf("%d calls, %d attempts; ran %d, not-run %d, unknown %d", r.unkeyed.calls+r.keyed.calls, ran+notRun+unknown, ran, notRun, unknown)
}

func (r callsResult) reasonSummary() string {
	var counts []string
	for _, reason := range slices.Sorted(maps.Keys(r.reasons)) {
		counts = append(counts, fmt.Sprintf("%s %d", reason, r.reasons[reason]))
	}
	return strings.Join(counts, ", ")
}

// countResult compares what callers saw with the runs at the backend servers.
func (t *callsTestbed) countResult(callers []*callsCaller) callsResult {
	r := callsResult{outcomes: map[proxy.Outcome]int{}, reasons: map[string]int{}}
	for _, c := range callers {
		answered := r.addAttempts(c.attempts)
		share := &r.unkeyed
		if c.kind == callKeyed {
			share = &r.keyed
		}
		share.calls++
		share.answered += boolToInt(answered)
		runs := 0
		for path, notRun := range reportedNotRun(c.attempts) {
			ran, _ := t.runsByPath.Get(path)
			runs += ran
			r.falseNotRun += boolToInt(notRun && ran > 0)
		}
		r.violations += boolToInt(runs > 1 && (c.kind == callKeyed || c.kind == callUnkeyed))
	}
	return r
}

// addAttempts counts the attempts of a call and reports whether one was answered
// completely.
func (r *callsResult) addAttempts(attempts []callsAttempt) (answered bool) {
	for _, attempt := range attempts {
		r.outcomes[attempt.outcome]++
		r.truncated += boolToInt(attempt.truncated)
		r.misrouted += boolToInt(attempt.misrouted)
		answered = answered || attempt.answered
		if !attempt.answered {
			r.reasons[fmt.Sprintf("%s %s", attempt.outcome, attempt.reason)]++
		}
	}
	return answered
}

// reportedNotRun returns, for each path, whether every attempt was reported as
// not-run.
func reportedNotRun(attempts []callsAttempt) map[string]bool {
	out := map[string]bool{}
	for _, attempt := range attempts {
		before, seen := out[attempt.path]
		out[attempt.path] = (before || !seen) && attempt.outcome == proxy.OutcomeNotRun
	}
	return out
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
