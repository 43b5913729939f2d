package idempotency

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// cluster is one partition's log, its batchers and some nodes in a synctest
// bubble.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	log      *fakeLog
	batchers []*Batcher
	stops    []context.CancelFunc
	nodes    map[string]*node

	mu       sync.Mutex      // guards the faults and counts below and in nodes
	runs     map[string]int  // runs started at the backend server, by key
	ran      map[string]bool // claims whose runs were started
	released map[string]bool // claims that were released
}

// inCluster runs a test in virtual time with one batcher.
func inCluster(t *testing.T, fn func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, log: newFakeLog(), nodes: map[string]*node{}, runs: map[string]int{},
			ran: map[string]bool{}, released: map[string]bool{}}
		c.startBatcher()
		time.Sleep(time.Second)
		fn(c)
		cancel()
		time.Sleep(time.Hour)
		synctest.Wait()
	})
}

// key returns a fresh key of the cluster's partition.
func (c *cluster) key() Key {
	for {
		id, err := uuid.NewV7()
		assert.NilError(c.t, err)
		k := Key{Text: id.String(), Time: time.Now()}
		if k.Partition() == testPartition {
			return k
		}
	}
}

const testPartition = 3

func (c *cluster) startBatcher() int {
	b := NewBatcher(BatcherConfig{Partition: testPartition}, c.log)
	ctx, stop := context.WithCancel(c.ctx)
	go func() { _ = b.Run(ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.batchers, c.stops = append(c.batchers, b), append(c.stops, stop)
	return len(c.batchers) - 1
}

// node simulates an inbound proxy with its coordinator, and holds the faults
// to inject.
type node struct {
	*Coordinator
	c             *cluster
	self          Holder
	ctx           context.Context
	kill          context.CancelFunc
	batcher       int
	answersToLose int
	backendDead   bool
	sheds         bool
	pausedUntil   time.Time
}

// node starts a node that uses the given batcher. It replaces an earlier node of
// the same name.
func (c *cluster) node(name string, batcher int) *node {
	n := &node{c: c, batcher: batcher, self: Holder{Node: name, Incarnation: time.Now().UnixNano()}}
	n.ctx, n.kill = context.WithCancel(c.ctx)
	n.Coordinator = NewCoordinator(CoordinatorConfig{
		Self:       n.self,
		ClaimerFor: func(int) (Claimer, error) { return n, nil },
	})
	go func() { _ = n.Run(n.ctx) }()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nodes[name] = n
	return n
}

// pause blocks the node for a time at its next step.
func (n *node) pause(d time.Duration) {
	n.set(func() { n.pausedUntil = time.Now().Add(d) })
}

// remainingPause returns how long the node stays paused.
func (n *node) remainingPause() time.Duration {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return time.Until(n.pausedUntil)
}

func (n *node) waitUntilResumed() { time.Sleep(n.remainingPause()) }

// set changes faults of the node.
func (n *node) set(fn func()) {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	fn()
}

// useBatcher switches the node to another batcher.
func (n *node) useBatcher(batcher int) { n.set(func() { n.batcher = batcher }) }

func (n *node) currentBatcher() *Batcher {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.batchers[n.batcher]
}

// answerLost reports whether to lose this answer.
func (n *node) answerLost() bool {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	n.answersToLose--
	return n.answersToLose >= 0
}

// Claim implements Claimer with the faults of the connection to the batcher.
func (n *node) Claim(ctx context.Context, cl Claim) (Verdict, error) {
	v, err := n.currentBatcher().Claim(ctx, cl)
	n.waitUntilResumed()
	if n.answerLost() {
		return Verdict{}, errors.New("connection lost")
	}
	return v, err
}

// Resolve implements Claimer.
func (n *node) Resolve(ctx context.Context, s Resolution) error {
	if s.State == StateReleased {
		n.set(func() { n.c.released[s.ClaimID] = true })
	}
	return n.currentBatcher().Resolve(ctx, s)
}

// begin claims the key of a call within a time limit.
func (n *node) begin(k Key, limit time.Duration) Decision {
	ctx, cancel := context.WithTimeout(n.ctx, limit)
	defer cancel()
	return n.Begin(ctx, k, time.Now())
}

const (
	workTime = 300 * time.Millisecond
	noAnswer = Outcome("none") // the caller's node died
)

// serve handles a keyed call as an inbound proxy does. It forwards the call at most
// maxForwards times.
func (n *node) serve(k Key, limit time.Duration, maxForwards int) Outcome {
	d := n.begin(k, limit)
	n.waitUntilResumed()
	if n.ctx.Err() != nil {
		return noAnswer
	}
	switch d.Kind {
	case KindRun:
		return n.runOrShed(d.Run)
	case KindJoined:
		ctx, cancel := context.WithTimeout(n.ctx, limit)
		defer cancel()
		return d.Run.Wait(ctx).Outcome
	case KindForward:
		if holder := n.c.reachableHolder(d.Holder); holder != nil && maxForwards > 0 {
			return holder.serve(k, limit, maxForwards-1)
		}
		d = d.WithoutHolder()
	}
	return outcomeOf(d)
}

// reachableHolder returns the node of a holder, or nil if it was killed, is paused or
// is another incarnation.
func (c *cluster) reachableHolder(h Holder) *node {
	c.mu.Lock()
	n := c.nodes[h.Node]
	c.mu.Unlock()
	if n.self != h || n.ctx.Err() != nil || n.remainingPause() > 0 {
		return nil
	}
	return n
}

// runOrShed runs a claimed call at the backend server, unless the node sheds calls.
func (n *node) runOrShed(r *Run) Outcome {
	n.c.mu.Lock()
	sheds, backendDead := n.sheds, n.backendDead
	n.c.mu.Unlock()
	if sheds {
		n.Release(r, ReasonReleased, time.Now())
		return OutcomeNotRun
	}
	n.set(func() {
		n.c.runs[r.Key.Text]++
		n.c.ran[r.ClaimID] = true
	})
	time.Sleep(workTime)
	if n.ctx.Err() != nil {
		return noAnswer
	}
	a := Answer{Outcome: OutcomeRan, Status: 200, BodyComplete: true}
	if backendDead {
		a = Answer{Outcome: OutcomeUnknown, Reason: ReasonConnectionLost}
	}
	n.Finish(r, a, time.Now())
	return a.Outcome
}

// pendingCall is a call whose outcome may not be known yet.
type pendingCall struct{ out chan Outcome }

func (r pendingCall) wait() Outcome { return <-r.out }

// call sends a keyed call to a node.
func (c *cluster) call(n *node, k Key, limit time.Duration) pendingCall {
	r := pendingCall{out: make(chan Outcome, 1)}
	go func() { r.out <- n.serve(k, limit, 4) }()
	return r
}
