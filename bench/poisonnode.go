package main

import (
	"fmt"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Policy of the calls.
const (
	poisonRetries  = 1
	poisonBudget   = 0.1
	poisonDeadline = 5 * time.Second
)

// poisonNode routes calls and, if it has a server, guards it. list is nil in
// the baseline.
type poisonNode struct {
	run      *poisonRun
	id       string
	region   string
	domain   string
	list     *quarantine.List
	stats    *balance.Stats
	balancer *balance.Balancer
	budgets  *retry.Budgets
	service  *snapshot.Service
	server   *poisonServer
}

// poisonServer is a backend server that runs calls until it crashes.
type poisonServer struct {
	down    bool
	running []*poisonWork
}

type poisonWork struct {
	call   *poisonCall
	pass   *quarantine.Permit
	answer func(poisonAnswer)
	over   bool
}

// poisonCall is a call at the node that routes it.
type poisonCall struct {
	fp     quarantine.Fingerprint
	poison bool
	takes  time.Duration
	done   func(ok bool)

	pass  *quarantine.Permit
	tries int
	tried []string
	began time.Time
}

type poisonAnswer struct {
	ok         bool
	outcome    retry.Outcome
	reason     string
	failed     bool // of the server, for the balancer
	retryAfter time.Duration
	entries    []quarantine.Entry
}

func (r *poisonRun) addNodes(guarded bool) {
	places := [][2]string{{"gaucho", "poa-a"}, {"gaucho", "poa-b"}, {"litoral", "floripa-a"}, {"litoral", "floripa-b"}}
	service := &snapshot.Service{Name: "vitrine", Policy: profile.Policy{CrossRegionBytesPerSecond: 1 << 30}}
	for i := range poisonNodes {
		place := places[i%len(places)]
		n := &poisonNode{run: r, id: fmt.Sprintf("n%d", i), region: place[0], domain: place[1],
			stats: balance.NewStats(balance.Config{}), budgets: retry.NewBudgets(), service: service}
		n.balancer = balance.NewBalancer(n.stats, balance.Locality{Region: n.region, FailureDomain: n.domain}, r.random.Uint64)
		if guarded {
			n.list = quarantine.NewList(quarantine.Config{})
		}
		if i < poisonServers {
			n.server = &poisonServer{}
			service.Endpoints = append(service.Endpoints, &snapshot.Endpoint{
				ID: n.id, Incarnation: 1, Region: n.region, FailureDomain: n.domain, Slots: poisonSlots,
			})
		}
		r.nodes = append(r.nodes, n)
		r.byID[n.id] = n
	}
}

// hear takes over entries from other nodes.
func (n *poisonNode) hear(entries []quarantine.Entry) {
	if n.list != nil {
		n.run.note(n, n.list.Merge(entries, n.run.sim.now))
	}
}

func (n *poisonNode) delay(to *poisonNode) time.Duration {
	switch {
	case n.region != to.region:
		return linkDelay
	case n.domain != to.domain:
		return sameRegionDelay
	}
	return sameDomainDelay
}

// route starts a call that has come from a caller.
func (n *poisonNode) route(c *poisonCall) {
	c.began = n.run.sim.now
	n.budgets.AddCall(n.service.Name, poisonBudget, n.run.sim.now)
	if n.list != nil {
		pass, admission := n.list.AdmitSend(c.fp, n.run.sim.now)
		if admission != quarantine.Admitted {
			c.done(false)
			return
		}
		c.pass = pass
	}
	n.attempt(c)
}

func (n *poisonNode) finish(c *poisonCall, ok bool) {
	c.pass.Release()
	c.done(ok)
}

func (n *poisonNode) attempt(c *poisonCall) {
	now := n.run.sim.now
	choice, entries, err := n.pick(c)
	if err != nil {
		n.finish(c, false)
		return
	}
	c.tries++
	c.tried = append(c.tried, choice.ID)
	n.stats.Begin(choice.ID, now)
	to := n.run.byID[choice.ID]
	n.run.sim.after(n.delay(to), func() {
		to.guard(c, entries, func(a poisonAnswer) {
			n.run.sim.after(n.delay(to), func() { n.answered(c, to, now, a) })
		})
	})
}

// pick chooses a server, if possible none that crashed with the request. The
// entries go with the call, so that the server's node knows a suspect.
func (n *poisonNode) pick(c *poisonCall) (*snapshot.Endpoint, []quarantine.Entry, error) {
	now := n.run.sim.now
	r := balance.Request{Service: n.service, Exclude: c.tried}
	var entries []quarantine.Entry
	if n.list != nil {
		v := n.list.Check(c.fp, now)
		if e, ok := n.list.Entry(c.fp); ok && v.State != quarantine.Clear {
			entries = append(entries, e)
		}
		avoiding := r
		avoiding.Exclude = append(slices.Clone(c.tried), v.Avoid...)
		if choice, err := n.balancer.Pick(now, avoiding); err == nil {
			return choice.Endpoint, entries, nil
		}
	}
	choice, err := n.balancer.Pick(now, r)
	return choice.Endpoint, entries, err
}

func (n *poisonNode) answered(c *poisonCall, from *poisonNode, sent time.Time, a poisonAnswer) {
	now := n.run.sim.now
	n.stats.End(from.id, now, balance.Result{
		Latency: now.Sub(sent), Failed: a.failed, NotRun: a.outcome == retry.NotRun, RetryAfter: a.retryAfter,
	})
	n.hear(a.entries)
	if a.ok {
		if n.list != nil {
			n.run.tell(n, n.list.RecordSuccess(c.fp, now))
		}
		n.finish(c, true)
		return
	}
	d := retry.Decide(retry.Attempt{
		Idempotent: true, Outcome: a.outcome, Reason: a.reason, AnswerHops: 1, Tries: c.tries,
		MaxRetries: poisonRetries, Remaining: poisonDeadline - now.Sub(c.began),
	})
	refused := n.list != nil && n.list.Check(c.fp, now).State == quarantine.Quarantined
	if d.Verdict != retry.TryNext || refused || !n.budgets.Spend(n.service.Name, poisonBudget, now) {
		n.finish(c, false)
		return
	}
	n.attempt(c)
}

// guard runs a call on the node's own server.
func (n *poisonNode) guard(c *poisonCall, entries []quarantine.Entry, answer func(poisonAnswer)) {
	n.hear(entries)
	now := n.run.sim.now
	w := &poisonWork{call: c, answer: answer}
	if n.list != nil {
		pass, admission := n.list.AdmitRun(c.fp, n.id, now)
		switch admission {
		case quarantine.Refused:
			answer(poisonAnswer{outcome: retry.NotRun, reason: "quarantined"})
			return
		case quarantine.Busy:
			answer(poisonAnswer{outcome: retry.NotRun, reason: "suspect_busy"})
			return
		}
		w.pass = pass
	}
	switch {
	case n.server.down:
		w.pass.Release()
		answer(poisonAnswer{outcome: retry.NotRun, reason: "connect_failed", failed: true})
	case len(n.server.running) == poisonSlots:
		w.pass.Release()
		answer(poisonAnswer{outcome: retry.NotRun, reason: "overloaded", retryAfter: innocentFixed})
	default:
		n.start(w)
	}
}

func (n *poisonNode) start(w *poisonWork) {
	n.server.running = append(n.server.running, w)
	n.run.sim.after(w.call.takes, func() {
		switch {
		case w.over:
		case w.call.poison:
			n.crash()
		default:
			n.end(w)
		}
	})
}

func (n *poisonNode) end(w *poisonWork) {
	w.over = true
	n.server.running = slices.DeleteFunc(n.server.running, func(o *poisonWork) bool { return o == w })
	w.pass.Release()
	a := poisonAnswer{ok: true, outcome: retry.Ran}
	if n.list != nil {
		a.entries = n.list.RecordSuccess(w.call.fp, n.run.sim.now)
		n.run.tell(n, a.entries)
	}
	w.answer(a)
}

// crash ends every call that runs on the server.
func (n *poisonNode) crash() {
	n.run.counts.crashes++
	n.server.down = true
	n.run.sim.after(poisonRestart, func() { n.server.down = false })
	running := n.server.running
	n.server.running = nil
	var prints []quarantine.Fingerprint
	for _, w := range running {
		prints = append(prints, w.call.fp)
	}
	a := poisonAnswer{outcome: retry.Unknown, failed: true}
	if n.list != nil {
		a.entries = n.list.RecordCrash(n.id, prints, n.run.sim.now)
		n.run.tell(n, a.entries)
	}
	for _, w := range running {
		w.over = true
		w.pass.Release()
		w.answer(a)
	}
}
