package idempotency

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// KeepFor is how long an answer is kept for repeats of its call.
	KeepFor = 10 * time.Minute
	// MaxAnswerBytes is the largest body that is kept.
	MaxAnswerBytes = 64 << 10
	// maxKeptBytes bounds all kept bodies, as a part of the node's 128 MB.
	maxKeptBytes = 16 << 20
	// maxKept bounds the kept runs and the given-up claims.
	maxKept = 20000
)

// Outcome says whether a call ran.
type Outcome string

// Outcomes.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// Answer is the end of a run, kept for repeats of the call.
type Answer struct {
	Outcome Outcome
	Reason  Reason // unless it ran
	Status  int
	Header  map[string][]string
	Body    []byte
	Whole   bool // whether Body is the whole body
}

// Run is one local run of a key: its claim, the call and the kept answer.
type Run struct {
	Key     Key
	ClaimID string

	decided  chan struct{} // closed when decision is set
	decision Decision      // of the claim, for calls that joined before it
	done     chan struct{} // closed when answer is set
	answer   Answer
	doneAt   time.Time // zero while it runs; guarded by the ledger's shard
}

// Done returns a channel that is closed when the run has ended.
func (r *Run) Done() <-chan struct{} { return r.done }

// Wait returns the end of the run, or an unknown outcome when ctx ends first.
func (r *Run) Wait(ctx context.Context) Answer {
	select {
	case <-r.done:
		return r.answer
	case <-ctx.Done():
		return Answer{Outcome: OutcomeUnknown, Reason: ReasonTimedOut}
	}
}

// Answer returns the end of the run. It is valid after Done.
func (r *Run) Answer() Answer { return r.answer }

// Ledger holds the local runs and the kept answers, sharded by key, and the
// claims that were given up, sharded by claim id.
type Ledger struct {
	runs      *shard.Map[*Run]
	abandoned *shard.Map[time.Time]
	kept      atomic.Int64 // runs that ended and are kept
	keptBytes atomic.Int64
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger {
	return &Ledger{runs: shard.NewMap[*Run](0), abandoned: shard.NewMap[time.Time](0)}
}

// Begin returns the run of a key, and whether it was there before. A new run
// gets the claim id.
func (l *Ledger) Begin(key Key, claimID string, now time.Time) (run *Run, joined bool) {
	l.runs.Update(key.Text, func(old *Run, ok bool) (*Run, bool) {
		if ok && !old.expired(now) {
			run, joined = old, true
			return old, true
		}
		if ok {
			l.forget(old)
		}
		run = &Run{Key: key, ClaimID: claimID, decided: make(chan struct{}), done: make(chan struct{})}
		return run, true
	})
	return run, joined
}

func (r *Run) expired(now time.Time) bool {
	return !r.doneAt.IsZero() && now.Sub(r.doneAt) > KeepFor
}

// forget takes a kept run off the counts.
func (l *Ledger) forget(r *Run) {
	l.kept.Add(-1)
	l.keptBytes.Add(-int64(len(r.answer.Body)))
}

// Finish ends a run and keeps its answer for repeats, as far as the bounds
// allow. Without the kept answer the log still tells repeats that it ran.
func (l *Ledger) Finish(r *Run, a Answer, now time.Time) {
	if len(a.Body) > MaxAnswerBytes || l.keptBytes.Load()+int64(len(a.Body)) > maxKeptBytes {
		a.Body, a.Whole = nil, false
	}
	r.answer = a
	keep := l.kept.Load() < maxKept
	l.runs.Update(r.Key.Text, func(present *Run, ok bool) (*Run, bool) {
		if present != r || !keep {
			return present, ok && present != r
		}
		r.doneAt = now
		l.kept.Add(1)
		l.keptBytes.Add(int64(len(a.Body)))
		return r, true
	})
	close(r.done)
}

// Abandon ends a run whose claim is not run here, now or later. A repeat of
// the call starts a new run with a new claim.
func (l *Ledger) Abandon(r *Run, a Answer, now time.Time) {
	if l.abandoned.Len() < maxKept {
		l.abandoned.Set(r.ClaimID, now)
	}
	r.answer = a
	l.runs.Update(r.Key.Text, func(present *Run, ok bool) (*Run, bool) {
		return present, ok && present != r
	})
	close(r.done)
}

// Abandoned reports whether a claim was given up here.
func (l *Ledger) Abandoned(claimID string) bool {
	_, ok := l.abandoned.Get(claimID)
	return ok
}

// Expire drops what is older than KeepFor.
func (l *Ledger) Expire(now time.Time) {
	l.runs.DeleteFunc(func(_ string, r *Run) bool {
		if !r.expired(now) {
			return false
		}
		l.forget(r)
		return true
	})
	l.abandoned.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) > KeepFor })
}

// Len returns the runs that are under way or kept.
func (l *Ledger) Len() int { return l.runs.Len() }
