package e2e

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// faultCase is a test case with one or more faults; inject causes them and returns
// when they have ended.
type faultCase struct {
	name   string
	inject func(s *system)
}

// runFaultCases runs every case on a separate system under load and checks the
// guarantees.
func runFaultCases(t *testing.T, cases []faultCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			c.inject(s)
			s.awaitConvergence(convergenceTimeout)
			s.revise() // a new version must be accepted after the fault
			s.stopAndCheck()
		})
	}
}

// freezeNode stops a node with SIGSTOP and waits until another node considers it
// suspect or dead.
func freezeNode(s *system, i int) {
	s.signal(i, syscall.SIGSTOP)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, m := range s.members((i + 1) % len(s.specs)) {
			if m.ID == s.specs[i].id && m.Status != membership.StatusAlive {
				return poll.Success()
			}
		}
		return poll.Continue("node %d is still considered alive", i)
	}, poll.WithTimeout(startTimeout), poll.WithDelay(statusInterval))
}

// crashBackend crashes a backend server and waits until it accepts calls again.
func crashBackend(s *system, i int) {
	address := s.specs[i].backend
	assert.Assert(s.t, send(s.t.Context(), http.MethodPost, address, crashPath, "").err != nil)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if r := send(s.t.Context(), http.MethodGet, address, "/offers/up", ""); r.err != nil {
			return poll.Continue("%v", r.err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(statusInterval))
}

// TestSystemRecoversFromNodeFaults guards against wrong answers and outcomes, keys
// that run twice, positions that decrease and revisions that are lost when
// processes are killed, frozen or restarted without state (P1, P4, P5, P6, P9).
func TestSystemRecoversFromNodeFaults(t *testing.T) {
	runFaultCases(t, []faultCase{
		{"a node killed and restarted", func(s *system) {
			s.kill(0)
			s.revise()
			s.restart(0)
		}},
		{"a node frozen past its heartbeat limit", func(s *system) {
			freezeNode(s, 0)
			s.revise()
			s.signal(0, syscall.SIGCONT)
		}},
		{"a backend server killed and back", func(s *system) { crashBackend(s, 2) }},
		{"a failure domain restarted at once", func(s *system) {
			s.kill(3)
			s.kill(4)
			s.revise()
			s.restart(3)
			s.restart(4)
		}},
		{"a node started while the log is down", func(s *system) {
			s.setSeed(0, 2)
			s.kill(0)
			s.setLogFaults(standin.LogFaults{Down: true})
			s.restart(0)
			s.awaitReady(0)
			s.setLogFaults(standin.LogFaults{})
		}},
	})
}

func (s *system) awaitReady(i int) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if st, err := s.status(i); err != nil || !st.Ready {
			return poll.Continue("node %d is not ready, error %v", i, err)
		}
		return poll.Success()
	}, poll.WithTimeout(convergenceTimeout), poll.WithDelay(statusInterval))
}

// TestSystemRecoversFromTwoFaults guards against a recovery that works only if
// no other component has failed.
func TestSystemRecoversFromTwoFaults(t *testing.T) {
	runFaultCases(t, []faultCase{
		{"a frozen node and a killed domain", func(s *system) {
			s.signal(0, syscall.SIGSTOP)
			s.kill(3)
			s.kill(4)
			s.revise()
			s.restart(3)
			s.restart(4)
			s.signal(0, syscall.SIGCONT)
		}},
		{"lost answers of the log and a crashed backend server", func(s *system) {
			s.setLogFaults(standin.LogFaults{LoseAnswers: 20})
			crashBackend(s, 0)
			s.setLogFaults(standin.LogFaults{})
		}},
		{"a restarted log and a killed node", func(s *system) {
			s.setLogFaults(standin.LogFaults{Reset: true})
			s.kill(2)
			s.restart(2)
			s.awaitLogState()
		}},
	})
}

// awaitLogState waits until the nodes have written their state to the empty log.
func (s *system) awaitLogState() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if _, err := s.logPosition(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(100*time.Millisecond))
}
