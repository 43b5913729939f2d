package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

func init() { measures["retry"] = measureRetry }

const (
	retryBudget     = 0.1
	retryMax        = 2 // the baseline's three tries
	retryNodes      = 4 // nodes of each service, each with budgets of its own
	retryHealthy    = 60 * time.Second
	retryFailing    = 30 * time.Second
	retryCallTime   = 10 * time.Millisecond // of one layer
	retryDeadline   = 2 * time.Second
	retryBaseTries  = retryMax + 1
	retryDeepest    = 16
	retryBaseDepths = 8 // a deeper baseline is computed, since it sends 3 to the power of the depth
)

// retryCase is a chain of services whose last one fails as a whole after a
// healthy time.
type retryCase struct {
	note    string
	depth   int
	rate    float64 // calls per second from callers
	failing time.Duration
	failure answer
	// marked means that nodes see which failed calls of a backend server led
	// to its own failed answer, and say so in it. Otherwise they pass on what
	// the server made of it.
	marked bool
	status int // of a server whose call to the next failed
}

// answer is what a node tells the layer above.
type answer struct {
	outcome retry.Outcome
	reason  string
	status  int
	hops    int // nodes that it came through
}

var (
	answerOK         = answer{outcome: retry.Ran, status: 200}
	answerCut        = answer{outcome: retry.Unknown}
	answerOverloaded = answer{outcome: retry.NotRun, reason: "overloaded", status: 503, hops: 1}
	answerError      = answer{outcome: retry.Ran, status: 500, hops: 1}
)

var retryCases = []retryCase{
	{note: "depth 1, connections cut", depth: 1, rate: 400, failing: retryFailing, failure: answerCut},
	{note: "depth 1, overloaded", depth: 1, rate: 400, failing: retryFailing, failure: answerOverloaded},
	{note: "depth 1, status 500 for 5 s", depth: 1, rate: 400, failing: 5 * time.Second, failure: answerError},
	{note: "depth 1, 24 calls/s", depth: 1, rate: 24, failing: retryFailing, failure: answerCut},
	{note: "depth 16, marked by nodes", depth: retryDeepest, rate: 400, failing: retryFailing, failure: answerCut, marked: true, status: 500},
	{note: "depth 16, unmarked, servers answer 502", depth: retryDeepest, rate: 400, failing: retryFailing, failure: answerCut, status: 502},
	{note: "depth 16, unmarked, servers answer 500", depth: retryDeepest, rate: 400, failing: retryFailing, failure: answerCut, status: 500},
	{note: "depth 16, unmarked, servers answer 500 for 5 s", depth: retryDeepest, rate: 400, failing: 5 * time.Second, failure: answerCut, status: 500},
}

func measureRetry(ctx context.Context, seed int64, report func(Result)) error {
	for _, c := range retryCases {
		if err := ctx.Err(); err != nil {
			return err
		}
		ours := runRetry(c, seed, newBudgeted())
		note := c.note
		baseline := math.Pow(retryBaseTries, float64(c.depth))
		if c.depth <= retryBaseDepths {
			baseline = runRetry(c, seed, threeTries{}).last()
		} else {
			note += "; baseline computed, not run"
		}
		report(Result{Measure: "retry_amplification", Unit: "calls/call", Seed: seed, Nodes: retryNodes * c.depth,
			Ours: ours.last(), Baseline: baseline,
			Note: fmt.Sprintf("%s; all layers together %.3f", note, ours.total())})
	}
	return nil
}

// retryCounts are the calls of the failing time.
type retryCounts struct {
	asked int   // by callers
	sent  []int // to the backend servers of each layer
}

// last is the amplification at the failing service.
func (c retryCounts) last() float64 { return float64(c.sent[len(c.sent)-1]) / float64(c.asked) }

// total is the amplification over all services of the chain.
func (c retryCounts) total() float64 {
	sum := 0
	for _, n := range c.sent {
		sum += n
	}
	return float64(sum) / float64(c.asked*len(c.sent))
}

// resender decides whether an attempt that ended is sent again.
type resender interface {
	call(node int, service string, now time.Time)
	// again reports whether to send again, or else what to tell the layer above.
	again(node int, service string, tries int, remaining time.Duration, a answer, now time.Time) (bool, answer)
}

type threeTries struct{}

func (threeTries) call(int, string, time.Time) {}

func (threeTries) again(_ int, _ string, tries int, _ time.Duration, a answer, _ time.Time) (bool, answer) {
	return a.status != 200 && tries < retryBaseTries, a
}

// budgeted acts as the nodes do: rules first, then the budget.
type budgeted struct{ nodes []*retry.Budgets }

func newBudgeted() *budgeted {
	b := &budgeted{}
	for range retryNodes {
		b.nodes = append(b.nodes, retry.NewBudgets())
	}
	return b
}

func (b *budgeted) call(node int, service string, now time.Time) {
	b.nodes[node].AddCall(service, retryBudget, now)
}

func (b *budgeted) again(node int, service string, tries int, remaining time.Duration, a answer, now time.Time) (bool, answer) {
	d := retry.Decide(retry.Attempt{
		Idempotent: true, Outcome: a.outcome, Reason: a.reason, Status: a.status, AnswerHops: a.hops,
		Tries: tries, MaxRetries: retryMax, Remaining: remaining, Needed: retryCallTime,
	})
	switch {
	case d.Verdict == retry.PassOn:
		return false, a
	case d.Verdict == retry.TryNext && b.nodes[node].Spend(service, retryBudget, now):
		return true, a
	}
	a.reason = retry.ReasonExhausted
	return false, a
}

// retryRun is one run of a case.
type retryRun struct {
	retryCase
	sim     *simulation
	random  *rand.Rand
	resend  resender
	counts  retryCounts
	failing bool
}

func runRetry(c retryCase, seed int64, r resender) retryCounts {
	run := &retryRun{retryCase: c, sim: newSimulation(), random: rand.New(rand.NewPCG(uint64(seed), 1)), resend: r}
	run.counts.sent = make([]int, c.depth)
	run.sim.after(retryHealthy, func() { run.failing = true })
	run.sim.arrivals(c.rate, retryHealthy+c.failing, run.random.ExpFloat64, func() {
		if run.failing {
			run.counts.asked++
		}
		run.call(0, retryDeadline)
	})
	run.sim.run()
	return run.counts
}

// call is one call to the service of a layer, through one of the nodes of the
// layer above. A chain is short against the time between budget changes, so
// it runs at one moment of virtual time.
func (r *retryRun) call(layer int, remaining time.Duration) answer {
	node := r.random.IntN(retryNodes)
	service := fmt.Sprintf("service-%d", layer)
	r.resend.call(node, service, r.sim.now)
	for tries := 1; ; tries++ {
		a := r.serve(layer, remaining)
		remaining -= retryCallTime
		again, passed := r.resend.again(node, service, tries, remaining, a, r.sim.now)
		if !again {
			return passed
		}
	}
}

// serve runs an attempt on a backend server of a layer, which calls the next.
func (r *retryRun) serve(layer int, remaining time.Duration) answer {
	if r.failing {
		r.counts.sent[layer]++
	}
	if layer == r.depth-1 {
		if r.failing {
			return r.failure
		}
		return answerOK
	}
	below := r.call(layer+1, remaining-retryCallTime)
	if below.status == answerOK.status {
		return answerOK
	}
	up := answer{outcome: retry.Ran, status: r.status, hops: 1}
	if r.marked {
		up.reason = below.reason
		up.hops += below.hops
	}
	return up
}
