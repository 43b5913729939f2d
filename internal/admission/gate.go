// Package admission decides which calls get a slot of the node's own backend
// server, which wait, and which are refused as not run.
//
// It opens no sockets and reads no clock: every method that depends on time
// takes it as an argument.
package admission

import (
	"sync"
	"time"
)

// Config sets the limits of a Gate.
type Config struct {
	Slots           int           // calls that the backend server runs at once
	Queue           int           // most calls that wait for a slot
	LongShare       float64       // least share of the slots that long calls may use
	BackgroundShare float64       // most of the slots for background calls while callers wait
	ColdStart       time.Duration // time over which the slots of a started server open; 0 opens all at once
	Classes         *Classes      // service times of the routes; nil stands for new ones
	Unclassified    bool          // treat every call as short; for measuring what the classes bring
}

// Defaults of a Config.
const (
	DefaultLongShare       = 0.5
	DefaultBackgroundShare = 0.25
	DefaultColdStart       = 10 * time.Second
)

// Gate holds the slots and the queue of the node's own backend server.
//
// It has a single lock because the slots of one server are one resource. The
// lock is a leaf: nothing else is locked and nothing blocks while it is held.
type Gate struct {
	classes *Classes
	waiting chan struct{} // capacity 1

	mu       sync.Mutex
	cfg      Config               // guarded by mu
	queue    queue                // guarded by mu
	inUse    [2][2]int            // slots in use by priority and class; guarded by mu
	demand   demand               // guarded by mu
	pressure pressure             // guarded by mu
	running  map[*Ticket]struct{} // background calls that were not asked to end; guarded by mu
	started  time.Time            // when the backend server started; guarded by mu
	draining bool                 // guarded by mu
}

// NewGate returns a Gate with all slots free.
func NewGate(cfg Config) *Gate {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.BackgroundShare <= 0 {
		cfg.BackgroundShare = DefaultBackgroundShare
	}
	if cfg.Classes == nil {
		cfg.Classes = NewClasses()
	}
	g := &Gate{cfg: cfg, classes: cfg.Classes, waiting: make(chan struct{}, 1), running: make(map[*Ticket]struct{})}
	g.SetPolicy(Policy{Queue: cfg.Queue, LongShare: cfg.LongShare})
	return g
}

// Policy is the part of a Config that comes from the service's profile and
// may change while calls run.
type Policy struct {
	Queue     int
	LongShare float64 // 0 stands for DefaultLongShare
}

// SetPolicy changes the limits that a profile sets. Calls that wait beyond a
// shorter queue keep their places.
func (g *Gate) SetPolicy(p Policy) {
	if p.LongShare <= 0 {
		p.LongShare = DefaultLongShare
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Queue = max(p.Queue, 0)
	g.cfg.LongShare = min(p.LongShare, 1)
}

// SetSlots changes how many calls the backend server runs at once. Running
// calls keep their slots.
func (g *Gate) SetSlots(slots int) {
	if slots <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cfg.Slots = slots
}

// Started notes that the backend server started or restarted, which begins
// the cold start: its slots open over Config.ColdStart.
func (g *Gate) Started(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.started = now
}

// Enter asks for a slot. The ticket is nil when the call is refused. A queued
// ticket gets its decision through Ready.
func (g *Gate) Enter(now time.Time, r Request) (*Ticket, Decision) {
	times := g.classes.Times(r.Route)
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.newTicketLocked(now, r, times)
	g.demand.arrive(t.class, now)
	if d, refused := g.refuseLocked(now, t, r.Patience); refused {
		return nil, d
	}
	g.queue.push(t, now)
	g.grantLocked(now)
	if t.state == stateRunning {
		return t, Decision{Verdict: Admitted}
	}
	select {
	case g.waiting <- struct{}{}:
	default: // told before
	}
	return t, Decision{Verdict: Queued}
}

// Waiting returns a channel that gets a value when a call was queued. Tick is
// needed from then on until no call waits.
func (g *Gate) Waiting() <-chan struct{} { return g.waiting }

func (g *Gate) newTicketLocked(now time.Time, r Request, times RouteTimes) *Ticket {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(maxWait)
	}
	class := Short
	if !g.cfg.Unclassified {
		class = g.demand.classOf(times)
	}
	return &Ticket{
		gate:     g,
		route:    r.Route,
		priority: r.Priority,
		class:    class,
		arrived:  now,
		latest:   r.Deadline.Add(-times.expected(now)),
		ready:    make(chan Decision, 1),

		preempted: make(chan struct{}),
	}
}

// refuseLocked decides whether a call is turned away on arrival.
func (g *Gate) refuseLocked(now time.Time, t *Ticket, patience time.Duration) (Decision, bool) {
	switch {
	case g.draining:
		return g.refusalLocked(now, ReasonDraining), true
	case t.latest.Before(now):
		return g.refusalLocked(now, ReasonDeadline), true
	case g.impatientLocked(now, t, patience):
		return g.refusalLocked(now, ReasonOverloaded), true
	case g.roomLocked(now, t):
		return Decision{}, false
	}
	g.noteShedLocked(now, t)
	return g.refusalLocked(now, ReasonOverloaded), true
}

// impatientLocked reports whether a call would wait longer than it accepts. It
// is refused at once, while it can still be tried elsewhere in time.
func (g *Gate) impatientLocked(now time.Time, t *Ticket, patience time.Duration) bool {
	if patience <= 0 || g.mayRunLocked(now, t.priority, t.class) {
		return false
	}
	return g.waitLocked(now) > patience
}

// roomLocked reports whether a call may enter, and makes room for it where it
// has the better claim: a caller's call displaces a background one, and in a
// standing queue that costs deadlines the newest call displaces the oldest,
// which is the likeliest to miss its own. Otherwise the newest is refused at
// once, while it can still be tried elsewhere.
func (g *Gate) roomLocked(now time.Time, t *Ticket) bool {
	if g.queue.size < g.cfg.Queue || g.mayRunLocked(now, t.priority, t.class) {
		return true
	}
	if victim := g.queue.oldest(Background); victim != nil {
		if t.priority == Background && !g.queue.standing(now) {
			return false
		}
		g.shedLocked(now, victim, ReasonOverloaded)
		return true
	}
	if t.priority == Background || g.cfg.Queue == 0 {
		return false
	}
	g.preemptLocked()
	if g.queue.size < g.queueLimitLocked() {
		return true
	}
	oldest := g.queue.oldest(Caller)
	if !g.queue.standing(now) || !oldest.late(now) {
		return false
	}
	g.shedLocked(now, oldest, ReasonOverloaded)
	return true
}

// queueLimitLocked returns the bound on waiting callers. It is higher while a
// background call still ends, since no caller's work is shed before background
// work.
func (g *Gate) queueLimitLocked() int {
	if g.backgroundInUse() > 0 {
		return backgroundGrace * g.cfg.Queue
	}
	return g.cfg.Queue
}

// Tick sheds queued work whose deadline cannot be met any more and opens the
// slots of a cold start. It is meant to be called every 10 ms or so while calls
// wait, see Waiting.
func (g *Gate) Tick(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireLocked(now)
	g.grantLocked(now)
}

// Drain refuses new work from now on. Queued and running work goes on.
func (g *Gate) Drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = true
}

// leave ends a ticket in any state.
func (g *Gate) leave(t *Ticket, now time.Time, served time.Duration, ok bool) {
	learned := g.release(t, now, served, ok)
	if learned {
		g.classes.Observe(t.route, served, now)
	}
}

// release frees what a ticket holds and reports whether its service time
// counts.
func (g *Gate) release(t *Ticket, now time.Time, served time.Duration, ok bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch t.state {
	case stateWaiting:
		g.queue.remove(t, now)
		t.state = stateDone
		return false
	case stateRunning:
		t.state = stateDone
		g.inUse[t.priority][t.class]--
		delete(g.running, t)
		learned := ok && served > 0
		if learned {
			g.demand.complete(t.class, served)
		}
		g.expireLocked(now)
		g.grantLocked(now)
		return learned
	}
	return false
}

// expireLocked sheds the waiting calls that can no longer end in time.
func (g *Gate) expireLocked(now time.Time) {
	for _, p := range shedOrder {
		for {
			t := g.queue.expired(p, now)
			if t == nil {
				break
			}
			g.shedLocked(now, t, ReasonOverloaded)
		}
	}
}

// shedLocked tells a waiting call that it is not run.
func (g *Gate) shedLocked(now time.Time, t *Ticket, reason Reason) {
	g.queue.remove(t, now)
	t.state = stateDone
	g.noteShedLocked(now, t)
	t.ready <- g.refusalLocked(now, reason)
}

func (g *Gate) noteShedLocked(now time.Time, t *Ticket) {
	if t.priority == Caller {
		g.pressure.lastShed = now
		g.preemptLocked()
	}
}

// refusalLocked returns a refusal with the time after which the work that
// waits now will have been served.
func (g *Gate) refusalLocked(now time.Time, reason Reason) Decision {
	after := g.waitLocked(now)
	if reason == ReasonDraining {
		after = drainRetryAfter
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// waitLocked estimates how long the present queue takes to be served.
func (g *Gate) waitLocked(now time.Time) time.Duration {
	perCall := g.demand.meanTime()
	return perCall * time.Duration(g.queue.size) / time.Duration(g.limitLocked(now))
}

// Report returns the load of the own backend server.
func (g *Gate) Report(now time.Time) LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	limit := g.limitLocked(now)
	return LoadReport{
		Slots:    limit,
		InUse:    g.totalInUse(),
		Queued:   g.queue.size,
		Kept:     g.keptLocked(now, limit),
		Wait:     g.waitLocked(now),
		Draining: g.draining,
	}
}
