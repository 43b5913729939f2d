package balance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestLeavingOutlivesRestartOfTheNode guards against a server that has said that it
// leaves and gets calls again once its node has restarted, and against a later start
// that gets none.
func TestLeavingOutlivesRestartOfTheNode(t *testing.T) {
	now := time.Unix(1000, 0)
	stats := NewStats(Config{})
	b := NewBalancer(stats, Locality{}, func() uint64 { return 0 })
	canPick := func(e snapshot.Endpoint) bool {
		e.ID = "n"
		_, err := b.Pick(now, Request{Service: &snapshot.Service{Name: "s", Endpoints: []*snapshot.Endpoint{&e}}})
		return err == nil
	}
	assert.Assert(t, canPick(snapshot.Endpoint{Incarnation: 5, ServerStart: 3}))
	stats.MarkLeaving("n", 3)
	assert.Assert(t, !canPick(snapshot.Endpoint{Incarnation: 5, ServerStart: 3}))
	assert.Assert(t, !canPick(snapshot.Endpoint{Incarnation: 9, ServerStart: 3}), "the node has restarted")
	assert.Assert(t, canPick(snapshot.Endpoint{Incarnation: 10, ServerStart: 10}), "a later start of the server")
	assert.Assert(t, !canPick(snapshot.Endpoint{Incarnation: 11, ServerStart: 3}), "a late entry of the start that has left")
}
