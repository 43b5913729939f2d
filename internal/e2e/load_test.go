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
	callEvery    = 20 * time.Millisecond // by node
	callLimit    = 10 * time.Second      // longer than any freeze of a test
	answeredPart = 0.9                   // least part of reads answered well through nodes that no fault stopped
)

// reply is what a caller sees of one call.
type reply struct {
	status          int
	outcome, reason string
	server, path    string
	bytes           int64
	err             error
}

// callers never use a connection again, so that a killed node costs only the
// calls in flight there.
var callers = &http.Client{Timeout: callLimit, Transport: &http.Transport{DisableKeepAlives: true}}

func send(ctx context.Context, method, address, path, key string) reply {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(key))
	if err != nil {
		return reply{err: err}
	}
	req.Host = "shop.example"
	if key != "" {
		req.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	resp, err := callers.Do(req)
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

// load is reads and keyed writes through every node. Each key is sent through
// every node in turn, whatever became of it before.
type load struct {
	s  *system
	mu sync.Mutex

	reads, good int                // guarded by mu; through nodes that no fault stopped
	keyed       map[string][]reply // guarded by mu; by key
	failed      map[string]int     // guarded by mu; reads by what went wrong
}

func newLoad(s *system) *load {
	return &load{s: s, keyed: map[string][]reply{}, failed: map[string]int{}}
}

func (l *load) start(ctx context.Context) {
	for i := range l.s.specs {
		l.s.loops.Go(func() { l.repeat(ctx, func() { l.read(i) }) })
		l.s.loops.Go(func() { l.repeat(ctx, func() { l.write(i) }) })
	}
}

func (l *load) repeat(ctx context.Context, call func()) {
	tick := time.NewTicker(callEvery)
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
	r := send(context.Background(), http.MethodGet, l.s.node(i).Calls, path, "")
	l.checkAnswer(r, path, "")
	if l.s.stopped(i) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	if r.status == http.StatusOK && r.err == nil {
		l.good++
		return
	}
	l.failed[fmt.Sprintf("%d %s %s %v", r.status, r.outcome, r.reason, r.err)]++
}

func (s *system) stopped(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hit[i]
}

func (l *load) write(first int) {
	key := uuid.Must(uuid.NewV7()).String()
	for i := range l.s.specs {
		r := send(context.Background(), http.MethodPost, l.s.node((first+i)%len(l.s.specs)).Calls, "/offers/"+key, key)
		l.checkAnswer(r, "/offers/"+key, key)
		l.mu.Lock()
		l.keyed[key] = append(l.keyed[key], r)
		l.mu.Unlock()
	}
}

// checkAnswer wants the caller's own answer (P4) and an outcome on each answer.
func (l *load) checkAnswer(r reply, path, body string) {
	if r.status == http.StatusOK && r.err == nil && (r.path != path || r.bytes != int64(len(body))) {
		l.s.t.Errorf("P4: %s got the answer to %+v", path, r)
	}
	if r.status != 0 && r.outcome == "" {
		l.s.t.Errorf("an answer without an outcome: %+v", r)
	}
}

// check compares what callers were told with what the backend servers ran.
func (l *load) check() {
	ran, told := 0, map[string]int{}
	for key, replies := range l.keyed {
		runs := 0
		for _, b := range l.s.backends {
			runs += b.RunsForKey(key)
		}
		ran += min(runs, 1)
		if runs > 1 {
			l.s.t.Errorf("P6: key %s ran %d times: %+v", key, runs, replies)
		}
		l.checkTold(key, replies, runs)
		for _, r := range replies {
			told[r.outcome+" "+r.reason]++
		}
	}
	l.s.t.Logf("%d of %d reads answered, failures %v; %d of %d keys ran, told %v", l.good, l.reads, l.failed, ran, len(l.keyed), told)
	assert.Check(l.s.t, ran > 0, "no keyed call ran")
	assert.Check(l.s.t, float64(l.good) >= answeredPart*float64(l.reads), "%d of %d reads answered", l.good, l.reads)
}

// checkTold wants that "not run" and "ran" are true (P5). "Not run" speaks of
// one sending, so the key must not have run when every sending was told so.
func (l *load) checkTold(key string, replies []reply, runs int) {
	notRun, ranTold := 0, false
	for _, r := range replies {
		if r.outcome == string(proxy.OutcomeNotRun) {
			notRun++
		}
		ranTold = ranTold || r.outcome == string(proxy.OutcomeRan)
	}
	if notRun == len(replies) && runs > 0 {
		l.s.t.Errorf("P5: key %s ran although every sending was told not-run: %+v", key, replies)
	}
	if ranTold && runs == 0 {
		l.s.t.Errorf("P5: key %s did not run although one sending was told ran: %+v", key, replies)
	}
}
