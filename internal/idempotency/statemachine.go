package idempotency

import (
	"container/heap"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// maxKeys bounds the keys of a state machine, which take about 25 MB.
	maxKeys = 60000
	// maxClaimsPerKey bounds the claims of one key. Each is recorded, so that a
	// claim that reaches the log twice cannot win the second time.
	maxClaimsPerKey = 64
)

// StateMachine decides the claims of one partition in log order. It is
// deterministic: its state depends only on the records and their log times, so
// every node that covers a key decides it alike. One goroutine applies records;
// any may call Lookup.
type StateMachine struct {
	partition           int
	retention           time.Duration
	keys                *shard.Map[keyState]
	expiry              expiryHeap // keys in the order of their expiry
	coveredFrom         time.Time  // keys that are older are not covered
	hasRecords          bool       // a record was applied, which set coveredFrom
	logTime             time.Time  // highest time of an applied record
	untimedRefusedUntil time.Time  // new keys without a time are refused until then
}

// keyState is the state of one key.
type keyState struct {
	state      State
	claimID    string // the claim that holds or held the key
	holder     Holder
	attempt    int
	status     int
	ineligible []string // claims that can no longer win
}

// NewStateMachine returns a StateMachine without records.
func NewStateMachine(partition int) *StateMachine {
	return &StateMachine{partition: partition, retention: DefaultRetention, keys: shard.NewMap[keyState](0)}
}

// SetRetention sets the log's retention.
func (m *StateMachine) SetRetention(d time.Duration) {
	if d > 0 {
		m.retention = d
	}
}

// Len returns the number of keys in the state.
func (m *StateMachine) Len() int { return m.keys.Len() }

// Apply applies the next record and returns the verdicts on its claims, in
// order. at is the record's time in the log.
func (m *StateMachine) Apply(r Record, at time.Time) []Verdict {
	m.advance(at)
	for _, resolution := range r.Resolutions {
		m.resolve(resolution)
	}
	verdicts := make([]Verdict, 0, len(r.Claims))
	for _, c := range r.Claims {
		verdicts = append(verdicts, m.claim(c))
	}
	m.expire()
	return verdicts
}

// advance sets the log time to that of a record. Records in the log are in time
// order; an earlier time is ignored in case they are not.
func (m *StateMachine) advance(at time.Time) {
	if !m.hasRecords {
		m.hasRecords, m.coveredFrom = true, at
	}
	if at.After(m.logTime) {
		m.logTime = at
	}
}

func (m *StateMachine) claim(c Claim) (v Verdict) {
	m.update(c.Key, func(k keyState) keyState {
		if k.decided(c.ID) {
			v = k.verdict(c.ID)
			return k
		}
		if k.state == StateRunning || k.state == StateRan {
			v = k.verdict(c.ID)
			return k.withIneligible(c.ID)
		}
		if refused := m.refusalState(c.Key, k); refused != "" {
			v = Verdict{State: refused}
			return k.withIneligible(c.ID)
		}
		k = keyState{
			state:      StateRunning,
			claimID:    c.ID,
			holder:     c.Holder,
			attempt:    k.attempt + 1,
			ineligible: k.withIneligible(k.claimID).ineligible,
		}
		v = k.verdict(c.ID)
		return k
	})
	return v
}

// resolve applies a resolution. An outcome is recorded even if another claim holds
// the key. A release may come before its claim, which then cannot win.
func (m *StateMachine) resolve(r Resolution) {
	m.update(r.Key, func(k keyState) keyState {
		if r.State == StateRan {
			k.state, k.status, k.claimID, k.holder = StateRan, r.Status, r.ClaimID, r.Holder
			return k
		}
		if k.claimID == r.ClaimID && k.state == StateRunning {
			k.state = StateReleased
			return k
		}
		if k.state == "" {
			k.state = StateReleased
		}
		return k.withIneligible(r.ClaimID)
	})
}

// decided reports whether a claim was decided before.
func (k keyState) decided(claimID string) bool {
	return k.claimID == claimID || slices.Contains(k.ineligible, claimID)
}

// verdict returns the verdict on a claim from the key's current state. A claim that
// won is reported as won only while it holds the key.
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

// withIneligible records a claim that can no longer win, up to maxClaimsPerKey.
func (k keyState) withIneligible(claimID string) keyState {
	if claimID == "" || len(k.ineligible) >= maxClaimsPerKey || slices.Contains(k.ineligible, claimID) {
		return k
	}
	k.ineligible = append(slices.Clip(k.ineligible), claimID)
	return k
}

// refusalState returns why a key without a holder cannot be claimed, or "".
func (m *StateMachine) refusalState(key Key, k keyState) State {
	switch {
	case len(k.ineligible) >= maxClaimsPerKey:
		return StateExhausted
	case key.Time.IsZero():
		if k.state == "" && m.logTime.Before(m.untimedRefusedUntil) {
			return StateExhausted
		}
		return ""
	case key.Time.Before(m.coveredFrom):
		return StateUncovered
	case !m.inRange(key):
		return StateExpired
	}
	return ""
}

// inRange checks the age of a key against the log time, since a claim may reach
// the log long after ParseKey accepted its key.
func (m *StateMachine) inRange(key Key) bool {
	age := m.logTime.Sub(key.Time)
	return age <= m.maxKeyAge() && -age <= maxKeyLead(m.retention)
}

// maxKeyAge returns the age up to which claims of a key are accepted. It is
// higher than that of ParseKey and lower than the retention.
func (m *StateMachine) maxKeyAge() time.Duration {
	return m.retention - retentionMargin(m.retention)/2
}

// update changes the state of a key and schedules the expiry of a new key.
func (m *StateMachine) update(key Key, fn func(keyState) keyState) {
	added := false
	m.keys.Update(key.Text, func(k keyState, ok bool) (keyState, bool) {
		next := fn(k)
		keep := ok || next.state != ""
		added = keep && !ok
		return next, keep
	})
	if !added {
		return
	}
	at := key.Time.Add(m.maxKeyAge())
	if key.Time.IsZero() {
		at = m.logTime.Add(m.retention)
	}
	heap.Push(&m.expiry, expiringKey{expiresAt: at, key: key})
}

// expire removes keys that are too old to be claimed. Above maxKeys it also removes
// the next ones to expire. Their times are then no longer covered; for keys without
// a time, new ones are refused for one retention.
func (m *StateMachine) expire() {
	for len(m.expiry) > 0 {
		oldest := m.expiry[0]
		if !oldest.expiresAt.Before(m.logTime) && len(m.expiry) <= maxKeys {
			return
		}
		heap.Pop(&m.expiry)
		m.keys.Delete(oldest.key.Text)
		if oldest.expiresAt.Before(m.logTime) {
			continue
		}
		if oldest.key.Time.IsZero() {
			m.untimedRefusedUntil = m.logTime.Add(m.retention)
		} else if !oldest.key.Time.Before(m.coveredFrom) {
			m.coveredFrom = oldest.key.Time.Add(time.Millisecond)
		}
	}
}

// Lookup returns the verdict on a claim and whether the claim needs no record
// because it was decided before or its key is held or ran. Repeats of a key thus
// cost no appends.
func (m *StateMachine) Lookup(c Claim) (Verdict, bool) {
	k, ok := m.keys.Get(c.Key.Text)
	if !ok {
		return Verdict{}, false
	}
	return k.verdict(c.ID), k.decided(c.ID) || k.state == StateRunning || k.state == StateRan
}
