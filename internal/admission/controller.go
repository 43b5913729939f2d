// Package admission decides which calls get a slot of the node's own backend
// server, which are queued, and which are refused without being run.
//
// It opens no sockets and reads no clock: every method that depends on time
// takes it as an argument.
package admission

import (
	"sync"
	"time"
)

// Config sets the limits of a Controller.
type Config struct {
	Slots           int           // calls that the backend server runs at once
	Queue           int           // maximum number of calls that wait for a slot
	LongShare       float64       // share of the slots that is always open to long calls
	BackgroundShare float64       // largest share of the slots for background calls while callers wait
	ColdStart       time.Duration // time over which the slots of a started server are opened; 0 opens all at once
	ServiceTimes    *ServiceTimes // service times of the routes; nil for new ones
	Unclassified    bool          // treat every call as short; a baseline for benchmarks
}

// Defaults of a Config.
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
	waiting      chan struct{} // capacity 1

	mu       sync.Mutex
	cfg      Config               // guarded by mu
	queue    queue                // guarded by mu
	inUse    [2][2]int            // slots in use by priority and class; guarded by mu
	demand   demand               // guarded by mu
	pressure pressure             // guarded by mu
	running  map[*Ticket]struct{} // running background calls that were not preempted; guarded by mu
	started  time.Time            // when the backend server started; guarded by mu
	draining bool                 // guarded by mu
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
	ctrl := &Controller{cfg: cfg, serviceTimes: cfg.ServiceTimes, waiting: make(chan struct{}, 1), running: make(map[*Ticket]struct{})}
	ctrl.SetPolicy(Policy{Queue: cfg.Queue, LongShare: cfg.LongShare})
	return ctrl
}

// Policy is the part of a Config that comes from the service's profile and
// may change while calls run.
type Policy struct {
	Queue     int
	LongShare float64 // 0 for DefaultLongShare
}

// SetPolicy changes the limits that a profile sets. If the queue is longer than
// a lowered limit, its calls stay in it.
func (ctrl *Controller) SetPolicy(p Policy) {
	if p.LongShare <= 0 {
		p.LongShare = DefaultLongShare
	}
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	ctrl.cfg.Queue = max(p.Queue, 0)
	ctrl.cfg.LongShare = min(p.LongShare, 1)
}

// SetSlots changes how many calls the backend server runs at once. Running
// calls keep their slots.
func (ctrl *Controller) SetSlots(slots int) {
	if slots <= 0 {
		return
	}
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	ctrl.cfg.Slots = slots
}

// ServerStarted records that the backend server started or restarted. Its slots
// are then opened over Config.ColdStart.
func (ctrl *Controller) ServerStarted(now time.Time) {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	ctrl.started = now
}

// Acquire requests a slot. The ticket is nil when the call is refused. A queued
// ticket gets its decision through Ready.
func (ctrl *Controller) Acquire(now time.Time, r Request) (*Ticket, Decision) {
	times := ctrl.serviceTimes.Times(r.Route)
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	t := ctrl.newTicketLocked(now, r, times)
	ctrl.demand.addArrival(t.class, now)
	if d, refused := ctrl.refuseLocked(now, t, r.MaxWait); refused {
		return nil, d
	}
	ctrl.queue.push(t, now)
	ctrl.grantLocked(now)
	if t.state == stateRunning {
		return t, Decision{Verdict: Admitted}
	}
	select {
	case ctrl.waiting <- struct{}{}:
	default: // already signalled
	}
	return t, Decision{Verdict: Queued}
}

// Waiting returns a channel that receives a value when a call is queued. From
// then on Tick must be called until no call waits.
func (ctrl *Controller) Waiting() <-chan struct{} { return ctrl.waiting }

func (ctrl *Controller) newTicketLocked(now time.Time, r Request, times RouteStats) *Ticket {
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(maxQueueTime)
	}
	class := Short
	if !ctrl.cfg.Unclassified {
		class = ctrl.demand.classOf(times)
	}
	return &Ticket{
		controller:  ctrl,
		route:       r.Route,
		priority:    r.Priority,
		class:       class,
		arrived:     now,
		latestStart: r.Deadline.Add(-times.expected(now)),
		ready:       make(chan Decision, 1),

		preempted: make(chan struct{}),
	}
}

// refuseLocked reports whether a call is refused on arrival, and the refusal.
func (ctrl *Controller) refuseLocked(now time.Time, t *Ticket, maxWait time.Duration) (Decision, bool) {
	switch {
	case ctrl.draining:
		return ctrl.refusalLocked(now, ReasonDraining), true
	case t.latestStart.Before(now):
		return ctrl.refusalLocked(now, ReasonDeadline), true
	case ctrl.exceedsMaxWaitLocked(now, t, maxWait):
		return ctrl.refusalLocked(now, ReasonOverloaded), true
	case ctrl.makeRoomLocked(now, t):
		return Decision{}, false
	}
	ctrl.recordShedLocked(now, t)
	return ctrl.refusalLocked(now, ReasonOverloaded), true
}

// exceedsMaxWaitLocked reports whether a call would wait longer than it accepts.
// It is then refused at once, while there is time to try another server.
func (ctrl *Controller) exceedsMaxWaitLocked(now time.Time, t *Ticket, maxWait time.Duration) bool {
	if maxWait <= 0 || ctrl.mayRunLocked(now, t.priority, t.class) {
		return false
	}
	return ctrl.waitLocked(now) > maxWait
}

// makeRoomLocked reports whether a call may run or be queued, and sheds another
// call for it if need be. A caller's call displaces a background call. In a
// standing queue whose oldest call is near its deadline, the newest call
// displaces the oldest, which is the likeliest to miss its deadline. Otherwise
// the newest is refused at once, while there is time to try another server.
func (ctrl *Controller) makeRoomLocked(now time.Time, t *Ticket) bool {
	if ctrl.queue.size < ctrl.cfg.Queue || ctrl.mayRunLocked(now, t.priority, t.class) {
		return true
	}
	if victim := ctrl.queue.oldest(Background); victim != nil {
		if t.priority == Background && !ctrl.queue.standing(now) {
			return false
		}
		ctrl.shedLocked(now, victim, ReasonOverloaded)
		return true
	}
	if t.priority == Background || ctrl.cfg.Queue == 0 {
		return false
	}
	ctrl.preemptLocked()
	if ctrl.queue.size < ctrl.queueLimitLocked() {
		return true
	}
	oldest := ctrl.queue.oldest(Caller)
	if !ctrl.queue.standing(now) || !oldest.nearDeadline(now) {
		return false
	}
	ctrl.shedLocked(now, oldest, ReasonOverloaded)
	return true
}

// queueLimitLocked returns the maximum length of the queue for callers. It is
// higher while background calls hold slots, since no caller's call may be shed
// before background calls.
func (ctrl *Controller) queueLimitLocked() int {
	if ctrl.backgroundInUse() > 0 {
		return preemptionQueueFactor * ctrl.cfg.Queue
	}
	return ctrl.cfg.Queue
}

// Tick sheds queued calls that can no longer meet their deadline and opens the
// slots of a cold start. It must be called about every 10 ms while calls wait,
// see Waiting.
func (ctrl *Controller) Tick(now time.Time) {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	ctrl.expireLocked(now)
	ctrl.grantLocked(now)
}

// Drain refuses new calls from now on. Queued and running calls continue.
func (ctrl *Controller) Drain() {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	ctrl.draining = true
}

// release ends a ticket in any state.
func (ctrl *Controller) release(t *Ticket, now time.Time, serviceTime time.Duration, ok bool) {
	sampled := ctrl.endTicket(t, now, serviceTime, ok)
	if sampled {
		ctrl.serviceTimes.Observe(t.route, serviceTime, now)
	}
}

// endTicket frees the slot or queue entry of a ticket and reports whether its
// service time is a valid sample.
func (ctrl *Controller) endTicket(t *Ticket, now time.Time, serviceTime time.Duration, ok bool) bool {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	switch t.state {
	case stateWaiting:
		ctrl.queue.remove(t, now)
		t.state = stateDone
		return false
	case stateRunning:
		t.state = stateDone
		ctrl.inUse[t.priority][t.class]--
		delete(ctrl.running, t)
		sampled := ok && serviceTime > 0
		if sampled {
			ctrl.demand.addCompletion(t.class, serviceTime)
		}
		ctrl.expireLocked(now)
		ctrl.grantLocked(now)
		return sampled
	}
	return false
}

// expireLocked sheds the waiting calls that can no longer meet their deadline.
func (ctrl *Controller) expireLocked(now time.Time) {
	for _, p := range shedOrder {
		for {
			t := ctrl.queue.expired(p, now)
			if t == nil {
				break
			}
			ctrl.shedLocked(now, t, ReasonOverloaded)
		}
	}
}

// shedLocked removes a waiting call from the queue and refuses it.
func (ctrl *Controller) shedLocked(now time.Time, t *Ticket, reason Reason) {
	ctrl.queue.remove(t, now)
	t.state = stateDone
	ctrl.recordShedLocked(now, t)
	t.ready <- ctrl.refusalLocked(now, reason)
}

func (ctrl *Controller) recordShedLocked(now time.Time, t *Ticket) {
	if t.priority == Caller {
		ctrl.pressure.lastShed = now
		ctrl.preemptLocked()
	}
}

// refusalLocked returns a refusal. Its retry-after is the expected time until the
// calls queued now are served, or drainRetryAfter.
func (ctrl *Controller) refusalLocked(now time.Time, reason Reason) Decision {
	after := ctrl.waitLocked(now)
	if reason == ReasonDraining {
		after = drainRetryAfter
	}
	return Decision{Verdict: Refused, Reason: reason, RetryAfter: max(after, minRetryAfter)}
}

// waitLocked estimates the time until the calls queued now are served.
func (ctrl *Controller) waitLocked(now time.Time) time.Duration {
	perCall := ctrl.demand.meanTime()
	return perCall * time.Duration(ctrl.queue.size) / time.Duration(ctrl.openSlotsLocked(now))
}

// Report returns the load of the node's own backend server.
func (ctrl *Controller) Report(now time.Time) LoadReport {
	ctrl.mu.Lock()
	defer ctrl.mu.Unlock()
	limit := ctrl.openSlotsLocked(now)
	return LoadReport{
		Slots:    limit,
		InUse:    ctrl.totalInUse(),
		Queued:   ctrl.queue.size,
		Reserved: ctrl.reservedLocked(now, limit),
		Wait:     ctrl.waitLocked(now),
		Draining: ctrl.draining,
	}
}
