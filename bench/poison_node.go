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

// poisonNode routes calls and, if it has a backend server, receives calls for it.
// list is nil in the baseline.
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
	permit *quarantine.Permit
	answer func(poisonAnswer)
	ended  bool
}

// poisonCall is a call in the state of the node that routes it.
type poisonCall struct {
	fingerprint quarantine.Fingerprint
	poison      bool
	serviceTime time.Duration
	done        func(ok bool)

	permit       *quarantine.Permit
	tries        int
	triedServers []string
	start        time.Time
}

type poisonAnswer struct {
	ok           bool
	outcome      retry.Outcome
	reason       string
	serverFailed bool // counts as a failure of the server in the balancer
	retryAfter   time.Duration
	entries      []quarantine.Entry
}

func (r *poisonRun) addNodes(withQuarantine bool) {
	locations := [][2]string{{"gaucho", "poa-a"}, {"gaucho", "poa-b"}, {"litoral", "floripa-a"}, {"litoral", "floripa-b"}}
	service := &snapshot.Service{Name: "vitrine", Policy: profile.Policy{CrossRegionBytesPerSecond: 1 << 30}}
	for i := range poisonNodes {
		location := locations[i%len(locations)]
		n := &poisonNode{run: r, id: fmt.Sprintf("n%d", i), region: location[0], domain: location[1],
			stats: balance.NewStats(balance.Config{}), budgets: retry.NewBudgets(), service: service}
		n.balancer = balance.NewBalancer(n.stats, balance.Locality{Region: n.region, FailureDomain: n.domain}, r.random.Uint64)
		if withQuarantine {
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

// merge adds the quarantine entries of other nodes.
func (n *poisonNode) merge(entries []quarantine.Entry) {
	if n.list != nil {
		n.run.recordFalseQuarantine(n, n.list.Merge(entries, n.run.sim.now))
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

// routeCall handles a call that arrives from a caller.
func (n *poisonNode) routeCall(c *poisonCall) {
	c.start = n.run.sim.now
	n.budgets.AddCall(n.service.Name, poisonBudget, n.run.sim.now)
	if n.list != nil {
		permit, admission := n.list.AdmitSend(c.fingerprint, n.run.sim.now)
		if admission != quarantine.Admitted {
			c.done(false)
			return
		}
		c.permit = permit
	}
	n.sendAttempt(c)
}

func (n *poisonNode) finishCall(c *poisonCall, ok bool) {
	c.permit.Release()
	c.done(ok)
}

func (n *poisonNode) sendAttempt(c *poisonCall) {
	now := n.run.sim.now
	choice, entries, err := n.pickServer(c)
	if err != nil {
		n.finishCall(c, false)
		return
	}
	c.tries++
	c.triedServers = append(c.triedServers, choice.ID)
	n.stats.Begin(choice.ID, now, 1)
	to := n.run.byID[choice.ID]
	n.run.sim.after(n.delay(to), func() {
		to.receive(c, entries, func(a poisonAnswer) {
			n.run.sim.after(n.delay(to), func() { n.handleAnswer(c, to, now, a) })
		})
	})
}

// pickServer chooses a server, if possible one that did not crash on the request.
// The entries are sent with the call, so that the server's node knows the suspect.
func (n *poisonNode) pickServer(c *poisonCall) (*snapshot.Endpoint, []quarantine.Entry, error) {
	now := n.run.sim.now
	r := balance.Request{Service: n.service, Exclude: c.triedServers}
	var entries []quarantine.Entry
	if n.list != nil {
		v := n.list.Check(c.fingerprint, now)
		if e, ok := n.list.Entry(c.fingerprint); ok && v.State != quarantine.Clear {
			entries = append(entries, e)
		}
		avoiding := r
		avoiding.Exclude = append(slices.Clone(c.triedServers), v.Avoid...)
		if choice, err := n.balancer.Pick(now, avoiding); err == nil {
			return choice.Endpoint, entries, nil
		}
	}
	choice, err := n.balancer.Pick(now, r)
	return choice.Endpoint, entries, err
}

func (n *poisonNode) handleAnswer(c *poisonCall, from *poisonNode, sent time.Time, a poisonAnswer) {
	now := n.run.sim.now
	n.stats.End(from.id, now, balance.Result{
		Latency: now.Sub(sent), Failed: a.serverFailed, NotRun: a.outcome == retry.NotRun, RetryAfter: a.retryAfter,
	})
	n.merge(a.entries)
	if a.ok {
		if n.list != nil {
			n.run.broadcast(n, n.list.RecordSuccess(c.fingerprint, now))
		}
		n.finishCall(c, true)
		return
	}
	d := retry.Decide(retry.Attempt{
		Idempotent: true, Outcome: a.outcome, Reason: a.reason, AnswerHops: 1, Tries: c.tries,
		MaxRetries: poisonRetries, Remaining: poisonDeadline - now.Sub(c.start),
	})
	refused := n.list != nil && n.list.Check(c.fingerprint, now).State == quarantine.Quarantined
	if d.Verdict != retry.TryNext || refused || !n.budgets.Spend(n.service.Name, poisonBudget, now) {
		n.finishCall(c, false)
		return
	}
	n.sendAttempt(c)
}

// receive runs a call on the node's own backend server.
func (n *poisonNode) receive(c *poisonCall, entries []quarantine.Entry, answer func(poisonAnswer)) {
	n.merge(entries)
	now := n.run.sim.now
	w := &poisonWork{call: c, answer: answer}
	if n.list != nil {
		permit, admission := n.list.AdmitRun(c.fingerprint, n.id, now)
		switch admission {
		case quarantine.Refused:
			answer(poisonAnswer{outcome: retry.NotRun, reason: "quarantined"})
			return
		case quarantine.Busy:
			answer(poisonAnswer{outcome: retry.NotRun, reason: "suspect_busy"})
			return
		}
		w.permit = permit
	}
	switch {
	case n.server.down:
		w.permit.Release()
		answer(poisonAnswer{outcome: retry.NotRun, reason: "connect_failed", serverFailed: true})
	case len(n.server.running) == poisonSlots:
		w.permit.Release()
		answer(poisonAnswer{outcome: retry.NotRun, reason: "overloaded", retryAfter: backgroundMinTime})
	default:
		n.startWork(w)
	}
}

func (n *poisonNode) startWork(w *poisonWork) {
	n.server.running = append(n.server.running, w)
	n.run.sim.after(w.call.serviceTime, func() {
		switch {
		case w.ended:
		case w.call.poison:
			n.crashServer()
		default:
			n.finishWork(w)
		}
	})
}

func (n *poisonNode) finishWork(w *poisonWork) {
	w.ended = true
	n.server.running = slices.DeleteFunc(n.server.running, func(o *poisonWork) bool { return o == w })
	w.permit.Release()
	a := poisonAnswer{ok: true, outcome: retry.Ran}
	if n.list != nil {
		a.entries = n.list.RecordSuccess(w.call.fingerprint, n.run.sim.now)
		n.run.broadcast(n, a.entries)
	}
	w.answer(a)
}

// crashServer crashes the backend server and fails every call that runs on it.
func (n *poisonNode) crashServer() {
	n.run.result.crashes++
	n.server.down = true
	n.run.sim.after(poisonRestartTime, func() { n.server.down = false })
	running := n.server.running
	n.server.running = nil
	var fingerprints []quarantine.Fingerprint
	for _, w := range running {
		fingerprints = append(fingerprints, w.call.fingerprint)
	}
	a := poisonAnswer{outcome: retry.Unknown, serverFailed: true}
	if n.list != nil {
		a.entries = n.list.RecordCrash(n.id, fingerprints, n.run.sim.now)
		n.run.broadcast(n, a.entries)
	}
	for _, w := range running {
		w.ended = true
		w.permit.Release()
		w.answer(a)
	}
}
