package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

const (
	convergenceTimeout = 5 * time.Second        // P9; from the end of a fault
	startTimeout       = 20 * time.Second       // for starts and for the effects of a fault
	statusInterval     = 25 * time.Millisecond  // between two reads of a node's state
	statusTimeout      = 500 * time.Millisecond // a frozen node does not respond
	serviceTime        = 5 * time.Millisecond   // of a call on a backend server
	crashDuration      = 700 * time.Millisecond // until a crashed backend server listens again
	crashPath          = "/crash-now"
)

// system is a log and nodes, each in a process of its own, in three failure
// domains of two regions. The backend servers run in the test process, so that
// their run counters survive a simulated crash.
type system struct {
	t        *testing.T
	log      string
	backends []*standin.Backend
	specs    []nodeSpec
	revision int // last revision written

	mu          sync.Mutex
	nodes       []*startedNode              // guarded by mu
	signaled    map[int]bool                // guarded by mu; nodes that received a signal
	highestSeen map[string]profile.Position // guarded by mu; highest position by node ID
	// acceptedRevision is the newest revision in the log; seenRevisions is the
	// newest one that was seen in force, by node ID.
	acceptedRevision int            // guarded by mu
	seenRevisions    map[string]int // guarded by mu

	load       *loadGenerator
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

func newSystem(t *testing.T) *system {
	s := &system{t: t, signaled: map[int]bool{}, highestSeen: map[string]profile.Position{}, seenRevisions: map[string]int{}}
	s.log = listenAddress(t, startProcess(t, "goldcrestctl", "dev", "log", "--listen", "127.0.0.1:0"))
	for i, location := range [][3]string{
		{"vitrine", "gaucho", "poa-a"}, {"agenda", "gaucho", "poa-a"}, {"vitrine", "gaucho", "poa-b"},
		{"vitrine", "litoral", "floripa-a"}, {"vitrine", "litoral", "floripa-a"},
	} {
		id := fmt.Sprintf("n%d", i)
		s.specs = append(s.specs, nodeSpec{id: id, service: location[0], region: location[1], domain: location[2], log: s.log, backend: s.startBackend(id)})
		s.nodes = append(s.nodes, s.specs[i].start(t))
	}
	s.awaitMembers(len(s.nodes))
	s.revise()
	s.awaitConvergence(startTimeout)
	ctx, cancel := context.WithCancel(t.Context())
	s.stop = cancel
	s.goroutines.Go(func() { s.monitor(ctx) })
	s.load = newLoadGenerator(s)
	s.load.start(ctx)
	return s
}

func (s *system) startBackend(name string) string {
	b := standin.NewBackend(name, 18, serviceTime)
	b.SetFaults(standin.BackendFaults{CrashOn: crashPath, CrashForMs: int(crashDuration.Milliseconds())})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.Serve(ctx, ln, standin.ListenTCP) }()
	s.t.Cleanup(func() {
		cancel()
		assert.Check(s.t, <-done)
	})
	s.backends = append(s.backends, b)
	return ln.Addr().String()
}

// node returns the current process of a node.
func (s *system) node(i int) *startedNode {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[i]
}

// signal sends a signal to a node, whose reads no longer count for minSuccessShare.
func (s *system) signal(i int, sig syscall.Signal) {
	s.mu.Lock()
	s.signaled[i] = true
	s.mu.Unlock()
	assert.NilError(s.t, s.node(i).cmd.Process.Signal(sig))
}

// kill stops a node immediately; a restarted node has no state.
func (s *system) kill(i int) {
	s.signal(i, syscall.SIGKILL)
	_ = s.node(i).cmd.Wait() // always "signal: killed"
}

func (s *system) restart(i int) {
	n := s.specs[i].start(s.t)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nodes[i] = n
}

// members returns the member table in a node's dump.
func (s *system) members(i int) []membership.Member {
	resp, err := http.Get("http://" + s.node(i).Admin + "/dump")
	assert.NilError(s.t, err)
	defer resp.Body.Close()
	var dump struct{ Members []membership.Member }
	assert.NilError(s.t, json.NewDecoder(resp.Body).Decode(&dump))
	return dump.Members
}

// setSeed sets another node as the seed of later starts of a node, which uses it
// when the log is down.
func (s *system) setSeed(i, from int) {
	for _, m := range s.members(from) {
		if m.ID == s.specs[from].id {
			s.specs[i].seeds = []string{m.PeerAddress}
		}
	}
	assert.Equal(s.t, len(s.specs[i].seeds), 1)
}

// setLogFaults sets the faults that the log simulates.
func (s *system) setLogFaults(f standin.LogFaults) { putLogFaults(s.t, s.log, f) }

func putLogFaults(t *testing.T, log string, f standin.LogFaults) {
	t.Helper()
	body, err := json.Marshal(f)
	assert.NilError(t, err)
	req, err := http.NewRequest(http.MethodPut, "http://"+log+"/v1/faults", bytes.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Assert(t, resp.StatusCode < 300, resp.Status)
}

// awaitMembers waits until every node reports the wanted number of members.
func (s *system) awaitMembers(want int) {
	for i := range s.specs {
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			st, err := s.status(i)
			if err == nil && st.Members == want {
				return poll.Success()
			}
			return poll.Continue("node %d knows %d members, error %v", i, st.Members, err)
		}, poll.WithTimeout(startTimeout), poll.WithDelay(statusInterval))
	}
}

var statusClient = &http.Client{Timeout: statusTimeout}

func (s *system) status(i int) (node.Status, error) {
	var st node.Status
	resp, err := statusClient.Get("http://" + s.node(i).Admin + "/v1/status")
	if err != nil {
		return st, err
	}
	defer resp.Body.Close()
	return st, json.NewDecoder(resp.Body).Decode(&st)
}

// newRevision writes a new revision of the profile to a file. Each revision adds
// a route that shows whether the revision is in force.
func (s *system) newRevision() (file string, revision int) {
	s.revision++
	routes := `{"name": "all", "host": "shop.example", "pathPrefix": "/offers", "service": "vitrine"}`
	for n := 1; n <= s.revision; n++ {
		routes += fmt.Sprintf(`, {"name": "rev-%d", "host": "shop.example", "pathPrefix": "/rev-%d", "service": "vitrine"}`, n, n)
	}
	text := fmt.Sprintf(`[
		{"kind": "profile", "name": "shop", "policy": {"timeout": "2s", "retries": 2}, "routes": [%s]},
		{"kind": "selection", "service": "vitrine", "profile": "shop"},
	]`, routes)
	file = filepath.Join(s.t.TempDir(), "shop.json")
	assert.NilError(s.t, os.WriteFile(file, []byte(text), 0o600))
	return file, s.revision
}

// revise publishes a new revision, which must be accepted.
func (s *system) revise() {
	file, revision := s.newRevision()
	out, code := runCtl(s.t, "publish", "--log", s.log, file)
	assert.Equal(s.t, code, exitOK, out)
	s.recordAccepted(revision)
}

func (s *system) recordAccepted(revision int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.acceptedRevision = revision
}

// revisions returns the newest accepted revision and the newest one that was
// seen in force on a node.
func (s *system) revisions(id string) (accepted, seen int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptedRevision, s.seenRevisions[id]
}

// sendRevision sends a read that matches the route of a revision.
func (s *system) sendRevision(i, revision int) callResult {
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return send(ctx, http.MethodGet, s.node(i).Calls, fmt.Sprintf("/rev-%d/x", revision), "")
}

// logPosition returns the position of the state in the log.
func (s *system) logPosition() (profile.Position, error) {
	ctx, cancel := context.WithTimeout(s.t.Context(), time.Second)
	defer cancel()
	st, err := operator.NewClient(platformlog.NewClient(s.log, nil), "e2e", time.Now).State(ctx)
	return st.Position, err
}

// awaitConvergence waits until every node has reached the log's position and
// answers calls on the route of the newest accepted revision.
func (s *system) awaitConvergence(timeout time.Duration) {
	s.t.Helper()
	var want profile.Position
	deadline := time.Now().Add(timeout)
	await := func(check func() error) {
		s.t.Helper()
		poll.WaitOn(s.t, func(poll.LogT) poll.Result {
			if err := check(); err != nil {
				return poll.Continue("%v", err)
			}
			return poll.Success()
		}, poll.WithTimeout(time.Until(deadline)), poll.WithDelay(statusInterval))
	}
	await(func() (err error) { want, err = s.logPosition(); return err })
	for i := range s.specs {
		await(func() error { return s.checkInForce(i, want) })
	}
}

func (s *system) checkInForce(i int, want profile.Position) error {
	st, err := s.status(i)
	if err != nil || st.Position == nil || st.Position.Compare(want) < 0 {
		return fmt.Errorf("node %d at %v, want %v, error %v", i, st.Position, want, err)
	}
	accepted, _ := s.revisions("")
	if r := s.sendRevision(i, accepted); r.status != http.StatusOK {
		return fmt.Errorf("node %d answers revision %d with %+v", i, accepted, r)
	}
	return nil
}

// monitor checks the position (P1) and the revision (P9) of every node until the
// context ends.
func (s *system) monitor(ctx context.Context) {
	tick := time.NewTicker(statusInterval)
	defer tick.Stop()
	for {
		for i := range s.specs {
			s.checkPosition(i)
			s.checkRevision(i)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// checkPosition checks that the position of a node does not decrease, also after a
// restart (P1).
func (s *system) checkPosition(i int) {
	st, err := s.status(i)
	if err != nil || st.Position == nil {
		return // stopped or not ready yet
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	highest, seen := s.highestSeen[st.ID]
	if seen && st.Position.Compare(highest) < 0 {
		s.t.Errorf("P1: the position of node %s decreased from %s to %s", st.ID, highest, st.Position)
	}
	if !seen || st.Position.Compare(highest) > 0 {
		s.highestSeen[st.ID] = *st.Position
	}
}

// checkRevision checks that a revision that was in force on a node remains in
// force, also after a restart (P9).
func (s *system) checkRevision(i int) {
	id := s.specs[i].id
	accepted, seen := s.revisions(id)
	if seen > 0 && s.sendRevision(i, seen).reason == proxy.ReasonNoRoute {
		s.t.Errorf("P9: revision %d is no longer in force on node %s", seen, id)
	}
	if accepted > seen && s.sendRevision(i, accepted).status == http.StatusOK {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.seenRevisions[id] = accepted
	}
}

// stopAndCheck waits for convergence, stops the load and checks its results.
func (s *system) stopAndCheck() {
	s.awaitConvergence(convergenceTimeout)
	s.awaitMembers(len(s.specs))
	s.stop()
	s.goroutines.Wait()
	s.load.checkRuns()
}
