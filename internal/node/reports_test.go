package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// TestNodeDrainIsNotServerLeaving guards against a restarted node that reads the
// draining status of its old entry as that of the backend server, and then sends
// no calls to a server that is still running.
func TestNodeDrainIsNotServerLeaving(t *testing.T) {
	entry := membership.Member{ID: "n", ServerID: "i", ServerStartNs: 7e6, ServerReport: 3, Status: membership.StatusDraining}
	assert.Assert(t, !lastReport(entry).Leaving)
	entry.ServerLeaving = true
	assert.Assert(t, lastReport(entry).Leaving)
	assert.Equal(t, lastReport(entry).StartMs, int64(7))
}
