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
	callInterval     = 20 * time.Millisecond // per node
	callTimeout      = 10 * time.Second      // longer than any test freezes a node
	minAnsweredShare = 0.9                   // minimum share of successful reads through undisturbed nodes
)

// reply is the result of a call as its caller sees it.
type reply struct {
	status          int
	outcome, reason string
	server, path    string
	bytes           int64
	err             error
}

// callClient does not reuse connections, so that the kill of a node fails only
// the calls in flight there.
var callClient = &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func send(ctx context.Context, method, address, path, key string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(key))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "shop.example"
	if key != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	resp, err := callClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	r := reply{status: resp.StatusCode, outcome: resp.Header.Get(proxy.HeaderOutcome), reason: resp.Header.Get(proxy.HeaderReason), err: err}
	var a standin.Answer
	if err == nil && r.status == http.StatusOK {
		r.err = json.Unmarshal(body, &a)
	}
	r.server, r.path, r.bytes = a.Server, a.Path, a.Bytes
	return r
}

// load sends reads and writes with idempotency keys through every node. Each
// key is sent through every node in turn, regardless of earlier replies.
type load struct {
	system *system
	mu     sync.Mutex

	reads, answered int                // guarded by mu; through undisturbed nodes
	keyedReplies    map[string][]reply // guarded by mu; by key
	failures        map[string]int     // guarded by mu; number of failed reads by status, outcome and error
}

func newLoad(s *system) *load {
	return &load{system: s, keyedReplies: map[string][]reply{}, failures: map[string]int{}}
}

func (l *load) start(ctx context.Context) {
	for i := range l.system.specs {
		l.system.goroutines.Go(func() { l.callPeriodically(ctx, func() { l.read(i) }) })
		l.system.goroutines.Go(func() { l.callPeriodically(ctx, func() { l.write(i) }) })
	}
}

func (l *load) callPeriodically(ctx context.Context, call func()) {
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

func (l *load) read(i int) {
	path := "/offers/" + uuid.NewString()
	r := send(context.Background(), http.MethodGet, l.system.node(i).Calls, path, "")
	l.checkAnswer(r, path, "")
	if l.system.wasDisturbed(i) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if r.status == http.StatusOK && r.err == nil {
		l.answered++
		return
	}
	l.failures[fmt.Sprintf("%d %s %s %v", r.status, r.outcome, r.reason, r.err)]++
}

// wasDisturbed reports whether a fault has stopped a node.
func (s *system) wasDisturbed(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disturbed[i]
}

func (l *load) write(first int) {
	key := uuid.Must(uuid.NewV7()).String()
	for i := range l.system.specs {
		r := send(context.Background(), http.MethodPost, l.system.node((first+i)%len(l.system.specs)).Calls, "/offers/"+key, key)
		l.checkAnswer(r, "/offers/"+key, key)
		l.mu.Lock()
		l.keyedReplies[key] = append(l.keyedReplies[key], r)
		l.mu.Unlock()
	}
}

// checkAnswer checks that the answer belongs to the call (P4) and that every
// response has an outcome.
func (l *load) checkAnswer(r reply, path, body string) {
	if r.status == http.StatusOK && r.err == nil && (r.path != path || r.bytes != int64(len(body))) {
		l.system.t.Errorf("P4: %s got the answer to %+v", path, r)
	}
	if r.status != 0 && r.outcome == "" {
		l.system.t.Errorf("response without an outcome: %+v", r)
	}
}

// checkRuns compares the reported outcomes with the runs that the backend
// servers counted.
func (l *load) checkRuns() {
	keysRan, outcomes := 0, map[string]int{}
	for key, replies := range l.keyedReplies {
		runs := 0
		for _, b := range l.system.backends {
			runs += b.RunsForKey(key)
		}
		keysRan += min(runs, 1)
		if runs > 1 {
			l.system.t.Errorf("P6: key %s ran %d times: %+v", key, runs, replies)
		}
		l.checkOutcomes(key, replies, runs)
		for _, r := range replies {
			outcomes[r.outcome+" "+r.reason]++
		}
	}
	l.system.t.Logf("%d of %d reads answered, failures %v; %d of %d keys ran, outcomes %v", l.answered, l.reads, l.failures, keysRan, len(l.keyedReplies), outcomes)
	assert.Check(l.system.t, keysRan > 0, "no keyed call ran")
	assert.Check(l.system.t, float64(l.answered) >= minAnsweredShare*float64(l.reads), "%d of %d reads answered", l.answered, l.reads)
}

// checkOutcomes checks that the outcomes not-run and ran are true (P5). Not-run
// applies to one attempt, so the key must not have run if every attempt reported
// it.
func (l *load) checkOutcomes(key string, replies []reply, runs int) {
	notRun, reportedRan := 0, false
	for _, r := range replies {
		if r.outcome == string(proxy.OutcomeNotRun) {
			notRun++
		}
		reportedRan = reportedRan || r.outcome == string(proxy.OutcomeRan)
	}
	if notRun == len(replies) && runs > 0 {
		l.system.t.Errorf("P5: key %s ran although every attempt reported not-run: %+v", key, replies)
	}
	if reportedRan && runs == 0 {
		l.system.t.Errorf("P5: key %s did not run although an attempt reported ran: %+v", key, replies)
	}
}
