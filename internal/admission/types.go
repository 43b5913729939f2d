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
	// Rank orders callers' calls of one service; 0 is the most important one.
	Rank int
	// Objective is when the answer must arrive to be in time; zero for none. An
	// answer after it still has some value until the deadline.
	Objective time.Time
	// Work is the expected time of the call in relation to the mean call of its
	// service; 0 counts as 1.
	Work float64
	// Bytes is the expected size of the answer, 0 when unknown.
	Bytes int64
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
	ReasonLinkBusy   Reason = "link_busy"  // the instance's link has no room for a large answer in time
)

// Decision answers a Request.
type Decision struct {
	Verdict    Verdict
	Reason     Reason        // set when refused
	RetryAfter time.Duration // set when refused
}

// LoadReport is the load of one backend server as counted by its own node.
type LoadReport struct {
	Slots    int           `json:"slots"` // open slots; fewer than configured during a cold start, or if the limit allows fewer calls at once
	InUse    int           `json:"inUse"`
	Queued   int           `json:"queued"`
	Reserved int           `json:"kept"`   // slots reserved for short calls
	Wait     time.Duration `json:"waitNs"` // estimate until the calls queued now are served
	Draining bool          `json:"draining,omitempty"`
	Pacing   bool          `json:"pacing,omitempty"`     // slots are opened as the server answers
	UnitTime time.Duration `json:"unitTimeNs,omitempty"` // moving mean of the service time of a call of work 1; 0 before the first answer
	Limit    float64       `json:"limit,omitempty"`      // calls a second that the server takes by its own word; 0 if it names none
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
	controller     *Controller
	route          string
	priority       Priority
	class          Class
	rank           int
	arrived        time.Time
	latestStart    time.Time // latest start at which the deadline can be met
	objectiveStart time.Time // latest start at which the objective can be met; latestStart without an objective
	hasObjective   bool
	expected       time.Duration // expected service time, 0 when unknown
	length         int           // see lengthOf
	work           float64       // see Request.Work
	bytes          int64         // counted on the link
	ready          chan Decision // delivers the one decision; capacity 1

	preempted chan struct{} // closed when the call should be cancelled

	state ticketState // guarded by controller.mu
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
