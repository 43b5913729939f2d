package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// controllerModel applies random operations to a Controller and tracks the
// expected state.
type controllerModel struct {
	controller *Controller
	slots      int
	queue      int
	now        time.Time
	waiting    []*Ticket
	running    []*Ticket
	ended      []*Ticket
}

// Guards against sequences of operations that exceed the limits of slots or
// queue, decide twice on a ticket or never, or break when Release is called in
// any state and order.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &controllerModel{now: epoch, slots: rapid.IntRange(1, 6).Draw(t, "slots"), queue: rapid.IntRange(0, 6).Draw(t, "queue")}
		m.controller = NewController(Config{Slots: m.slots, Queue: m.queue, ColdStart: time.Second})
		t.Repeat(map[string]func(*rapid.T){
			"acquire":        m.acquire,
			"wait":           func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms) },
			"tick":           func(*rapid.T) { m.controller.Tick(m.now) },
			"start":          func(*rapid.T) { m.controller.ServerStarted(m.now) },
			"release":        func(t *rapid.T) { m.running = m.release(t, m.running) },
			"release queued": func(t *rapid.T) { m.waiting = m.release(t, m.waiting) },
			"release again":  func(t *rapid.T) { m.ended = m.release(t, m.ended) },
			"release nil":    func(*rapid.T) { (*Ticket)(nil).Release(m.now, ms, true) },
			"":               m.check,
		})
		m.finish(t)
	})
}

func (m *controllerModel) acquire(t *rapid.T) {
	r := Request{
		Route:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"),
		Priority: Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "limit ms")) * ms),
	}
	ticket, d := m.controller.Acquire(m.now, r)
	switch d.Verdict {
	case Admitted:
		if got := verdictOf(ticket); got != Admitted {
			t.Fatalf("an admitted ticket has verdict %d", got)
		}
		m.running = append(m.running, ticket)
	case Queued:
		m.waiting = append(m.waiting, ticket)
	case Refused:
		if ticket != nil || d.RetryAfter <= 0 || d.Reason == "" {
			t.Fatalf("invalid refusal %v, ticket %v", d, ticket)
		}
	}
}

// release releases one drawn ticket and returns the others.
func (m *controllerModel) release(t *rapid.T, from []*Ticket) []*Ticket {
	if len(from) == 0 {
		return from
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, "ticket")
	times := map[string]time.Duration{"a": ms, "b": 10 * ms, "c": 200 * ms}
	from[i].Release(m.now, times[from[i].route], rapid.Bool().Draw(t, "ok"))
	m.ended = append(m.ended, from[i])
	return append(from[:i:i], from[i+1:]...)
}

// check collects decisions and compares the controller with the model.
func (m *controllerModel) check(t *rapid.T) {
	rest := m.waiting[:0]
	for _, w := range m.waiting {
		switch verdictOf(w) {
		case Queued:
			rest = append(rest, w)
		case Admitted:
			m.running = append(m.running, w)
		case Refused:
			m.ended = append(m.ended, w)
		}
	}
	m.waiting = rest
	for _, o := range append(m.ended, m.running...) {
		select {
		case d := <-o.Ready():
			if o.state == stateDone && d.Verdict == Admitted {
				continue // granted just before it was released
			}
			t.Fatalf("second decision %v for a ticket", d)
		default:
		}
	}
	report := m.controller.Report(m.now)
	if report.InUse != len(m.running) || report.InUse > m.slots {
		t.Fatalf("%d slots in use, %d calls run, %d slots", report.InUse, len(m.running), m.slots)
	}
	if report.Queued != len(m.waiting) || report.Queued > preemptionQueueFactor*m.queue {
		t.Fatalf("%d in the queue, %d wait, configured queue %d", report.Queued, len(m.waiting), m.queue)
	}
}

// finish releases all running calls until each waiting one has its decision.
func (m *controllerModel) finish(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(ms)
		for _, r := range m.running {
			r.Release(m.now, ms, true)
		}
		m.running = nil
		m.controller.Tick(m.now)
		m.check(t)
		if len(m.waiting) == 0 {
			return
		}
	}
	t.Fatalf("%d calls never got a decision", len(m.waiting))
}

// Guards against lost wake-ups when callers give up while slots become free, and
// against leaked slots.
func TestConcurrentAcquireAndRelease(t *testing.T) {
	ctrl := NewController(Config{Slots: 4, Queue: 50})
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			for n := range 200 {
				useSlot(ctrl, fmt.Sprint(i%3), n%7 == 0)
			}
		})
	}
	all.Wait()
	report := ctrl.Report(epoch)
	assert.Equal(t, report.InUse, 0)
	assert.Equal(t, report.Queued, 0)
}

// useSlot acquires a slot and releases it, at once or after the decision.
func useSlot(ctrl *Controller, route string, giveUp bool) {
	ticket, d := ctrl.Acquire(epoch, Request{Route: route})
	if d.Verdict == Queued && !giveUp {
		<-ticket.Ready()
	}
	ticket.Release(epoch, ms, true)
}
