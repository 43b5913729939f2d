package inbound

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestNothingReachesAServerThatHasLeft guards against calls that reach a
// backend server after the 2 s in which one that leaves may still get them,
// also when they had waited for a slot.
func TestNothingReachesAServerThatHasLeft(t *testing.T) {
	g := New(Config{Reported: true})
	now := time.Now()
	assert.Assert(t, g.closed(now) != nil, "the server has not reported")
	g.SetServer(ServerState{Instance: "i-1"})
	assert.Assert(t, g.closed(now) == nil)
	g.SetServer(ServerState{Instance: "i-1", Leaving: now})
	assert.Assert(t, g.entryClosed(now) != nil, "new calls are refused at once")
	assert.Assert(t, g.closed(now.Add(leavingGrace)) == nil, "calls that wait for a slot have their grace")
	assert.Assert(t, g.closed(now.Add(leavingGrace+time.Millisecond)) != nil)
}
