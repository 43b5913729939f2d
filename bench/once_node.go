package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
)

// onceNode does what an inbound proxy and its coordinator do with keyed calls.
type onceNode struct {
	*idempotency.Coordinator
	testbed       *onceTestbed
	self          idempotency.Holder
	index         int
	ctx           context.Context
	kill          context.CancelFunc
	pausedUntil   atomic.Int64 // Unix time in ns
	answersToLose atomic.Int64 // number of batcher answers yet to be dropped
}

func (n *onceNode) pause(d time.Duration) { n.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

func (n *onceNode) remainingPause() time.Duration {
	return time.Until(time.Unix(0, n.pausedUntil.Load()))
}

func (n *onceNode) waitUntilResumed() {
	if d := n.remainingPause(); d > 0 {
		time.Sleep(d)
	}
}

// claimerFor returns the claimer of a partition. Nodes with odd indexes use
// another batcher than those with even ones, as when nodes disagree on which
// batcher serves the partition.
func (n *onceNode) claimerFor(partition int) (idempotency.Claimer, error) {
	return onceClaimer{n, n.testbed.batchers[n.index%onceBatchersPerPartition][partition].Load()}, nil
}

// onceClaimer calls a batcher for a node and drops some of its answers.
type onceClaimer struct {
	node    *onceNode
	batcher *onceBatcher
}

// Claim implements idempotency.Claimer.
func (c onceClaimer) Claim(ctx context.Context, claim idempotency.Claim) (idempotency.Verdict, error) {
	v, err := c.batcher.Claim(ctx, claim)
	c.node.waitUntilResumed()
	if c.node.answersToLose.Load() > 0 && c.node.answersToLose.Add(-1) >= 0 {
		return idempotency.Verdict{}, errors.New("connection lost")
	}
	return v, err
}

// Resolve implements idempotency.Claimer.
func (c onceClaimer) Resolve(ctx context.Context, resolution idempotency.Resolution) error {
	if resolution.State == idempotency.StateReleased {
		c.node.testbed.releasedClaims.Set(resolution.ClaimID, true)
	}
	return c.batcher.Resolve(ctx, resolution)
}

// serve handles a keyed call; it forwards the call at most forwards times.
func (n *onceNode) serve(key idempotency.Key, timeout time.Duration, forwards int) idempotency.Outcome {
	ctx, cancel := context.WithTimeout(n.ctx, timeout)
	defer cancel()
	if !n.testbed.useClaims {
		return n.runUnclaimed(key)
	}
	d := n.Begin(ctx, key, time.Now())
	n.waitUntilResumed()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	if d.Kind == idempotency.KindForward {
		if holder := n.testbed.reachableHolder(d.Holder); holder != nil && forwards > 0 {
			return holder.serve(key, timeout, forwards-1)
		}
		d = d.WithoutHolder()
	}
	switch d.Kind {
	case idempotency.KindRun:
		return n.runClaimed(d.Run)
	case idempotency.KindJoined:
		return d.Run.Wait(ctx).Outcome
	case idempotency.KindRan:
		return idempotency.OutcomeRan
	case idempotency.KindRefused:
		return idempotency.OutcomeNotRun
	}
	return idempotency.OutcomeUnknown
}

// reachableHolder returns the holder's node, or nil if it was killed or is paused.
func (t *onceTestbed) reachableHolder(h idempotency.Holder) *onceNode {
	for i := range t.nodes {
		n := t.node(i)
		if n.self == h && n.ctx.Err() == nil && n.remainingPause() <= 0 {
			return n
		}
	}
	return nil
}

// runClaimed runs a claimed call or sheds it.
func (n *onceNode) runClaimed(r *idempotency.Run) idempotency.Outcome {
	if rand.Float64() < onceShedShare {
		n.Release(r, idempotency.ReasonReleased, time.Now())
		return idempotency.OutcomeNotRun
	}
	n.testbed.startedClaims.Set(r.ClaimID, true)
	outcome := n.runUnclaimed(r.Key)
	if outcome == idempotency.OutcomeRan {
		n.Finish(r, idempotency.Answer{Outcome: outcome, Status: 200, Whole: true}, time.Now())
	}
	return outcome
}

// runUnclaimed runs a call at the simulated backend server and counts the run.
func (n *onceNode) runUnclaimed(key idempotency.Key) idempotency.Outcome {
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
