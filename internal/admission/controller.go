// Package admission decides which calls get a slot of the node's own backend
// server, which are queued, and which are refused without being run.
//
// It opens no sockets and reads no clock: every method that depends on time
// takes it as an argument.
package admission

import (
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/pace"
)

// Config sets the limits of a Controller.
type Config struct {
	Slots           int           // calls that the backend server runs at once
	Queue           int           // maximum number of calls that wait for a slot
	LongShare       float64       // share of the slots that is always open to long calls
	BackgroundShare float64       // largest share of the slots for background calls while callers wait
	ColdStart       time.Duration // time over which the slots of a started server are opened; 0 opens all at once
	Paced           bool          // a started server's slots are opened as it answers, see package pace; replaces ColdStart
	ServiceTimes    *ServiceTimes // service times of the routes; nil for new ones
	Link            *Link         // of the instance; nil for none
	// UnansweredCalls is how many calls run at once until the backend server has
	// first answered, since that answer may name a limit; 0 sets no bound.
	UnansweredCalls int
	SingleClass     bool // treat every call as short; a baseline for benchmarks
}

// Defaults of a Config. NewController does not apply DefaultColdStart, since a
// ColdStart of 0 opens all slots at once.
const (
	DefaultLongShare       = 0.5
	DefaultBackgroundShare = 0.25
	DefaultColdStart       = 10 * time.Second
)

// Controller holds the slots and the queue of the node's own backend server.
//
// It has a single lock because the slots of one server are one resource. The
// lock is a leaf lock: no other lock is taken and nothing blocks while it is
// held.
type Controller struct {
	serviceTimes *ServiceTimes
	waiting      chan struct{} // signals that a call was queued; capacity 1

	mu            sync.Mutex
	cfg           Config               // guarded by mu
	queue         queue                // guarded by mu
	inUse         [2][2]int            // slots in use by priority and class; guarded by mu
	demand        demand               // guarded by mu
	pressure      pressure             // guarded by mu
	shares        routeShares          // guarded by mu
	running       map[*Ticket]struct{} // running background calls that were not preempted; guarded by mu
	started       time.Time            // when the backend server started; guarded by mu
	pacer         pace.Pacer           // guarded by mu
	draining      bool                 // guarded by mu
	limit         rateLimit            // named by the backend server; guarded by mu
	reportedLimit float64              // last one that ObserveAnswer reported; guarded by mu
	answered      bool                 // the backend server has answered since the start of the node; guarded by mu
}

// NewController returns a Controller with all slots free.
func NewController(cfg Config) *Controller {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.BackgroundShare <= 0 {
		cfg.BackgroundShare = DefaultBackgroundShare
	}
	if cfg.ServiceTimes == nil {
		cfg.ServiceTimes = NewServiceTimes()
	}
	c := &Controller{cfg: cfg, shares: newRouteShares(), serviceTimes: cfg.ServiceTimes, waiting: make(chan struct{}, 1), running: make(map[*Ticket]struct{})}
	c.SetPolicy(Policy{Queue: cfg.Queue, LongShare: cfg.LongShare})
	return c
}

// Policy is the part of a Config that comes from the service's profile and
// may change while calls run.
type Policy struct {
	Queue     int
	LongShare float64 // 0 for DefaultLongShare
}

// SetPolicy changes the limits that a profile sets. If the queue is longer than
// a lowered limit, its calls stay in it.
func (c *Controller) SetPolicy(p Policy) {
	if p.LongShare <= 0 {
		p.LongShare = DefaultLongShare
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Queue = max(p.Queue, 0)
	c.cfg.LongShare = min(p.LongShare, 1)
}

// SetSlots changes how many calls the backend server runs at once. Running
// calls keep their slots.
func (c *Controller) SetSlots(slots int) {
	if slots <= 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Slots = slots
}

// ServerStarted records that the backend server started or restarted. Its slots
// are then opened over Config.ColdStart, or as it answers.
func (c *Controller) ServerStarted(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.started = now
	if c.cfg.Paced {
		c.pacer.Start(c.cfg.Slots)
	}
}

// CallRejected records that the backend server refused a call without running it.
func (c *Controller) CallRejected(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Paced {
		c.pacer.Rejected(now)
	}
}

// Acquire requests a slot. The ticket is nil when the call is refused. A queued
// ticket gets its decision through Ready.
func (c *Controller) Acquire(now time.Time, r Request) (*Ticket, Decision) {
	times := c.serviceTimes.Times(r.Route)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.newTicketLocked(now, r, times)
	c.demand.addArrival(t.class, now)
	c.shares.addCall(t, now)
	if d, refused := c.refuseLocked(now, t, r.MaxWait); refused {
		return nil, d
	}
	c.cfg.Link.Add(now, t.bytes)
	c.queue.push(t, now)
	c.grantLocked(now)
	if t.state == stateRunning {
		return t, Decision{Verdict: Admitted}
	}
	select {
	case c.waiting <- struct{}{}:
	default: // already signalled
	}
	return t, Decision{Verdict: Queued}
}

// Check reports whether Acquire would refuse a call at present, and the refusal. It
// records nothing of the call and sheds no other.
func (c *Controller) Check(now time.Time, r Request) (Decision, bool) {
	times := c.serviceTimes.Times(r.Route)
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.newTicketLocked(now, r, times)
	if d, refused := c.hopelessLocked(now, t, r.MaxWait); refused {
		return d, true
	}
	if c.queue.size() < c.queueLimitLocked() || c.mayRunLocked(now, t.priority, t.class) {
		return Decision{}, false
	}
	if c.queue.size() == 0 || c.displacedLocked(now, t) == nil {
		return c.refusalLocked(now, ReasonOverloaded), true
	}
	return Decision{}, false
}

// Waiting returns a channel that receives a value when a call is queued. From
// then on Tick must be called until no call waits.
func (c *Controller) Waiting() <-chan struct{} { return c.waiting }

func (c *Controller) newTicketLocked(now time.Time, r Request, times RouteStats) *Ticket {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(maxQueueTime)
	}
	class := Short
	if !c.cfg.SingleClass {
		class = c.demand.classOf(times)
	}
	expected := times.expected(now)
	t := &Ticket{
		controller:  c,
		route:       r.Route,
		priority:    r.Priority,
		class:       class,
		rank:        r.Rank,
		arrived:     now,
		latestStart: r.Deadline.Add(-expected),
		expected:    expected,
		length:      lengthOf(expected),
		work:        workOf(r.Work),
		ready:       make(chan Decision, 1),

		preempted: make(chan struct{}),
	}
	if r.Bytes >= LargeAnswerBytes {
		t.bytes = r.Bytes
	}
	t.objectiveStart = t.latestStart
	if !r.Objective.IsZero() {
		t.hasObjective = true
		margin := time.Duration(objectiveMargin * float64(expected))
		t.objectiveStart = minTime(t.latestStart, r.Objective.Add(-margin))
	}
	return t
}

// workOf returns the work of a call, 1 when it is unknown.
func workOf(work float64) float64 {
	if work <= 0 {
		return 1
	}
	return work
}

func minTime(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// refuseLocked reports whether a call is refused on arrival, and the refusal.
func (c *Controller) refuseLocked(now time.Time, t *Ticket, maxWait time.Duration) (Decision, bool) {
	if d, refused := c.hopelessLocked(now, t, maxWait); refused {
		return d, true
	}
	if c.makeRoomLocked(now, t) {
		return Decision{}, false
	}
	c.recordShedLocked(now, t)
	return c.refusalLocked(now, ReasonOverloaded), true
}

// hopelessLocked reports whether a call cannot be served in time even if the queue
// has room for it, and the refusal.
func (c *Controller) hopelessLocked(now time.Time, t *Ticket, maxWait time.Duration) (Decision, bool) {
	switch {
	case c.draining:
		return c.refusalLocked(now, ReasonDraining), true
	case t.latestStart.Before(now):
		return c.refusalLocked(now, ReasonDeadline), true
	case c.exceedsMaxWaitLocked(now, t, maxWait), c.startsTooLateLocked(now, t), c.limitComesTooLateLocked(now, t), c.closedLocked(now):
		return c.refusalLocked(now, ReasonOverloaded), true
	case c.linkWaitLocked(now, t) > c.linkPatience(now, t, maxWait):
		return c.refusalLocked(now, ReasonLinkBusy), true
	}
	return Decision{}, false
}

// Tick sheds queued calls that can no longer meet their deadline and opens the
// slots of a cold start. It must be called about every 10 ms while calls wait,
// see Waiting.
func (c *Controller) Tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expireLocked(now)
	c.shedHopelessLocked(now)
	c.grantLocked(now)
}

// Drain refuses new calls from now on. Queued and running calls continue.
func (c *Controller) Drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
}

// release ends a ticket in any state.
func (c *Controller) release(t *Ticket, now time.Time, serviceTime time.Duration, ok bool) {
	sampled := c.endTicket(t, now, serviceTime, ok)
	if sampled {
		c.serviceTimes.Observe(t.route, serviceTime, now)
	}
}

// endTicket frees the slot or queue entry of a ticket and reports whether its
// service time is a valid sample.
func (c *Controller) endTicket(t *Ticket, now time.Time, serviceTime time.Duration, ok bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch t.state {
	case stateWaiting:
		c.queue.remove(t)
		c.cfg.Link.Add(now, -t.bytes)
		t.state = stateDone
		return false
	case stateRunning:
		t.state = stateDone
		c.inUse[t.priority][t.class]--
		delete(c.running, t)
		sampled := ok && serviceTime > 0
		if sampled {
			c.pacer.Answered(now, pace.Answer{UnitTime: time.Duration(float64(serviceTime) / t.work), InUse: c.totalInUse() + 1, Slots: c.cfg.Slots})
			c.demand.addCompletion(t.class, serviceTime, t.work)
			c.shares.addBusy(t, serviceTime, now)
		}
		c.expireLocked(now)
		c.grantLocked(now)
		return sampled
	}
	return false
}

// refusalLocked returns a refusal. Its retry-after is the expected time until the
// calls queued now are served, or drainRetryAfter; at least minRetryAfter.
func (c *Controller) refusalLocked(now time.Time, reason Reason) Decision {
	after := max(c.waitLocked(now), c.limit.wait(now, c.queue.size()), c.pacer.Closed(now))
	switch reason {
	case ReasonDraining:
		after = drainRetryAfter
	case ReasonLinkBusy:
		after = c.cfg.Link.Wait(now)
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// Report returns the load of the node's own backend server.
func (c *Controller) Report(now time.Time) LoadReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := c.openSlotsLocked(now)
	return LoadReport{
		Slots:    c.limit.slots(limit, c.demand.meanTime()),
		InUse:    c.totalInUse(),
		Queued:   c.queue.size(),
		Reserved: c.reservedLocked(now, limit),
		Wait:     c.waitLocked(now),
		Draining: c.draining,
		Limit:    c.limitLocked(),
		UnitTime: c.demand.unitTime,
		Pacing:   c.pacer.Pacing(),
	}
}
