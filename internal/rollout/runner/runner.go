// Package runner runs rollouts on a node: it passes orders and states on to other
// nodes, reports on the node's own backend server, and coordinates the orders whose
// coordinator the node is. internal/rollout decides.
package runner

import (
	"context"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/tasks"
)

// ErrConflict means that a record was not written, since another was written after
// the read that it follows.
var ErrConflict = errors.New("another record was written first")

// Record is what the operator reads of an order.
type Record struct {
	Service string
	Target  string
	Phase   rollout.Phase // Observing while it is in progress
	Number  int64         // of the order; 0 if the record does not tell
}

// Store holds the records of orders. A write succeeds only if nothing was written
// since the read that returned its position, and fails with ErrConflict otherwise,
// also if the store came back from a copy since.
type Store interface {
	// Status returns the operator's newest record of a service, or one without a phase.
	Status(ctx context.Context, service string) (r Record, position int64, err error)
	WriteStatus(ctx context.Context, r Record, position int64) error
	// Progress returns the newest progress record of a service, or an empty one.
	Progress(ctx context.Context, service string) (p rollout.Progress, position int64, err error)
	// WriteProgress returns the position of the record, which increases with each.
	WriteProgress(ctx context.Context, p rollout.Progress, position int64) (int64, error)
}

// Peers sends messages to other nodes; *peer.Pool implements it.
type Peers interface {
	RolloutStates(ctx context.Context, m membership.Member, s States) error
	RolloutReport(ctx context.Context, m membership.Member, r rollout.Report) (rollout.Grant, error)
}

// States is a message with the states of orders that a node knows of. An empty one
// tells a node that has just started that there is no order.
type States struct {
	From   string          `json:"from"`
	States []rollout.State `json:"states,omitempty"`
	// Complete means that the sender knows of all orders.
	Complete bool `json:"complete,omitempty"`
}

// Config holds the dependencies of a Runner.
type Config struct {
	Self     membership.Member
	Service  string // of the node's backend server
	Bounds   rollout.Bounds
	Members  func() []membership.Member // that calls may be sent to
	Linked   func() []membership.Member
	Snapshot func() *snapshot.Snapshot // newest one, or nil
	Peers    Peers
	Store    Store
	Restores func() int64 // how often the store came back from a copy since the start
	Gate     *rollout.Gate
	Server   *rollout.Server
	Logger   *slog.Logger
}

// Runner runs the rollouts of a node.
type Runner struct {
	Config
	changed       chan struct{} // a state changed
	coordinations *shard.Map[*coordination]
	asked         *shard.Map[time.Time] // when a report for a service's order last came in
	stoodDown     *shard.Map[time.Time] // when the node left the order of a service to others
	ends          *shard.Map[recordedEnd]
	greeted       map[string]int64 // incarnations of the linked nodes that were told of the states
	// greetedInformed is set once they were told by a node that knows of all orders.
	greetedInformed bool
	seenSnapshot    *snapshot.Snapshot
	askedAt         time.Time // see askIfSilent
	askedNodes      int
	startedAt       time.Time
	informed        atomic.Bool // the node knows of all orders
	reporting       atomic.Bool
	reportDue       time.Time
	reportFailed    atomic.Int32 // consecutive reports that no coordinator answered
	counters        counters
	tasks           tasks.Group
}

// counters are the totals of a Runner since its start.
type counters struct {
	completed, rolledBack, conflicts, refusedOrders atomic.Int64
}

// New returns a Runner.
func New(cfg Config) *Runner {
	return &Runner{
		Config: cfg, startedAt: time.Now(), changed: make(chan struct{}, 1), greeted: map[string]int64{},
		coordinations: shard.NewMap[*coordination](shard.DefaultCount), asked: shard.NewMap[time.Time](shard.DefaultCount), stoodDown: shard.NewMap[time.Time](shard.DefaultCount),
		ends: shard.NewMap[recordedEnd](shard.DefaultCount),
	}
}

const (
	// activeInterval is the time between two steps while an order is in progress, and
	// idleInterval without one.
	activeInterval = 100 * time.Millisecond
	idleInterval   = time.Second
	// sendTimeout bounds a message to another node.
	sendTimeout = time.Second
	// reportTimeout bounds a report. It leaves room for a second coordinator within
	// a lease.
	reportTimeout = 400 * time.Millisecond
)

// startHold is the longest time for which a node that has started waits to be told of
// the orders; see rollout.Server.Hold.
const startHold = 2 * time.Second

// AddOrders takes the orders that were read from the operator. The first read is of
// all of them.
func (r *Runner) AddOrders(orders []rollout.Order) {
	defer r.setInformed()
	for _, o := range orders {
		if err := o.Validate(); err != nil {
			r.counters.refusedOrders.Add(1)
			r.Logger.Warn("rollout_order_refused", "service", o.Service, "number", o.Number, "error", err)
			continue
		}
		if s, replaces := r.Gate.Read(o); replaces {
			r.apply(s, "")
		}
	}
}

func (r *Runner) setInformed() {
	if r.informed.CompareAndSwap(false, true) {
		r.Server.Hold(false)
	}
}

// HandleStates takes the states that another node sent.
func (r *Runner) HandleStates(s States) {
	if s.Complete {
		defer r.setInformed()
	}
	for _, state := range s.States {
		if err := state.Validate(); err != nil {
			r.counters.refusedOrders.Add(1)
			r.Logger.Warn("rollout_order_refused", "service", state.Service, "number", state.Number, "from", s.From, "error", err)
			continue
		}
		if !r.apply(state, s.From) {
			r.answerOutdated(state, s.From)
		}
	}
}

// apply stores a state and passes it on if it is newer.
func (r *Runner) apply(s rollout.State, from string) bool {
	now := time.Now()
	before, _, had := r.Gate.Get(s.Service, now)
	if !r.Gate.Set(s, now) {
		return false
	}
	s, _, _ = r.Gate.Get(s.Service, now)
	if s.Service == r.Service {
		r.Server.SetState(s)
	}
	if !had || before.Number != s.Number || before.Phase != s.Phase || before.Recorded != s.Recorded {
		r.Logger.Info("rollout_state", "service", s.Service, "number", s.Number, "target", s.Target, "phase", string(s.Phase), "recorded", s.Recorded, "term", s.Term, "share", s.Share)
	}
	r.send(States{From: r.Self.ID, States: []rollout.State{s}}, from)
	select {
	case r.changed <- struct{}{}:
	default:
	}
	return true
}

// send passes states on to the linked nodes, but not to the one that sent them.
func (r *Runner) send(s States, except string) {
	for _, m := range r.Linked() {
		if m.ID != except {
			r.sendTo(m, s)
		}
	}
}

func (r *Runner) sendTo(m membership.Member, s States) {
	r.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), sendTimeout)
		defer cancel()
		if err := r.Peers.RolloutStates(ctx, m, s); err != nil {
			r.Logger.Debug("rollout_states_unsent", "node", m.ID, "error", err)
		}
	})
}

// Run runs the loop until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	defer r.tasks.Close()
	for ctx.Err() == nil {
		interval := idleInterval
		if r.step(ctx, time.Now()) {
			interval = activeInterval
		}
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-r.changed:
		}
		timer.Stop()
	}
	return nil
}

// step does what is due and reports whether an order is in progress.
func (r *Runner) step(ctx context.Context, now time.Time) bool {
	if s := r.Snapshot(); s != nil && s != r.seenSnapshot {
		r.seenSnapshot = s
		r.Gate.SeeVersions(s, now)
	}
	r.greet()
	active := r.holdUninformed(now)
	for _, s := range r.Gate.States() {
		if s.Recorded {
			active = r.restoreEndIfDue(ctx, s, now) || active
			continue
		}
		active = true
		r.coordinateIfDue(ctx, s, now)
		r.askIfSilent(s, now)
	}
	r.reportIfDue(now)
	return active
}

// holdUninformed holds the backend server back while the node has not been told of the
// orders, and reports whether it may do so later.
func (r *Runner) holdUninformed(now time.Time) bool {
	if r.informed.Load() {
		return false
	}
	waiting := now.Sub(r.startedAt) < startHold
	version := r.Server.Version()
	r.Server.Hold(waiting && slices.ContainsFunc(r.Members(), func(m membership.Member) bool {
		return m.Service == r.Service && m.Version != version
	}))
	if r.informed.Load() { // meanwhile
		r.Server.Hold(false)
	}
	return waiting
}
