package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
)

func init() { measurements["once"] = measureOnce }

// The once measurement counts the keys whose calls run more than once while faults
// are injected. Calls are made in real time, since claims depend on goroutines and
// timers.
const (
	onceCalls           = 12000
	onceInterval        = 2500 * time.Microsecond // between two calls: 400 a second
	onceNodes           = 8
	onceMaxAttempts     = 4
	onceServiceTime     = 20 * time.Millisecond
	onceMeanTimeout     = 800 * time.Millisecond
	onceConcurrentShare = 0.1                   // of callers, which first send the call twice at once
	onceResendShare     = 0.8                   // of calls whose outcome is not ran, sent again
	onceShedShare       = 0.03                  // of claimed calls, shed by the node
	onceResolveWait     = 3 * time.Second       // for the last resolutions
	onceRetryDelay      = 50 * time.Millisecond // before a call is sent again
	onceMaxForwards     = 4
	onceNoReply         = idempotency.Outcome("none") // the node was killed
)

type onceResult struct {
	violations  int // keys that ran more than once
	falseNotRun int // released claims whose call was started, and keys that ran although every call was reported as not-run
	outcomes    map[idempotency.Outcome]int
	resent      int // calls after the first one of each key
}

func measureOnce(ctx context.Context, seed int64, report func(Result)) error {
	ours, err := newOnceTestbed(ctx, seed, true)
	if err != nil {
		return err
	}
	base, err := newOnceTestbed(ctx, seed, false)
	if err != nil {
		return err
	}
	var oursResult, baseResult onceResult
	var both sync.WaitGroup
	both.Go(func() { oursResult = ours.run() })
	both.Go(func() { baseResult = base.run() })
	both.Wait()
	note := fmt.Sprintf("%d calls, %d resent; ran %d, not-run %d, unknown %d, none %d", onceCalls, oursResult.resent,
		oursResult.outcomes[idempotency.OutcomeRan], oursResult.outcomes[idempotency.OutcomeNotRun], oursResult.outcomes[idempotency.OutcomeUnknown], oursResult.outcomes[onceNoReply])
	report(Result{Measure: "once_violations", Ours: float64(oursResult.violations), Baseline: float64(baseResult.violations), Unit: "keys",
		Nodes: onceNodes, Seed: seed, Note: note})
	report(Result{Measure: "not_run_lies", Ours: float64(oursResult.falseNotRun), Baseline: float64(baseResult.falseNotRun), Unit: "calls",
		Nodes: onceNodes, Seed: seed, Note: ours.faultSummary()})
	return ctx.Err()
}

// run makes the calls of all keys while faults are injected.
func (t *onceTestbed) run() onceResult {
	defer t.stop()
	faultCtx, stopFaults := context.WithCancel(t.ctx)
	var faults, callers sync.WaitGroup
	faults.Go(func() { t.injectFaults(faultCtx) })
	r := rand.New(rand.NewPCG(t.seed, 1))
	results := make([]onceCaller, onceCalls)
	start := time.Now()
	for i := range results {
		time.Sleep(time.Until(start.Add(time.Duration(i) * onceInterval)))
		results[i].random = rand.New(rand.NewPCG(t.seed, r.Uint64()))
		callers.Go(func() { results[i].run(t) })
	}
	callers.Wait()
	stopFaults()
	faults.Wait()
	time.Sleep(onceResolveWait)
	return t.countResult(results)
}

// onceCaller makes the calls with one key.
type onceCaller struct {
	random   *rand.Rand
	key      idempotency.Key
	outcomes []idempotency.Outcome
}

// run sends the call up to onceMaxAttempts times until it has run. A share of the
// callers gives up earlier, and a share first sends the call twice at once.
func (c *onceCaller) run(t *onceTestbed) {
	id := uuid.Must(uuid.NewV7())
	key, refusal := idempotency.ParseKey(id.String(), idempotency.KeyRule{}, time.Now())
	if refusal != nil {
		panic("bench: new key refused: " + refusal.Message)
	}
	c.key = key
	if c.random.Float64() < onceConcurrentShare {
		c.sendConcurrently(t)
	}
	for range onceMaxAttempts {
		c.outcomes = append(c.outcomes, c.send(t, c.random.IntN(onceNodes)))
		last := c.outcomes[len(c.outcomes)-1]
		if last == idempotency.OutcomeRan || c.random.Float64() >= onceResendShare {
			return
		}
		time.Sleep(onceRetryDelay)
	}
}

// sendConcurrently sends the call twice at once, through randomly chosen nodes.
func (c *onceCaller) sendConcurrently(t *onceTestbed) {
	first, second := c.random.IntN(onceNodes), c.random.IntN(onceNodes)
	out := make(chan idempotency.Outcome, 2)
	timeout := c.timeout()
	for _, i := range []int{first, second} {
		go func() { out <- t.node(i).serve(c.key, timeout, onceMaxForwards) }()
	}
	c.outcomes = append(c.outcomes, <-out, <-out)
}

func (c *onceCaller) send(t *onceTestbed, i int) idempotency.Outcome {
	return t.node(i).serve(c.key, c.timeout(), onceMaxForwards)
}

// timeout returns a random timeout with the mean onceMeanTimeout.
func (c *onceCaller) timeout() time.Duration {
	return onceMeanTimeout/4 + exponential(c.random, 3*onceMeanTimeout/4)
}

// countResult compares the outcomes reported to callers with the runs.
func (t *onceTestbed) countResult(results []onceCaller) onceResult {
	res := onceResult{outcomes: map[idempotency.Outcome]int{}}
	for _, c := range results {
		runs, _ := t.runsByKey.Get(c.key.Text)
		if runs > 1 {
			res.violations++
		}
		notRun := 0
		for _, o := range c.outcomes {
			res.outcomes[o]++
			if o == idempotency.OutcomeNotRun {
				notRun++
			}
		}
		if runs > 0 && notRun == len(c.outcomes) {
			res.falseNotRun++
		}
		res.resent += len(c.outcomes) - 1
	}
	t.releasedClaims.Range(func(claim string, _ bool) bool {
		if ran, _ := t.startedClaims.Get(claim); ran {
			res.falseNotRun++
		}
		return true
	})
	return res
}
