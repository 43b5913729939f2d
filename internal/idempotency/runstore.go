package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// AnswerRetention is how long an answer is kept for repeats of its call.
	AnswerRetention = 10 * time.Minute
	// MaxAnswerBytes is the largest body that is kept.
	MaxAnswerBytes = 64 << 10
	// maxKeptBytes bounds the total of kept bodies, as a share of the node's
	// 128 MB of memory.
	maxKeptBytes = 16 << 20
	// maxKeptRuns bounds the kept runs and, separately, the abandoned claims.
	maxKeptRuns = 20000
)

// Outcome says whether a call ran.
type Outcome string

// Outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the result of a run, kept for repeats of the call.
type Answer struct {
	Outcome      Outcome
	Reason       Reason // why it was not run, its outcome is unknown or Body is not kept
	Status       int
	Header       map[string][]string
	Body         []byte
	BodyComplete bool // whether Body is complete; it is not kept otherwise
}

// Run is the run of a key on this node: its claim, its decision and its answer.
type Run struct {
	Key     Key
	ClaimID string

	decided  chan struct{} // closed when decision is set
	decision Decision      // of the claim, for calls that joined before it
	done     chan struct{} // closed when answer is set
	answer   Answer
	doneAt   time.Time // zero while it runs; guarded by the shard's lock in RunStore
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Wait returns the answer of the run, or an unknown outcome if ctx ends first.
func (r *Run) Wait(ctx context.Context) Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return Answer{Outcome: OutcomeUnknown, Reason: ReasonTimedOut}
	}
}

// Answer returns the answer of the run. It is valid after Done is closed.
func (r *Run) Answer() Answer { return r.answer }

// RunStore holds this node's runs and their kept answers, sharded by key, and
// the claims that were given up, sharded by claim id.
type RunStore struct {
	runs      *shard.Map[*Run]
	abandoned *shard.Map[time.Time]
	kept      atomic.Int64 // ended runs whose answers are kept
	keptBytes atomic.Int64 // total length of their bodies
}

// NewRunStore returns an empty RunStore.
func NewRunStore() *RunStore {
	return &RunStore{runs: shard.NewMap[*Run](0), abandoned: shard.NewMap[time.Time](0)}
}

// Begin returns the run of a key, and whether the run existed before. If not, it
// starts a run with the given claim id.
func (s *RunStore) Begin(key Key, claimID string, now time.Time) (run *Run, joined bool) {
	s.runs.Update(key.Text, func(old *Run, ok bool) (*Run, bool) {
		if ok && !old.expired(now) {
			run, joined = old, true
			return old, true
		}
		if ok {
			s.uncount(old)
		}
		run = &Run{Key: key, ClaimID: claimID, decided: make(chan struct{}), done: make(chan struct{})}
		return run, true
	})
	return run, joined
}

func (r *Run) expired(now time.Time) bool {
	return !r.doneAt.IsZero() && now.Sub(r.doneAt) > AnswerRetention
}

// uncount subtracts a kept run from the counts.
func (s *RunStore) uncount(r *Run) {
	s.kept.Add(-1)
	s.keptBytes.Add(-int64(len(r.answer.Body)))
}

// Finish ends a run and keeps its answer for repeats, within the bounds.
// Without a kept answer, repeats still learn from the log that it ran.
func (s *RunStore) Finish(r *Run, a Answer, now time.Time) {
	if len(a.Body) > MaxAnswerBytes || s.keptBytes.Load()+int64(len(a.Body)) > maxKeptBytes {
		a.Body, a.BodyComplete = nil, false
	}
	r.answer = a
	keep := s.kept.Load() < maxKeptRuns
	s.runs.Update(r.Key.Text, func(current *Run, ok bool) (*Run, bool) {
		if current != r || !keep {
			return current, ok && current != r
		}
		r.doneAt = now
		s.kept.Add(1)
		s.keptBytes.Add(int64(len(a.Body)))
		return r, true
	})
	close(r.done)
}

// Abandon ends a run whose claim this node will never run. A repeat of the call
// starts a new run with a new claim.
func (s *RunStore) Abandon(r *Run, a Answer, now time.Time) {
	if s.abandoned.Len() < maxKeptRuns {
		s.abandoned.Set(r.ClaimID, now)
	}
	r.answer = a
	s.runs.Update(r.Key.Text, func(current *Run, ok bool) (*Run, bool) {
		return current, ok && current != r
	})
	close(r.done)
}

// Abandoned reports whether this node gave up a claim.
func (s *RunStore) Abandoned(claimID string) bool {
	_, ok := s.abandoned.Get(claimID)
	return ok
}

// Expire removes answers and abandoned claims older than AnswerRetention.
func (s *RunStore) Expire(now time.Time) {
	s.runs.DeleteFunc(func(_ string, r *Run) bool {
		if !r.expired(now) {
			return false
		}
		s.uncount(r)
		return true
	})
	s.abandoned.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) > AnswerRetention })
}

// Len returns the number of runs that are in progress or kept.
func (s *RunStore) Len() int { return s.runs.Len() }
