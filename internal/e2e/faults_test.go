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

// faultCase causes a fault and returns at its end.
type faultCase struct {
	name  string
	cause func(s *system)
}

// runFaults runs every case on a system of its own, under load.
func runFaults(t *testing.T, cases []faultCase) {
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			c.cause(s)
			s.settle(convergeLimit)
			s.revise() // the system takes new versions after the fault
			s.finish()
		})
	}
}

// freeze stops a node until another one has missed its heartbeats.
func freeze(s *system, i int) {
	s.signal(i, syscall.SIGSTOP)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		for _, m := range s.members((i + 1) % len(s.specs)) {
			if m.ID == s.specs[i].id && m.Status != membership.StatusAlive {
				return poll.Success()
			}
		}
		return poll.Continue("node %d counts as alive", i)
	}, poll.WithTimeout(startLimit), poll.WithDelay(statusEvery))
}

// crash crashes a backend server and waits until it listens again.
func crash(s *system, i int) {
	address := s.specs[i].backend
	assert.Assert(s.t, send(s.t.Context(), http.MethodPost, address, crashPath, "").err != nil)
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if r := send(s.t.Context(), http.MethodGet, address, "/offers/up", ""); r.err != nil {
			return poll.Continue("%v", r.err)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(statusEvery))
}

// TestNodeFaults guards against calls, positions or keys that suffer when
// processes die, freeze or come back with nothing (P1, P4, P5, P6, P9).
func TestNodeFaults(t *testing.T) {
	runFaults(t, []faultCase{
		{"a node killed and restarted", func(s *system) {
			s.kill(0)
			s.revise()
			s.restart(0)
		}},
		{"a node frozen past its heartbeat limit", func(s *system) {
			freeze(s, 0)
			s.revise()
			s.signal(0, syscall.SIGCONT)
		}},
		{"a backend server killed and back", func(s *system) { crash(s, 2) }},
		{"a failure domain restarted at once", func(s *system) {
			s.kill(3)
			s.kill(4)
			s.revise()
			s.restart(3)
			s.restart(4)
		}},
		{"a node started while the log is down", func(s *system) {
			s.seed(0, 2)
			s.kill(0)
			s.faults(standin.LogFaults{Down: true})
			s.restart(0)
			s.awaitReady(0)
			s.faults(standin.LogFaults{})
		}},
	})
}

func (s *system) awaitReady(i int) {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if st, err := s.status(i); err != nil || !st.Ready {
			return poll.Continue("node %d is not ready, error %v", i, err)
		}
		return poll.Success()
	}, poll.WithTimeout(convergeLimit), poll.WithDelay(statusEvery))
}

// TestTwoFaultsAtOnce guards against recoveries that depend on another part
// being whole.
func TestTwoFaultsAtOnce(t *testing.T) {
	runFaults(t, []faultCase{
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
			s.faults(standin.LogFaults{LoseAnswers: 20})
			crash(s, 0)
			s.faults(standin.LogFaults{})
		}},
		{"a restarted log and a killed node", func(s *system) {
			s.faults(standin.LogFaults{Reset: true})
			s.kill(2)
			s.restart(2)
			s.awaitAnchor()
		}},
	})
}

// awaitAnchor waits until the nodes have written their state to an empty log.
func (s *system) awaitAnchor() {
	poll.WaitOn(s.t, func(poll.LogT) poll.Result {
		if _, err := s.newest(); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startLimit), poll.WithDelay(100*time.Millisecond))
}
