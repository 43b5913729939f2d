package idempotency

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// maxKeys bounds the keys that a fold remembers, about 25 MB.
	maxKeys = 60000
	// maxClaims bounds the claims of one key. Each is remembered, so that a
	// record that reaches the log twice cannot win the second time.
	maxClaims = 64
)

// Record is one record of a partition's stream. A record without claims and
// settlements shows from which time on the stream covers claims.
type Record struct {
	ID          string       `json:"id"`
	Claims      []Claim      `json:"claims,omitempty"`
	Settlements []Resolution `json:"settlements,omitempty"`
}

// StateMachine holds the claims of one partition in log order. Its result depends on
// nothing but the records and their times in the log, so every fold that
// covers a key decides it alike. One goroutine applies records; any may look
// up.
type StateMachine struct {
	partition int
	retention time.Duration
	keys      *shard.Map[keyState]
	byTime    timeHeap  // keys in the order in which they are forgotten
	floor     time.Time // keys from before are not covered
	begun     bool      // floor was set by a first record
	now       time.Time // highest log time so far
	closedTo  time.Time // until then no new key without a time is accepted
}

// keyState is what the records tell of one key.
type keyState struct {
	state   State
	claimID string // the claim that holds or held the key
	holder  Holder
	attempt int
	status  int
	seen    []string // claims that can no longer win
}

// NewStateMachine returns a Fold without records.
func NewStateMachine(partition int) *StateMachine {
	return &StateMachine{partition: partition, retention: DefaultRetention, keys: shard.NewMap[keyState](0)}
}

// SetRetention sets how long the log keeps records.
func (f *StateMachine) SetRetention(d time.Duration) {
	if d > 0 {
		f.retention = d
	}
}

// Len returns the number of keys that are remembered.
func (f *StateMachine) Len() int { return f.keys.Len() }

// Apply folds the next record and returns the verdicts on its claims, in their
// order. at is the time that the log gave the record.
func (f *StateMachine) Apply(r Record, at time.Time) []Verdict {
	f.advance(at)
	for _, s := range r.Settlements {
		f.settle(s)
	}
	verdicts := make([]Verdict, 0, len(r.Claims))
	for _, c := range r.Claims {
		verdicts = append(verdicts, f.claim(c))
	}
	f.expire()
	return verdicts
}

// advance moves the log's time on. Records in the log are in time order; the
// highest time stands in case they are not.
func (f *StateMachine) advance(at time.Time) {
	if !f.begun {
		f.begun, f.floor = true, at
	}
	if at.After(f.now) {
		f.now = at
	}
}

func (f *StateMachine) claim(c Claim) (v Verdict) {
	f.update(c.Key, func(k keyState) keyState {
		if k.knows(c.ID) {
			v = k.verdict(c.ID)
			return k
		}
		if k.state == StateRunning || k.state == StateRan {
			v = k.verdict(c.ID)
			return k.withSeen(c.ID)
		}
		if why := f.refusal(c.Key, k); why != "" {
			v = Verdict{State: why}
			return k.withSeen(c.ID)
		}
		k = keyState{
			state:   StateRunning,
			claimID: c.ID,
			holder:  c.Holder,
			attempt: k.attempt + 1,
			seen:    k.withSeen(k.claimID).seen,
		}
		v = k.verdict(c.ID)
		return k
	})
	return v
}

func (f *StateMachine) settle(s Resolution) {
	f.update(s.Key, func(k keyState) keyState {
		if s.State == StateRan {
			k.state, k.status, k.claimID, k.holder = StateRan, s.Status, s.ClaimID, s.Holder
			return k
		}
		if k.claimID == s.ClaimID && k.state == StateRunning {
			k.state = StateReleased
			return k
		}
		if k.state == "" {
			k.state = StateReleased
		}
		return k.withSeen(s.ClaimID)
	})
}

// knows reports whether a claim was decided before.
func (k keyState) knows(claimID string) bool {
	return k.claimID == claimID || slices.Contains(k.seen, claimID)
}

// verdict returns the verdict on a claim that was decided before.
func (k keyState) verdict(claimID string) Verdict {
	return Verdict{
		Won:     k.claimID == claimID && k.state == StateRunning,
		State:   k.state,
		ClaimID: k.claimID,
		Holder:  k.holder,
		Attempt: k.attempt,
		Status:  k.status,
	}
}

// withSeen notes a claim that can no longer win.
func (k keyState) withSeen(claimID string) keyState {
	if claimID == "" || len(k.seen) >= maxClaims || slices.Contains(k.seen, claimID) {
		return k
	}
	k.seen = append(slices.Clip(k.seen), claimID)
	return k
}

// refusal returns why a key that nobody holds cannot be claimed, or nothing.
func (f *StateMachine) refusal(key Key, k keyState) State {
	switch {
	case len(k.seen) >= maxClaims:
		return StateExhausted
	case key.Time.IsZero():
		if k.state == "" && f.now.Before(f.closedTo) {
			return StateExhausted
		}
		return ""
	case key.Time.Before(f.floor):
		return StateUncovered
	case !f.inRange(key):
		return StateExpired
	}
	return ""
}

// inRange applies the age rule once more by the log's time, since a claim may
// reach the log long after its key was checked.
func (f *StateMachine) inRange(key Key) bool {
	age := f.now.Sub(key.Time)
	return age <= f.keepFor() && -age <= lead(f.retention)
}

// keepFor returns the age up to which the fold accepts claims of a key. It is
// higher than that of ParseKey, and lower than retention.
func (f *StateMachine) keepFor() time.Duration {
	return f.retention - margin(f.retention)/2
}

// update changes the state of a key and notes new keys for expiry.
func (f *StateMachine) update(key Key, fn func(keyState) keyState) {
	added := false
	f.keys.Update(key.Text, func(k keyState, ok bool) (keyState, bool) {
		next := fn(k)
		keep := ok || next.state != ""
		added = keep && !ok
		return next, keep
	})
	if !added {
		return
	}
	at := key.Time.Add(f.keepFor())
	if key.Time.IsZero() {
		at = f.now.Add(f.retention)
	}
	heap.Push(&f.byTime, timedKey{forget: at, key: key})
}

// expire forgets keys that no claim can name any more. Above maxKeys it also
// forgets the oldest ones, whose time is then no longer covered.
func (f *StateMachine) expire() {
	for len(f.byTime) > 0 {
		oldest := f.byTime[0]
		if !oldest.forget.Before(f.now) && len(f.byTime) <= maxKeys {
			return
		}
		heap.Pop(&f.byTime)
		f.keys.Delete(oldest.key.Text)
		if oldest.forget.Before(f.now) {
			continue
		}
		if oldest.key.Time.IsZero() {
			f.closedTo = f.now.Add(f.retention)
		} else if !oldest.key.Time.Before(f.floor) {
			f.floor = oldest.key.Time.Add(time.Millisecond)
		}
	}
}

// Lookup returns what is known of a claim without another record: its verdict
// when it was decided before, and that it loses when its key is held. Keys
// that are resent often thus cost no records.
func (f *StateMachine) Lookup(c Claim) (Verdict, bool) {
	k, ok := f.keys.Get(c.Key.Text)
	if !ok {
		return Verdict{}, false
	}
	return k.verdict(c.ID), k.knows(c.ID) || k.state == StateRunning || k.state == StateRan
}
