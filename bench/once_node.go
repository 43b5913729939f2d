package main

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/once"
)

// onceNode is a guard with its coordinator, as far as keyed calls go.
type onceNode struct {
	*once.Coordinator
	testbed *onceTestbed
	self    once.Holder
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
func (n *onceNode) reach(partition int) (once.Claimer, error) {
	return onceWay{n, n.testbed.batchers[n.index%onceHosts][partition].Load()}, nil
}

// onceWay is the way from a node to a batcher; answers get lost on it.
type onceWay struct {
	node    *onceNode
	batcher *onceBatcher
}

// Claim implements once.Claimer.
func (y onceWay) Claim(ctx context.Context, c once.Claim) (once.Verdict, error) {
	v, err := y.batcher.Claim(ctx, c)
	y.node.waitAwake()
	if y.node.lose.Load() > 0 && y.node.lose.Add(-1) >= 0 {
		return once.Verdict{}, errors.New("connection lost")
	}
	return v, err
}

// Settle implements once.Claimer.
func (y onceWay) Settle(ctx context.Context, s once.Settlement) error {
	if s.State == once.StateReleased {
		y.node.testbed.released.Set(s.ClaimID, true)
	}
	return y.batcher.Settle(ctx, s)
}

// serve does what a guard does with a keyed call.
func (n *onceNode) serve(k once.Key, limit time.Duration, hops int) once.Outcome {
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
	if d.Kind == once.KindElsewhere {
		if holder := n.testbed.holder(d.Holder); holder != nil && hops > 0 {
			return holder.serve(k, limit, hops-1)
		}
		d = d.WithoutHolder()
	}
	switch d.Kind {
	case once.KindRun:
		return n.work(d.Run)
	case once.KindJoined:
		return d.Run.Wait(ctx).Outcome
	case once.KindRan:
		return once.OutcomeRan
	case once.KindRefused:
		return once.OutcomeNotRun
	}
	return once.OutcomeUnknown
}

// holder returns the node of a holder, or nil when it does not answer.
func (w *onceTestbed) holder(h once.Holder) *onceNode {
	for i := range w.nodes {
		n := w.node(i)
		if n.self == h && n.ctx.Err() == nil && n.paused() <= 0 {
			return n
		}
	}
	return nil
}

// work runs a claimed call at the backend server, or sheds it.
func (n *onceNode) work(r *once.Run) once.Outcome {
	if rand.Float64() < onceShed {
		n.Release(r, once.ReasonReleased, time.Now())
		return once.OutcomeNotRun
	}
	n.testbed.ran.Set(r.ClaimID, true)
	outcome := n.workUnclaimed(r.Key)
	if outcome == once.OutcomeRan {
		n.Finish(r, once.Answer{Outcome: outcome, Status: 200, Whole: true}, time.Now())
	}
	return outcome
}

// workUnclaimed counts and runs the work of a call.
func (n *onceNode) workUnclaimed(k once.Key) once.Outcome {
	n.waitAwake()
	if n.ctx.Err() != nil {
		return onceNoReply
	}
	n.testbed.runs.Update(k.Text, func(runs int, _ bool) (int, bool) { return runs + 1, true })
	select {
	case <-time.After(time.Duration(rand.ExpFloat64() * float64(onceWork))):
		return once.OutcomeRan
	case <-n.ctx.Done():
		return onceNoReply
	}
}
