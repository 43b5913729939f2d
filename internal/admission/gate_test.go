package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_700_000_000, 0)

// after returns a time of the tests.
func after(d time.Duration) time.Time { return epoch.Add(d) }

const ms = time.Millisecond

// learn makes a route known with a service time.
func learn(g *Gate, route string, served time.Duration) {
	for range learnRuns {
		t, _ := g.Enter(epoch, Request{Route: route})
		t.Leave(epoch, served, true)
	}
}

// enter asks for a slot and returns the ticket with its verdict.
func enter(g *Gate, at time.Duration, r Request) (*Ticket, Verdict) {
	t, d := g.Enter(after(at), r)
	return t, d.Verdict
}

// decided returns the decision that a ticket has, or Queued.
func decided(t *Ticket) Verdict {
	select {
	case d := <-t.Ready():
		return d.Verdict
	default:
		return Queued
	}
}

func TestGateAdmitsQueuesAndRefuses(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 1})
	first, v := enter(g, 0, Request{})
	assert.Equal(t, v, Admitted)
	assert.Equal(t, decided(first), Admitted)
	second, v := enter(g, 0, Request{})
	assert.Equal(t, v, Queued)
	_, d := g.Enter(epoch, Request{})
	assert.Equal(t, d.Reason, ReasonOverloaded)
	assert.Assert(t, d.RetryAfter >= minRetryAfter)
	assert.DeepEqual(t, g.Report(epoch), LoadReport{Slots: 1, InUse: 1, Queued: 1})
	first.Leave(epoch, ms, true)
	assert.Equal(t, decided(second), Admitted)
	second.Leave(epoch, 0, false)
	second.Leave(epoch, 0, false)
	assert.Equal(t, g.Report(epoch).InUse, 0)
}

// Guards a graceful drain: no new work, all work in flight.
func TestDrainRefusesOnlyNewWork(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 1})
	running, _ := enter(g, 0, Request{})
	waiting, _ := enter(g, 0, Request{})
	g.Drain()
	_, d := g.Enter(epoch, Request{})
	assert.Equal(t, d.Reason, ReasonDraining)
	running.Leave(epoch, ms, true)
	assert.Equal(t, decided(waiting), Admitted)
	assert.Assert(t, g.Report(epoch).Draining)
}

// Guards the order of service.
func TestOrderOfService(t *testing.T) {
	type arrival struct {
		at    time.Duration
		limit time.Duration
		p     Priority
	}
	cases := []struct {
		name  string
		all   []arrival
		free  time.Duration // when the slot becomes free
		first int
	}{
		{"callers before background", []arrival{{0, 100 * ms, Background}, {ms, time.Second, Caller}}, 2 * ms, 1},
		{"earliest deadline in a short queue", []arrival{{0, 200 * ms, Caller}, {ms, 50 * ms, Caller}}, 2 * ms, 1},
		{"oldest of equals in a short queue", []arrival{{0, 150 * ms, Caller}, {ms, 150 * ms, Caller}}, 90 * ms, 0},
		{"newest in a standing queue that costs deadlines", []arrival{{0, 200 * ms, Caller}, {50 * ms, 200 * ms, Caller}}, 110 * ms, 1},
		{"oldest in a standing queue with far deadlines", []arrival{{0, time.Minute, Caller}, {50 * ms, time.Minute, Caller}}, 110 * ms, 0},
	}
	for _, tc := range cases {
		g := NewGate(Config{Slots: 4, Queue: 10})
		running, _ := enter(g, 0, Request{})
		for range 3 {
			enter(g, 0, Request{})
		}
		var waiting []*Ticket
		for _, a := range tc.all {
			w, _ := enter(g, a.at, Request{Priority: a.p, Deadline: after(a.at + a.limit)})
			waiting = append(waiting, w)
		}
		running.Leave(after(tc.free), ms, true)
		for i, w := range waiting {
			assert.Equal(t, decided(w) == Admitted, i == tc.first, "%s: call %d", tc.name, i)
		}
	}
}

// Guards early shedding: a call that cannot end by its deadline gives up its
// place before the deadline, and one without hope is not queued at all.
func TestShedsWhatCannotMeetItsDeadline(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 10})
	learn(g, "a", 100*ms)
	running, _ := enter(g, 0, Request{Route: "a"})
	_, d := g.Enter(epoch, Request{Route: "a", Deadline: after(99 * ms)})
	assert.Equal(t, d.Reason, ReasonDeadline)
	waiting, v := enter(g, 0, Request{Route: "a", Deadline: after(150 * ms)})
	assert.Equal(t, v, Queued)
	g.Tick(after(50 * ms))
	assert.Equal(t, decided(waiting), Queued)
	g.Tick(after(51 * ms))
	assert.Equal(t, decided(waiting), Refused)
	late, _ := enter(g, 0, Request{Route: "a", Deadline: after(150 * ms)})
	running.Leave(after(60*ms), 0, false)
	assert.Equal(t, decided(late), Refused)
}

// Guards against a mean from a slow spell that refuses every later call and
// so is never renewed.
func TestStaleMeanDoesNotRefuse(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 10})
	learn(g, "a", time.Second)
	_, v := enter(g, time.Second, Request{Route: "a", Deadline: after(time.Second + 100*ms)})
	assert.Equal(t, v, Refused)
	_, v = enter(g, expectedFor+ms, Request{Route: "a", Deadline: after(expectedFor + 100*ms)})
	assert.Equal(t, v, Admitted)
}

// Guards the rule that background work is shed before any caller's work.
func TestBackgroundGivesWayToCallers(t *testing.T) {
	g := NewGate(Config{Slots: 4, Queue: 2})
	var background []*Ticket
	for range 4 {
		b, v := enter(g, 0, Request{Priority: Background})
		assert.Equal(t, v, Admitted) // all slots while callers do not wait
		background = append(background, b)
	}
	waiting, _ := enter(g, 0, Request{Priority: Background})
	enter(g, 0, Request{})
	_, v := enter(g, 0, Request{}) // the queue is full: displaces the background call
	assert.Equal(t, v, Queued)
	assert.Equal(t, decided(waiting), Refused)
	_, v = enter(g, 0, Request{Priority: Background})
	assert.Equal(t, v, Refused)
	for range 2 { // callers may wait longer while background calls are asked to end
		_, v = enter(g, 0, Request{})
		assert.Equal(t, v, Queued)
	}
	for _, b := range background {
		<-b.Preempted()
	}
	_, v = enter(g, 0, Request{})
	assert.Equal(t, v, Refused)
}

// Guards the share of background work while callers had to wait, and that it
// gets nothing after a caller was shed.
func TestBackgroundShare(t *testing.T) {
	fill := func(shed bool) int {
		g := NewGate(Config{Slots: 8, Queue: 1})
		var all []*Ticket
		for range 9 {
			c, _ := enter(g, 0, Request{})
			all = append(all, c)
		}
		if shed {
			enter(g, 0, Request{})
		}
		for _, c := range all {
			c.Leave(after(ms), ms, true)
		}
		admitted := 0
		for range 8 {
			if _, v := enter(g, 50*ms, Request{Priority: Background}); v == Admitted {
				admitted++
			}
		}
		return admitted
	}
	assert.Equal(t, fill(false), 2)
	assert.Equal(t, fill(true), 0)
}

// Guards both classes against starving: with both waiting for 18 slots, short
// work gets the kept slots and long work the others.
func TestClassesShareTheSlots(t *testing.T) {
	g := NewGate(Config{Slots: 18, Queue: 1000})
	for range 40 {
		learn(g, "short", 2*ms)
	}
	learn(g, "long", 200*ms)
	var waiting, running []*Ticket
	for i := range 900 {
		route := []string{"unknown", "long", "short"}[i%3]
		c, _ := enter(g, 0, Request{Route: route, Deadline: after(time.Minute)})
		waiting = append(waiting, c)
	}
	inUse := map[string]int{}
	for range 100 { // each round ends the oldest running call
		rest := waiting[:0:0]
		for _, c := range waiting {
			if decided(c) == Queued {
				rest = append(rest, c)
				continue
			}
			running = append(running, c)
			inUse[c.route]++
		}
		waiting = rest
		inUse[running[0].route]--
		running[0].Leave(epoch, 0, false)
		running = running[1:]
	}
	kept := g.Report(epoch).Kept
	assert.Assert(t, kept > 0 && kept <= 9, "%d kept", kept)
	assert.Assert(t, inUse["long"]+inUse["unknown"] >= 17-kept, "%v with %d kept", inUse, kept)
	assert.Assert(t, inUse["short"] >= kept-1, "%v with %d kept", inUse, kept)
}

// Guards short work against long and unknown work that takes every slot.
func TestKeptSlotsAreFreeOfLongWork(t *testing.T) {
	for _, route := range []string{"long", "unknown"} {
		g := NewGate(Config{Slots: 9, Queue: 100})
		for range 40 {
			learn(g, "short", 2*ms)
		}
		learn(g, "long", 200*ms)
		for range 18 {
			enter(g, 0, Request{Route: route})
		}
		report := g.Report(epoch)
		assert.Assert(t, report.Kept > 0)
		assert.Equal(t, report.InUse, 9-report.Kept, route)
		_, v := enter(g, 0, Request{Route: "short"})
		assert.Equal(t, v, Admitted, route)
	}
}

// Guards the share of long work against any demand of short work.
func TestLongWorkKeepsItsShare(t *testing.T) {
	g := NewGate(Config{Slots: 8, Queue: 1, LongShare: 0.75})
	for range 2 { // the second time as short work
		learn(g, "short", 100*ms)
	}
	for range 1000 {
		enter(g, 0, Request{Route: "short"})
	}
	assert.Equal(t, g.Report(epoch).Kept, 2)
}

// Guards against a full queue of calls that are near their deadlines while new
// ones are turned away.
func TestNewestDisplacesOldestInAStandingQueue(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 2})
	enter(g, 0, Request{})
	first, _ := enter(g, 0, Request{Deadline: after(400 * ms)})
	second, _ := enter(g, ms, Request{})
	_, v := enter(g, 2*ms, Request{})
	assert.Equal(t, v, Refused)
	_, v = enter(g, 150*ms, Request{}) // standing, but no deadline is near
	assert.Equal(t, v, Refused)
	_, v = enter(g, 250*ms, Request{})
	assert.Equal(t, v, Queued)
	assert.Equal(t, decided(first), Refused)
	assert.Equal(t, decided(second), Queued)

	g = NewGate(Config{Slots: 1, Queue: 1})
	enter(g, 0, Request{})
	enter(g, 0, Request{Deadline: after(100 * ms)})
	_, v = enter(g, 60*ms, Request{}) // a deadline is near, but the queue is fresh
	assert.Equal(t, v, Refused)
}

// Guards long work against a flood of short work that never leaves the queue
// empty: it is served within a few times of short calls.
func TestFloodOfShortWorkDoesNotStarveLongWork(t *testing.T) {
	g := NewGate(Config{Slots: 4, Queue: 1000})
	for range 40 {
		learn(g, "short", 2*ms)
	}
	learn(g, "long", 200*ms)
	var running []*Ticket
	for range 100 {
		c, _ := enter(g, 0, Request{Route: "short", Deadline: after(time.Minute)})
		running = append(running, c)
	}
	long, v := enter(g, 0, Request{Route: "long", Deadline: after(time.Minute)})
	assert.Equal(t, v, Queued)
	for i := range 4 {
		running[i].Leave(after(2*ms), 2*ms, true)
	}
	assert.Equal(t, decided(long), Admitted)
}

// Guards a starting backend server against all its load at once.
func TestColdStartOpensSlotsOverTime(t *testing.T) {
	g := NewGate(Config{Slots: 20, Queue: 100, ColdStart: 10 * time.Second})
	g.Started(epoch)
	for range 30 {
		enter(g, 0, Request{Deadline: after(time.Minute)})
	}
	for at, want := range map[time.Duration]int{0: 2, 5 * time.Second: 11, 10 * time.Second: 20} {
		assert.Equal(t, g.Report(after(at)).Slots, want)
	}
	g.Tick(after(5 * time.Second))
	assert.Equal(t, g.Report(after(5*time.Second)).InUse, 11)
}

// Guards a revised profile: its limits hold for the next calls, and calls that
// wait beyond a shorter queue keep their places.
func TestSetPolicyChangesLimitsInUse(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 2})
	running, _ := enter(g, 0, Request{})
	first, _ := enter(g, 0, Request{})
	second, _ := enter(g, 0, Request{})
	g.SetPolicy(Policy{Queue: 1})
	_, v := enter(g, 0, Request{})
	assert.Equal(t, v, Refused)
	running.Leave(epoch, ms, true)
	assert.Equal(t, decided(first), Admitted)
	assert.Equal(t, decided(second), Queued)
	_, v = enter(g, 0, Request{})
	assert.Equal(t, v, Refused)
	g.SetPolicy(Policy{Queue: 2})
	_, v = enter(g, 0, Request{})
	assert.Equal(t, v, Queued)
}

// Guards against memory that grows with the names of routes.
func TestClassesBoundRoutes(t *testing.T) {
	c := NewClasses()
	for i := range maxRoutes + 10 {
		c.Observe(fmt.Sprint(i), ms, epoch)
	}
	assert.Equal(t, c.routes.Len(), maxRoutes)
}
