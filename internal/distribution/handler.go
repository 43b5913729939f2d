package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

const (
	// maxTransfers is how many packed states a node sends at the same time.
	maxTransfers = 4
	// maxTransferRetryJitter bounds the random part of a refused node's retry
	// delay, about the time in which the transfers in progress finish.
	maxTransferRetryJitter = 400 * time.Millisecond
	// minTransferRetry is the minimum retry delay of a refused node.
	minTransferRetry = 20 * time.Millisecond
)

// packedState is a compressed full state, or the changes since a base. It is
// cached until another position or base is requested.
type packedState struct {
	position profile.Position
	base     profile.Position // position since which it holds the changes; zero for the full state
	data     []byte
}

// Hello handles a hello request. The sender's entry is merged, so that a new
// node is known before its announcement is read.
func (a *Agent) Hello(_ context.Context, r peer.HelloRequest) (peer.HelloResponse, error) {
	if r.Node.ID != "" {
		a.endIsolation()
		a.merge(r.Node.ID, []membership.Member{r.Node})
		a.sendLeftServers(r.Node)
	}
	if r.NothingReceived {
		a.Peers.Drop(r.Node.ID)
	}
	answer := peer.HelloResponse{Node: a.self(), StoreEra: uint64(a.Eras.Current())}
	if p, ok := a.Position(); ok {
		answer.Position, answer.SourceAgeMs = &p, a.sourceAge(p)
	}
	return answer, nil
}

// sendLeftServers tells a node of the departures of servers that the entries of
// their members do not show, its own among them.
func (a *Agent) sendLeftServers(to membership.Member) {
	left := a.Table.LeftServers()
	if len(left) == 0 {
		return
	}
	a.tasks.Go(func() {
		ctx, cancel := context.WithTimeout(a.runCtx, sendTimeout)
		defer cancel()
		if err := a.Peers.Members(ctx, to, peer.MemberEntries{SenderID: a.Self.ID, Entries: left}); err != nil {
			a.Logger.Debug("members_failed", "node", to.ID, "error", err)
		}
	})
}

// HandleAnnouncement records the position that a peer announced.
func (a *Agent) HandleAnnouncement(m peer.PositionAnnouncement) {
	a.Eras.observePeer(Era(m.StoreEra))
	if m.Proof != nil {
		a.recordProof(m.ID, m.Position, *m.Proof)
	}
	a.recordPeerPosition(m.ID, m.Position)
}

// Pull returns the records after a position, or else the state or its changes
// since that position. It returns a retry delay if the node has no state yet or
// too many states are being sent.
func (a *Agent) Pull(_ context.Context, r peer.PullRequest) (peer.PullResponse, error) {
	p := a.replica.published.Load()
	if p == nil {
		return peer.PullResponse{RetryAfterMs: retryAfterMs()}, nil
	}
	if r.After == nil {
		return a.respondWithState(p, profile.Position{})
	}
	if r.After.Compare(p.position()) >= 0 {
		return peer.PullResponse{Position: p.position()}, nil
	}
	records, ok := p.delta(*r.After)
	if !ok {
		base := profile.Position{}
		if p.FromSource && r.AcceptsRouteChanges && !r.Full {
			base = *r.After
		}
		return a.respondWithState(p, base)
	}
	answer := peer.PullResponse{Position: p.position()}
	for _, rec := range records {
		answer.Records = append(answer.Records, peer.NewLogRecord(rec.Offset, rec.Data))
	}
	return answer, nil
}

// respondWithState returns the full state, or its changes since a base other
// than zero, and occupies a transfer slot until it is sent.
func (a *Agent) respondWithState(p *published, base profile.Position) (peer.PullResponse, error) {
	select {
	case a.transferSlots <- struct{}{}:
	default:
		return peer.PullResponse{Position: p.position(), RetryAfterMs: retryAfterMs()}, nil
	}
	release := func() { <-a.transferSlots }
	packed, err := a.pack(p, base)
	if err != nil {
		release()
		return peer.PullResponse{}, err
	}
	return peer.PullResponse{Position: packed.position, Full: packed.data, OnSent: release}, nil
}

func retryAfterMs() int64 {
	return (minTransferRetry + rand.N(maxTransferRetryJitter)).Milliseconds()
}

// pack compresses a state and caches it for further pulls from the same base.
func (a *Agent) pack(p *published, base profile.Position) (*packedState, error) {
	if have := a.packed.Load(); have != nil && have.position == p.position() && have.base == base {
		return have, nil
	}
	full := fullOf(p)
	if base != (profile.Position{}) {
		full.Checkpoint = full.Checkpoint.Since(base)
	}
	data, err := peer.EncodeFullState(full)
	if err != nil {
		return nil, err
	}
	packed := &packedState{position: p.position(), base: base, data: data}
	a.packed.Store(packed)
	return packed, nil
}

// MemberTable returns every entry, and the departures of servers that they do not
// show.
func (a *Agent) MemberTable(context.Context) (peer.MemberTable, error) {
	return peer.MemberTable{Entries: a.Table.All(), LeftServers: a.Table.LeftServers()}, nil
}
