package e2e

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// Exit codes of goldcrestctl.
const (
	exitOK       = 0
	exitFailed   = 1
	exitConflict = 3
	exitUnknown  = 4
)

// publishUnderFault publishes while the log has a fault and ends the fault.
// What was not accepted is published again, as an operator would.
func publishUnderFault(s *system, f standin.LogFaults, codes ...int) {
	file, revision := s.newRevision()
	s.faults(f)
	out, code := ctl(s.t, "publish", "--log", s.log, file)
	assert.Assert(s.t, slices.Contains(codes, code), "exit code %d: %s", code, out)
	s.faults(standin.LogFaults{})
	if code != exitOK {
		out, code = ctl(s.t, "publish", "--log", s.log, file)
		assert.Equal(s.t, code, exitOK, out)
	}
	s.accept(revision)
}

// TestLogFaults guards against versions that are lost, doubled or taken back
// when the log fails while a profile is revised (P1, P5, P6, P9).
func TestLogFaults(t *testing.T) {
	runFaults(t, []faultCase{
		{"down", func(s *system) { publishUnderFault(s, standin.LogFaults{Down: true}, exitFailed, exitUnknown) }},
		{"slow", func(s *system) { publishUnderFault(s, standin.LogFaults{SlowMs: 300}, exitOK) }},
		{"lost answers", func(s *system) { publishUnderFault(s, standin.LogFaults{LoseAnswers: 5}, exitOK, exitUnknown) }},
		{"restarted", func(s *system) {
			s.faults(standin.LogFaults{Reset: true})
			s.awaitAnchor()
		}},
	})
}

// TestLogExpiredWholly guards against a log that stays without a state, and
// takes no revisions, after it dropped its records earlier than promised.
func TestLogExpiredWholly(t *testing.T) {
	runFaults(t, []faultCase{{"expired", func(s *system) {
		newest, err := s.newest()
		assert.NilError(s.t, err)
		s.faults(standin.LogFaults{ExpireBefore: map[string]int64{"config": newest.Offset + 1}})
		s.awaitAnchor()
	}}})
}

// TestTwoOperatorsAtOnce guards against two accepted revisions of one base,
// and against a loser who isn't told.
func TestTwoOperatorsAtOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.faults(standin.LogFaults{SlowMs: 200}) // both read the same base
	type result struct{ code, revision int }
	results := make(chan result, 2)
	for range 2 {
		file, revision := s.newRevision()
		go func() {
			_, code := ctl(t, "publish", "--log", s.log, file)
			results <- result{code, revision}
		}()
	}
	var codes []int
	for range 2 {
		r := <-results
		codes = append(codes, r.code)
		if r.code == exitOK {
			s.accept(r.revision)
		}
	}
	slices.Sort(codes)
	s.faults(standin.LogFaults{})
	assert.DeepEqual(t, codes, []int{exitOK, exitConflict})
	s.finish()
}
