package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
)

// onceNode simulates the part of an inbound proxy that handles keyed calls, with
// a real coordinator.
type onceNode struct {
	*idempotency.Coordinator
	testbed       *onceTestbed
	self          idempotency.Holder
	index         int
	ctx           context.Context // ends when the node is killed
	kill          context.CancelFunc
	pausedUntil   atomic.Int64 // Unix time in ns
	answersToLose atomic.Int64 // number of the batchers' next answers that are lost
}

// pause sets the time until which calls block when they reach waitUntilResumed.
func (n *onceNode) pause(d time.Duration) { n.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

func (n *onceNode) remainingPause() time.Duration {
	return time.Until(time.Unix(0, n.pausedUntil.Load()))
}

func (n *onceNode) waitUntilResumed() {
	if d := n.remainingPause(); d > 0 {
		time.Sleep(d)
	}
}

// claimerFor returns a client of one of the partition's batchers. Nodes with odd
// indexes use another batcher than those with even ones, as happens when nodes
// disagree on which batcher serves the partition.
func (n *onceNode) claimerFor(partition int) (idempotency.Claimer, error) {
	return onceClaimer{n, n.testbed.batchers[n.index%onceBatchersPerPartition][partition].Load()}, nil
}

// onceClaimer calls a batcher for a node and loses the answers that the node is
// set to lose.
type onceClaimer struct {
	node    *onceNode
	batcher *onceBatcher
}

// Claim implements idempotency.Claimer.
func (c onceClaimer) Claim(ctx context.Context, claim idempotency.Claim) (idempotency.Verdict, error) {
	v, err := c.batcher.Claim(ctx, claim)
	c.node.waitUntilResumed()
	// The check before Add keeps the counter from falling with every call.
	if c.node.answersToLose.Load() > 0 && c.node.answersToLose.Add(-1) >= 0 {
		return idempotency.Verdict{}, errors.New("connection lost")
	}
	return v, err
}

// Resolve implements idempotency.Claimer. It records the claims that the node
// releases.
func (c onceClaimer) Resolve(ctx context.Context, resolution idempotency.Resolution) error {
	if resolution.State == idempotency.StateReleased {
		c.node.testbed.releasedClaims.Set(resolution.ClaimID, true)
	}
	return c.batcher.Resolve(ctx, resolution)
}

// serve handles a keyed call: it runs the call, waits for a run in progress or
// forwards the call to the node that holds the claim, at most maxForwards times.
func (n *onceNode) serve(key idempotency.Key, timeout time.Duration, maxForwards int) idempotency.Outcome {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	if !n.testbed.useClaims {
		return n.runAtBackend(key)
	}
	decision := n.Begin(ctx, key, time.Now())
	n.waitUntilResumed()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	if decision.Kind == idempotency.KindForward {
		if holder := n.testbed.reachableHolder(decision.Holder); holder != nil && maxForwards > 0 {
			return holder.serve(key, timeout, maxForwards-1)
		}
		decision = decision.WithoutHolder()
	}
	switch decision.Kind {
	case idempotency.KindRun:
		return n.runClaimed(decision.Run)
	case idempotency.KindJoined:
		return decision.Run.Wait(ctx).Outcome
	case idempotency.KindRan:
		return idempotency.OutcomeRan
	case idempotency.KindRefused:
		return idempotency.OutcomeNotRun
	}
	return idempotency.OutcomeUnknown // idempotency.KindUnknown
}

// reachableHolder returns the holder's node. It returns nil if the node is paused,
// was killed or now runs as another incarnation.
func (t *onceTestbed) reachableHolder(h idempotency.Holder) *onceNode {
	for i := range t.nodes {
		n := t.node(i)
		if n.self == h && n.ctx.Err() == nil && n.remainingPause() <= 0 {
			return n
		}
	}
	return nil
}

// runClaimed runs a claimed call, or sheds it with the probability onceShedShare.
func (n *onceNode) runClaimed(r *idempotency.Run) idempotency.Outcome {
	if rand.Float64() < onceShedShare {
		n.Release(r, idempotency.ReasonReleased, time.Now())
		return idempotency.OutcomeNotRun
	}
	n.testbed.startedClaims.Set(r.ClaimID, true)
	outcome := n.runAtBackend(r.Key)
	if outcome == idempotency.OutcomeRan {
		n.Finish(r, idempotency.Answer{Outcome: outcome, Status: 200, BodyComplete: true}, time.Now())
	}
	return outcome
}

// runAtBackend simulates a backend server: it counts the run of a call and waits
// for a random service time. The baseline calls it without a claim.
func (n *onceNode) runAtBackend(key idempotency.Key) idempotency.Outcome {
	n.waitUntilResumed()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	n.testbed.runsByKey.Update(key.Text, func(runs int, _ bool) (int, bool) { return runs + 1, true })
	select {
	case <-time.After(time.Duration(rand.ExpFloat64() * float64(onceServiceTime))):
		return idempotency.OutcomeRan
	case <-n.ctx.Done():
		return onceNoReply
	}
}
