package idempotency

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// event is one step of a generated schedule. limit is the time limit of a call, or
// sets the length of a fault.
type event struct {
	after time.Duration
	kind  string
	node  int
	key   int
	limit time.Duration
}

var eventKinds = []string{
	"call", "call", "call", "call", "new key", "restart node", "pause node", "node sheds", "backend dies",
	"log down", "log up", "log slow", "log loses", "log loses and applies late", "lose answers",
	"replace batcher", "other batcher", "restart log",
}

const scheduleNodes, scheduleKeys = 3, 2

func drawSchedule(t *rapid.T) []event {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
		return event{
			after: time.Duration(rapid.IntRange(0, 400).Draw(t, "after ms")) * time.Millisecond,
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			node:  rapid.IntRange(0, scheduleNodes-1).Draw(t, "node"),
			key:   rapid.IntRange(0, scheduleKeys-1).Draw(t, "key"),
			limit: time.Duration(rapid.IntRange(20, 8000).Draw(t, "for ms")) * time.Millisecond,
		}
	}), 5, 60).Draw(t, "schedule")
}

// schedule executes events on a cluster.
type schedule struct {
	c     *cluster
	nodes []*node
	keys  []Key
	calls map[string][]pendingCall // by key
}

// Guards against a combination of faults after which a key runs twice, a
// released claim runs, or a key runs although all its calls ended as not run.
func TestAnyScheduleRunsAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawSchedule(rt)
		violation := ""
		inCluster(t, func(c *cluster) { violation = runSchedule(c, events) })
		if violation != "" {
			rt.Fatal(violation)
		}
	})
}

func runSchedule(c *cluster, events []event) string {
	s := &schedule{c: c, calls: map[string][]pendingCall{}}
	for i := range scheduleNodes {
		s.nodes = append(s.nodes, c.node(fmt.Sprint("n", i), 0))
	}
	for range scheduleKeys {
		s.keys = append(s.keys, c.key())
	}
	for _, e := range events {
		time.Sleep(e.after)
		s.execute(e)
	}
	c.log.set(func(l *fakeLog) { l.down, l.slow, l.answersToLose = false, 0, 0 })
	time.Sleep(5 * time.Minute)
	synctest.Wait()
	return s.violation()
}

func (s *schedule) execute(e event) {
	n, k := s.nodes[e.node], s.keys[e.key]
	switch e.kind {
	case "call":
		s.calls[k.Text] = append(s.calls[k.Text], s.c.call(n, k, e.limit))
	case "new key":
		s.keys[e.key] = s.c.key()
	case "restart node":
		n.kill()
		s.nodes[e.node] = s.c.node(n.self.Node, n.batcher)
	case "pause node":
		n.pause(10 * e.limit)
	case "node sheds":
		n.set(func() { n.sheds = !n.sheds })
	case "backend dies":
		n.set(func() { n.backendDead = !n.backendDead })
	case "lose answers":
		n.set(func() { n.answersToLose = 1 })
	case "other batcher":
		n.useBatcher(e.key % len(s.c.batchers))
	case "replace batcher":
		s.c.stops[n.batcher]()
		n.useBatcher(s.c.startBatcher())
	case "restart log":
		s.c.log.reset()
	default:
		s.c.log.set(func(l *fakeLog) { l.inject(e) })
	}
}

// inject sets a fault. The caller holds the lock.
func (l *fakeLog) inject(e event) {
	switch e.kind {
	case "log down":
		l.down = true
	case "log up":
		l.down, l.slow = false, 0
	case "log slow":
		l.slow = e.limit / 4
	case "log loses":
		l.answersToLose, l.late = 1, 0
	case "log loses and applies late":
		l.answersToLose, l.late = 1, e.limit
	}
}

// violation returns a violated guarantee, or "".
func (s *schedule) violation() string {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for id := range s.c.ran {
		if s.c.released[id] {
			return "a released claim ran: " + id
		}
	}
	for key, calls := range s.calls {
		runs := s.c.runs[key]
		if runs > 1 {
			return fmt.Sprintf("key %s ran %d times", key, runs)
		}
		if runs > 0 && allNotRun(calls) {
			return fmt.Sprintf("key %s ran although every call ended as not run", key)
		}
	}
	return ""
}

func allNotRun(calls []pendingCall) bool {
	for _, r := range calls {
		if r.wait() != OutcomeNotRun {
			return false
		}
	}
	return true
}
