package idempotency

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// claimRetry is the wait before a claim without an answer is sent again.
	claimRetry = 100 * time.Millisecond
	// maxClaimTries bounds the claims of one call whose key was released or
	// given up meanwhile.
	maxClaimTries = 4
	// settleQueue bounds the settlements that wait. One that is dropped makes
	// the outcome unknown to others, never wrong.
	settleQueue = 4096
	// settleWorkers is the number of settlements on the way at once.
	settleWorkers = 32
	// settleLimit bounds the tries of one settlement.
	settleLimit = 2 * time.Minute
	// settleRetry is the wait between two tries of one settlement.
	settleRetry = 500 * time.Millisecond
)

// Kind is what the node does with a keyed call.
type Kind string

// Kinds of decision.
const (
	KindRun       Kind = "run"       // run it, then call Finish or Release
	KindJoined    Kind = "joined"    // wait for Run.Done and give Run.Answer
	KindElsewhere Kind = "elsewhere" // send it to Holder, or use WithoutHolder when that life of the node is over
	KindRan       Kind = "ran"       // it ran with Status; the answer is gone
	KindUnknown   Kind = "unknown"   // it may have run
	KindRefused   Kind = "refused"   // it is not run
)

// Decision says what to do with a keyed call.
type Decision struct {
	Kind   Kind
	Run    *Run   // for run and joined
	Holder Holder // for elsewhere
	Claim  string // for elsewhere: id of the holder's claim
	Ran    bool   // for elsewhere: the log says that the call ran
	Status int    // of the answer when it ran
	Reason Reason // for unknown and refused
}

// WithoutHolder returns the decision for the case that the holder of a claim
// elsewhere is gone: the outcome that the log tells, or unknown.
func (d Decision) WithoutHolder() Decision {
	if d.Kind != KindElsewhere {
		return d
	}
	if d.Ran {
		return Decision{Kind: KindRan, Status: d.Status, Reason: ReasonAnswerNotKept}
	}
	return Decision{Kind: KindUnknown, Reason: ReasonHolderGone}
}

// CoordinatorConfig sets up a Coordinator.
type CoordinatorConfig struct {
	Self  Holder
	Reach func(partition int) (Claimer, error) // the way to a partition's batcher
	NewID func() string                        // nil stands for random UUIDs
}

// Coordinator decides the keyed calls of one node. It claims a key before the
// call runs and settles the claim after it.
type Coordinator struct {
	cfg      CoordinatorConfig
	ledger   *Ledger
	settling chan Resolution
	unsent   atomic.Int64  // settlements that are not in the log
	sent     chan struct{} // holds a token after a settlement has left
}

// NewCoordinator returns a Coordinator; settlements are sent while Run runs.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &Coordinator{cfg: cfg, ledger: NewLedger(), settling: make(chan Resolution, settleQueue), sent: make(chan struct{}, 1)}
}

// Begin decides a keyed call. It waits for the claim until ctx ends; a claim
// that is not decided by then is given up here for good.
func (c *Coordinator) Begin(ctx context.Context, key Key, now time.Time) Decision {
	for {
		run, joined := c.ledger.Begin(key, c.cfg.NewID(), now)
		if !joined {
			return c.claim(ctx, run, now)
		}
		d, decided := c.join(ctx, run)
		if decided {
			return d
		}
	}
}

// join waits until the claim of a run that is under way is decided. It reports
// false when that claim was given up for reasons of its own call.
func (c *Coordinator) join(ctx context.Context, run *Run) (Decision, bool) {
	select {
	case <-run.decided:
	case <-ctx.Done():
		return Decision{Kind: KindUnknown, Reason: ReasonTimedOut}, true
	}
	if run.decision.Kind == KindRun {
		return Decision{Kind: KindJoined, Run: run}, true
	}
	abandoned := run.decision.Reason == ReasonGivenUp
	return run.decision, !abandoned || ctx.Err() != nil
}

// claim gets a verdict on a new run and turns it into a decision.
func (c *Coordinator) claim(ctx context.Context, run *Run, now time.Time) Decision {
	d := c.decide(ctx, run)
	if d.Kind != KindRun {
		c.ledger.Abandon(run, Answer{Outcome: outcomeOf(d), Reason: d.Reason, Status: d.Status}, now)
	}
	run.decision = d
	close(run.decided)
	return d
}

func outcomeOf(d Decision) Outcome {
	switch d.Kind {
	case KindRan:
		return OutcomeRan
	case KindRefused:
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// decide claims the key, several times when a claim that is in the way turns
// out to be over.
func (c *Coordinator) decide(ctx context.Context, run *Run) Decision {
	for range maxClaimTries {
		v, err := c.ask(ctx, Claim{ID: run.ClaimID, Key: run.Key, Holder: c.cfg.Self})
		if err != nil {
			return c.giveUp(ctx, run, err)
		}
		if v.Won && ctx.Err() != nil {
			return c.giveUp(ctx, run, ctx.Err())
		}
		if v.Won {
			return Decision{Kind: KindRun, Run: run}
		}
		if !c.clear(ctx, run, v) {
			return c.lost(v)
		}
		run.ClaimID = c.cfg.NewID()
	}
	return Decision{Kind: KindRefused, Reason: ReasonAttempts}
}

// giveUp drops a claim without a verdict, or one that came too late. This node
// is the only one that could run it and never will, so the call is not run.
func (c *Coordinator) giveUp(ctx context.Context, run *Run, err error) Decision {
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrBusy) {
		c.settle(c.settlement(run, StateReleased, 0))
	}
	if ctx.Err() != nil {
		return Decision{Kind: KindRefused, Reason: ReasonGivenUp}
	}
	return Decision{Kind: KindRefused, Reason: ReasonLogUnavailable}
}

// clear reports whether the winner's claim is over and another one may win: it
// was released, or this node gave it up and releases it now.
func (c *Coordinator) clear(ctx context.Context, run *Run, v Verdict) bool {
	if v.State == StateReleased {
		return true
	}
	return v.State == StateRunning && v.Holder == c.cfg.Self && c.Surrender(ctx, run.Key, v.ClaimID)
}

// Surrender opens a key to other claims when this node gave its own claim up.
// It reports whether it did and the release is in the log.
func (c *Coordinator) Surrender(ctx context.Context, key Key, claimID string) bool {
	if !c.ledger.Abandoned(claimID) {
		return false
	}
	to, err := c.cfg.Reach(key.Partition())
	if err != nil {
		return false
	}
	s := Resolution{ClaimID: claimID, Key: key, Holder: c.cfg.Self, State: StateReleased}
	return to.Resolve(ctx, s) == nil
}

// lost turns the verdict on a lost claim into a decision.
func (c *Coordinator) lost(v Verdict) Decision {
	switch v.State {
	case StateExpired:
		return Decision{Kind: KindRefused, Reason: ReasonKeyExpired}
	case StateExhausted:
		return Decision{Kind: KindRefused, Reason: ReasonAttempts}
	case StateRunning, StateRan:
	default:
		return Decision{Kind: KindUnknown, Reason: ReasonHistoryLost}
	}
	d := Decision{Kind: KindElsewhere, Holder: v.Holder, Claim: v.ClaimID, Ran: v.State == StateRan, Status: v.Status}
	if v.Holder.Node == c.cfg.Self.Node {
		return d.WithoutHolder() // a former life of this node, or its answer is not kept
	}
	return d
}

// ask sends a claim until there is an answer; it is the same claim each time.
// Once a try was left undecided, the claim counts as sent whatever follows.
func (c *Coordinator) ask(ctx context.Context, claim Claim) (Verdict, error) {
	sent := false
	for {
		v, err := c.askOnce(ctx, claim)
		if err == nil {
			return v, nil
		}
		definite := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBusy)
		if definite && !sent {
			return Verdict{}, err
		}
		sent = true
		if !wait.For(ctx, claimRetry) {
			return Verdict{}, errors.Wrap(ErrUndecided, err.Error())
		}
	}
}

func (c *Coordinator) askOnce(ctx context.Context, claim Claim) (Verdict, error) {
	to, err := c.cfg.Reach(claim.Key.Partition())
	if err != nil {
		return Verdict{}, err
	}
	return to.Claim(ctx, claim)
}

// Finish ends the run of a call that was sent to the backend server.
func (c *Coordinator) Finish(run *Run, a Answer, now time.Time) {
	c.ledger.Finish(run, a, now)
	if a.Outcome == OutcomeRan {
		c.settle(c.settlement(run, StateRan, a.Status))
	}
}

// Release ends the run of a call that was not sent to the backend server and
// never will be under this claim.
func (c *Coordinator) Release(run *Run, reason Reason, now time.Time) {
	c.ledger.Abandon(run, Answer{Outcome: OutcomeNotRun, Reason: reason}, now)
	c.settle(c.settlement(run, StateReleased, 0))
}

func (c *Coordinator) settlement(run *Run, s State, status int) Resolution {
	return Resolution{ClaimID: run.ClaimID, Key: run.Key, Holder: c.cfg.Self, State: s, Status: status}
}

func (c *Coordinator) settle(s Resolution) {
	c.unsent.Add(1)
	select {
	case c.settling <- s:
	default: // the queue is bounded; the outcome stays unknown to others
		c.left()
	}
}

// left counts a settlement that is in the log or was dropped.
func (c *Coordinator) left() {
	c.unsent.Add(-1)
	select {
	case c.sent <- struct{}{}:
	default:
	}
}

// Flush waits until all settlements have left. A node that shuts down calls it
// after its last run, so that others learn the outcomes.
func (c *Coordinator) Flush(ctx context.Context) error {
	for c.unsent.Load() > 0 {
		select {
		case <-c.sent:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d outcomes of keyed calls are not in the log", c.unsent.Load())
		}
	}
	return nil
}

// Tick drops what is no longer kept. It is meant to be called every second.
func (c *Coordinator) Tick(now time.Time) { c.ledger.Expire(now) }

// Run sends settlements until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range settleWorkers {
		workers.Go(func() { c.settleLoop(ctx) })
	}
	workers.Wait()
	return nil
}

func (c *Coordinator) settleLoop(ctx context.Context) {
	for {
		select {
		case s := <-c.settling:
			c.settleOne(ctx, s)
			c.left()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) settleOne(ctx context.Context, s Resolution) {
	ctx, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		to, err := c.cfg.Reach(s.Key.Partition())
		if err == nil {
			err = to.Resolve(ctx, s)
		}
		if err == nil || !wait.For(ctx, settleRetry) {
			return
		}
	}
}
