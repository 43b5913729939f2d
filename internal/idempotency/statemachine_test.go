package idempotency

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var logStart = time.UnixMilli(1_700_000_000_000)

// foldStep is one record with one claim or settlement, and the state that a
// claim is answered with; "won" stands for a won claim.
type foldStep struct {
	at    time.Duration // since the fold's first record
	op    string        // claim, ran or release
	claim string
	want  string
}

// Guards the rules by which the order of records decides a key.
func TestFoldDecidesByOrder(t *testing.T) {
	cases := []struct {
		name string
		made time.Duration // time of the key
		all  []foldStep
	}{
		{"the first claim wins", 0, []foldStep{{0, "claim", "1", "won"}, {0, "claim", "2", "running"}, {0, "claim", "1", "won"}}},
		{"a release opens the next attempt", 0, []foldStep{{0, "claim", "1", "won"}, {0, "release", "1", ""}, {0, "claim", "2", "won"}}},
		{"what ran stays closed", 0, []foldStep{{0, "claim", "1", "won"}, {0, "ran", "1", ""}, {0, "release", "1", ""}, {0, "claim", "2", "ran"}}},
		{"a released claim that comes twice does not win again", 0, []foldStep{
			{0, "claim", "1", "won"}, {0, "release", "1", ""}, {0, "claim", "1", "released"}, {0, "claim", "2", "won"}, {0, "release", "2", ""}, {0, "claim", "1", "released"}}},
		{"a lost claim that comes twice does not win", 0, []foldStep{
			{0, "claim", "1", "won"}, {0, "claim", "2", "running"}, {0, "release", "1", ""}, {0, "claim", "2", "released"}}},
		{"a claim after its release does not win", 0, []foldStep{{0, "release", "1", ""}, {0, "claim", "1", "released"}, {0, "claim", "2", "won"}}},
		{"only the holder's release opens the key", 0, []foldStep{{0, "claim", "1", "won"}, {0, "release", "2", ""}, {0, "claim", "3", "running"}}},
		{"a key from before the first record is not covered", -time.Second, []foldStep{{0, "claim", "1", "uncovered"}}},
		{"an outcome shows even when the key is not covered", -time.Second, []foldStep{{0, "ran", "1", ""}, {0, "claim", "2", "ran"}}},
		{"a claim that reaches the log late is refused", 0, []foldStep{{58 * time.Minute, "claim", "1", "expired"}}},
		{"a key from the future is refused", 6 * time.Minute, []foldStep{{0, "claim", "1", "expired"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := NewStateMachine(0)
			f.Apply(Record{ID: "open"}, logStart)
			key := Key{Text: "k", Time: logStart.Add(tc.made)}
			for i, s := range tc.all {
				assert.Equal(t, applyStep(f, key, s), s.want, "step %d", i)
			}
		})
	}
}

func applyStep(f *StateMachine, key Key, s foldStep) string {
	r := Record{ID: s.op + s.claim}
	switch s.op {
	case "claim":
		r.Claims = []Claim{{ID: s.claim, Key: key}}
	case "ran":
		r.Settlements = []Resolution{{ClaimID: s.claim, Key: key, State: StateRan}}
	case "release":
		r.Settlements = []Resolution{{ClaimID: s.claim, Key: key, State: StateReleased}}
	}
	verdicts := f.Apply(r, logStart.Add(s.at))
	switch {
	case len(verdicts) == 0:
		return ""
	case verdicts[0].Won:
		return "won"
	}
	return string(verdicts[0].State)
}

// Guards against memory that grows with the claims of one key.
func TestFoldBoundsClaimsOfAKey(t *testing.T) {
	f, key := NewStateMachine(0), Key{Text: "k", Time: logStart}
	last := ""
	for i := range 2 * maxClaims {
		id := fmt.Sprint(i)
		last = applyStep(f, key, foldStep{op: "claim", claim: id})
		applyStep(f, key, foldStep{op: "release", claim: id})
	}
	assert.Equal(t, last, string(StateExhausted))
}

// Guards against memory that grows with the keys, and against a second run of
// a key that was forgotten for that reason.
func TestFoldBoundsKeys(t *testing.T) {
	for _, anyForm := range []bool{false, true} {
		f := NewStateMachine(0)
		f.Apply(Record{ID: "open"}, logStart)
		key := func(i int) Key {
			k := Key{Text: fmt.Sprint(i), Time: logStart.Add(time.Duration(i) * time.Millisecond)}
			if anyForm {
				k.Time = time.Time{}
			}
			return k
		}
		for i := range maxKeys + 10 {
			f.Apply(Record{ID: "r", Claims: []Claim{{ID: fmt.Sprint(i), Key: key(i)}}}, logStart.Add(time.Minute))
		}
		assert.Equal(t, f.Len(), maxKeys)
		got := applyStep(f, key(0), foldStep{op: "claim", claim: "again"})
		assert.Assert(t, got == string(StateUncovered) || got == string(StateExhausted), got)
		f.Apply(Record{ID: "late"}, logStart.Add(2*time.Hour))
		assert.Equal(t, f.Len(), 0)
	}
}

// Guards the table of accepted keys.
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
		{"other text allowed", "order 7", KeyRule{Any: true}, now, ""},
		{"empty", "", KeyRule{Any: true}, now, ReasonKeyMalformed},
		{"just young enough", text, KeyRule{Retention: time.Hour}, now.Add(54 * time.Minute), ""},
		{"too old", text, KeyRule{Retention: time.Hour}, now.Add(54*time.Minute + time.Second), ReasonKeyExpired},
		{"too old by the least margin", text, KeyRule{Retention: 5 * time.Minute}, now.Add(241 * time.Second), ReasonKeyExpired},
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
		if got == "" && !tc.rule.Any {
			assert.Assert(t, k.Time.Equal(now))
		}
	}
}

// Guards the bounds on kept answers: size of one, size of all, and time.
func TestLedgerBoundsKeptAnswers(t *testing.T) {
	l := NewLedger()
	finish := func(i, size int) *Run {
		r, _ := l.Begin(Key{Text: fmt.Sprint(i)}, "c", logStart)
		l.Finish(r, Answer{Outcome: OutcomeRan, Body: make([]byte, size), Whole: true}, logStart)
		return r
	}
	assert.Assert(t, finish(0, MaxAnswerBytes).Answer().Whole)
	assert.Assert(t, !finish(1, MaxAnswerBytes+1).Answer().Whole)
	for i := range maxKeptBytes / MaxAnswerBytes {
		finish(2+i, MaxAnswerBytes)
	}
	assert.Equal(t, l.keptBytes.Load(), int64(maxKeptBytes))
	l.Expire(logStart.Add(KeepFor))
	_, joined := l.Begin(Key{Text: "0"}, "c", logStart.Add(KeepFor))
	assert.Assert(t, joined)
	_, joined = l.Begin(Key{Text: "0"}, "c", logStart.Add(KeepFor+time.Second))
	assert.Assert(t, !joined)
	l.Expire(logStart.Add(KeepFor + time.Second))
	assert.Equal(t, l.Len(), 1) // the run that began last
	assert.Equal(t, l.keptBytes.Load(), int64(0))
}
