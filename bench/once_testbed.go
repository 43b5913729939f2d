package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// onceBatchersPerPartition is the number of concurrent batchers per partition.
const onceBatchersPerPartition = 2

// onceTestbed runs simulated nodes and real batchers in this process, with a log
// stand-in over loopback.
type onceTestbed struct {
	ctx       context.Context
	stop      context.CancelFunc
	seed      uint64
	useClaims bool // false in the baseline, which runs every call that arrives

	log      *standin.Log
	client   *platformlog.Client
	nodes    [onceNodes]atomic.Pointer[onceNode]
	batchers [onceBatchersPerPartition][idempotency.Partitions]atomic.Pointer[onceBatcher]

	runsByKey      *shard.Map[int]
	startedClaims  *shard.Map[bool] // by claim ID
	releasedClaims *shard.Map[bool] // by claim ID
	faultsInjected [len(onceFaultNames)]atomic.Int64
}

type onceBatcher struct {
	*idempotency.Batcher
	stop context.CancelFunc
}

func newOnceTestbed(ctx context.Context, seed int64, useClaims bool) (*onceTestbed, error) {
	t := &onceTestbed{
		seed:           uint64(seed),
		useClaims:      useClaims,
		log:            standin.NewLog(time.Hour, time.Now),
		runsByKey:      shard.NewMap[int](0),
		startedClaims:  shard.NewMap[bool](0),
		releasedClaims: shard.NewMap[bool](0),
	}
	t.ctx, t.stop = context.WithCancel(ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the log stand-in")
	}
	server := &http.Server{Handler: t.log.Handler()}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(t.ctx, func() { _ = server.Close() })
	t.client = platformlog.NewClient(listener.Addr().String(), nil)
	for replica := range onceBatchersPerPartition {
		for p := range idempotency.Partitions {
			t.startBatcher(replica, p)
		}
	}
	for i := range onceNodes {
		t.startNode(i)
	}
	time.Sleep(time.Second) // until the batchers have opened their streams
	return t, nil
}

// startBatcher starts a batcher and stops the one that it replaces.
func (t *onceTestbed) startBatcher(replica, partition int) {
	ctx, stop := context.WithCancel(t.ctx)
	b := &onceBatcher{idempotency.NewBatcher(idempotency.BatcherConfig{Partition: partition}, t.client), stop}
	go func() { _ = b.Run(ctx) }()
	if old := t.batchers[replica][partition].Swap(b); old != nil {
		old.stop()
	}
}

// startNode starts a node. It kills the node that it replaces, and its calls.
func (t *onceTestbed) startNode(i int) {
	n := &onceNode{testbed: t, self: idempotency.Holder{Node: fmt.Sprint("n", i), Incarnation: time.Now().UnixNano()}, index: i}
	n.ctx, n.kill = context.WithCancel(t.ctx)
	n.Coordinator = idempotency.NewCoordinator(idempotency.CoordinatorConfig{Self: n.self, ClaimerFor: n.claimerFor})
	go func() { _ = n.Run(n.ctx) }()
	if old := t.nodes[i].Swap(n); old != nil {
		old.kill()
	}
}

func (t *onceTestbed) node(i int) *onceNode { return t.nodes[i].Load() }

// onceFaultNames names the faults in the order of the cases in inject.
var onceFaultNames = [...]string{"kill", "pause", "lose log answers", "lose batcher answers", "replace batcher", "slow log", "log down", "restart log"}

// onceFaultInterval is the mean time between two faults.
const onceFaultInterval = 40 * time.Millisecond

// injectFaults injects random faults until ctx ends, and restarts the log once
// after half of the calls. A fault of the log lasts until the next one.
func (t *onceTestbed) injectFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(t.seed, 2))
	restart := time.Now().Add(onceCalls * onceInterval / 2)
	for ctx.Err() == nil {
		kind := r.IntN(len(onceFaultNames) - 1)
		if !restart.IsZero() && time.Now().After(restart) {
			kind, restart = len(onceFaultNames)-1, time.Time{}
		}
		t.inject(kind, r)
		t.faultsInjected[kind].Add(1)
		time.Sleep(exponential(r, onceFaultInterval))
	}
	t.log.SetFaults(standin.LogFaults{})
}

// inject injects the fault at an index of onceFaultNames.
func (t *onceTestbed) inject(kind int, r *rand.Rand) {
	node := r.IntN(onceNodes)
	switch kind {
	case 0:
		t.startNode(node)
	case 1:
		t.node(node).pause(exponential(r, 500*time.Millisecond))
	case 2:
		t.log.SetFaults(standin.LogFaults{LoseAnswers: 1 + r.IntN(5)})
	case 3:
		t.node(node).answersToLose.Add(3)
	case 4:
		t.startBatcher(r.IntN(onceBatchersPerPartition), r.IntN(idempotency.Partitions))
	case 5:
		t.log.SetFaults(standin.LogFaults{SlowMs: r.IntN(200)})
	case 6:
		t.log.SetFaults(standin.LogFaults{Down: true})
	case 7:
		t.log.SetFaults(standin.LogFaults{Reset: true})
	}
}

// faultSummary returns how often each fault was injected.
func (t *onceTestbed) faultSummary() string {
	text := ""
	for i, name := range onceFaultNames {
		text += fmt.Sprintf("%d x %s, ", t.faultsInjected[i].Load(), name)
	}
	return text[:len(text)-2]
}
