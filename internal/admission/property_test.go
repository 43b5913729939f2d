package admission

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// gateModel drives a Gate with drawn steps and keeps count of its own.
type gateModel struct {
	gate    *Gate
	slots   int
	queue   int
	now     time.Time
	waiting []*Ticket
	running []*Ticket
	over    []*Ticket
}

// Over any steps: no more slots in use than there are, a bounded queue, one
// decision a ticket, no call left waiting beside a slot that it may use, and
// Leave without harm in every state and order.
func TestAnyStepsKeepTheGatesPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &gateModel{now: epoch, slots: rapid.IntRange(1, 6).Draw(t, "slots"), queue: rapid.IntRange(0, 6).Draw(t, "queue")}
		m.gate = NewGate(Config{Slots: m.slots, Queue: m.queue, ColdStart: time.Second})
		t.Repeat(map[string]func(*rapid.T){
			"enter":        m.enter,
			"wait":         func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * ms) },
			"tick":         func(*rapid.T) { m.gate.Tick(m.now) },
			"start":        func(*rapid.T) { m.gate.Started(m.now) },
			"leave":        func(t *rapid.T) { m.running = m.leave(t, m.running) },
			"leave queue":  func(t *rapid.T) { m.waiting = m.leave(t, m.waiting) },
			"leave again":  func(t *rapid.T) { m.over = m.leave(t, m.over) },
			"leave nobody": func(*rapid.T) { (*Ticket)(nil).Leave(m.now, ms, true) },
			"":             m.check,
		})
		m.finish(t)
	})
}

func (m *gateModel) enter(t *rapid.T) {
	r := Request{
		Route:    rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "route"),
		Priority: Priority(rapid.IntRange(0, 1).Draw(t, "priority")),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "limit ms")) * ms),
	}
	ticket, d := m.gate.Enter(m.now, r)
	switch d.Verdict {
	case Admitted:
		if got := decided(ticket); got != Admitted {
			t.Fatalf("an admitted ticket says %d", got)
		}
		m.running = append(m.running, ticket)
	case Queued:
		m.waiting = append(m.waiting, ticket)
	case Refused:
		if ticket != nil || d.RetryAfter <= 0 || d.Reason == "" {
			t.Fatalf("a refusal with %v, ticket %v", d, ticket)
		}
	}
}

// leave ends one drawn ticket of some and returns the others.
func (m *gateModel) leave(t *rapid.T, from []*Ticket) []*Ticket {
	if len(from) == 0 {
		return from
	}
	i := rapid.IntRange(0, len(from)-1).Draw(t, "ticket")
	times := map[string]time.Duration{"a": ms, "b": 10 * ms, "c": 200 * ms}
	from[i].Leave(m.now, times[from[i].route], rapid.Bool().Draw(t, "ok"))
	m.over = append(m.over, from[i])
	return append(from[:i:i], from[i+1:]...)
}

// check collects decisions and compares the gate with the model.
func (m *gateModel) check(t *rapid.T) {
	rest := m.waiting[:0]
	for _, w := range m.waiting {
		switch decided(w) {
		case Queued:
			rest = append(rest, w)
		case Admitted:
			m.running = append(m.running, w)
		case Refused:
			m.over = append(m.over, w)
		}
	}
	m.waiting = rest
	for _, o := range append(m.over, m.running...) {
		select {
		case d := <-o.Ready():
			if o.state == stateDone && d.Verdict == Admitted {
				continue // granted just before it left the queue
			}
			t.Fatalf("a second decision %v", d)
		default:
		}
	}
	report := m.gate.Report(m.now)
	if report.InUse != len(m.running) || report.InUse > m.slots {
		t.Fatalf("%d slots in use, %d calls run, %d slots", report.InUse, len(m.running), m.slots)
	}
	if report.Queued != len(m.waiting) || report.Queued > backgroundGrace*m.queue {
		t.Fatalf("%d in the queue, %d wait, bound %d", report.Queued, len(m.waiting), m.queue)
	}
}

// finish lets all calls end; each waiting one must get its decision.
func (m *gateModel) finish(t *rapid.T) {
	for range 1000 {
		m.now = m.now.Add(ms)
		for _, r := range m.running {
			r.Leave(m.now, ms, true)
		}
		m.running = nil
		m.gate.Tick(m.now)
		m.check(t)
		if len(m.waiting) == 0 {
			return
		}
	}
	t.Fatalf("%d calls wait for ever", len(m.waiting))
}

// Guards against lost wake-ups when callers give up while slots become free.
func TestGateUnderConcurrentUse(t *testing.T) {
	g := NewGate(Config{Slots: 4, Queue: 50})
	var all sync.WaitGroup
	for i := range 50 {
		all.Go(func() {
			for n := range 200 {
				useSlot(g, fmt.Sprint(i%3), n%7 == 0)
			}
		})
	}
	all.Wait()
	report := g.Report(epoch)
	assert.Equal(t, report.InUse, 0)
	assert.Equal(t, report.Queued, 0)
}

// useSlot enters and leaves, at once or when the decision is there.
func useSlot(g *Gate, route string, giveUp bool) {
	ticket, d := g.Enter(epoch, Request{Route: route})
	if d.Verdict == Queued && !giveUp {
		<-ticket.Ready()
	}
	ticket.Leave(epoch, ms, true)
}
