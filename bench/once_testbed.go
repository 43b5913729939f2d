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

// onceHosts is the number of batchers of each partition that serve at once.
const onceHosts = 2

// onceTestbed is the log's stand-in behind loopback, batchers and nodes.
type onceTestbed struct {
	ctx    context.Context
	stop   context.CancelFunc
	seed   uint64
	claims bool // false: the baseline, which runs what arrives

	log      *standin.Log
	client   *platformlog.Client
	nodes    [onceNodes]atomic.Pointer[onceNode]
	batchers [onceHosts][idempotency.Partitions]atomic.Pointer[onceBatcher]

	runs     *shard.Map[int]  // starts of the work by key
	ran      *shard.Map[bool] // claims whose work was started
	released *shard.Map[bool] // claims that were released
	counts   [len(onceFaults)]atomic.Int64
}

type onceBatcher struct {
	*idempotency.Batcher
	stop context.CancelFunc
}

func newOnceTestbed(ctx context.Context, seed int64, claims bool) (*onceTestbed, error) {
	w := &onceTestbed{
		seed:     uint64(seed),
		claims:   claims,
		log:      standin.NewLog(time.Hour, time.Now),
		runs:     shard.NewMap[int](0),
		ran:      shard.NewMap[bool](0),
		released: shard.NewMap[bool](0),
	}
	w.ctx, w.stop = context.WithCancel(ctx)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the log's stand-in")
	}
	server := &http.Server{Handler: w.log.Handler()}
	go func() { _ = server.Serve(listener) }()
	context.AfterFunc(w.ctx, func() { _ = server.Close() })
	w.client = platformlog.NewClient(listener.Addr().String(), nil)
	for host := range onceHosts {
		for p := range idempotency.Partitions {
			w.startBatcher(host, p)
		}
	}
	for i := range onceNodes {
		w.startNode(i)
	}
	time.Sleep(time.Second) // the batchers open their streams
	return w, nil
}

// startBatcher replaces the batcher of a host.
func (w *onceTestbed) startBatcher(host, partition int) {
	ctx, stop := context.WithCancel(w.ctx)
	b := &onceBatcher{idempotency.NewBatcher(idempotency.BatcherConfig{Partition: partition}, w.client), stop}
	go func() { _ = b.Run(ctx) }()
	if old := w.batchers[host][partition].Swap(b); old != nil {
		old.stop()
	}
}

// startNode replaces a node, which ends what ran on it.
func (w *onceTestbed) startNode(i int) {
	n := &onceNode{testbed: w, self: idempotency.Holder{Node: fmt.Sprint("n", i), Incarnation: time.Now().UnixNano()}, index: i}
	n.ctx, n.kill = context.WithCancel(w.ctx)
	n.Coordinator = idempotency.NewCoordinator(idempotency.CoordinatorConfig{Self: n.self, ClaimerFor: n.reach})
	go func() { _ = n.Run(n.ctx) }()
	if old := w.nodes[i].Swap(n); old != nil {
		old.kill()
	}
}

func (w *onceTestbed) node(i int) *onceNode { return w.nodes[i].Load() }

// onceFaults names the faults; their order is that of the cases below.
var onceFaults = [...]string{"kill", "pause", "lose log answers", "lose batcher answers", "replace batcher", "slow log", "log down", "restart log"}

// onceFaultGap is the mean time between two faults.
const onceFaultGap = 40 * time.Millisecond

// causeFaults causes drawn faults until ctx ends.
func (w *onceTestbed) causeFaults(ctx context.Context) {
	r := rand.New(rand.NewPCG(w.seed, 2))
	restart := time.Now().Add(onceCalls * onceGap / 2)
	for ctx.Err() == nil {
		kind := r.IntN(len(onceFaults) - 1)
		if !restart.IsZero() && time.Now().After(restart) {
			kind, restart = len(onceFaults)-1, time.Time{}
		}
		w.cause(kind, r)
		w.counts[kind].Add(1)
		time.Sleep(exponential(r, onceFaultGap))
	}
	w.log.SetFaults(standin.LogFaults{})
}

func (w *onceTestbed) cause(kind int, r *rand.Rand) {
	node := r.IntN(onceNodes)
	switch kind {
	case 0:
		w.startNode(node)
	case 1:
		w.node(node).pause(exponential(r, 500*time.Millisecond))
	case 2:
		w.log.SetFaults(standin.LogFaults{LoseAnswers: 1 + r.IntN(5)})
	case 3:
		w.node(node).lose.Add(3)
	case 4:
		w.startBatcher(r.IntN(onceHosts), r.IntN(idempotency.Partitions))
	case 5:
		w.log.SetFaults(standin.LogFaults{SlowMs: r.IntN(200)})
	case 6:
		w.log.SetFaults(standin.LogFaults{Down: true})
	case 7:
		w.log.SetFaults(standin.LogFaults{Reset: true})
	}
}

// faults tells how often each fault was caused.
func (w *onceTestbed) faults() string {
	text := ""
	for i, name := range onceFaults {
		text += fmt.Sprintf("%d x %s, ", w.counts[i].Load(), name)
	}
	return text[:len(text)-2]
}
