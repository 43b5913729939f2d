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
	// claimRetryInterval is the wait before a claim without an answer is resent.
	claimRetryInterval = 100 * time.Millisecond
	// maxClaimAttempts bounds the claims of one call. Another claim follows when
	// the one that held the key was released.
	maxClaimAttempts = 4
	// resolutionQueueSize bounds the resolutions that wait. Dropping one makes
	// the outcome unknown to other nodes, never wrong.
	resolutionQueueSize = 4096
	// resolutionWorkers is the number of resolutions sent concurrently.
	resolutionWorkers = 32
	// resolutionTimeout bounds the attempts to send one resolution.
	resolutionTimeout = 2 * time.Minute
	// resolutionRetryInterval is the wait between two attempts to send one
	// resolution.
	resolutionRetryInterval = 500 * time.Millisecond
)

// DecisionKind is what the node does with a keyed call.
type DecisionKind string

// Kinds of decisions.
const (
	KindRun     DecisionKind = "run"       // run it, then call Finish or Release
	KindJoined  DecisionKind = "joined"    // wait for Run.Done and return Run.Answer
	KindForward DecisionKind = "elsewhere" // forward it to Holder, or use WithoutHolder if that incarnation cannot be reached
	KindRan     DecisionKind = "ran"       // it ran with Status; the answer was not kept
	KindUnknown DecisionKind = "unknown"   // it may have run
	KindRefused DecisionKind = "refused"   // it is not run
)

// Decision says how to handle a keyed call.
type Decision struct {
	Kind   DecisionKind
	Run    *Run   // for KindRun and KindJoined
	Holder Holder // for KindForward
	Claim  string // for KindForward: id of the holder's claim
	Ran    bool   // for KindForward: the log has the outcome that the call ran
	Status int    // of the answer if it ran
	Reason Reason // for KindRan, KindUnknown and KindRefused
}

// WithoutHolder returns the decision for a call whose claim holder cannot be
// reached: the outcome in the log, or unknown.
func (d Decision) WithoutHolder() Decision {
	if d.Kind != KindForward {
		return d
	}
	if d.Ran {
		return Decision{Kind: KindRan, Status: d.Status, Reason: ReasonAnswerNotKept}
	}
	return Decision{Kind: KindUnknown, Reason: ReasonHolderGone}
}

// CoordinatorConfig configures a Coordinator.
type CoordinatorConfig struct {
	Self       Holder
	ClaimerFor func(partition int) (Claimer, error) // returns a client of a partition's batcher
	NewID      func() string                        // nil means random UUIDs
}

// Coordinator decides the keyed calls of one node. It claims a key before the
// call runs and resolves the claim afterwards.
type Coordinator struct {
	cfg         CoordinatorConfig
	runs        *RunStore
	resolutions chan Resolution
	outstanding atomic.Int64  // resolutions that are neither in the log nor dropped
	progress    chan struct{} // signals that outstanding went down
}

// NewCoordinator returns a Coordinator. Resolutions are sent while Run runs.
func NewCoordinator(cfg CoordinatorConfig) *Coordinator {
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	return &Coordinator{cfg: cfg, runs: NewRunStore(), resolutions: make(chan Resolution, resolutionQueueSize), progress: make(chan struct{}, 1)}
}

// Begin decides a keyed call. It waits for the claim until ctx ends; this node
// never runs a claim that is not decided by then.
func (c *Coordinator) Begin(ctx context.Context, key Key, now time.Time) Decision {
	for {
		run, joined := c.runs.Begin(key, c.cfg.NewID(), now)
		if !joined {
			return c.claim(ctx, run, now)
		}
		d, decided := c.join(ctx, run)
		if decided {
			return d
		}
	}
}

// join waits until the claim of an existing run is decided. It reports false, so
// that the caller begins again, if the claim was given up because its own call had
// ended and ctx has not.
func (c *Coordinator) join(ctx context.Context, run *Run) (Decision, bool) {
	select {
	case <-run.decided:
	case <-ctx.Done():
		return Decision{Kind: KindUnknown, Reason: ReasonTimedOut}, true
	}
	if run.decision.Kind == KindRun {
		return Decision{Kind: KindJoined, Run: run}, true
	}
	abandoned := run.decision.Reason == ReasonClaimGivenUp
	return run.decision, !abandoned || ctx.Err() != nil
}

// claim claims the key of a new run and sets its decision.
func (c *Coordinator) claim(ctx context.Context, run *Run, now time.Time) Decision {
	d := c.decide(ctx, run)
	if d.Kind != KindRun {
		c.runs.Abandon(run, Answer{Outcome: outcomeOf(d), Reason: d.Reason, Status: d.Status}, now)
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

// decide claims the key. It claims again, up to maxClaimAttempts, when the claim
// that held the key was released.
func (c *Coordinator) decide(ctx context.Context, run *Run) Decision {
	for range maxClaimAttempts {
		v, err := c.claimWithRetry(ctx, Claim{ID: run.ClaimID, Key: run.Key, Holder: c.cfg.Self})
		if err != nil {
			return c.giveUp(ctx, run, err)
		}
		if v.Won && ctx.Err() != nil {
			return c.giveUp(ctx, run, ctx.Err())
		}
		if v.Won {
			return Decision{Kind: KindRun, Run: run}
		}
		if !c.reopened(ctx, run, v) {
			return c.lostDecision(v)
		}
		run.ClaimID = c.cfg.NewID()
	}
	return Decision{Kind: KindRefused, Reason: ReasonTooManyAttempts}
}

// giveUp abandons a claim whose verdict is missing or late, and releases it if
// it may be in the log. Only this node could run it and never will, so the call
// is not run.
func (c *Coordinator) giveUp(ctx context.Context, run *Run, err error) Decision {
	if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrBusy) {
		c.enqueueResolution(c.newResolution(run, StateReleased, 0))
	}
	if ctx.Err() != nil {
		return Decision{Kind: KindRefused, Reason: ReasonClaimGivenUp}
	}
	return Decision{Kind: KindRefused, Reason: ReasonLogUnavailable}
}

// reopened reports whether the key may be claimed again because the winning
// claim was released, or this node had given it up and releases it now.
func (c *Coordinator) reopened(ctx context.Context, run *Run, v Verdict) bool {
	if v.State == StateReleased {
		return true
	}
	return v.State == StateRunning && v.Holder == c.cfg.Self && c.ReleaseAbandoned(ctx, run.Key, v.ClaimID)
}

// ReleaseAbandoned releases a claim that this node gave up. It reports whether
// the claim was given up and its release is in the log.
func (c *Coordinator) ReleaseAbandoned(ctx context.Context, key Key, claimID string) bool {
	if !c.runs.Abandoned(claimID) {
		return false
	}
	claimer, err := c.cfg.ClaimerFor(key.Partition())
	if err != nil {
		return false
	}
	r := Resolution{ClaimID: claimID, Key: key, Holder: c.cfg.Self, State: StateReleased}
	return claimer.Resolve(ctx, r) == nil
}

// lostDecision returns the decision for a lost claim.
func (c *Coordinator) lostDecision(v Verdict) Decision {
	switch v.State {
	case StateExpired:
		return Decision{Kind: KindRefused, Reason: ReasonKeyExpired}
	case StateExhausted:
		return Decision{Kind: KindRefused, Reason: ReasonTooManyAttempts}
	case StateRunning, StateRan:
	default:
		return Decision{Kind: KindUnknown, Reason: ReasonHistoryLost}
	}
	d := Decision{Kind: KindForward, Holder: v.Holder, Claim: v.ClaimID, Ran: v.State == StateRan, Status: v.Status}
	if v.Holder.Node == c.cfg.Self.Node {
		return d.WithoutHolder() // a previous incarnation, or the answer was not kept
	}
	return d
}

// claimWithRetry sends the same claim until there is a verdict or an error that says
// that the claim is not in the log. After any other error an earlier attempt may be
// in the log, so it is then resent whatever the error.
func (c *Coordinator) claimWithRetry(ctx context.Context, claim Claim) (Verdict, error) {
	maybeAppended := false
	for {
		v, err := c.claimOnce(ctx, claim)
		if err == nil {
			return v, nil
		}
		definite := errors.Is(err, ErrUnavailable) || errors.Is(err, ErrBusy)
		if definite && !maybeAppended {
			return Verdict{}, err
		}
		maybeAppended = true
		if !wait.For(ctx, claimRetryInterval) {
			return Verdict{}, errors.Wrap(ErrUndecided, err.Error())
		}
	}
}

func (c *Coordinator) claimOnce(ctx context.Context, claim Claim) (Verdict, error) {
	claimer, err := c.cfg.ClaimerFor(claim.Key.Partition())
	if err != nil {
		return Verdict{}, err
	}
	return claimer.Claim(ctx, claim)
}

// Finish ends the run of a call that was sent to the backend server.
func (c *Coordinator) Finish(run *Run, a Answer, now time.Time) {
	c.runs.Finish(run, a, now)
	if a.Outcome == OutcomeRan {
		c.enqueueResolution(c.newResolution(run, StateRan, a.Status))
	}
}

// Release ends the run of a call that was not sent to the backend server and
// never will be sent under this claim.
func (c *Coordinator) Release(run *Run, reason Reason, now time.Time) {
	c.runs.Abandon(run, Answer{Outcome: OutcomeNotRun, Reason: reason}, now)
	c.enqueueResolution(c.newResolution(run, StateReleased, 0))
}

func (c *Coordinator) newResolution(run *Run, state State, status int) Resolution {
	return Resolution{ClaimID: run.ClaimID, Key: run.Key, Holder: c.cfg.Self, State: state, Status: status}
}

func (c *Coordinator) enqueueResolution(r Resolution) {
	c.outstanding.Add(1)
	select {
	case c.resolutions <- r:
	default: // the queue is full; the outcome stays unknown to other nodes
		c.resolutionDone()
	}
}

// resolutionDone counts a resolution that is in the log or was dropped.
func (c *Coordinator) resolutionDone() {
	c.outstanding.Add(-1)
	select {
	case c.progress <- struct{}{}:
	default:
	}
}

// Flush waits until no resolution is outstanding. A node that shuts down calls
// it after its last run, so that other nodes learn the outcomes.
func (c *Coordinator) Flush(ctx context.Context) error {
	for c.outstanding.Load() > 0 {
		select {
		case <-c.progress:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d outcomes of keyed calls are not in the log", c.outstanding.Load())
		}
	}
	return nil
}

// Tick removes expired answers. It should be called every second.
func (c *Coordinator) Tick(now time.Time) { c.runs.Expire(now) }

// Run sends resolutions until ctx ends.
func (c *Coordinator) Run(ctx context.Context) error {
	var workers sync.WaitGroup
	for range resolutionWorkers {
		workers.Go(func() { c.resolutionLoop(ctx) })
	}
	workers.Wait()
	return nil
}

func (c *Coordinator) resolutionLoop(ctx context.Context) {
	for {
		select {
		case r := <-c.resolutions:
			c.sendResolution(ctx, r)
			c.resolutionDone()
		case <-ctx.Done():
			return
		}
	}
}

func (c *Coordinator) sendResolution(ctx context.Context, r Resolution) {
	ctx, cancel := context.WithTimeout(ctx, resolutionTimeout)
	defer cancel()
	for {
		claimer, err := c.cfg.ClaimerFor(r.Key.Partition())
		if err == nil {
			err = claimer.Resolve(ctx, r)
		}
		if err == nil || !wait.For(ctx, resolutionRetryInterval) {
			return
		}
	}
}
