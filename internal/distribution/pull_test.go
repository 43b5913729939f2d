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

// failedPeers are nodes of which only one answers a pull.
type failedPeers struct {
	Peers
	alive string
}

func (p *failedPeers) Pull(ctx context.Context, m membership.Member, _ peer.PullRequest) (peer.PullResponse, error) {
	if m.ID != p.alive {
		<-ctx.Done()
		return peer.PullResponse{}, ctx.Err()
	}
	data, err := peer.EncodeFullState(*fullAt(1, 1000, 6))
	return peer.PullResponse{Position: profile.Position{Epoch: 1, Offset: 1000}, Full: data}, err
}

// TestPullSkipsFailedNodes guards against a change that is delayed for seconds
// because the nodes that announced it failed right after (incident inc-de12: a
// version took effect 4.8 s late on one node).
func TestPullSkipsFailedNodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(t)
		a.Peers = &failedPeers{alive: "d"}
		ctx, cancel := context.WithCancel(context.Background())
		go func() { _ = a.replica.run(ctx) }()
		for _, id := range []string{"b", "c", "d"} {
			a.Table.Merge([]membership.Member{{ID: id, Region: "r", Status: membership.StatusAlive}})
			a.recordPeerPosition(id, profile.Position{Epoch: 1, Offset: 1000})
		}
		start := time.Now()
		go func() { _ = a.pullChanges(ctx) }()
		for {
			changed := a.replica.changed.next()
			if p, _ := a.Position(); p.Offset == 1000 {
				break
			}
			<-changed
		}
		assert.Assert(t, time.Since(start) < 2*time.Second, "%v", time.Since(start))
		cancel()
		synctest.Wait()
	})
}

// skippingPeer is a node whose changes since a position are based on another
// version than the one that the asking node holds.
type skippingPeer struct {
	Peers
	pulls int
}

func (p *skippingPeer) Pull(_ context.Context, _ membership.Member, r peer.PullRequest) (peer.PullResponse, error) {
	p.pulls++
	full := fullAt(1, 1000, 6)
	if !r.Full {
		full.Checkpoint.Deltas = []profile.DocumentDelta{{Entry: profile.Entry{Key: shop}, Hash: 1}}
	}
	data, err := peer.EncodeFullState(*full)
	return peer.PullResponse{Position: profile.Position{Epoch: 1, Offset: 1000}, Full: data}, err
}

// TestPullAsksForFullStateAtOnce guards against a change that waits for the next
// heartbeat of a neighbour because the node had skipped versions, so that the
// neighbour's changes did not fit.
func TestPullAsksForFullStateAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(t)
		peers := &skippingPeer{}
		a.Peers = peers
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() { _ = a.replica.run(ctx) }()
		a.Table.Merge([]membership.Member{{ID: "b", Region: "r", Status: membership.StatusAlive}})
		a.recordPeerPosition("b", profile.Position{Epoch: 1, Offset: 1000})
		go func() { _ = a.pullChanges(ctx) }()
		synctest.Wait()
		p, _ := a.Position()
		assert.Equal(t, p.Offset, int64(1000), "after %d pulls", peers.pulls)
		assert.Equal(t, peers.pulls, 2)
	})
}
