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

func init() { measures["once"] = measureOnce }

// Keyed calls in real time, since claims go through goroutines and timers.
const (
	onceCalls   = 12000
	onceGap     = 2500 * time.Microsecond // between two calls: 400 a second
	onceNodes   = 8
	onceTries   = 4
	onceWork    = 20 * time.Millisecond
	onceLimit   = 800 * time.Millisecond // mean time limit of a call
	onceTwice   = 0.1                    // part of calls sent through two nodes at once
	onceResend  = 0.8                    // part of calls resent after an unknown outcome
	onceShed    = 0.03                   // part of runs shed by the node after the claim
	onceSettle  = 3 * time.Second        // time for the last settlements
	onceRetry   = 50 * time.Millisecond  // before a call is sent again
	onceHops    = 4
	onceNoReply = idempotency.Outcome("none") // the node died
)

// onceCount is the result of one run.
type onceCount struct {
	violations int // keys that ran more than once
	lies       int // released claims that ran, and keys that ran though every call was told not run
	outcomes   map[idempotency.Outcome]int
	resent     int
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
	var a, b onceCount
	var both sync.WaitGroup
	both.Go(func() { a = ours.run() })
	both.Go(func() { b = base.run() })
	both.Wait()
	note := fmt.Sprintf("%d calls, %d resent; ran %d, not-run %d, unknown %d, none %d", onceCalls, a.resent,
		a.outcomes[idempotency.OutcomeRan], a.outcomes[idempotency.OutcomeNotRun], a.outcomes[idempotency.OutcomeUnknown], a.outcomes[onceNoReply])
	report(Result{Measure: "once_violations", Ours: float64(a.violations), Baseline: float64(b.violations), Unit: "keys",
		Nodes: onceNodes, Seed: seed, Note: note})
	report(Result{Measure: "not_run_lies", Ours: float64(a.lies), Baseline: float64(b.lies), Unit: "calls",
		Nodes: onceNodes, Seed: seed, Note: ours.faults()})
	return ctx.Err()
}

// run sends all calls while faults come and go.
func (w *onceTestbed) run() onceCount {
	defer w.stop()
	faulty, calm := context.WithCancel(w.ctx)
	var faults, callers sync.WaitGroup
	faults.Go(func() { w.causeFaults(faulty) })
	r := rand.New(rand.NewPCG(w.seed, 1))
	results := make([]onceCaller, onceCalls)
	start := time.Now()
	for i := range results {
		time.Sleep(time.Until(start.Add(time.Duration(i) * onceGap)))
		results[i].random = rand.New(rand.NewPCG(w.seed, r.Uint64()))
		callers.Go(func() { results[i].play(w) })
	}
	callers.Wait()
	calm()
	faults.Wait()
	time.Sleep(onceSettle)
	return w.count(results)
}

// onceCaller is one caller with one key.
type onceCaller struct {
	random   *rand.Rand
	key      idempotency.Key
	outcomes []idempotency.Outcome
}

// play sends the call and resends it while its outcome is unknown.
func (c *onceCaller) play(w *onceTestbed) {
	id := uuid.Must(uuid.NewV7())
	key, refusal := idempotency.ParseKey(id.String(), idempotency.KeyRule{}, time.Now())
	if refusal != nil {
		panic("bench: a fresh key was refused: " + refusal.Message)
	}
	c.key = key
	if c.random.Float64() < onceTwice {
		c.sendTwice(w)
	}
	for range onceTries {
		c.outcomes = append(c.outcomes, c.send(w, c.random.IntN(onceNodes)))
		last := c.outcomes[len(c.outcomes)-1]
		if last == idempotency.OutcomeRan || c.random.Float64() >= onceResend {
			return
		}
		time.Sleep(onceRetry)
	}
}

// sendTwice sends the call through two nodes at once.
func (c *onceCaller) sendTwice(w *onceTestbed) {
	first, second := c.random.IntN(onceNodes), c.random.IntN(onceNodes)
	out := make(chan idempotency.Outcome, 2)
	limit := c.limit()
	for _, i := range []int{first, second} {
		go func() { out <- w.node(i).serve(c.key, limit, onceHops) }()
	}
	c.outcomes = append(c.outcomes, <-out, <-out)
}

func (c *onceCaller) send(w *onceTestbed, i int) idempotency.Outcome {
	return w.node(i).serve(c.key, c.limit(), onceHops)
}

func (c *onceCaller) limit() time.Duration {
	return onceLimit/4 + exponential(c.random, 3*onceLimit/4)
}

// count compares what callers were told with what ran.
func (w *onceTestbed) count(results []onceCaller) onceCount {
	res := onceCount{outcomes: map[idempotency.Outcome]int{}}
	for _, c := range results {
		runs, _ := w.runs.Get(c.key.Text)
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
			res.lies++
		}
		res.resent += len(c.outcomes) - 1
	}
	w.released.Range(func(claim string, _ bool) bool {
		if ran, _ := w.ran.Get(claim); ran {
			res.lies++
		}
		return true
	})
	return res
}
