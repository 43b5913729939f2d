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
	exitUnknown  = 4 // the change may have been written to the log
)

// publishDuringFault publishes a revision while the log has a fault, which must end
// with one of the exit codes. It then ends the fault and publishes again unless the
// first attempt succeeded, as an operator would do.
func publishDuringFault(s *system, f standin.LogFaults, codes ...int) {
	file, revision := s.newRevision()
	s.setLogFaults(f)
	out, code := runCtl(s.t, "publish", "--log", s.log, file)
	assert.Assert(s.t, slices.Contains(codes, code), "exit code %d: %s", code, out)
	s.setLogFaults(standin.LogFaults{})
	if code != exitOK {
		out, code = runCtl(s.t, "publish", "--log", s.log, file)
		assert.Equal(s.t, code, exitOK, out)
	}
	s.recordAccepted(revision)
}

// TestRevisionsSurviveLogFaults guards against versions that are lost, created
// twice or reverted when the log fails while a profile is revised or restarts
// without records (P1, P5, P6, P9).
func TestRevisionsSurviveLogFaults(t *testing.T) {
	runFaultCases(t, []faultCase{
		{"down", func(s *system) { publishDuringFault(s, standin.LogFaults{Down: true}, exitFailed, exitUnknown) }},
		{"slow", func(s *system) { publishDuringFault(s, standin.LogFaults{SlowMs: 300}, exitOK) }},
		{"lost answers", func(s *system) { publishDuringFault(s, standin.LogFaults{LoseAnswers: 5}, exitOK, exitUnknown) }},
		{"restarted", func(s *system) {
			s.setLogFaults(standin.LogFaults{Reset: true})
			s.awaitLogState()
		}},
	})
}

// TestNodesRestoreExpiredLog guards against a log that remains without state and
// accepts no revisions after all its records have expired before their retention
// time.
func TestNodesRestoreExpiredLog(t *testing.T) {
	runFaultCases(t, []faultCase{{"expired", func(s *system) {
		newest, err := s.logPosition()
		assert.NilError(s.t, err)
		s.setLogFaults(standin.LogFaults{ExpireBefore: map[string]int64{"config": newest.Offset + 1}})
		s.awaitLogState()
	}}})
}

// TestConcurrentRevisionsConflict guards against two accepted revisions of the
// same base, and against a refused revision that is not reported as a conflict.
func TestConcurrentRevisionsConflict(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.setLogFaults(standin.LogFaults{SlowMs: 200}) // slow enough that both read the same base
	type result struct{ code, revision int }
	results := make(chan result, 2)
	for range 2 {
		file, revision := s.newRevision()
		go func() {
			_, code := runCtl(t, "publish", "--log", s.log, file)
			results <- result{code, revision}
		}()
	}
	var codes []int
	for range 2 {
		r := <-results
		codes = append(codes, r.code)
		if r.code == exitOK {
			s.recordAccepted(r.revision)
		}
	}
	slices.Sort(codes)
	s.setLogFaults(standin.LogFaults{})
	assert.DeepEqual(t, codes, []int{exitOK, exitConflict})
	s.stopAndCheck()
}
