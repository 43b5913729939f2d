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
	callsNodes   = 8
	callsSlots   = 18
	callsHost    = "vitrine.example"
	callsCrash   = "/crash-now"
	callsWork    = 4 * time.Millisecond
	callsStart   = 8 * time.Second // for the nodes to know each other
	callsPoll    = 50 * time.Millisecond
	callsProfile = `{"kind": "profile", "name": "vitrine", "policy": {"timeout": "2s", "retries": 2},
		"routes": [{"name": "all", "host": "vitrine.example", "service": "vitrine"}]}`
)

// callsPlaces are the regions and failure domains that nodes are spread over.
var callsPlaces = [][2]string{{"gaucho", "poa-a"}, {"gaucho", "poa-b"}, {"litoral", "floripa-a"}, {"litoral", "floripa-b"}}

// callsTestbed is real nodes over loopback, with stand-ins of the log and of the
// backend servers.
type callsTestbed struct {
	ctx      context.Context
	log      *standin.Log
	address  string // of the log
	members  [callsNodes]callsMember
	runs     *shard.Map[int] // runs by path
	faults   [len(callsFaults)]atomic.Int64
	logBusy  atomic.Bool    // a fault of the log is on
	restored sync.WaitGroup // faults that end later
}

// callsMember is a node and its backend server.
type callsMember struct {
	backend *standin.Backend
	address string // of the backend server
	node    atomic.Pointer[callsNode]
	busy    atomic.Bool // a fault of the backend server or the node is on
}

type callsNode struct {
	*node.Node
	stop  context.CancelFunc
	ended chan error
}

func newCallsTestbed(ctx context.Context) (*callsTestbed, error) {
	w := &callsTestbed{ctx: ctx, log: standin.NewLog(time.Hour, time.Now), runs: shard.NewMap[int](0)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for the log's stand-in")
	}
	w.address = ln.Addr().String()
	srv := &http.Server{Handler: w.log.Handler(), ReadHeaderTimeout: callsStart}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	ops := operator.NewClient(platformlog.NewClient(w.address, nil), "bench", time.Now)
	if err := ops.Init(ctx); err != nil {
		return nil, err
	}
	for i := range w.members {
		if err := w.startBackend(i); err != nil {
			return nil, err
		}
		if err := w.startNode(i); err != nil {
			return nil, err
		}
	}
	return w, w.open(ops)
}

// open publishes the profile and waits until every node serves it.
func (w *callsTestbed) open(ops *operator.Client) error {
	ctx, cancel := context.WithTimeout(w.ctx, callsStart)
	defer cancel()
	docs, found := profile.ParseFile("bench", []byte(callsProfile))
	if err := found.Err(); err != nil {
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
	tick := time.NewTicker(callsPoll)
	defer tick.Stop()
	for !w.serves(state.Position) {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "the nodes did not start")
		}
	}
	return nil
}

func (w *callsTestbed) serves(want profile.Position) bool {
	for i := range w.members {
		s := w.members[i].node.Load().Status()
		if s.Position == nil || s.Position.Compare(want) < 0 || s.Members < callsNodes {
			return false
		}
	}
	return true
}

func (w *callsTestbed) startBackend(i int) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen for a backend server")
	}
	m := &w.members[i]
	m.address = ln.Addr().String()
	m.backend = standin.NewBackend(fmt.Sprint("b", i), callsSlots, callsWork)
	m.backend.SetRunHook(func(r *http.Request) {
		w.runs.Update(r.URL.Path, func(n int, _ bool) (int, bool) { return n + 1, true })
	})
	go func() { _ = m.backend.Serve(w.ctx, ln, standin.ListenTCP) }()
	return nil
}

// startNode starts a node that has nothing, on new ports.
func (w *callsTestbed) startNode(i int) error {
	var s settings.Settings
	jsonc.Defaults(&s)
	const anyPort = "127.0.0.1:0"
	place := callsPlaces[i%len(callsPlaces)]
	s.Node = settings.Node{ID: fmt.Sprint("n", i), Service: "vitrine", Region: place[0], FailureDomain: place[1]}
	s.Listen = settings.Listen{Calls: anyPort, Guard: anyPort, Peer: anyPort, Admin: anyPort}
	s.BackendServer.Address, s.BackendServer.Slots = w.members[i].address, callsSlots
	s.Log.Address = w.address
	n, err := node.New(s, telemetry.NewLogger(io.Discard, s.Logging))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(w.ctx)
	c := &callsNode{Node: n, stop: cancel, ended: make(chan error, 1)}
	go func() { c.ended <- n.Run(ctx) }()
	w.members[i].node.Store(c)
	return nil
}

func (w *callsTestbed) close() {
	for i := range w.members {
		n := w.members[i].node.Load()
		n.stop()
		<-n.ended
	}
}

// callsFaults names the faults; their order is that of the cases below.
var callsFaults = [...]string{"crash", "hang", "cut answers", "shed", "stall after the run", "node restart", "log down", "log loses answers"}

// callsFirstOfLog is the first fault that hits the log, not a member.
const callsFirstOfLog = 6

const (
	callsFaultGap  = 150 * time.Millisecond // mean time between two faults
	callsFaultTime = 500 * time.Millisecond // mean length of a fault
	callsStall     = 1000                   // times the work: longer than the time limit of a call that has begun to run
	callsLogPart   = 3                      // faults of the log are that much shorter, since no keyed call runs in one
	callsCutMost   = 4 << 10                // bytes before an answer is cut
)

// causeFaults causes drawn faults until ctx ends, then ends them all.
func (w *callsTestbed) causeFaults(ctx context.Context, seed uint64) {
	r := rand.New(rand.NewPCG(seed, 2))
	for wait.For(ctx, exponential(r, callsFaultGap)) {
		kind, m, length, size := r.IntN(len(callsFaults)), r.IntN(callsNodes), exponential(r, callsFaultTime), r.Int64N(callsCutMost)
		busy := &w.members[m].busy
		if kind >= callsFirstOfLog {
			busy, length = &w.logBusy, length/callsLogPart
		}
		if !busy.CompareAndSwap(false, true) {
			continue // one fault at a time of one part
		}
		w.faults[kind].Add(1)
		w.restored.Go(func() {
			defer busy.Store(false)
			w.cause(ctx, kind, m, length, size)
		})
	}
	w.restored.Wait()
	w.log.SetFaults(standin.LogFaults{})
}

// cause causes a fault and returns at its end.
func (w *callsTestbed) cause(ctx context.Context, kind, i int, length time.Duration, size int64) {
	m := &w.members[i]
	during := func(f standin.BackendFaults) {
		m.backend.SetFaults(f)
		wait.For(ctx, length)
		m.backend.SetFaults(standin.BackendFaults{})
	}
	switch kind {
	case 0:
		w.crash(ctx, m, length)
	case 1:
		during(standin.BackendFaults{Hang: true})
	case 2:
		during(standin.BackendFaults{CutAfter: &size})
	case 3:
		during(standin.BackendFaults{Shed: true})
	case 4:
		during(standin.BackendFaults{SlowFactor: callsStall})
	case 5:
		n := m.node.Load()
		n.stop()
		<-n.ended
		if err := w.startNode(i); err != nil {
			panic(err) // loopback has a free port
		}
	case 6:
		w.log.SetFaults(standin.LogFaults{Down: true})
		wait.For(ctx, length)
		w.log.SetFaults(standin.LogFaults{})
	case 7:
		w.log.SetFaults(standin.LogFaults{LoseAnswers: 1 + int(size%8)})
		wait.For(ctx, length)
		w.log.SetFaults(standin.LogFaults{})
	}
}

// crash closes the backend server's listener and connections for a time.
func (w *callsTestbed) crash(ctx context.Context, m *callsMember, length time.Duration) {
	m.backend.SetFaults(standin.BackendFaults{CrashOn: callsCrash, CrashForMs: int(length.Milliseconds())})
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.address+callsCrash, nil)
	if err != nil {
		panic(err) // the address is our own
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
	wait.For(ctx, length)
	m.backend.SetFaults(standin.BackendFaults{})
}

func (w *callsTestbed) faultCounts() string {
	var parts []string
	for i, name := range callsFaults {
		parts = append(parts, fmt.Sprintf("%d x %s", w.faults[i].Load(), name))
	}
	return strings.Join(parts, ", ")
}
