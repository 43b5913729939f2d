package admission

import "time"

// Priority orders work; callers go before background.
type Priority int

// Priorities.
const (
	Caller Priority = iota
	Background
)

// shedOrder lists the priorities in the order in which they are shed.
var shedOrder = [...]Priority{Background, Caller}

// Class tells short work from long work.
type Class int

// Classes of work.
const (
	Short Class = iota
	Long
)

// Request is a call that asks for a slot.
type Request struct {
	Route    string
	Priority Priority
	Deadline time.Time // zero stands for the longest wait
	// Patience is the longest expected wait for a slot that the call accepts,
	// since it can be sent elsewhere; 0 sets no bound.
	Patience time.Duration
}

// Verdict is the result of a decision.
type Verdict int

// Verdicts.
const (
	Admitted Verdict = iota // the call holds a slot
	Queued                  // the call waits; Ticket.Ready tells the outcome
	Refused                 // the call is not run
)

// Reason says why a call was refused. It is the word that callers see.
type Reason string

// Reasons.
const (
	ReasonOverloaded Reason = "overloaded" // no slot in time
	ReasonDeadline   Reason = "deadline"   // too little time left for the work itself
	ReasonDraining   Reason = "draining"   // the backend server is leaving
)

// Decision answers a Request.
type Decision struct {
	Verdict    Verdict
	Reason     Reason        // set when refused
	RetryAfter time.Duration // set when refused
}

// LoadReport is the load of one backend server as its own node counts it.
type LoadReport struct {
	Slots    int           `json:"slots"` // open slots; fewer than configured during a cold start
	InUse    int           `json:"inUse"`
	Queued   int           `json:"queued"`
	Kept     int           `json:"kept"` // slots kept for short work
	Wait     time.Duration `json:"waitNs"`
	Draining bool          `json:"draining,omitempty"`
}

const (
	// maxWait bounds the time in the queue of a call without a deadline, so
	// that newest-first order cannot keep it for ever.
	maxWait = 30 * time.Second
	// minRetryAfter keeps refused calls from returning within one tick.
	minRetryAfter = 10 * time.Millisecond
	// drainRetryAfter is the time in which every node learns of a drain.
	drainRetryAfter = time.Second
)

type ticketState int

const (
	stateWaiting ticketState = iota
	stateRunning
	stateDone
)

// Ticket is one call's place at a Gate.
type Ticket struct {
	gate     *Gate
	route    string
	priority Priority
	class    Class
	arrived  time.Time
	latest   time.Time     // latest start that meets the deadline
	ready    chan Decision // holds at most the one decision

	preempted chan struct{} // closed when the call is asked to end

	state ticketState // guarded by gate.mu
	index int         // place in its line's heap; guarded by gate.mu
	older *Ticket     // neighbours by arrival; guarded by gate.mu
	newer *Ticket     // guarded by gate.mu
}

// late reports whether a waiting call has less time left than it has waited.
func (t *Ticket) late(now time.Time) bool {
	return now.Sub(t.arrived) > t.latest.Sub(now)
}

// Ready returns a channel that delivers the ticket's one decision. A ticket
// that was admitted by Enter finds it there too.
func (t *Ticket) Ready() <-chan Decision { return t.ready }

// Preempted returns a channel that is closed when a running background call
// should be cancelled, since callers would be shed otherwise. Its slot counts
// as in use until Leave. A call that cannot be cancelled may ignore it.
func (t *Ticket) Preempted() <-chan struct{} { return t.preempted }

// Leave frees the slot or the place in the queue. served is the time that the
// backend server took, 0 when the call was not sent; ok tells whether it is a
// fair sample. Further calls and calls on a nil ticket have no effect.
func (t *Ticket) Leave(now time.Time, served time.Duration, ok bool) {
	if t == nil {
		return
	}
	t.gate.leave(t, now, served, ok)
}
