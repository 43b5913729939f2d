package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// Guards against a node that was restarted beside a server that stays, hears
// its own entry from before as draining, and keeps all calls from the server.
func TestDrainOfTheNodeIsNotTheServers(t *testing.T) {
	entry := membership.Member{ID: "n", ServerID: "i", ServerStartNs: 7e6, ServerReport: 3, Status: membership.StatusDraining}
	assert.Assert(t, !lastReport(entry).Leaving)
	entry.ServerLeaving = true
	assert.Assert(t, lastReport(entry).Leaving)
	assert.Equal(t, lastReport(entry).Born, int64(7))
}
