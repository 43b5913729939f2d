package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
)

// onceNode is a guard with its coordinator, as far as keyed calls go.
type onceNode struct {
	*idempotency.Coordinator
	testbed *onceTestbed
	self    idempotency.Holder
	index   int
	ctx     context.Context
	kill    context.CancelFunc
	wake    atomic.Int64 // time in ns until which the node is paused
	lose    atomic.Int64 // answers of batchers to lose
}

func (n *onceNode) pause(d time.Duration) { n.wake.Store(time.Now().Add(d).UnixNano()) }

func (n *onceNode) paused() time.Duration { return time.Until(time.Unix(0, n.wake.Load())) }

func (n *onceNode) waitAwake() {
	if d := n.paused(); d > 0 {
		time.Sleep(d)
	}
}

// reach returns the way to a batcher of a partition. Nodes with odd numbers
// disagree with the others on which one it is.
func (n *onceNode) reach(partition int) (idempotency.Claimer, error) {
	return onceWay{n, n.testbed.batchers[n.index%onceHosts][partition].Load()}, nil
}

// onceWay is the way from a node to a batcher; answers get lost on it.
type onceWay struct {
	node    *onceNode
	batcher *onceBatcher
}

// Claim implements once.Claimer.
func (y onceWay) Claim(ctx context.Context, c idempotency.Claim) (idempotency.Verdict, error) {
	v, err := y.batcher.Claim(ctx, c)
	y.node.waitAwake()
	if y.node.lose.Load() > 0 && y.node.lose.Add(-1) >= 0 {
		return idempotency.Verdict{}, errors.New("connection lost")
	}
	return v, err
}

// Resolve implements once.Claimer.
func (y onceWay) Resolve(ctx context.Context, s idempotency.Resolution) error {
	if s.State == idempotency.StateReleased {
		y.node.testbed.released.Set(s.ClaimID, true)
	}
	return y.batcher.Resolve(ctx, s)
}

// serve does what a guard does with a keyed call.
func (n *onceNode) serve(k idempotency.Key, limit time.Duration, hops int) idempotency.Outcome {
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	if !n.testbed.claims {
		return n.workUnclaimed(k)
	}
	d := n.Begin(ctx, k, time.Now())
	n.waitAwake()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	if d.Kind == idempotency.KindForward {
		if holder := n.testbed.holder(d.Holder); holder != nil && hops > 0 {
			return holder.serve(k, limit, hops-1)
		}
		d = d.WithoutHolder()
	}
	switch d.Kind {
	case idempotency.KindRun:
		return n.work(d.Run)
	case idempotency.KindJoined:
		return d.Run.Wait(ctx).Outcome
	case idempotency.KindRan:
		return idempotency.OutcomeRan
	case idempotency.KindRefused:
		return idempotency.OutcomeNotRun
	}
	return idempotency.OutcomeUnknown
}

// holder returns the node of a holder, or nil when it does not answer.
func (w *onceTestbed) holder(h idempotency.Holder) *onceNode {
	for i := range w.nodes {
		n := w.node(i)
		if n.self == h && n.ctx.Err() == nil && n.paused() <= 0 {
			return n
		}
	}
	return nil
}

// work runs a claimed call at the backend server, or sheds it.
func (n *onceNode) work(r *idempotency.Run) idempotency.Outcome {
	if rand.Float64() < onceShed {
		n.Release(r, idempotency.ReasonReleased, time.Now())
		return idempotency.OutcomeNotRun
	}
	n.testbed.ran.Set(r.ClaimID, true)
	outcome := n.workUnclaimed(r.Key)
	if outcome == idempotency.OutcomeRan {
		n.Finish(r, idempotency.Answer{Outcome: outcome, Status: 200, Whole: true}, time.Now())
	}
	return outcome
}

// workUnclaimed counts and runs the work of a call.
func (n *onceNode) workUnclaimed(k idempotency.Key) idempotency.Outcome {
	n.waitAwake()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	n.testbed.runs.Update(k.Text, func(runs int, _ bool) (int, bool) { return runs + 1, true })
	select {
	case <-time.After(time.Duration(rand.ExpFloat64() * float64(onceWork))):
		return idempotency.OutcomeRan
	case <-n.ctx.Done():
		return onceNoReply
	}
}
