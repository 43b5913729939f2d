package admission

import "time"

// Priority orders calls; callers go before background.
type Priority int

// Priorities.
const (
	Caller Priority = iota
	Background
)

// shedOrder lists the priorities in the order in which they are shed.
var shedOrder = [...]Priority{Background, Caller}

// Class is the class of a call by the service time of its route.
type Class int

// Classes of calls.
const (
	Short Class = iota
	Long
)

// Request is a call that asks for a slot.
type Request struct {
	Route    string
	Priority Priority
	Deadline time.Time // zero for maxQueueTime from now
	// MaxWait is the longest expected wait for a slot that is accepted, since the
	// call can be sent to another server; 0 sets no bound.
	MaxWait time.Duration
}

// Verdict is the result of a decision.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota // the call holds a slot
	Queued                  // the call waits; Ticket.Ready delivers the decision
	Refused                 // the call is not run
)

// Reason is why a call was refused, as sent to the caller.
type Reason string

// Reasons.
const (
	ReasonOverloaded Reason = "overloaded" // no slot is free in time
	ReasonDeadline   Reason = "deadline"   // less time left than the expected service time
	ReasonDraining   Reason = "draining"   // the backend server is draining
)

// Decision answers a Request.
type Decision struct {
	Verdict    Verdict
	Reason     Reason        // set when refused
	RetryAfter time.Duration // set when refused
}

// LoadReport is the load of one backend server as counted by its own node.
type LoadReport struct {
	Slots    int           `json:"slots"` // open slots; fewer than configured during a cold start
	InUse    int           `json:"inUse"`
	Queued   int           `json:"queued"`
	Reserved int           `json:"kept"`   // slots reserved for short calls
	Wait     time.Duration `json:"waitNs"` // estimate until the calls queued now are served
	Draining bool          `json:"draining,omitempty"`
}

const (
	// maxQueueTime bounds the time in the queue of a call without a deadline, which
	// newest-first order could otherwise delay indefinitely.
	maxQueueTime = 30 * time.Second
	// minRetryAfter keeps refused calls from being retried within one tick.
	minRetryAfter = 10 * time.Millisecond
	// drainRetryAfter is the time within which every node learns of a drain.
	drainRetryAfter = time.Second
)

type ticketState int

const (
	stateWaiting ticketState = iota
	stateRunning
	stateDone
)

// Ticket is the slot or the queue entry of one call.
type Ticket struct {
	controller  *Controller
	route       string
	priority    Priority
	class       Class
	arrived     time.Time
	latestStart time.Time     // latest start at which the deadline can be met
	ready       chan Decision // delivers the one decision; capacity 1

	preempted chan struct{} // closed when the call should be cancelled

	state ticketState // guarded by controller.mu
	index int         // index in the heap of its subqueue; guarded by controller.mu
	older *Ticket     // neighbours in order of arrival; guarded by controller.mu
	newer *Ticket     // guarded by controller.mu
}

// nearDeadline reports whether less time is left until the latest start of a
// waiting call than it has waited.
func (t *Ticket) nearDeadline(now time.Time) bool {
	return now.Sub(t.arrived) > t.latestStart.Sub(now)
}

// Ready returns a channel that delivers the ticket's one decision, also for a
// ticket that was admitted by Acquire.
func (t *Ticket) Ready() <-chan Decision { return t.ready }

// Preempted returns a channel that is closed when a running background call
// should be cancelled because callers' calls would otherwise be shed. Its slot
// counts as in use until Release. A call that cannot be cancelled may ignore it.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempted }

// Release frees the slot or the queue entry. serviceTime is the time that the
// backend server took, 0 when the call was not sent; ok reports whether it is a
// valid sample. Further calls and calls on a nil ticket have no effect.
func (t *Ticket) Release(now time.Time, serviceTime time.Duration, ok bool) {
	if t == nil {
		return
	}
	t.controller.release(t, now, serviceTime, ok)
}
