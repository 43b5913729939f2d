package distribution

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

// TestOddEntriesChangeNothing guards against entries and suspicions of another
// writer that reach the table, keep this node out, or hide the good entries
// beside them.
func TestOddEntriesChangeNothing(t *testing.T) {
	a := newTestAgent(t)
	before := a.self()
	now := time.Now().UnixNano()
	good := membership.Member{ID: "good", Incarnation: now, PeerAddress: "10.0.0.1:7", Status: membership.StatusAlive}
	a.Members(peer.MemberEntries{SenderID: "x", Entries: []membership.Member{
		{ID: "port", Incarnation: now, InboundAddress: "10.0.0.1:70000", Status: membership.StatusAlive},
		{ID: "future", Incarnation: math.MaxInt64, Status: membership.StatusDead},
		{},
		{ID: a.Self.ID, Incarnation: math.MaxInt64, Status: membership.StatusDead},
		good,
	}, Suspicions: []membership.Suspicion{{ID: a.Self.ID, Incarnation: math.MaxInt64, By: "x"}}})
	assert.Equal(t, len(a.Table.All()), 2)
	have, ok := a.Table.Get("good")
	assert.Assert(t, ok && have == good)
	assert.DeepEqual(t, a.self(), before)
	assert.Equal(t, a.RefusedEntries(), int64(5))

	real := membership.Member{ID: "future", Incarnation: now, Status: membership.StatusAlive}
	a.Members(peer.MemberEntries{SenderID: "y", Entries: []membership.Member{real}})
	have, ok = a.Table.Get("future")
	assert.Assert(t, ok && have == real, "a good entry counts after an odd one for the same id")
}
