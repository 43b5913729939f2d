package runner

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// silenceBeforeTakeover is how long no state of a coordinator has arrived before
	// another node takes its place.
	silenceBeforeTakeover = 3 * rollout.PublishInterval
	// askedFor is how long a report makes a node a coordinator that is not the first
	// choice by its own member table.
	askedFor = time.Second
	// storePatience is how long the store may fail to take what a coordinator has to
	// write before it leaves the order to a node that the store serves, and
	// standDownFor how long it does not coordinate it then.
	storePatience = 1500 * time.Millisecond
	standDownFor  = 5 * time.Second
	// alonePatience is the same for the reports of most servers, which may all have to
	// find the coordinator first.
	alonePatience = 3 * time.Second
	// maxStoreBackoff bounds the random wait after a failed access to the store.
	maxStoreBackoff = 500 * time.Millisecond
)

// errReplaced ends a coordination: another node coordinates the order.
var errReplaced = errors.New("another node coordinates the order")

// errStoreLost ends a coordination whose records the store does not take.
var errStoreLost = errors.New("the store does not answer")

// errAlone ends a coordination without reports from most servers.
var errAlone = errors.New("most servers do not report to this node")

// errEnded ends a coordination that is not needed.
var errEnded = errors.New("the end of the order was recorded before")

// coordination is the work of the coordinator of one order. Its loop and the reports
// share the machine.
type coordination struct {
	*Runner
	order    rollout.Order
	restores int64 // of the store before the newest term was taken; used by one write at a time

	mu      sync.Mutex
	machine *rollout.Machine // guarded by mu; nil until the node has its term
	term    int64            // guarded by mu
	heard   time.Time        // guarded by mu; when most servers last reported
	failing time.Time        // guarded by mu; since when accesses to the store fail, zero if they do not
}

func (c *coordination) report(r rollout.Report, now time.Time) rollout.Grant {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine == nil || r.Number != c.order.Number {
		return rollout.Grant{}
	}
	return c.machine.Report(r, now)
}

// coordinateIfDue begins to coordinate an order if the node is the first choice, or
// was asked to, and no other node does.
func (r *Runner) coordinateIfDue(ctx context.Context, s rollout.State, now time.Time) {
	if _, running := r.coordinations.Get(s.Service); running {
		return
	}
	_, age, _ := r.Gate.Get(s.Service, now)
	stoodDown, ok := r.stoodDown.Get(s.Service)
	if s.Term > 0 && age < silenceBeforeTakeover || ok && now.Sub(stoodDown) < standDownFor {
		return
	}
	candidates := r.candidates(s.Service)
	first := len(candidates) > 0 && candidates[0].ID == r.Self.ID
	asked, ok := r.asked.Get(s.Service)
	if !first && (!ok || now.Sub(asked) > askedFor) {
		return
	}
	c := &coordination{Runner: r, order: s.Order, restores: r.Restores()}
	r.coordinations.Set(s.Service, c)
	r.tasks.Go(func() {
		defer r.coordinations.Delete(s.Service)
		err := c.run(ctx)
		if errors.IsAny(err, errStoreLost, errAlone) {
			r.stoodDown.Set(s.Service, time.Now())
		}
		if ctx.Err() == nil {
			r.Logger.Info("rollout_coordination_ended", "service", s.Service, "number", s.Number, "error", err)
		}
	})
}

// run coordinates the order until it is recorded, replaced by another order, or
// another node coordinates it.
func (c *coordination) run(ctx context.Context) error {
	for attempt := 1; ; attempt++ {
		err := c.begin(ctx)
		if err == nil {
			break
		}
		if errors.IsAny(err, errReplaced, errEnded) || c.superseded() || !wait.For(ctx, min(wait.FullJitter(attempt), maxStoreBackoff)) {
			return err
		}
	}
	tick := time.NewTicker(activeInterval)
	defer tick.Stop()
	var writes sync.WaitGroup
	defer writes.Wait()
	writing := make(chan struct{}, 1)
	replaced := make(chan error, 1)
	for {
		select {
		case now := <-tick.C:
			if c.superseded() {
				return errReplaced
			}
			if c.storeLost(now) {
				return errStoreLost
			}
			if done := c.step(now); done {
				return nil
			}
			if c.alone(now) {
				return errAlone
			}
		case err := <-replaced:
			return err
		case <-ctx.Done():
			return nil
		}
		select {
		case writing <- struct{}{}:
			writes.Go(func() {
				defer func() { <-writing }()
				started := time.Now()
				err := c.write(ctx)
				c.recordStore(started, err)
				if errors.IsAny(err, errReplaced, errEnded) {
					replaced <- err
				}
			})
		default: // the store has not answered yet
		}
	}
}

// recordStore records whether an access to the store that started at a time has failed.
func (c *coordination) recordStore(started time.Time, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil || errors.Is(err, ErrConflict):
		c.failing = time.Time{}
	case c.failing.IsZero():
		c.failing = started
	}
}

// storeLost reports whether another node should coordinate the order, since the store
// fails this one. There may be none that the store serves; the target version gets
// nothing then.
func (c *coordination) storeLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failing.IsZero() && now.Sub(c.failing) >= storePatience
}

// alone reports whether most servers have not reported for so long that another node
// should coordinate the order.
func (c *coordination) alone(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard.IsZero() || c.machine.Quorate() {
		c.heard = now
	}
	return now.Sub(c.heard) >= alonePatience
}

// superseded reports whether another node coordinates the order, or there is a newer
// order or a recorded end.
func (c *coordination) superseded() bool {
	s, _, _ := c.Gate.Get(c.order.Service, time.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	return s.Number != c.order.Number || c.term > 0 && s.Term > c.term
}

// begin reads the records of the order and takes the next term. A coordinator begins
// again when the store came back from a copy, which may lack what it has written, and
// keeps its machine then.
func (c *coordination) begin(ctx context.Context) error {
	restores := c.Restores()
	status, position, err := c.Store.Status(ctx, c.order.Service)
	if err != nil {
		return err
	}
	have, _, _ := c.Gate.Get(c.order.Service, time.Now())
	if have.Number != c.order.Number {
		return errReplaced
	}
	if ended(status, have) {
		c.adopt(have, status)
		return errEnded
	}
	before, progress, err := c.Store.Progress(ctx, c.order.Service)
	if err != nil {
		return err
	}
	c.mu.Lock()
	machine := c.machine
	if machine == nil {
		machine = rollout.NewMachine(c.Bounds, have, before, time.Now())
	}
	p, _ := machine.Reserve(time.Now(), c.Self.ID)
	c.mu.Unlock()
	term, err := c.Store.WriteProgress(ctx, p, progress)
	if err != nil {
		return err
	}
	if status.Phase == "" || !have.Records(status.Number) {
		r := Record{Service: c.order.Service, Target: c.order.Target, Phase: rollout.Observing, Number: c.order.Number}
		if err := c.Store.WriteStatus(ctx, r, position); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	machine.Begin(term, c.Self.ID)
	machine.Reserved(p)
	c.machine, c.term, c.restores = machine, term, restores
	c.Logger.Info("rollout_coordinated", "service", c.order.Service, "number", c.order.Number, "target", c.order.Target, "duration_ms", c.order.DurationMs, "term", term, "elapsed_ms", p.ElapsedMs, "exposed", p.Exposed)
	return nil
}

// ended reports whether a status record is the end of the order of a state.
func ended(r Record, s rollout.State) bool {
	return (r.Phase == rollout.Completed || r.Phase == rollout.RolledBack) && r.Target == s.Target && (r.Number == 0 || s.Records(r.Number))
}

// adopt publishes the recorded end of an order.
func (c *coordination) adopt(have rollout.State, r Record) {
	have.Phase, have.Recorded, have.Share, have.Servers = r.Phase, true, 0, nil
	c.apply(have, "")
}

// step advances the machine, publishes its state, and reports whether the order's end
// is recorded.
func (c *coordination) step(now time.Time) bool {
	members := c.members()
	c.mu.Lock()
	before := c.machine.State().Phase
	publish := c.machine.Step(now, members)
	state, inputs := c.machine.State(), c.machine.Inputs(now)
	c.mu.Unlock()
	if state.Phase != before {
		c.logPhase(state, inputs)
	}
	if publish {
		c.apply(state, "")
	}
	return state.Recorded
}

func (c *coordination) logPhase(s rollout.State, in rollout.Inputs) {
	c.Logger.Info("rollout_decided", "service", s.Service, "number", s.Number, "target", s.Target, "phase", string(s.Phase), "elapsed_ms", in.Elapsed.Milliseconds(),
		"reason", in.Judgement.Reason, "route", in.Judgement.Route, "busy", in.Judgement.Busy, "answers", in.Judgement.Answers, "bad", in.Judgement.BadOnes, "expected_share", in.Judgement.Expected,
		"exposed", in.Exposed, "allowed", in.Allowed, "seen", in.Seen, "calls_per_second", in.Rate, "servers", in.Targets, "target_answers", in.TargetAnswer)
}

// members returns the servers of the service.
func (c *coordination) members() []rollout.MemberView {
	var out []rollout.MemberView
	for _, m := range c.Members() {
		if m.Service == c.order.Service && m.Routable() {
			out = append(out, rollout.MemberView{Node: m.ID, Version: m.Version, Slots: m.Slots})
		}
	}
	return out
}

// write writes what is due to the store: the end of the order, or the calls that the
// target version may get next.
func (c *coordination) write(ctx context.Context) error {
	if c.Restores() != c.restores {
		return c.begin(ctx)
	}
	now := time.Now()
	c.mu.Lock()
	end := c.machine.End()
	progress, due := c.machine.Reserve(now, c.Self.ID)
	c.mu.Unlock()
	var err error
	switch {
	case end != "":
		err = c.writeEnd(ctx, end)
	case due:
		err = c.writeProgress(ctx, progress)
	}
	if errors.Is(err, errReplaced) && c.Restores() != c.restores {
		return c.begin(ctx) // the own progress record was lost, and no other is newer
	}
	return err
}

// writeEnd records the end of the order, unless it is recorded, and tells the machine
// which one is.
func (c *coordination) writeEnd(ctx context.Context, end rollout.Phase) error {
	status, position, err := c.Store.Status(ctx, c.order.Service)
	if err != nil {
		return err
	}
	c.mu.Lock()
	state := c.machine.State()
	c.mu.Unlock()
	if !ended(status, state) {
		if err := c.checkTerm(ctx); err != nil {
			return err
		}
		status = Record{Service: c.order.Service, Target: c.order.Target, Phase: end, Number: c.order.Number}
		if err := c.Store.WriteStatus(ctx, status, position); err != nil {
			if errors.Is(err, ErrConflict) {
				c.counters.conflicts.Add(1)
			}
			c.Logger.Warn("rollout_record_failed", "service", c.order.Service, "number", c.order.Number, "phase", string(end), "error", err)
			return err // the next step reads the record again
		}
		c.countEnd(end)
	}
	c.mu.Lock()
	c.machine.Recorded(status.Phase)
	elapsed := c.machine.Inputs(time.Now()).Elapsed
	c.mu.Unlock()
	c.Logger.Info("rollout_recorded", "service", c.order.Service, "number", c.order.Number, "target", c.order.Target, "phase", string(status.Phase), "elapsed_ms", elapsed.Milliseconds())
	return nil
}

func (c *coordination) countEnd(end rollout.Phase) {
	if end == rollout.Completed {
		c.counters.completed.Add(1)
		return
	}
	c.counters.rolledBack.Add(1)
}

// checkTerm returns errReplaced if another coordinator has begun since.
func (c *coordination) checkTerm(ctx context.Context) error {
	_, err := c.ownProgress(ctx)
	return err
}

// ownProgress returns the position at which the progress of the order is written next,
// or errReplaced if another coordinator has begun since.
func (c *coordination) ownProgress(ctx context.Context) (int64, error) {
	have, position, err := c.Store.Progress(ctx, c.order.Service)
	if err == nil && (have.Number != c.order.Number || have.Node != c.Self.ID) {
		err = errReplaced
	}
	return position, err
}

// writeProgress reserves calls, unless another coordinator has begun since.
func (c *coordination) writeProgress(ctx context.Context, p rollout.Progress) error {
	position, err := c.ownProgress(ctx)
	if err != nil {
		return err
	}
	if _, err := c.Store.WriteProgress(ctx, p, position); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.machine.Reserved(p)
	return nil
}
