package retry

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestDecide guards against a rule of Decide whose condition or verdict is wrong.
// Each case changes an attempt that is retried so that one rule applies.
func TestDecide(t *testing.T) {
	cases := []struct {
		name string
		edit func(*Attempt)
		want Decision
	}{
		{"idempotent, answer lost", func(a *Attempt) {}, Decision{Verdict: TryNext, Rule: "retry"}},
		{"idempotent, 500", func(a *Attempt) { a.Outcome, a.Status = Ran, 500 }, Decision{Verdict: TryNext, Rule: "retry"}},
		{"idempotent, refused", func(a *Attempt) { a.Outcome, a.Reason, a.Status = NotRun, "overloaded", 503 }, Decision{Verdict: TryNext, Rule: "retry", Unbudgeted: true}},
		{"not idempotent, refused", func(a *Attempt) { a.Idempotent, a.Outcome, a.Reason = false, NotRun, "draining" }, Decision{Verdict: TryNext, Rule: "retry", Unbudgeted: true}},
		{"not idempotent, answer lost", func(a *Attempt) { a.Idempotent = false }, Decision{Verdict: PassOn, Rule: "may_have_run"}},
		{"not idempotent, 503 of the server", func(a *Attempt) { a.Idempotent, a.Outcome, a.Status = false, Ran, 503 }, Decision{Verdict: PassOn, Rule: "may_have_run"}},
		{"404 of the server", func(a *Attempt) { a.Outcome, a.Status = Ran, 404 }, Decision{Verdict: PassOn, Rule: "success"}},
		{"501 of the server", func(a *Attempt) { a.Outcome, a.Status = Ran, 501 }, Decision{Verdict: PassOn, Rule: "final_status"}},
		{"502 of the server", func(a *Attempt) { a.Outcome, a.Status = Ran, 502 }, Decision{Verdict: PassOn, Rule: "final_status"}},
		{"canceled by the caller", func(a *Attempt) { a.Canceled = true }, Decision{Verdict: PassOn, Rule: "caller_gone"}},
		{"part of the answer sent to the caller", func(a *Attempt) { a.Streaming = true }, Decision{Verdict: PassOn, Rule: "answer_begun"}},
		{"retries exhausted at the next node", func(a *Attempt) { a.Outcome, a.Reason, a.Status = Ran, ReasonExhausted, 503 }, Decision{Verdict: PassOn, Rule: "retried_below"}},
		{"answer passed through two nodes", func(a *Attempt) { a.AnswerHops = 2 }, Decision{Verdict: PassOn, Rule: "failed_far_below"}},
		{"quarantined", func(a *Attempt) { a.Outcome, a.Reason = NotRun, "quarantined" }, Decision{Verdict: PassOn, Rule: "final_reason"}},
		{"body not buffered", func(a *Attempt) { a.BodyLost = true }, Decision{Verdict: GiveUp, Rule: "body_lost"}},
		{"tries used up", func(a *Attempt) { a.Tries = 3 }, Decision{Verdict: GiveUp, Rule: "tries_used"}},
		{"refused too often", func(a *Attempt) { a.Refusals = 4 }, Decision{Verdict: GiveUp, Rule: "refusals_used"}},
		{"no time to spare", func(a *Attempt) { a.Remaining = a.Needed }, Decision{Verdict: GiveUp, Rule: "no_time_left"}},
		{"deadline over", func(a *Attempt) { a.Remaining, a.Needed = -time.Second, 0 }, Decision{Verdict: GiveUp, Rule: "no_time_left"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := Attempt{Idempotent: true, Outcome: Unknown, AnswerHops: 1, Tries: 1, MaxRetries: 2,
				Remaining: time.Second, Needed: 10 * time.Millisecond}
			c.edit(&a)
			assert.Equal(t, Decide(a), c.want)
		})
	}
}

// TestBudgetLimitsRetries guards against retry amplification: under any schedule
// of calls and pauses, retries and hedges stay within their share of the calls.
func TestBudgetLimitsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudgets()
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		share := float64(percent) / 100
		now := start
		calls, spent := 0, 0
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "ms")) * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(t, "calls") {
				b.AddCall("books", share, now)
				calls++
			}
			if rapid.Bool().Draw(t, "fails") && b.Spend("books", share, now) {
				spent++
			}
			assert.Assert(t, 100*spent <= percent*calls, "%d spent after %d calls at %d%%", spent, calls, percent)
		}
	})
}

// TestLowTrafficServiceRetries guards against a service with few calls that gets
// no retries: one call in ten may be retried however far apart the calls are, also
// after a period in which all failed.
func TestLowTrafficServiceRetries(t *testing.T) {
	b := NewBudgets()
	now := start
	retryAllowedAfter := func(calls int) bool {
		for range calls {
			now = now.Add(time.Hour)
			b.AddCall("books", 0.1, now)
		}
		return b.Spend("books", 0.1, now)
	}
	for range 5 {
		assert.Assert(t, !retryAllowedAfter(9))
		assert.Assert(t, retryAllowedAfter(1))
	}
	for range 100 {
		retryAllowedAfter(1)
	}
	assert.Assert(t, retryAllowedAfter(25), "no retry after the failure ended")
}

// TestSavedTokensExpire guards against a retry storm from tokens saved during a
// healthy period: after 10 minutes without calls only one token is left.
func TestSavedTokensExpire(t *testing.T) {
	b := NewBudgets()
	for range 1000 {
		b.AddCall("books", 0.1, start)
	}
	assert.Equal(t, b.Available("books", start), 100.0)
	later := start.Add(10 * time.Minute)
	assert.Assert(t, b.Available("books", later) < 1.001)
	assert.Assert(t, b.Spend("books", 0.1, later))
	assert.Assert(t, !b.Spend("books", 0.1, later))
}

// TestHedgeAfter guards against hedges on too few samples, on old samples, or while
// most servers are slow and hedges only add load.
func TestHedgeAfter(t *testing.T) {
	l := NewLatencies()
	ms := time.Millisecond
	now := start
	feed := func(n int, d func(i int) time.Duration) {
		for i := range n {
			now = now.Add(10 * ms)
			l.Observe("r", d(i), now)
		}
	}
	oneInTen := func(i int) time.Duration {
		if i%10 == 0 {
			return 100 * ms
		}
		return 10 * ms
	}
	feed(19, oneInTen)
	_, ok := l.HedgeAfter("r", now)
	assert.Assert(t, !ok, "hedged after 19 samples")
	feed(500, oneInTen)
	after, ok := l.HedgeAfter("r", now)
	assert.Assert(t, ok && after > 90*ms && after < 110*ms, "%v", after)
	feed(30, func(int) time.Duration { return 500 * ms })
	_, ok = l.HedgeAfter("r", now)
	assert.Assert(t, !ok, "hedged while most servers are slow")
	feed(30, oneInTen)
	_, ok = l.HedgeAfter("r", now)
	assert.Assert(t, ok, "not hedged after the servers became fast again")
	_, ok = l.HedgeAfter("r", now.Add(time.Minute))
	assert.Assert(t, !ok, "hedged on old samples")
}

// TestConcurrentBudget guards against lost updates when many goroutines spend at
// once.
func TestConcurrentBudget(t *testing.T) {
	const goroutines, calls = 8, 1000
	b := NewBudgets()
	var spent atomic.Int64
	var wg sync.WaitGroup
	for range goroutines {
		wg.Go(func() {
			for range calls {
				b.AddCall("books", 0.1, start)
				if b.Spend("books", 0.1, start) {
					spent.Add(1)
				}
			}
		})
	}
	wg.Wait()
	assert.Assert(t, spent.Load() > 0 && spent.Load() <= goroutines*calls/10, "%d", spent.Load())
}

// TestBudgetWhileServiceFails guards against too many retries while every call
// fails: tokens saved before and those earned meanwhile together allow at most
// 0.1 retries per call.
func TestBudgetWhileServiceFails(t *testing.T) {
	const callsPerSecond = 100
	b := NewBudgets()
	now := start
	for range 60 * callsPerSecond {
		now = now.Add(time.Second / callsPerSecond)
		b.AddCall("books", 0.1, now)
	}
	spent := 0
	for range 5 * callsPerSecond {
		now = now.Add(time.Second / callsPerSecond)
		b.AddCall("books", 0.1, now)
		if b.Spend("books", 0.1, now) {
			spent++
		}
	}
	assert.Assert(t, spent > 0 && spent <= 5*callsPerSecond/10, "%d", spent)
}

// TestUndeliveredAttemptsAreUnbudgeted guards against failed calls because one dead
// backend server used up the retry budget, and against unbudgeted retries of calls
// that a backend server received.
func TestUndeliveredAttemptsAreUnbudgeted(t *testing.T) {
	for _, tc := range []struct {
		outcome    Outcome
		reason     string
		unbudgeted bool
	}{
		{NotRun, "connect_failed", true},
		{NotRun, "draining", true},
		{NotRun, "overloaded", true},
		{NotRun, "shed_by_server", false},
		{Unknown, "connect_failed", false},
		{Unknown, "", false},
	} {
		d := Decide(Attempt{Idempotent: true, Outcome: tc.outcome, Reason: tc.reason, Tries: 1, MaxRetries: 1, Remaining: time.Second})
		assert.Equal(t, d.Verdict, TryNext, "%+v", tc)
		assert.Equal(t, d.Unbudgeted, tc.unbudgeted, "%+v", tc)
	}
}
