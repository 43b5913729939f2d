package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

func init() { measurements["retry"] = measureRetry }

const (
	retryBudget           = 0.1
	retryMaxRetries       = 2 // three attempts in all, as in the baseline
	retryNodes            = 4 // per service, each with its own budgets
	retryHealthyTime      = 60 * time.Second
	retryFailingTime      = 30 * time.Second
	retryCallTime         = 10 * time.Millisecond // of one attempt in each layer
	retryDeadline         = 2 * time.Second
	retryBaselineAttempts = retryMaxRetries + 1
	retryMaxDepth         = 16
	retryBaselineMaxDepth = 8 // a deeper baseline is computed, since it sends 3^depth calls
)

// retryCase is a chain of services; after a healthy period, every call to the last
// one fails.
type retryCase struct {
	note        string
	depth       int
	rate        float64 // calls per second from callers
	failingTime time.Duration
	failure     answer
	// passReasons means that nodes put the reason of a backend server's failed
	// call into the server's own answer. Otherwise the layer above sees only the
	// server's status.
	passReasons  bool
	serverStatus int // of a server whose call to the next layer failed
}

// answer is what a layer returns to the one above.
type answer struct {
	outcome retry.Outcome
	reason  string
	status  int
	hops    int // nodes that the answer passed
}

var (
	answerOK         = answer{outcome: retry.Ran, status: 200}
	answerCut        = answer{outcome: retry.Unknown}
	answerOverloaded = answer{outcome: retry.NotRun, reason: "overloaded", status: 503, hops: 1}
	answerError      = answer{outcome: retry.Ran, status: 500, hops: 1}
)

var retryCases = []retryCase{
	{note: "depth 1, connections cut", depth: 1, rate: 400, failingTime: retryFailingTime, failure: answerCut},
	{note: "depth 1, overloaded", depth: 1, rate: 400, failingTime: retryFailingTime, failure: answerOverloaded},
	{note: "depth 1, status 500 for 5 s", depth: 1, rate: 400, failingTime: 5 * time.Second, failure: answerError},
	{note: "depth 1, 24 calls/s", depth: 1, rate: 24, failingTime: retryFailingTime, failure: answerCut},
	{note: "depth 16, reasons passed on by nodes", depth: retryMaxDepth, rate: 400, failingTime: retryFailingTime, failure: answerCut, passReasons: true, serverStatus: 500},
	{note: "depth 16, no reasons, servers answer 502", depth: retryMaxDepth, rate: 400, failingTime: retryFailingTime, failure: answerCut, serverStatus: 502},
	{note: "depth 16, no reasons, servers answer 500", depth: retryMaxDepth, rate: 400, failingTime: retryFailingTime, failure: answerCut, serverStatus: 500},
	{note: "depth 16, no reasons, servers answer 500 for 5 s", depth: retryMaxDepth, rate: 400, failingTime: 5 * time.Second, failure: answerCut, serverStatus: 500},
}

func measureRetry(ctx context.Context, seed int64, report func(Result)) error {
	for _, c := range retryCases {
		if err := ctx.Err(); err != nil {
			return err
		}
		ours := runRetry(c, seed, newBudgetedRetries())
		note := c.note
		baseline := math.Pow(retryBaselineAttempts, float64(c.depth))
		if c.depth <= retryBaselineMaxDepth {
			baseline = runRetry(c, seed, fixedAttempts{}).lastLayer()
		} else {
			note += "; baseline computed, not run"
		}
		report(Result{Measure: "retry_amplification", Unit: "calls/call", Seed: seed, Nodes: retryNodes * c.depth,
			Ours: ours.lastLayer(), Baseline: baseline,
			Note: fmt.Sprintf("%s; mean of all layers %.3f", note, ours.allLayers())})
	}
	return nil
}

// retryCounts counts the calls made while the last service fails.
type retryCounts struct {
	calls    int   // from callers
	attempts []int // to the backend servers of each layer
}

// lastLayer returns the amplification at the failing service: attempts per call of
// a caller.
func (c retryCounts) lastLayer() float64 {
	return float64(c.attempts[len(c.attempts)-1]) / float64(c.calls)
}

// allLayers returns the mean amplification over all services of the chain.
func (c retryCounts) allLayers() float64 {
	sum := 0
	for _, n := range c.attempts {
		sum += n
	}
	return float64(sum) / float64(c.calls*len(c.attempts))
}

// retryPolicy decides whether a failed attempt is retried.
type retryPolicy interface {
	recordCall(node int, service string, now time.Time)
	// shouldRetry reports whether to retry, and otherwise the answer for the layer
	// above.
	shouldRetry(node int, service string, tries int, remaining time.Duration, a answer, now time.Time) (bool, answer)
}

type fixedAttempts struct{}

func (fixedAttempts) recordCall(int, string, time.Time) {}

func (fixedAttempts) shouldRetry(_ int, _ string, tries int, _ time.Duration, a answer, _ time.Time) (bool, answer) {
	return a.status != 200 && tries < retryBaselineAttempts, a
}

// budgetedRetries decides as the nodes do: by the retry rules, then by the budget.
type budgetedRetries struct{ budgets []*retry.Budgets }

func newBudgetedRetries() *budgetedRetries {
	b := &budgetedRetries{}
	for range retryNodes {
		b.budgets = append(b.budgets, retry.NewBudgets())
	}
	return b
}

func (b *budgetedRetries) recordCall(node int, service string, now time.Time) {
	b.budgets[node].AddCall(service, retryBudget, now)
}

func (b *budgetedRetries) shouldRetry(node int, service string, tries int, remaining time.Duration, a answer, now time.Time) (bool, answer) {
	d := retry.Decide(retry.Attempt{
		Idempotent: true, Outcome: a.outcome, Reason: a.reason, Status: a.status, AnswerHops: a.hops,
		Tries: tries, MaxRetries: retryMaxRetries, Remaining: remaining, Needed: retryCallTime,
	})
	switch {
	case d.Verdict == retry.PassOn:
		return false, a
	case d.Verdict == retry.TryNext && b.budgets[node].Spend(service, retryBudget, now):
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
	policy  retryPolicy
	counts  retryCounts
	failing bool
}

func runRetry(c retryCase, seed int64, policy retryPolicy) retryCounts {
	run := &retryRun{retryCase: c, sim: newSimulation(), random: rand.New(rand.NewPCG(uint64(seed), 1)), policy: policy}
	run.counts.attempts = make([]int, c.depth)
	run.sim.after(retryHealthyTime, func() { run.failing = true })
	run.sim.arrivals(c.rate, retryHealthyTime+c.failingTime, run.random.ExpFloat64, func() {
		if run.failing {
			run.counts.calls++
		}
		run.sendCall(0, retryDeadline)
	})
	run.sim.run()
	return run.counts
}

// sendCall calls the service of a layer through one of the nodes of the layer
// above. A chain takes little time compared with changes of the budgets, so it
// runs at one instant of virtual time.
func (r *retryRun) sendCall(layer int, remaining time.Duration) answer {
	node := r.random.IntN(retryNodes)
	service := fmt.Sprintf("service-%d", layer)
	r.policy.recordCall(node, service, r.sim.now)
	for tries := 1; ; tries++ {
		a := r.serve(layer, remaining)
		remaining -= retryCallTime
		shouldRetry, result := r.policy.shouldRetry(node, service, tries, remaining, a, r.sim.now)
		if !shouldRetry {
			return result
		}
	}
}

// serve runs an attempt on a backend server of a layer, which calls the next
// layer.
func (r *retryRun) serve(layer int, remaining time.Duration) answer {
	if r.failing {
		r.counts.attempts[layer]++
	}
	if layer == r.depth-1 {
		if r.failing {
			return r.failure
		}
		return answerOK
	}
	next := r.sendCall(layer+1, remaining-retryCallTime)
	if next.status == answerOK.status {
		return answerOK
	}
	result := answer{outcome: retry.Ran, status: r.serverStatus, hops: 1}
	if r.passReasons {
		result.reason = next.reason
		result.hops += next.hops
	}
	return result
}
