package idempotency

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// event is one step of a drawn schedule.
type event struct {
	after time.Duration
	kind  string
	node  int
	key   int
	limit time.Duration
}

var eventKinds = []string{
	"call", "call", "call", "call", "new key", "restart node", "freeze node", "node sheds", "backend dies",
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

// schedule plays events on a cluster.
type schedule struct {
	c     *cluster
	nodes []*node
	keys  []Key
	calls map[string][]callResult // by key
}

// Over any schedule of faults a key runs at most once, a released claim never
// runs, and a key runs at all only when not every caller was told not run.
func TestAnyScheduleRunsAKeyAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		events := drawSchedule(rt)
		problem := ""
		inCluster(t, func(c *cluster) { problem = playSchedule(c, events) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

func playSchedule(c *cluster, events []event) string {
	s := &schedule{c: c, calls: map[string][]callResult{}}
	for i := range scheduleNodes {
		s.nodes = append(s.nodes, c.node(fmt.Sprint("n", i), 0))
	}
	for range scheduleKeys {
		s.keys = append(s.keys, c.key())
	}
	for _, e := range events {
		time.Sleep(e.after)
		s.play(e)
	}
	c.log.set(func(l *fakeLog) { l.down, l.slow, l.lose = false, 0, 0 })
	time.Sleep(5 * time.Minute)
	synctest.Wait()
	return s.problem()
}

func (s *schedule) play(e event) {
	n, k := s.nodes[e.node], s.keys[e.key]
	switch e.kind {
	case "call":
		s.calls[k.Text] = append(s.calls[k.Text], s.c.call(n, k, e.limit))
	case "new key":
		s.keys[e.key] = s.c.key()
	case "restart node":
		n.kill()
		s.nodes[e.node] = s.c.node(n.self.Node, n.batcher)
	case "freeze node":
		n.freeze(10 * e.limit)
	case "node sheds":
		n.set(func() { n.sheds = !n.sheds })
	case "backend dies":
		n.set(func() { n.backendDead = !n.backendDead })
	case "lose answers":
		n.set(func() { n.loseAnswers = 1 })
	case "other batcher":
		n.use(e.key % len(s.c.batchers))
	case "replace batcher":
		s.c.stops[n.batcher]()
		n.use(s.c.startBatcher())
	case "restart log":
		s.c.log.reset()
	default:
		s.c.log.set(func(l *fakeLog) { l.play(e) })
	}
}

// play sets a fault; the lock is held.
func (l *fakeLog) play(e event) {
	switch e.kind {
	case "log down":
		l.down = true
	case "log up":
		l.down, l.slow = false, 0
	case "log slow":
		l.slow = e.limit / 4
	case "log loses":
		l.lose, l.late = 1, 0
	case "log loses and applies late":
		l.lose, l.late = 1, e.limit
	}
}

// problem returns the first broken promise, or nothing.
func (s *schedule) problem() string {
	s.c.mu.Lock()
	defer s.c.mu.Unlock()
	for id := range s.c.ran {
		if s.c.over[id] {
			return "a released claim ran: " + id
		}
	}
	for key, calls := range s.calls {
		runs := s.c.runs[key]
		if runs > 1 {
			return fmt.Sprintf("key %s ran %d times", key, runs)
		}
		if runs > 0 && allNotRun(calls) {
			return fmt.Sprintf("key %s ran although every call was told not run", key)
		}
	}
	return ""
}

func allNotRun(calls []callResult) bool {
	for _, r := range calls {
		if r.wait() != OutcomeNotRun {
			return false
		}
	}
	return true
}
