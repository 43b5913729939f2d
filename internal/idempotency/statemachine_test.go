package idempotency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var logStart = time.UnixMilli(1_700_000_000_000)

// recordStep is one record with one claim or resolution.
type recordStep struct {
	at    time.Duration // since the first record
	op    string        // claim, ran or release
	claim string
	want  string // state in the claim's verdict, or "won"
}

// Guards the rules by which the order of records decides which claim of a key
// wins.
func TestStateMachineDecidesByLogOrder(t *testing.T) {
	cases := []struct {
		name    string
		created time.Duration // time of the key
		steps   []recordStep
	}{
		{"the first claim wins", 0, []recordStep{{0, "claim", "1", "won"}, {0, "claim", "2", "running"}, {0, "claim", "1", "won"}}},
		{"a release permits the next attempt", 0, []recordStep{{0, "claim", "1", "won"}, {0, "release", "1", ""}, {0, "claim", "2", "won"}}},
		{"a key that ran cannot be claimed", 0, []recordStep{{0, "claim", "1", "won"}, {0, "ran", "1", ""}, {0, "release", "1", ""}, {0, "claim", "2", "ran"}}},
		{"a released claim that is appended twice does not win again", 0, []recordStep{
			{0, "claim", "1", "won"}, {0, "release", "1", ""}, {0, "claim", "1", "released"}, {0, "claim", "2", "won"}, {0, "release", "2", ""}, {0, "claim", "1", "released"}}},
		{"a lost claim that is appended twice does not win", 0, []recordStep{
			{0, "claim", "1", "won"}, {0, "claim", "2", "running"}, {0, "release", "1", ""}, {0, "claim", "2", "released"}}},
		{"a claim after its release does not win", 0, []recordStep{{0, "release", "1", ""}, {0, "claim", "1", "released"}, {0, "claim", "2", "won"}}},
		{"only the holder's release permits another claim", 0, []recordStep{{0, "claim", "1", "won"}, {0, "release", "2", ""}, {0, "claim", "3", "running"}}},
		{"a key from before the first record is not covered", -time.Second, []recordStep{{0, "claim", "1", "uncovered"}}},
		{"an outcome is returned even if the key is not covered", -time.Second, []recordStep{{0, "ran", "1", ""}, {0, "claim", "2", "ran"}}},
		{"a claim that reaches the log late is refused", 0, []recordStep{{58 * time.Minute, "claim", "1", "expired"}}},
		{"a key from the future is refused", 6 * time.Minute, []recordStep{{0, "claim", "1", "expired"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			m := NewStateMachine(0)
			m.Apply(Record{ID: "open"}, logStart)
			key := Key{Text: "k", Time: logStart.Add(tc.created)}
			for i, s := range tc.steps {
				assert.Equal(t, applyStep(m, key, s), s.want, "step %d", i)
			}
		})
	}
}

func applyStep(m *StateMachine, key Key, s recordStep) string {
	r := Record{ID: s.op + s.claim}
	switch s.op {
	case "claim":
		r.Claims = []Claim{{ID: s.claim, Key: key}}
	case "ran":
		r.Resolutions = []Resolution{{ClaimID: s.claim, Key: key, State: StateRan}}
	case "release":
		r.Resolutions = []Resolution{{ClaimID: s.claim, Key: key, State: StateReleased}}
	}
	verdicts := m.Apply(r, logStart.Add(s.at))
	switch {
	case len(verdicts) == 0:
		return ""
	case verdicts[0].Won:
		return "won"
	}
	return string(verdicts[0].State)
}

// Guards against memory use that grows without bound with the claims of a key.
func TestStateMachineBoundsClaimsOfAKey(t *testing.T) {
	m, key := NewStateMachine(0), Key{Text: "k", Time: logStart}
	last := ""
	for i := range 2 * maxClaimsPerKey {
		id := fmt.Sprint(i)
		last = applyStep(m, key, recordStep{op: "claim", claim: id})
		applyStep(m, key, recordStep{op: "release", claim: id})
	}
	assert.Equal(t, last, string(StateExhausted))
}

// Guards against memory use that grows without bound with the keys, and against
// a second run of a key that was removed for that reason.
func TestStateMachineBoundsKeys(t *testing.T) {
	for _, untimed := range []bool{false, true} {
		m := NewStateMachine(0)
		m.Apply(Record{ID: "open"}, logStart)
		key := func(i int) Key {
			k := Key{Text: fmt.Sprint(i), Time: logStart.Add(time.Duration(i) * time.Millisecond)}
			if untimed {
				k.Time = time.Time{}
			}
			return k
		}
		for i := range maxKeys + 10 {
			m.Apply(Record{ID: "r", Claims: []Claim{{ID: fmt.Sprint(i), Key: key(i)}}}, logStart.Add(time.Minute))
		}
		assert.Equal(t, m.Len(), maxKeys)
		got := applyStep(m, key(0), recordStep{op: "claim", claim: "again"})
		assert.Assert(t, got == string(StateUncovered) || got == string(StateExhausted), got)
		m.Apply(Record{ID: "late"}, logStart.Add(2*time.Hour))
		assert.Equal(t, m.Len(), 0)
	}
}

// Guards the format and the age limits of accepted keys.
func TestParseKey(t *testing.T) {
	now := time.UnixMilli(0x018b_cfe5_6800) // time in the keys below
	const text = "018BCFE5-6800-7000-8000-000000000001"
	cases := []struct {
		name, text string
		rule       KeyRule
		at         time.Time
		want       Reason
	}{
		{"UUIDv7", text, KeyRule{}, now, ""},
		{"UUIDv4", "6ba7b810-9dad-41d1-80b4-00c04fd430c8", KeyRule{}, now, ReasonKeyMalformed},
		{"other text", "order 7", KeyRule{}, now, ReasonKeyMalformed},
		{"other text allowed", "order 7", KeyRule{AnyFormat: true}, now, ""},
		{"empty", "", KeyRule{AnyFormat: true}, now, ReasonKeyMalformed},
		{"oldest accepted age", text, KeyRule{Retention: time.Hour}, now.Add(54 * time.Minute), ""},
		{"too old", text, KeyRule{Retention: time.Hour}, now.Add(54*time.Minute + time.Second), ReasonKeyExpired},
		{"too old by the minimum margin", text, KeyRule{Retention: 5 * time.Minute}, now.Add(241 * time.Second), ReasonKeyExpired},
		{"in the future", text, KeyRule{Retention: 24 * time.Hour}, now.Add(-5*time.Minute - time.Second), ReasonKeyInFuture},
		{"in the future by more than half a margin", text, KeyRule{Retention: 10 * time.Minute}, now.Add(-31 * time.Second), ReasonKeyInFuture},
	}
	for _, tc := range cases {
		k, refusal := ParseKey(tc.text, tc.rule, tc.at)
		got := Reason("")
		if refusal != nil {
			got = refusal.Reason
		}
		assert.Equal(t, got, tc.want, tc.name)
		if got == "" && !tc.rule.AnyFormat {
			assert.Assert(t, k.Time.Equal(now))
		}
	}
}

// Guards the bounds on kept answers: size of one, total size and age.
func TestRunStoreBoundsKeptAnswers(t *testing.T) {
	l := NewRunStore()
	finish := func(i, size int) *Run {
		r, _ := l.Begin(Key{Text: fmt.Sprint(i)}, "c", logStart)
		l.Finish(r, Answer{Outcome: OutcomeRan, Body: make([]byte, size), BodyComplete: true}, logStart)
		return r
	}
	assert.Assert(t, finish(0, MaxAnswerBytes).Answer().BodyComplete)
	assert.Assert(t, !finish(1, MaxAnswerBytes+1).Answer().BodyComplete)
	for i := range maxKeptBytes / MaxAnswerBytes {
		finish(2+i, MaxAnswerBytes)
	}
	assert.Equal(t, l.keptBytes.Load(), int64(maxKeptBytes))
	l.Expire(logStart.Add(AnswerRetention))
	_, joined := l.Begin(Key{Text: "0"}, "c", logStart.Add(AnswerRetention))
	assert.Assert(t, joined)
	_, joined = l.Begin(Key{Text: "0"}, "c", logStart.Add(AnswerRetention+time.Second))
	assert.Assert(t, !joined)
	l.Expire(logStart.Add(AnswerRetention + time.Second))
	assert.Equal(t, l.Len(), 1) // the run that began last
	assert.Equal(t, l.keptBytes.Load(), int64(0))
}
