package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// What a server that names a limit may get in any window, as a multiple of what the
// limit allows and as a number of calls.
const (
	limitWindow      = 4 * time.Second
	limitWindowShare = 1.5
	limitWindowCalls = 5
)

// limitedServer is a server that names a limit in its answers.
type limitedServer struct {
	controller *Controller
	stated     func(answer int) StatedLimit
	sent       []time.Time // of the calls that it got
	answers    int
}

// play offers three times as many calls as the limit allows, or more, for a time.
func (s *limitedServer) play(perSecond float64, length time.Duration) {
	r := &replay{controller: s.controller, random: rand.New(rand.NewPCG(3, 5))}
	demand := min(max(3*perSecond, 20), 200)
	for at := 0.0; at < length.Seconds(); at += r.random.ExpFloat64() / demand {
		r.at(time.Duration(at*float64(time.Second)), func() { s.arrive(r) })
	}
	for at := time.Duration(0); at < length+2*time.Second; at += 10 * ms { // until all calls have ended
		r.at(at, func() { s.controller.Tick(after(r.now)) })
	}
	for len(r.events) > 0 {
		e := heap.Pop(&r.events).(replayEvent)
		r.now = e.at
		e.run()
	}
}

func (s *limitedServer) arrive(r *replay) {
	ticket, d := s.controller.Acquire(after(r.now), Request{Route: "r", Deadline: after(r.now + time.Second)})
	if d.Verdict != Refused {
		s.await(r, ticket)
	}
}

func (s *limitedServer) await(r *replay, ticket *Ticket) {
	switch verdictOf(ticket) {
	case Queued:
		r.at(r.now+ms, func() { s.await(r, ticket) })
	case Admitted:
		sent := after(r.now)
		s.sent = append(s.sent, sent)
		service := time.Duration(20+r.random.IntN(80)) * ms
		r.at(r.now+service, func() {
			s.answers++
			s.controller.ObserveAnswer(after(r.now), sent, s.stated(s.answers))
			ticket.Release(after(r.now), service, true)
		})
	}
}

// mostInWindow returns the largest number of calls in a window.
func (s *limitedServer) mostInWindow() int {
	most := 0
	for i, first := range s.sent {
		n := 0
		for _, t := range s.sent[i:] {
			if t.Sub(first) >= limitWindow {
				break
			}
			n++
		}
		most = max(most, n)
	}
	return most
}

// TestServerLimitBoundsCalls guards against a server that gets more calls than the
// limit that it names allows, and against a limit of which much is left unused.
func TestServerLimitBoundsCalls(t *testing.T) {
	const length = 30 * time.Second
	always := func(perSecond float64) func(int) StatedLimit {
		return func(int) StatedLimit { return StatedLimit{Kind: LimitNamed, CallsPerSecond: perSecond} }
	}
	for _, c := range []struct {
		name      string
		perSecond float64
		stated    func(answer int) StatedLimit
	}{
		{"zero", 0, always(0)},
		{"one in two seconds", 0.5, always(0.5)},
		{"three a second", 3, always(3)},
		{"fifteen a second", 15.17, always(15.17)},
		{"sixty a second", 60, always(60)},
		{"named in every other answer", 8, func(answer int) StatedLimit {
			if answer%2 == 0 {
				return StatedLimit{Kind: LimitNone}
			}
			return StatedLimit{Kind: LimitNamed, CallsPerSecond: 8}
		}},
		{"lowered after a while", 5, func(answer int) StatedLimit {
			if answer < 40 {
				return StatedLimit{Kind: LimitNamed, CallsPerSecond: 40}
			}
			return StatedLimit{Kind: LimitNamed, CallsPerSecond: 5}
		}},
		{"followed by values that cannot be read", 10, func(answer int) StatedLimit {
			if answer < 5 {
				return StatedLimit{Kind: LimitNamed, CallsPerSecond: 10}
			}
			return StatedLimit{}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := &limitedServer{controller: NewController(Config{Slots: 9, Queue: 64, UnansweredCalls: 3}), stated: c.stated}
			s.play(c.perSecond, length)
			if c.name != "lowered after a while" {
				most := s.mostInWindow()
				bound := limitWindowShare*c.perSecond*limitWindow.Seconds() + limitWindowCalls
				assert.Assert(t, float64(most) <= bound, "%d calls in %v, allowed are %.0f", most, limitWindow, bound)
			}
			last := 0
			for _, at := range s.sent {
				if at.After(after(length-2*limitWindow)) && at.Before(after(length)) {
					last++
				}
			}
			allowed := c.perSecond * 2 * limitWindow.Seconds()
			assert.Assert(t, float64(last) <= allowed+limitWindowCalls, "%d calls in the last %v", last, 2*limitWindow)
			assert.Assert(t, float64(last) >= 0.9*allowed-1, "%d calls in the last %v, %.0f are allowed", last, 2*limitWindow, allowed)
		})
	}
}

// TestServerLimitEnds guards against a limit that stays after the server has
// stopped naming it, and against one that an answer ends which was sent before.
func TestServerLimitEnds(t *testing.T) {
	named := StatedLimit{Kind: LimitNamed, CallsPerSecond: 4}
	none := StatedLimit{Kind: LimitNone}
	for _, c := range []struct {
		name    string
		sent    time.Duration
		at      time.Duration
		stated  StatedLimit
		limited bool
	}{
		{"an answer to an earlier call without it", 900 * ms, 2 * time.Second, none, true},
		{"an answer soon after without it", 1010 * ms, 1100 * ms, none, true},
		{"a value that cannot be read", 3 * time.Second, 3100 * ms, StatedLimit{}, true},
		{"a later answer without it", 1900 * ms, 2 * time.Second, none, false},
		{"a limit far above any load", 1900 * ms, 2 * time.Second, StatedLimit{Kind: LimitNamed, CallsPerSecond: 1e300}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ctrl := NewController(Config{Slots: 50, Queue: 64})
			ctrl.ObserveAnswer(after(time.Second), after(0), named)
			ctrl.ObserveAnswer(after(c.at), after(c.sent), c.stated)
			admitted := 0
			for range 20 {
				if _, v := acquire(ctrl, c.at+10*ms, Request{}); v == Admitted {
					admitted++
				}
			}
			assert.Equal(t, admitted < 20, c.limited, "%d admitted", admitted)
		})
	}
}

// TestLimitOfEarlierStartIsForgotten guards against a server that has restarted and
// gets only what the limit of its earlier start allowed.
func TestLimitOfEarlierStartIsForgotten(t *testing.T) {
	ctrl := NewController(Config{Slots: 9, Queue: 64})
	ctrl.ObserveAnswer(epoch, epoch, StatedLimit{Kind: LimitNamed, CallsPerSecond: 1})
	ctrl.ForgetLimit()
	for i := range 9 {
		_, v := acquire(ctrl, 0, Request{})
		assert.Equal(t, v, Admitted, "call %d", i)
	}
}

// TestFewCallsBeforeFirstAnswer guards against a node that was restarted and sends
// as many calls as there are slots before an answer tells it of the limit.
func TestFewCallsBeforeFirstAnswer(t *testing.T) {
	ctrl := NewController(Config{Slots: 9, Queue: 64, UnansweredCalls: 3})
	var tickets []*Ticket
	for i := range 9 {
		ticket, v := acquire(ctrl, 0, Request{})
		assert.Equal(t, v == Admitted, i < 3, "call %d", i)
		tickets = append(tickets, ticket)
	}
	ctrl.ObserveAnswer(after(50*ms), epoch, StatedLimit{Kind: LimitNone})
	for _, ticket := range tickets {
		assert.Equal(t, verdictOf(ticket), Admitted)
	}
}

// TestResendCountsAgainstLimit guards against a call that reaches a limited server
// twice and counts once.
func TestResendCountsAgainstLimit(t *testing.T) {
	ctrl := NewController(Config{Slots: 9, Queue: 64})
	ctrl.ObserveAnswer(epoch, epoch, StatedLimit{Kind: LimitNamed, CallsPerSecond: 2})
	_, v := acquire(ctrl, 0, Request{})
	assert.Equal(t, v, Admitted)
	assert.Assert(t, !ctrl.SpendResend(epoch), "the limit has no room")
	assert.Assert(t, ctrl.SpendResend(after(time.Second)))
	_, v = acquire(ctrl, time.Second, Request{Deadline: after(3 * time.Second)})
	assert.Equal(t, v, Queued)
}

// TestRefusalsFollowServerLimit guards against calls that wait for a limited server
// until their deadline, and against a retry-after that the limit does not keep.
func TestRefusalsFollowServerLimit(t *testing.T) {
	ctrl := NewController(Config{Slots: 9, Queue: 64})
	learn(ctrl, "r", 50*ms)
	ctrl.ObserveAnswer(epoch, epoch, StatedLimit{Kind: LimitNamed, CallsPerSecond: 2})
	assert.Equal(t, ctrl.Report(epoch).Slots, 1, "callers see how few calls fit")
	request := Request{Route: "r", MaxWait: 200 * ms, Deadline: after(5 * time.Second)}
	_, v := acquire(ctrl, 0, request)
	assert.Equal(t, v, Admitted)
	_, d := ctrl.Acquire(epoch, request)
	assert.Equal(t, d.Verdict, Refused, "another server may take it sooner")
	request.MaxWait = 0
	for i := range 3 {
		_, v := acquire(ctrl, 0, request)
		assert.Equal(t, v, Queued, fmt.Sprint("call ", i))
	}
	_, d = ctrl.Acquire(epoch, Request{Route: "r", Deadline: after(400 * ms)})
	assert.Equal(t, d.Verdict, Refused, "the limit allows it after its deadline")
	request.MaxWait = 200 * ms
	_, d = ctrl.Acquire(epoch, request)
	assert.Equal(t, d.Verdict, Refused)
	assert.Assert(t, d.RetryAfter >= 1400*ms && d.RetryAfter <= 2*time.Second, "%v for three calls at two a second", d.RetryAfter)
}

// TestSmallChangesOfLimitAreNotReported guards against a log line for each answer
// of a server that states a slightly different limit every time.
func TestSmallChangesOfLimitAreNotReported(t *testing.T) {
	ctrl := NewController(Config{Slots: 9, Queue: 64})
	for i, c := range []struct {
		perSecond float64 // 0 for none
		reported  bool
	}{{20, true}, {20, false}, {21, false}, {21.9, false}, {22.5, true}, {5, true}, {0, true}, {0, false}} {
		now := after(time.Duration(i) * 2 * time.Second)
		stated := StatedLimit{Kind: LimitNamed, CallsPerSecond: c.perSecond}
		if c.perSecond == 0 {
			stated.Kind = LimitNone
		}
		assert.Equal(t, ctrl.ObserveAnswer(now, now.Add(-ms), stated), c.reported, "answer %d", i)
	}
}
