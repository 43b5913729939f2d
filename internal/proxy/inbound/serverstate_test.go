package inbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCallsRefusedAfterShutdownGrace guards against calls, among them calls that
// waited for a slot, that reach a backend server more than 2 s after it
// announced its shutdown.
func TestCallsRefusedAfterShutdownGrace(t *testing.T) {
	p := New(Config{Reported: true})
	now := time.Now()
	assert.Assert(t, p.sendRefusal(now) != nil, "the server has not reported")
	p.SetServerState(ServerState{Instance: "i-1"})
	assert.Assert(t, p.sendRefusal(now) == nil)
	p.SetServerState(ServerState{Instance: "i-1", ShutdownAnnounced: now})
	assert.Assert(t, p.arrivalRefusal(now) != nil, "new calls are refused at once")
	assert.Assert(t, p.sendRefusal(now.Add(shutdownGrace)) == nil, "calls that wait for a slot are still sent during the grace period")
	assert.Assert(t, p.sendRefusal(now.Add(shutdownGrace+time.Millisecond)) != nil)
}
