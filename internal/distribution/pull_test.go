package distribution

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// deadPeers are nodes of which all but one have lost their power.
type deadPeers struct {
	Peers
	alive string
}

func (d *deadPeers) Pull(ctx context.Context, m membership.Member, _ peer.PullRequest) (peer.PullResponse, error) {
	if m.ID != d.alive {
		<-ctx.Done()
		return peer.PullResponse{}, ctx.Err()
	}
	data, err := peer.EncodeFullState(*fullAt(1, 1000, 6))
	return peer.PullResponse{Position: profile.Position{Epoch: 1, Offset: 1000}, Full: data}, err
}

// Guards against a change that is held up for seconds because the nodes that
// told of it lost their power right after (incident inc-de12: a version was in
// force 4.8 s late on one node).
func TestPullLeavesDeadNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(t)
		a.Peers = &deadPeers{alive: "d"}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = a.core.run(ctx) }()
		for _, id := range []string{"b", "c", "d"} {
			a.Table.Merge([]membership.Member{{ID: id, Region: "r", Status: membership.StatusAlive}})
			a.hear(id, profile.Position{Epoch: 1, Offset: 1000})
		}
		begun := time.Now()
		go func() { _ = a.pullChanges(ctx) }()
		for {
			advanced := a.core.advanced.next()
			if p, _ := a.Position(); p.Offset == 1000 {
				break
			}
			<-advanced
		}
		assert.Assert(t, time.Since(begun) < 2*time.Second, "%v", time.Since(begun))
		cancel()
		synctest.Wait()
	})
}
