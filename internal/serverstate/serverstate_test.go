package serverstate

import (
	"math"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
)

func report(startMs, sequence int64, leaving bool) Report {
	return Report{ID: "i", StartMs: startMs, Sequence: sequence, Service: "s", Address: "a", Slots: 9, Leaving: leaving}
}

// TestAcceptRejectsStaleAndForeignReports guards against a delayed or duplicate
// report, or one of another server, that undoes a departure or marks a running
// server as leaving.
func TestAcceptRejectsStaleAndForeignReports(t *testing.T) {
	foreign := report(2, 9, false)
	foreign.Service = "other"
	departure := Report{ID: "i", Leaving: true, Departure: true}
	oldDeparture := Report{ID: "i", StartMs: 1, Leaving: true, Departure: true}
	otherDeparture := Report{ID: "x", Leaving: true, Departure: true}
	for _, c := range []struct {
		name    string
		first   []Report
		then    Report
		err     error
		leaving bool // of the newest report afterwards
	}{
		{"first report", nil, report(1, 1, false), nil, false},
		{"later report of a draining server", []Report{report(1, 1, false)}, report(1, 2, true), nil, true},
		{"delayed report from before the drain", []Report{report(1, 3, true)}, report(1, 2, false), ErrStaleReport, true},
		{"the same report again", []Report{report(1, 3, true)}, report(1, 3, true), nil, true},
		{"ready report after the drain in the same start", []Report{report(1, 3, true)}, report(1, 4, false), nil, true},
		{"ready report of a restart under the same id", []Report{report(1, 30, true)}, report(2, 1, false), nil, false},
		{"delayed report of the start before", []Report{report(2, 1, false)}, report(1, 31, true), ErrStaleReport, false},
		{"another service at the address", []Report{report(1, 1, false)}, foreign, ErrOtherServer, false},
		{"departure", []Report{report(1, 1, false)}, departure, nil, true},
		{"departure of the start before", []Report{report(2, 1, false)}, oldDeparture, ErrStaleReport, false},
		{"departure of another server", []Report{report(2, 1, false)}, otherDeparture, ErrOtherServer, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			tracker := NewTracker("s", "a")
			for _, r := range c.first {
				_, err := tracker.Accept(r)
				assert.NilError(t, err)
			}
			_, err := tracker.Accept(c.then)
			assert.Assert(t, errors.Is(err, c.err), "%v", err)
			assert.Equal(t, tracker.newest.Leaving, c.leaving)
		})
	}
}

// TestDelayedReportKeepsRestoredDeparture guards against a restarted node that
// accepts a delayed report as the first one, although the node had acknowledged
// the departure before its restart.
func TestDelayedReportKeepsRestoredDeparture(t *testing.T) {
	tracker := NewTracker("s", "a")
	tracker.Restore(Report{ID: "i", StartMs: 5, Sequence: 7, Leaving: true})
	_, err := tracker.Accept(report(5, 6, false))
	assert.Assert(t, errors.Is(err, ErrStaleReport))
	c, err := tracker.Accept(report(5, 8, false))
	assert.NilError(t, err)
	assert.Assert(t, c.Report.Leaving && c.Changed)
	c, err = tracker.Accept(report(6, 1, false))
	assert.NilError(t, err)
	assert.Assert(t, !c.Report.Leaving && c.Started)
}

// TestRepeatedReportChangesNothing guards against a node that announces its entry
// again on each report of an unchanged server.
func TestRepeatedReportChangesNothing(t *testing.T) {
	tracker := NewTracker("s", "a")
	c, err := tracker.Accept(report(1, 1, false))
	assert.NilError(t, err)
	assert.Assert(t, c.Started && c.Changed)
	c, err = tracker.Accept(report(1, 2, false))
	assert.NilError(t, err)
	assert.Assert(t, !c.Started && !c.Changed)
}

// TestOddReportsAreRefused guards against a report whose numbers are out of
// range: a start far in the future makes every real report look stale.
func TestOddReportsAreRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	good := report(now.UnixMilli(), 1, false)
	assert.NilError(t, good.Validate(now))
	assert.NilError(t, Report{ID: "i", Departure: true}.Validate(now), "a departure has no slots")
	for _, c := range []struct {
		name   string
		change func(*Report)
	}{
		{"no id", func(r *Report) { r.ID = "" }},
		{"start far in the future", func(r *Report) { r.StartMs = math.MaxInt64 }},
		{"start in nanoseconds", func(r *Report) { r.StartMs = now.UnixNano() }},
		{"negative start", func(r *Report) { r.StartMs = -1 }},
		{"negative sequence", func(r *Report) { r.Sequence = -1 }},
		{"no slots", func(r *Report) { r.Slots = 0 }},
		{"huge slots", func(r *Report) { r.Slots = math.MaxInt64 }},
	} {
		r := good
		c.change(&r)
		assert.Assert(t, r.Validate(now) != nil, c.name)
	}
}

// TestLeavingByAnswerIsFinal guards against a server that has said in an answer that
// it shuts down and counts as serving again after its next report, and against a
// later start that counts as leaving.
func TestLeavingByAnswerIsFinal(t *testing.T) {
	report := func(id string, startMs, sequence int64) Report {
		return Report{ID: id, StartMs: startMs, Sequence: sequence, Service: "shop", Address: "a:1", Slots: 9}
	}
	tracker := NewTracker("shop", "a:1")
	_, err := tracker.Accept(report("i-1", 1000, 1))
	assert.NilError(t, err)
	_, isNew := tracker.MarkLeaving("i-0")
	assert.Assert(t, !isNew, "an answer of another start")
	c, isNew := tracker.MarkLeaving("i-1")
	assert.Assert(t, isNew && c.Changed && c.Report.Leaving)
	_, isNew = tracker.MarkLeaving("i-1")
	assert.Assert(t, !isNew, "known already")
	c, err = tracker.Accept(report("i-1", 1000, 2))
	assert.NilError(t, err)
	assert.Assert(t, c.Report.Leaving && !c.Changed)
	c, err = tracker.Accept(report("i-1", 2000, 1))
	assert.NilError(t, err)
	assert.Assert(t, c.Started && !c.Report.Leaving, "the same id, a later start")
}

// TestDepartureIsTheLastWordOfItsStart guards against a restarted node that puts a
// server which has left into use again, in whatever order a delayed report, what
// was known before the restart, and later reports arrive.
func TestDepartureIsTheLastWordOfItsStart(t *testing.T) {
	departed := Report{ID: "i", StartMs: 5, Sequence: 4, Leaving: true}
	restored := func(tr *Tracker) Change { return tr.Restore(departed) }
	released := (*Tracker).Release
	accept := func(r Report) func(*Tracker) Change {
		return func(tr *Tracker) Change {
			c, _ := tr.Accept(r) // a stale one has no effect
			return c
		}
	}
	for _, tt := range []struct {
		name  string
		steps []func(*Tracker) Change
		inUse bool // the last effect of all puts a server into use
	}{
		{"a late report with a higher number first", []func(*Tracker) Change{accept(report(5, 9, false)), restored, released}, false},
		{"with the same number", []func(*Tracker) Change{accept(report(5, 4, false)), restored, released}, false},
		{"with a lower number", []func(*Tracker) Change{accept(report(5, 2, false)), restored, released}, false},
		{"after what was known", []func(*Tracker) Change{restored, accept(report(5, 9, false)), released}, false},
		{"after the release", []func(*Tracker) Change{restored, released, accept(report(5, 9, false))}, false},
		{"before what was known, which comes too late", []func(*Tracker) Change{accept(report(5, 9, false)), released, restored}, false},
		{"of the start before", []func(*Tracker) Change{accept(report(3, 99, false)), restored, released}, false},
		{"a start under the same id since", []func(*Tracker) Change{accept(report(6, 1, false)), restored, released}, true},
		{"a start since, after the late report", []func(*Tracker) Change{accept(report(5, 9, false)), accept(report(6, 1, false)), restored, released}, true},
		{"a start since, before the late report", []func(*Tracker) Change{restored, accept(report(6, 1, false)), accept(report(5, 9, false)), released}, true},
		{"a start since, late report after the release", []func(*Tracker) Change{restored, accept(report(6, 1, false)), released, accept(report(5, 9, false))}, true},
		{"a departure after a held report", []func(*Tracker) Change{accept(report(5, 3, false)), accept(Report{ID: "i", StartMs: 5, Leaving: true, Departure: true}), released}, false},
		{"a departure between two held reports", []func(*Tracker) Change{accept(report(5, 3, false)), accept(Report{ID: "i", StartMs: 5, Leaving: true, Departure: true}), accept(report(5, 4, false)), released}, false},
		{"a drain between two held reports", []func(*Tracker) Change{accept(report(5, 3, false)), accept(report(5, 4, true)), accept(report(5, 5, false)), released}, false},
		{"nothing was known", []func(*Tracker) Change{accept(report(5, 9, false)), released}, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tracker := NewTracker("s", "a")
			tracker.Hold()
			inUse := false
			for _, step := range tt.steps {
				if c := step(tracker); c.Changed {
					inUse = !c.Report.Leaving
				}
			}
			assert.Equal(t, inUse, tt.inUse)
		})
	}
}

// TestHeldReports guards against a held report that is lost, that is applied before
// the release, or that holds back the word of a server that leaves.
func TestHeldReports(t *testing.T) {
	tracker := NewTracker("s", "a")
	tracker.Hold()
	for sequence := range int64(3) {
		c, err := tracker.Accept(report(1, 1+sequence, false))
		assert.NilError(t, err)
		assert.Assert(t, !c.Changed)
	}
	c := tracker.Release()
	assert.Assert(t, c.Changed && c.Started && c.Report.Slots == 9)
	assert.Assert(t, !tracker.Release().Changed)

	tracker = NewTracker("s", "a")
	tracker.Hold()
	_, err := tracker.Accept(report(1, 1, false))
	assert.NilError(t, err)
	c, err = tracker.Accept(report(1, 2, true))
	assert.NilError(t, err)
	assert.Assert(t, c.Changed && c.Report.Leaving, "that a server leaves has its effect at once")
	assert.Assert(t, !tracker.Release().Changed)

	tracker = NewTracker("s", "a")
	tracker.Hold()
	tracker.Restore(Report{ID: "i", StartMs: 1, Sequence: 1})
	_, err = tracker.Accept(report(1, 2, false))
	assert.NilError(t, err)
	c = tracker.Release()
	assert.Assert(t, c.Changed && !c.Started, "the start is known from before")
}

// TestExpectedReportIsAChange guards against a server that answers 421 once by
// mistake and whose equal reports never put it into use again.
func TestExpectedReportIsAChange(t *testing.T) {
	tracker := NewTracker("s", "a")
	_, err := tracker.Accept(report(1, 1, false))
	assert.NilError(t, err)
	tracker.ExpectReport("other")
	c, _ := tracker.Accept(report(1, 2, false))
	assert.Assert(t, !c.Changed)
	tracker.ExpectReport("i")
	c, _ = tracker.Accept(report(1, 3, false))
	assert.Assert(t, c.Changed && !c.Started)
	c, _ = tracker.Accept(report(1, 4, false))
	assert.Assert(t, !c.Changed)
}
