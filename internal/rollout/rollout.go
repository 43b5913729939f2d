// Package rollout decides how the calls of a service move to backend servers of
// a new version: how many calls that version gets while it is judged, whether it
// is good, and which version a call goes to. It does no I/O and reads no clock;
// internal/rollout/runner runs the loops.
package rollout

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Order asks that the calls of a service move to the servers of a version.
type Order struct {
	Service    string `json:"service"`
	Target     string `json:"target"`     // version of the servers to move to
	DurationMs int64  `json:"durationMs"` // the move should be completed or rolled back by then
	Number     int64  `json:"number"`     // place at which the order was first read, see Place
}

// Duration returns the time that the operator allows.
func (o Order) Duration() time.Duration { return time.Duration(o.DurationMs) * time.Millisecond }

// Bounds of an order.
const (
	maxNameBytes = 1024
	maxDuration  = 30 * 24 * time.Hour
)

// Validate reports why an order cannot be carried out.
func (o Order) Validate() error {
	switch {
	case o.Service == "" || len(o.Service) > maxNameBytes:
		return errors.New("the order names no service")
	case o.Target == "" || len(o.Target) > maxNameBytes:
		return errors.New("the order names no version")
	case o.DurationMs <= 0 || o.DurationMs > maxDuration.Milliseconds():
		return errors.Newf("a duration of %d ms is out of range", o.DurationMs)
	}
	return nil
}

// Phase is the stage of an order.
type Phase string

// Phases of an order.
const (
	Observing  Phase = "observing"   // the target version gets a bounded number of calls
	Moving     Phase = "moving"      // it was found good and gets a growing share
	Completed  Phase = "completed"   // it gets all calls; the other servers stop
	RolledBack Phase = "rolled_back" // it was found bad and gets no call
)

// phaseRank orders the phases of one order. A verdict is never taken back: a
// coordinator that has not heard of it must not expose a bad version again.
// Completed is published only after it was recorded, so it goes before all.
var phaseRank = map[Phase]int{Observing: 0, Moving: 0, RolledBack: 1, Completed: 2}

// State is what a coordinator has decided about an order. Nodes pass it on.
type State struct {
	Order
	Term     int64  `json:"term"`           // of the coordinator; 0 before there is one
	Sequence int64  `json:"seq"`            // increases with each state of a term
	Node     string `json:"node,omitempty"` // coordinator
	Phase    Phase  `json:"phase"`
	// Share is the share of the calls for which the target version is chosen.
	Share float64 `json:"share"`
	// Servers names the nodes whose servers get that share; empty means all of the
	// target version.
	Servers []string `json:"servers,omitempty"`
	// Replaced lists the other versions, which stop when the order is completed.
	Replaced []string `json:"replaced,omitempty"`
	// Recorded means that the operator's status record holds the final phase.
	Recorded bool `json:"recorded,omitempty"`
	// Found is the newest place at which the order was read; 0 stands for its number.
	Found int64 `json:"found,omitempty"`
	// Earlier lists the orders of the service before this one, the last one first.
	Earlier []Order `json:"earlier,omitempty"`
}

// NewState returns the state of an order without a coordinator.
func NewState(o Order) State { return State{Order: o, Phase: Observing} }

// Final reports whether the phase ends the order.
func (s State) Final() bool { return s.Phase == Completed || s.Phase == RolledBack }

// Validate reports why a state cannot be from a node.
func (s State) Validate() error {
	if _, known := phaseRank[s.Phase]; !known {
		return errors.Newf("unknown phase %q", s.Phase)
	}
	if len(s.Earlier) > maxEarlier {
		return errors.Newf("%d earlier orders are too many", len(s.Earlier))
	}
	return s.Order.Validate()
}

// NewerThan reports whether a state replaces another one of its service.
func (s State) NewerThan(o State) bool {
	if order := s.compareOrder(o); order != 0 {
		return order > 0
	}
	switch {
	case phaseRank[s.Phase] != phaseRank[o.Phase]:
		return phaseRank[s.Phase] > phaseRank[o.Phase]
	case s.Recorded != o.Recorded:
		return s.Recorded
	case s.Term != o.Term:
		return s.Term > o.Term
	}
	return s.Sequence > o.Sequence
}

// receives reports whether the state gives calls to a server of the target version.
func (s State) receives(node string) bool {
	return len(s.Servers) == 0 || slices.Contains(s.Servers, node)
}

// Bounds are the limits on the calls that a bad version may get.
type Bounds struct {
	// ExposureShare is the largest share of the calls of a service, between an order
	// and the end of its duration, that a bad version may get, and ExposureSlack the
	// number of calls beyond it. 0 switches rollouts off.
	ExposureShare float64
	ExposureSlack float64
	// RollbackWithin is the time within which no call may go to a version that was
	// found bad, wherever its coordinator is.
	RollbackWithin time.Duration
}

// leaseParts keeps a lost coordinator, the next one's start and a lease within
// RollbackWithin.
const leaseParts = 4

// Lease returns how long a grant holds.
func (b Bounds) Lease() time.Duration {
	if b.RollbackWithin <= 0 {
		return GrantLease
	}
	return min(GrantLease, b.RollbackWithin/leaseParts)
}

// Enabled reports whether orders are carried out.
func (b Bounds) Enabled() bool { return b.ExposureShare > 0 }
