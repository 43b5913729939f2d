package admission

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_700_000_000, 0)

// after returns the time at an offset from the start of the test.
func after(d time.Duration) time.Time { return epoch.Add(d) }

const ms = time.Millisecond

// learn records enough calls with a service time to classify a route.
func learn(ctrl *Controller, route string, serviceTime time.Duration) {
	for range minClassSamples {
		t, _ := ctrl.Acquire(epoch, Request{Route: route})
		t.Release(epoch, serviceTime, true)
	}
}

// acquire requests a slot and returns the ticket with its verdict.
func acquire(ctrl *Controller, at time.Duration, r Request) (*Ticket, Verdict) {
	t, d := ctrl.Acquire(after(at), r)
	return t, d.Verdict
}

// verdictOf returns the verdict of a ticket's decision, Queued if there is none yet.
func verdictOf(t *Ticket) Verdict {
	select {
	case d := <-t.Ready():
		return d.Verdict
	default:
		return Queued
	}
}

func TestAdmitsQueuesAndRefuses(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 1})
	first, v := acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Admitted)
	assert.Equal(t, verdictOf(first), Admitted)
	second, v := acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Queued)
	_, d := ctrl.Acquire(epoch, Request{})
	assert.Equal(t, d.Reason, ReasonOverloaded)
	assert.Assert(t, d.RetryAfter >= minRetryAfter)
	assert.DeepEqual(t, ctrl.Report(epoch), LoadReport{Slots: 1, InUse: 1, Queued: 1})
	first.Release(epoch, ms, true)
	assert.Equal(t, verdictOf(second), Admitted)
	second.Release(epoch, 0, false)
	second.Release(epoch, 0, false)
	assert.Equal(t, ctrl.Report(epoch).InUse, 0)
}

// Guards against a drain that admits new calls, or refuses queued or running ones.
func TestDrainRefusesOnlyNewCalls(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 1})
	running, _ := acquire(ctrl, 0, Request{})
	waiting, _ := acquire(ctrl, 0, Request{})
	ctrl.Drain()
	_, d := ctrl.Acquire(epoch, Request{})
	assert.Equal(t, d.Reason, ReasonDraining)
	running.Release(epoch, ms, true)
	assert.Equal(t, verdictOf(waiting), Admitted)
	assert.Assert(t, ctrl.Report(epoch).Draining)
}

// Guards against a freed slot that goes to a waiting call out of order.
func TestServiceOrder(t *testing.T) {
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
		{"newest in a standing queue near the deadline", []arrival{{0, 200 * ms, Caller}, {50 * ms, 200 * ms, Caller}}, 110 * ms, 1},
		{"oldest in a standing queue far from the deadlines", []arrival{{0, time.Minute, Caller}, {50 * ms, time.Minute, Caller}}, 110 * ms, 0},
	}
	for _, tc := range cases {
		ctrl := NewController(Config{Slots: 4, Queue: 10})
		running, _ := acquire(ctrl, 0, Request{})
		for range 3 {
			acquire(ctrl, 0, Request{})
		}
		var waiting []*Ticket
		for _, a := range tc.all {
			w, _ := acquire(ctrl, a.at, Request{Priority: a.p, Deadline: after(a.at + a.limit)})
			waiting = append(waiting, w)
		}
		running.Release(after(tc.free), ms, true)
		for i, w := range waiting {
			assert.Equal(t, verdictOf(w) == Admitted, i == tc.first, "%s: call %d", tc.name, i)
		}
	}
}

// Guards against a call of another route that is served in place of an urgent one
// of equal rank, because it is the newest in the queue.
func TestNewestOfTheSameRouteGoesFirst(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 10})
	running, _ := acquire(ctrl, 0, Request{Route: "urgent"})
	request := func(route string, at, objective time.Duration) Request {
		return Request{Route: route, Objective: after(at + objective), Deadline: after(at + time.Second)}
	}
	oldest, _ := acquire(ctrl, 0, request("urgent", 0, 200*ms))
	newest, _ := acquire(ctrl, 50*ms, request("urgent", 50*ms, 200*ms))
	patient, _ := acquire(ctrl, 60*ms, request("patient", 60*ms, 400*ms))
	running.Release(after(120*ms), ms, true)
	assert.Equal(t, verdictOf(newest), Admitted)
	assert.Equal(t, verdictOf(oldest), Queued)
	assert.Equal(t, verdictOf(patient), Queued)
}

// Guards early shedding: a queued call is refused as soon as it can no longer
// complete by its deadline, and one that never could is not queued at all.
func TestShedsCallsThatMissTheirDeadline(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 10})
	learn(ctrl, "a", 100*ms)
	running, _ := acquire(ctrl, 0, Request{Route: "a"})
	_, d := ctrl.Acquire(epoch, Request{Route: "a", Deadline: after(99 * ms)})
	assert.Equal(t, d.Reason, ReasonDeadline)
	waiting, v := acquire(ctrl, 0, Request{Route: "a", Deadline: after(150 * ms)})
	assert.Equal(t, v, Queued)
	ctrl.Tick(after(50 * ms))
	assert.Equal(t, verdictOf(waiting), Queued)
	ctrl.Tick(after(51 * ms))
	assert.Equal(t, verdictOf(waiting), Refused)
	late, _ := acquire(ctrl, 0, Request{Route: "a", Deadline: after(150 * ms)})
	running.Release(after(60*ms), 0, false)
	assert.Equal(t, verdictOf(late), Refused)
}

// Guards against a mean service time from a slow period that refuses every later
// call and so is never updated.
func TestStaleServiceTimeDoesNotRefuse(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 10})
	learn(ctrl, "a", time.Second)
	_, v := acquire(ctrl, time.Second, Request{Route: "a", Deadline: after(time.Second + 100*ms)})
	assert.Equal(t, v, Refused)
	_, v = acquire(ctrl, maxMeanAge+ms, Request{Route: "a", Deadline: after(maxMeanAge + 100*ms)})
	assert.Equal(t, v, Admitted)
}

// Guards against shedding a caller's call while background calls are queued or
// hold slots without having been preempted.
func TestBackgroundIsShedBeforeCallers(t *testing.T) {
	ctrl := NewController(Config{Slots: 4, Queue: 2})
	var background []*Ticket
	for range 4 {
		b, v := acquire(ctrl, 0, Request{Priority: Background})
		assert.Equal(t, v, Admitted) // all slots while callers do not wait
		background = append(background, b)
	}
	waiting, _ := acquire(ctrl, 0, Request{Priority: Background})
	acquire(ctrl, 0, Request{})
	_, v := acquire(ctrl, 0, Request{}) // the queue is full: displaces the background call
	assert.Equal(t, v, Queued)
	assert.Equal(t, verdictOf(waiting), Refused)
	_, v = acquire(ctrl, 0, Request{Priority: Background})
	assert.Equal(t, v, Refused)
	for range 2 { // the queue may be longer while background calls are preempted
		_, v = acquire(ctrl, 0, Request{})
		assert.Equal(t, v, Queued)
	}
	for _, b := range background {
		<-b.Preempted()
	}
	_, v = acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Refused)
}

// Guards against background calls that take more than their share shortly after
// callers had to wait, or any slot shortly after a caller's call was shed.
func TestBackgroundShare(t *testing.T) {
	fill := func(shed bool) int {
		ctrl := NewController(Config{Slots: 8, Queue: 1})
		var all []*Ticket
		for range 9 {
			c, _ := acquire(ctrl, 0, Request{})
			all = append(all, c)
		}
		if shed {
			acquire(ctrl, 0, Request{})
		}
		for _, c := range all {
			c.Release(after(ms), ms, true)
		}
		admitted := 0
		for range 8 {
			if _, v := acquire(ctrl, 50*ms, Request{Priority: Background}); v == Admitted {
				admitted++
			}
		}
		return admitted
	}
	assert.Equal(t, fill(false), 2)
	assert.Equal(t, fill(true), 0)
}

// Guards against starvation of either class: when both wait for 18 slots, short
// calls get the reserved slots and long calls the others.
func TestClassesShareTheSlots(t *testing.T) {
	ctrl := NewController(Config{Slots: 18, Queue: 1000})
	for range 40 {
		learn(ctrl, "short", 2*ms)
	}
	learn(ctrl, "long", 200*ms)
	var waiting, running []*Ticket
	for i := range 900 {
		route := []string{"unknown", "long", "short"}[i%3]
		c, _ := acquire(ctrl, 0, Request{Route: route, Deadline: after(time.Minute)})
		waiting = append(waiting, c)
	}
	inUse := map[string]int{}
	for range 100 { // each round ends the oldest running call
		rest := waiting[:0:0]
		for _, c := range waiting {
			if verdictOf(c) == Queued {
				rest = append(rest, c)
				continue
			}
			running = append(running, c)
			inUse[c.route]++
		}
		waiting = rest
		inUse[running[0].route]--
		running[0].Release(epoch, 0, false)
		running = running[1:]
	}
	reserved := ctrl.Report(epoch).Reserved
	assert.Assert(t, reserved > 0 && reserved <= 9, "%d reserved", reserved)
	assert.Assert(t, inUse["long"]+inUse["unknown"] >= 17-reserved, "%v with %d reserved", inUse, reserved)
	assert.Assert(t, inUse["short"] >= reserved-1, "%v with %d reserved", inUse, reserved)
}

// Guards against long and unclassified calls that take every slot.
func TestReservedSlotsExcludeLongCalls(t *testing.T) {
	for _, route := range []string{"long", "unknown"} {
		ctrl := NewController(Config{Slots: 9, Queue: 100})
		for range 40 {
			learn(ctrl, "short", 2*ms)
		}
		learn(ctrl, "long", 200*ms)
		for range 18 {
			acquire(ctrl, 0, Request{Route: route})
		}
		report := ctrl.Report(epoch)
		assert.Assert(t, report.Reserved > 0)
		assert.Equal(t, report.InUse, 9-report.Reserved, route)
		_, v := acquire(ctrl, 0, Request{Route: "short"})
		assert.Equal(t, v, Admitted, route)
	}
}

// Guards against a high demand of short calls that takes the share of long calls.
func TestLongCallsHaveMinimumShare(t *testing.T) {
	ctrl := NewController(Config{Slots: 8, Queue: 1, LongShare: 0.75})
	for range 2 { // the second time the route counts as short
		learn(ctrl, "short", 100*ms)
	}
	for range 1000 {
		acquire(ctrl, 0, Request{Route: "short"})
	}
	assert.Equal(t, ctrl.Report(epoch).Reserved, 2)
}

// Guards against a full queue of calls near their deadlines that causes new calls
// to be refused.
func TestNewestDisplacesOldestInAStandingQueue(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 2})
	acquire(ctrl, 0, Request{})
	first, _ := acquire(ctrl, 0, Request{Deadline: after(400 * ms)})
	second, _ := acquire(ctrl, ms, Request{})
	_, v := acquire(ctrl, 2*ms, Request{})
	assert.Equal(t, v, Refused)
	_, v = acquire(ctrl, 150*ms, Request{}) // a standing queue, but no deadline is near
	assert.Equal(t, v, Refused)
	_, v = acquire(ctrl, 250*ms, Request{})
	assert.Equal(t, v, Queued)
	assert.Equal(t, verdictOf(first), Refused)
	assert.Equal(t, verdictOf(second), Queued)

	ctrl = NewController(Config{Slots: 1, Queue: 1})
	acquire(ctrl, 0, Request{})
	acquire(ctrl, 0, Request{Deadline: after(100 * ms)})
	_, v = acquire(ctrl, 60*ms, Request{}) // a deadline is near, but the queue is not standing
	assert.Equal(t, v, Refused)
}

// Guards against starvation of a long call by a flood of short calls that keeps
// the queue full: it is admitted within a few service times of short calls.
func TestShortCallsDoNotStarveLongCalls(t *testing.T) {
	ctrl := NewController(Config{Slots: 4, Queue: 1000})
	for range 40 {
		learn(ctrl, "short", 2*ms)
	}
	learn(ctrl, "long", 200*ms)
	var running []*Ticket
	for range 100 {
		c, _ := acquire(ctrl, 0, Request{Route: "short", Deadline: after(time.Minute)})
		running = append(running, c)
	}
	long, v := acquire(ctrl, 0, Request{Route: "long", Deadline: after(time.Minute)})
	assert.Equal(t, v, Queued)
	for i := range 4 {
		running[i].Release(after(2*ms), 2*ms, true)
	}
	assert.Equal(t, verdictOf(long), Admitted)
}

// Guards against sending a starting backend server its full load at once.
func TestColdStartOpensSlotsOverTime(t *testing.T) {
	ctrl := NewController(Config{Slots: 20, Queue: 100, ColdStart: 10 * time.Second})
	ctrl.ServerStarted(epoch)
	for range 30 {
		acquire(ctrl, 0, Request{Deadline: after(time.Minute)})
	}
	for at, want := range map[time.Duration]int{0: 2, 5 * time.Second: 11, 10 * time.Second: 20} {
		assert.Equal(t, ctrl.Report(after(at)).Slots, want)
	}
	ctrl.Tick(after(5 * time.Second))
	assert.Equal(t, ctrl.Report(after(5*time.Second)).InUse, 11)
}

// Guards against a change of the profile that does not apply to the next calls,
// or that sheds queued calls beyond a lowered queue limit.
func TestSetPolicyAppliesToNextCalls(t *testing.T) {
	ctrl := NewController(Config{Slots: 1, Queue: 2})
	running, _ := acquire(ctrl, 0, Request{})
	first, _ := acquire(ctrl, 0, Request{})
	second, _ := acquire(ctrl, 0, Request{})
	ctrl.SetPolicy(Policy{Queue: 1})
	_, v := acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Refused)
	running.Release(epoch, ms, true)
	assert.Equal(t, verdictOf(first), Admitted)
	assert.Equal(t, verdictOf(second), Queued)
	_, v = acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Refused)
	ctrl.SetPolicy(Policy{Queue: 2})
	_, v = acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Queued)
}

// Guards against memory growth with the number of route names.
func TestServiceTimesBoundRoutes(t *testing.T) {
	c := NewServiceTimes()
	for i := range maxRoutes + 10 {
		c.Observe(fmt.Sprint(i), ms, epoch)
	}
	assert.Equal(t, c.routes.Len(), maxRoutes)
}
