package e2e

import (
	"encoding/json"
	"net/http"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// exitCode waits until a process has exited and returns its exit code.
func (p *process) exitCode(t *testing.T) int {
	t.Helper()
	var exit *exec.ExitError
	err := p.cmd.Wait()
	if errors.As(err, &exit) {
		return exit.ExitCode()
	}
	assert.NilError(t, err)
	return 0
}

// startDrainScenario starts a node of the service vitrine, whose backend server
// takes one second for a call, and a node that sends calls to it.
func startDrainScenario(t *testing.T) (sender, drained *startedNode, backend, log string) {
	t.Helper()
	log = listenAddress(t, startProcess(t, "goldcrestctl", "dev", "log", "--listen", "127.0.0.1:0"))
	backend = listenAddress(t, startProcess(t, "goldcrestctl", "dev", "backend", "--listen", "127.0.0.1:0", "--service", "vitrine", "--service-time", "1s"))
	other := listenAddress(t, startProcess(t, "goldcrestctl", "dev", "backend", "--listen", "127.0.0.1:0", "--service", "agenda"))
	drained = startNode(t, "drained", "vitrine", log, backend)
	sender = startNode(t, "sender", "agenda", log, other)
	out, code := runCtl(t, "publish", "--log", log, writeProfileFile(t, "vitrine"))
	assert.Equal(t, code, 0, out)
	awaitAnswer(t, []*startedNode{sender}, http.StatusOK, "vitrine")
	return sender, drained, backend, log
}

// TestDrainCompletesCallsInFlight guards against a drain that cuts a call in
// flight or admits new calls (P7, P8), also when the departure of the node
// cannot be written to the log or only slowly.
func TestDrainCompletesCallsInFlight(t *testing.T) {
	for name, fault := range map[string]standin.LogFaults{"alone": {}, "log down": {Down: true}, "log slow": {SlowMs: 3000}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testDrainWithLogFaults(t, fault)
		})
	}
}

func testDrainWithLogFaults(t *testing.T, fault standin.LogFaults) {
	sender, drained, backend, log := startDrainScenario(t)
	putLogFaults(t, log, fault)
	inFlightStatus := make(chan int, 1)
	go func() {
		status, _, _ := call(t, "POST", sender.Calls, "in flight")
		inFlightStatus <- status
	}()
	awaitCallInFlight(t, backend)
	assert.NilError(t, drained.cmd.Process.Signal(syscall.SIGTERM))
	drained.awaitLine(t, "drain_started")

	status, _, header := call(t, "GET", sender.Calls, "")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, header.Get("Goldcrest-Outcome"), "not-run")
	assert.Equal(t, <-inFlightStatus, http.StatusOK)
	assert.Equal(t, drained.exitCode(t), 0)
}

// awaitCallInFlight waits until the backend server is running a call.
func awaitCallInFlight(t *testing.T, backend string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + backend + "/load")
		assert.NilError(t, err)
		defer resp.Body.Close()
		var l standin.Load
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&l))
		if l.InFlight > 0 {
			return poll.Success()
		}
		return poll.Continue("no call in flight")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestSecondSignalStopsImmediately guards against a drain that an operator
// cannot abort.
func TestSecondSignalStopsImmediately(t *testing.T) {
	_, drained, _, _ := startDrainScenario(t)
	assert.NilError(t, drained.cmd.Process.Signal(syscall.SIGTERM))
	drained.awaitLine(t, "drain_started")
	signaled := time.Now()
	assert.NilError(t, drained.cmd.Process.Signal(syscall.SIGTERM))
	assert.Equal(t, drained.exitCode(t), 1)
	assert.Assert(t, time.Since(signaled) < 2*time.Second)
}
