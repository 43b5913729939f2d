package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	callsNodes        = 8
	callsSlots        = 18
	callsHost         = "vitrine.example"
	callsCrashPath    = "/crash-now"
	callsServiceTime  = 4 * time.Millisecond
	callsStartTimeout = 8 * time.Second // until all nodes serve the profile and see all members
	callsPollInterval = 50 * time.Millisecond
	callsProfile      = `{"kind": "profile", "name": "vitrine", "policy": {"timeout": "2s", "retries": 2},
		"routes": [{"name": "all", "host": "vitrine.example", "service": "vitrine"}]}`
)

// callsLocations are the regions and failure domains of the nodes, in turn.
var callsLocations = [][2]string{{"gaucho", "poa-a"}, {"gaucho", "poa-b"}, {"litoral", "floripa-a"}, {"litoral", "floripa-b"}}

// callsTestbed runs complete nodes over loopback, with stand-ins for the log and
// the backend servers.
type callsTestbed struct {
	ctx            context.Context
	log            *standin.Log
	logAddress     string
	members        [callsNodes]callsMember
	runsByPath     *shard.Map[int]
	faultsInjected [len(callsFaultNames)]atomic.Int64
	logFaulty      atomic.Bool    // a fault of the log is active
	activeFaults   sync.WaitGroup // running goroutines of injectFaults
}

// callsMember is a node and its backend server.
type callsMember struct {
	backend *standin.Backend
	address string // of the backend server
	node    atomic.Pointer[callsNode]
	faulty  atomic.Bool // a fault of the backend server or the node is active
}

type callsNode struct {
	*node.Node
	stop context.CancelFunc
	done chan error
}

func newCallsTestbed(ctx context.Context) (*callsTestbed, error) {
	t := &callsTestbed{ctx: ctx, log: standin.NewLog(time.Hour, time.Now), runsByPath: shard.NewMap[int](0)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the log stand-in")
	}
	t.logAddress = ln.Addr().String()
	srv := &http.Server{Handler: t.log.Handler(), ReadHeaderTimeout: callsStartTimeout}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	ops := operator.NewClient(platformlog.NewClient(t.logAddress, nil), "bench", time.Now)
	if err := ops.Init(ctx); err != nil {
		return nil, err
	}
	for i := range t.members {
		if err := t.startBackend(i); err != nil {
			return nil, err
		}
		if err := t.startNode(i); err != nil {
			return nil, err
		}
	}
	return t, t.publishProfile(ops)
}

// publishProfile publishes the profile and waits until every node serves it.
func (t *callsTestbed) publishProfile(ops *operator.Client) error {
	ctx, cancel := context.WithTimeout(t.ctx, callsStartTimeout)
	defer cancel()
	docs, findings := profile.ParseFile("bench", []byte(callsProfile))
	if err := findings.Err(); err != nil {
		return err
	}
	before, err := ops.State(ctx)
	if err != nil {
		return err
	}
	state, err := ops.Submit(ctx, operator.PublishEdits(before, docs))
	if err != nil {
		return err
	}
	tick := time.NewTicker(callsPollInterval)
	defer tick.Stop()
	for !t.allNodesServe(state.Position) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "nodes did not become ready")
		}
	}
	return nil
}

func (t *callsTestbed) allNodesServe(want profile.Position) bool {
	for i := range t.members {
		s := t.members[i].node.Load().Status()
		if s.Position == nil || s.Position.Compare(want) < 0 || s.Members < callsNodes {
			return false
		}
	}
	return true
}

func (t *callsTestbed) startBackend(i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for a backend server")
	}
	m := &t.members[i]
	m.address = ln.Addr().String()
	m.backend = standin.NewBackend(fmt.Sprint("b", i), callsSlots, callsServiceTime)
	m.backend.SetRunHook(func(r *http.Request) {
		t.runsByPath.Update(r.URL.Path, func(n int, _ bool) (int, bool) { return n + 1, true })
	})
	go func() { _ = m.backend.Serve(t.ctx, ln, standin.ListenTCP) }()
	return nil
}

// startNode starts a node without any state, on new ports.
func (t *callsTestbed) startNode(i int) error {
	var s settings.Settings
	jsonc.Defaults(&s)
	const anyPort = "127.0.0.1:0"
	location := callsLocations[i%len(callsLocations)]
	s.Node = settings.Node{ID: fmt.Sprint("n", i), Service: "vitrine", Region: location[0], FailureDomain: location[1]}
	s.Listen = settings.Listen{Calls: anyPort, Inbound: anyPort, Peer: anyPort, Admin: anyPort}
	s.BackendServer.Address, s.BackendServer.Slots = t.members[i].address, callsSlots
	s.Log.Address = t.logAddress
	n, err := node.New(s, telemetry.NewLogger(io.Discard, s.Logging))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(t.ctx)
	c := &callsNode{Node: n, stop: cancel, done: make(chan error, 1)}
	go func() { c.done <- n.Run(ctx) }()
	t.members[i].node.Store(c)
	return nil
}

func (t *callsTestbed) stopNodes() {
	for i := range t.members {
		n := t.members[i].node.Load()
		n.stop()
		<-n.done
	}
}

// callsFaultNames names the faults in the order of the cases in inject.
var callsFaultNames = [...]string{"crash", "hang", "cut answers", "shed", "stall after the run", "node restart", "log down", "log loses answers"}

// callsFirstLogFault is the index of the first fault of the log; earlier ones hit
// a member.
const callsFirstLogFault = 6

const (
	callsFaultInterval   = 150 * time.Millisecond // mean
	callsFaultDuration   = 500 * time.Millisecond // mean
	callsStallFactor     = 1000                   // of the service time: a call that has begun to run exceeds its timeout
	callsLogFaultDivisor = 3                      // shortens faults of the log, since no keyed call runs during one
	callsMaxCutBytes     = 4 << 10                // of an answer before it is cut
)

// injectFaults injects random faults until ctx ends, then clears them all.
func (t *callsTestbed) injectFaults(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for wait.For(ctx, exponential(r, callsFaultInterval)) {
		kind, m, duration, size := r.IntN(len(callsFaultNames)), r.IntN(callsNodes), exponential(r, callsFaultDuration), r.Int64N(callsMaxCutBytes)
		busy := &t.members[m].faulty
		if kind >= callsFirstLogFault {
			busy, duration = &t.logFaulty, duration/callsLogFaultDivisor
		}
		if !busy.CompareAndSwap(false, true) {
			continue // at most one fault at a time for the log and for each member
		}
		t.faultsInjected[kind].Add(1)
		t.activeFaults.Go(func() {
			defer busy.Store(false)
			t.inject(ctx, kind, m, duration, size)
		})
	}
	t.activeFaults.Wait()
	t.log.SetFaults(standin.LogFaults{})
}

// inject injects a fault and returns when it ends.
func (t *callsTestbed) inject(ctx context.Context, kind, i int, duration time.Duration, size int64) {
	m := &t.members[i]
	during := func(f standin.BackendFaults) {
		m.backend.SetFaults(f)
		wait.For(ctx, duration)
		m.backend.SetFaults(standin.BackendFaults{})
	}
	switch kind {
	case 0:
		t.crash(ctx, m, duration)
	case 1:
		during(standin.BackendFaults{Hang: true})
	case 2:
		during(standin.BackendFaults{CutAfter: &size})
	case 3:
		during(standin.BackendFaults{Shed: true})
	case 4:
		during(standin.BackendFaults{SlowFactor: callsStallFactor})
	case 5:
		n := m.node.Load()
		n.stop()
		<-n.done
		if err := t.startNode(i); err != nil {
			panic(err) // loopback always has a free port
		}
	case 6:
		t.log.SetFaults(standin.LogFaults{Down: true})
		wait.For(ctx, duration)
		t.log.SetFaults(standin.LogFaults{})
	case 7:
		t.log.SetFaults(standin.LogFaults{LoseAnswers: 1 + int(size%8)})
		wait.For(ctx, duration)
		t.log.SetFaults(standin.LogFaults{})
	}
}

// crash closes the backend server's listener and connections for a time.
func (t *callsTestbed) crash(ctx context.Context, m *callsMember, duration time.Duration) {
	m.backend.SetFaults(standin.BackendFaults{CrashOn: callsCrashPath, CrashForMs: int(duration.Milliseconds())})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+callsCrashPath, nil)
	if err != nil {
		panic(err) // method and URL are always valid
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
	wait.For(ctx, duration)
	m.backend.SetFaults(standin.BackendFaults{})
}

func (t *callsTestbed) faultSummary() string {
	var counts []string
	for i, name := range callsFaultNames {
		counts = append(counts, fmt.Sprintf("%d x %s", t.faultsInjected[i].Load(), name))
	}
	return strings.Join(counts, ", ")
}
