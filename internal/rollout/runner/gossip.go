package runner

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
)

// greet tells nodes that have become linked of all states, and then again only what
// changes.
func (r *Runner) greet() {
	linked := map[string]int64{}
	for _, m := range r.Linked() {
		linked[m.ID] = m.Incarnation
		if r.greeted[m.ID] != m.Incarnation {
			r.sendTo(m, States{From: r.Self.ID, States: r.Gate.States(), Complete: r.informed.Load()})
		}
	}
	if informed := r.informed.Load(); informed != r.greetedInformed {
		r.greetedInformed = informed
		r.send(States{From: r.Self.ID, States: r.Gate.States(), Complete: true}, "")
	}
	r.greeted = linked
}

// askInterval is the time between two messages of a node that hears of an order no more.
const askInterval = time.Second

// askIfSilent sends the state of an order without news to one linked node after
// another. A node that was cut off may have missed the order's end, after which its
// coordinator is silent.
func (r *Runner) askIfSilent(s rollout.State, now time.Time) {
	_, age, _ := r.Gate.Get(s.Service, now)
	linked := r.Linked()
	if age < silenceBeforeTakeover || now.Sub(r.askedAt) < askInterval || len(linked) == 0 {
		return
	}
	r.askedAt = now
	r.askedNodes++
	r.sendTo(linked[r.askedNodes%len(linked)], States{From: r.Self.ID, States: []rollout.State{s}})
}

// answerOutdated sends a node that has missed the end of an order, or a newer order, the
// state that this node holds. States of one coordinator that arrive late need none.
func (r *Runner) answerOutdated(received rollout.State, from string) {
	have, _, ok := r.Gate.Get(received.Service, time.Now())
	if !ok || have.Number == received.Number && (!have.Recorded || received.Recorded) {
		return
	}
	for _, m := range r.Linked() {
		if m.ID == from {
			r.sendTo(m, States{From: r.Self.ID, States: []rollout.State{have}})
		}
	}
}
