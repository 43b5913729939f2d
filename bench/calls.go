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

func init() { measures["calls"] = measureCalls }

// Calls through whole nodes, and as many straight to the backend servers, in
// turn, so that both meet the same faults.
const (
	callsTotal    = 11000
	callsGap      = 2800 * time.Microsecond // between two calls of a path
	callsTries    = 3
	callsLimit    = 3 * time.Second // of one sending
	callsTwice    = 0.1             // part of keyed calls sent through two nodes at once
	callsAgain    = 0.2             // part of keyed calls sent again after their answer
	callsDownload = 64 << 10        // bytes of a download at most
	callsBodyMost = 2000            // bytes of a request's body at most
)

// callKind tells calls apart by what may be done with them.
type callKind int

const (
	callRead callKind = iota
	callKeyed
	callUnkeyed // not idempotent, without a key
	callDownload
)

// callKinds are drawn evenly.
var callKinds = [...]callKind{callRead, callRead, callRead, callRead, callKeyed, callKeyed, callKeyed, callUnkeyed, callDownload, callDownload}

// callsPath is a way to the backend servers.
type callsPath struct {
	address func(i int) string
	told    func(sending) proxy.Outcome
	blind   bool // sends a call again without regard to what became of it
	next    atomic.Int64
}

// sending is one sending of a call and what its caller saw.
type sending struct {
	path    string
	status  int
	outcome proxy.Outcome
	reason  string
	err     error
	good    bool // the whole answer to this call
	cut     bool // an answer passed as whole that is not
	crossed bool // the answer to another call
}

func measureCalls(ctx context.Context, seed int64, report func(Result)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w, err := newCallsTestbed(ctx)
	if err != nil {
		return err
	}
	defer w.close()
	ours := &callsPath{address: func(i int) string { return w.members[i].node.Load().CallsAddress() }, told: toldByNode}
	direct := &callsPath{address: func(i int) string { return w.members[i].address }, told: toldDirectly, blind: true}
	a, b := w.runCalls(ours, direct, uint64(seed))
	for _, m := range []struct {
		name       string
		ours, base float64
		unit, note string
	}{
		{"calls_once_violations", float64(a.violations), float64(b.violations), "calls", a.String()},
		{"calls_not_run_lies", float64(a.lies), float64(b.lies), "calls", w.faultCounts()},
		{"calls_cut_answers", float64(a.cut), float64(b.cut), "answers", ""},
		{"calls_crossed_answers", float64(a.crossed), float64(b.crossed), "answers", ""},
		{"calls_answered_pct", a.open.goodPercent(), b.open.goodPercent(), "%", "without a key; " + a.reasonText()},
		{"calls_keyed_answered_pct", a.keyed.goodPercent(), b.keyed.goodPercent(), "%", "need the log; baseline: " + b.String()},
	} {
		report(Result{Measure: m.name, Ours: m.ours, Baseline: m.base, Unit: m.unit, Nodes: callsNodes, Seed: seed, Note: m.note})
	}
	return ctx.Err()
}

// runCalls sends the calls of both paths while faults come and go.
func (w *callsTestbed) runCalls(ours, direct *callsPath, seed uint64) (a, b callsCount) {
	faulty, calm := context.WithCancel(w.ctx)
	var faults, callers sync.WaitGroup
	faults.Go(func() { w.causeFaults(faulty, seed) })
	sent := [2][]*callsCaller{}
	start := time.Now()
	for i := range callsTotal {
		wait.For(w.ctx, time.Until(start.Add(time.Duration(i)*callsGap)))
		for p, path := range []*callsPath{ours, direct} {
			c := newCallsCaller(path, rand.New(rand.NewPCG(seed, uint64(2*i+p+3))))
			sent[p] = append(sent[p], c)
			callers.Go(func() { c.play(w.ctx) })
		}
	}
	callers.Wait()
	calm()
	faults.Wait()
	return w.count(sent[0]), w.count(sent[1])
}

// callsCaller is the caller of one call.
type callsCaller struct {
	via      *callsPath
	random   *rand.Rand
	kind     callKind
	id       string // the key of a keyed call
	size     int    // of the body, or of a download
	sendings []sending
}

func newCallsCaller(via *callsPath, r *rand.Rand) *callsCaller {
	c := &callsCaller{via: via, random: r, kind: callKinds[r.IntN(len(callKinds))], id: uuid.Must(uuid.NewV7()).String()}
	switch c.kind {
	case callDownload:
		c.size = 1 + r.IntN(callsDownload)
	case callKeyed, callUnkeyed:
		c.size = 1 + r.IntN(callsBodyMost)
	}
	return c
}

// play sends the call until it is answered, each time to the next address.
func (c *callsCaller) play(ctx context.Context) {
	if c.kind == callKeyed && c.random.Float64() < callsTwice {
		other := make(chan sending, 1)
		address := c.via.nextAddress()
		go func() { other <- c.send(ctx, address, 0) }()
		defer func() { c.sendings = append(c.sendings, <-other) }()
	}
	for try := range callsTries {
		s := c.send(ctx, c.via.nextAddress(), try)
		c.sendings = append(c.sendings, s)
		if s.good && (c.kind != callKeyed || c.via.blind || c.random.Float64() >= callsAgain) {
			return
		}
		if c.kind == callUnkeyed && !c.via.blind && s.outcome != proxy.OutcomeNotRun {
			return
		}
	}
}

func (p *callsPath) nextAddress() string { return p.address(int(p.next.Add(1)) % callsNodes) }

// callsClient never resends by itself, as it does on a connection that it
// used before: a refused connection then would not tell that nothing was run.
var callsClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// send sends the call once. Only a keyed call keeps its path, so that each
// other sending can be checked on its own.
func (c *callsCaller) send(ctx context.Context, address string, try int) sending {
	ctx, cancel := context.WithTimeout(ctx, callsLimit)
	defer cancel()
	s := sending{path: fmt.Sprintf("/offers/%s/%d", c.id, try)}
	if c.kind == callKeyed {
		s.path = "/offers/" + c.id
	}
	req, err := c.request(ctx, address, s.path)
	if err != nil {
		panic(err) // the request is our own
	}
	resp, err := callsClient.Do(req)
	if err != nil {
		s.err = err
	} else {
		c.take(&s, resp)
	}
	s.outcome = c.via.told(s)
	return s
}

func (c *callsCaller) request(ctx context.Context, address, path string) (*http.Request, error) {
	method, body := http.MethodGet, io.Reader(nil)
	switch c.kind {
	case callDownload:
		path += fmt.Sprintf("?bytes=%d", c.size)
	case callKeyed, callUnkeyed:
		method, body = http.MethodPost, io.MultiReader(strings.NewReader(strings.Repeat("x", c.size)))
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

// take reads the answer and compares it with the call.
func (c *callsCaller) take(s *sending, resp *http.Response) {
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	s.status, s.outcome, s.err = resp.StatusCode, proxy.Outcome(resp.Header.Get(proxy.HeaderOutcome)), err
	s.reason = resp.Header.Get(proxy.HeaderReason)
	if err != nil || s.status != http.StatusOK {
		return
	}
	if c.kind == callDownload {
		c.takeDownload(s, resp, body)
		return
	}
	var a standin.Answer
	s.cut = json.Unmarshal(body, &a) != nil
	s.crossed = !s.cut && (a.Path != s.path || a.Bytes != int64(c.size))
	s.good = !s.cut && !s.crossed
}

// takeDownload wants as many zero bytes as were asked for. A download of
// another announced length belongs to another call.
func (c *callsCaller) takeDownload(s *sending, resp *http.Response, body []byte) {
	s.crossed = resp.ContentLength >= 0 && resp.ContentLength != int64(c.size)
	s.cut = !s.crossed && (len(body) != c.size || strings.Trim(string(body), "\x00") != "")
	s.good = !s.cut && !s.crossed
}

// toldByNode is the outcome that a node told.
func toldByNode(s sending) proxy.Outcome {
	if s.outcome == "" {
		return toldByError(s.err)
	}
	return s.outcome
}

// toldDirectly is what a caller may conclude without a node.
func toldDirectly(s sending) proxy.Outcome {
	switch {
	case s.err != nil:
		return toldByError(s.err)
	case s.status == http.StatusServiceUnavailable:
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeRan
}

// toldByError holds only a refused connection for a call that was not run.
func toldByError(err error) proxy.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return proxy.OutcomeNotRun
	}
	return proxy.OutcomeUnknown
}

// callsShare is how many calls were answered well.
type callsShare struct{ calls, good int }

func (n callsShare) goodPercent() float64 { return 100 * float64(n.good) / float64(max(n.calls, 1)) }

// callsCount is the result of one path.
type callsCount struct {
	open, keyed                    callsShare
	violations, lies, cut, crossed int
	outcomes                       map[proxy.Outcome]int
	reasons                        map[string]int // of sendings not answered well
}

func (n callsCount) String() string {
	ran, notRun, unknown := n.outcomes[proxy.OutcomeRan], n.outcomes[proxy.OutcomeNotRun], n.outcomes[proxy.OutcomeUnknown]
	return fmt.Sprintf("%d calls, %d sendings; ran %d, not-run %d, unknown %d", n.open.calls+n.keyed.calls, ran+notRun+unknown, ran, notRun, unknown)
}

func (n callsCount) reasonText() string {
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(n.reasons)) {
		parts = append(parts, fmt.Sprintf("%s %d", reason, n.reasons[reason]))
	}
	return strings.Join(parts, ", ")
}

// count compares what callers saw with what the backend servers ran.
func (w *callsTestbed) count(callers []*callsCaller) callsCount {
	n := callsCount{outcomes: map[proxy.Outcome]int{}, reasons: map[string]int{}}
	for _, c := range callers {
		good := n.addSendings(c.sendings)
		share := &n.open
		if c.kind == callKeyed {
			share = &n.keyed
		}
		share.calls++
		share.good += oneIf(good)
		runs := 0
		for path, notRun := range toldNotRun(c.sendings) {
			ran, _ := w.runs.Get(path)
			runs += ran
			n.lies += oneIf(notRun && ran > 0)
		}
		n.violations += oneIf(runs > 1 && (c.kind == callKeyed || c.kind == callUnkeyed))
	}
	return n
}

// addSendings counts the sendings of a call and reports whether one got the
// whole answer.
func (n *callsCount) addSendings(all []sending) (good bool) {
	for _, s := range all {
		n.outcomes[s.outcome]++
		n.cut += oneIf(s.cut)
		n.crossed += oneIf(s.crossed)
		good = good || s.good
		if !s.good {
			n.reasons[fmt.Sprintf("%s %s", s.outcome, s.reason)]++
		}
	}
	return good
}

// toldNotRun tells by path whether every sending was told not-run.
func toldNotRun(all []sending) map[string]bool {
	out := map[string]bool{}
	for _, s := range all {
		before, seen := out[s.path]
		out[s.path] = (before || !seen) && s.outcome == proxy.OutcomeNotRun
	}
	return out
}

func oneIf(b bool) int {
	if b {
		return 1
	}
	return 0
}
