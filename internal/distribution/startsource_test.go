package distribution

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// slowSource holds a configuration and takes a second to hand it out, as over
// a link that all nodes of a region share.
type slowSource struct{ reads int }

func (s *slowSource) Next(context.Context, profile.Position, time.Duration) (*profile.Checkpoint, error) {
	s.reads++
	time.Sleep(time.Second)
	return fullAt(1, 20, 0).Checkpoint, nil
}

// knownMembers is a directory of members that are long there.
type knownMembers struct{ members []membership.Member }

func (d *knownMembers) Announce(context.Context, membership.Member) error { return nil }

func (d *knownMembers) Entries(context.Context, int64, time.Duration) ([]membership.Member, int64, error) {
	return d.members, 1, nil
}

// heldPeers are nodes that hold a position, or nodes that are all gone.
type heldPeers struct {
	Peers
	gone     bool
	position *profile.Position
	ageMs    *int64
}

func (h *heldPeers) Probe(ctx context.Context, m membership.Member, _ bool) (peer.HelloResponse, error) {
	if h.gone {
		<-ctx.Done()
		return peer.HelloResponse{}, ctx.Err()
	}
	return peer.HelloResponse{Node: m, Position: h.position, SourceAgeMs: h.ageMs}, nil
}

func (h *heldPeers) MemberTable(context.Context, membership.Member) (peer.MemberTable, error) {
	return peer.MemberTable{}, errors.New("no table")
}

func (h *heldPeers) Pull(context.Context, membership.Member, peer.PullRequest) (peer.PullResponse, error) {
	data, err := peer.EncodeFullState(*fullAt(1, 15, 0))
	return peer.PullResponse{Position: profile.Position{Epoch: 1, Offset: 15}, Full: data}, err
}

// TestStartFromPeers guards against nodes that start together and each read a
// whole configuration over one link, against a node that takes one of unknown
// age for the newest, and against one that waits for peers that are gone.
func TestStartFromPeers(t *testing.T) {
	const others = 8
	ms := func(n int64) *int64 { return &n }
	held := &profile.Position{Epoch: 1, Offset: 15}
	for _, c := range []struct {
		name   string
		id     string // of the starting node; n0 to n7 are the others
		peers  heldPeers
		reads  int
		within time.Duration
	}{
		{"peers that read it lately", "follower", heldPeers{position: held, ageMs: ms(3000)}, 0, 100 * time.Millisecond},
		{"peers that read it long ago", "follower", heldPeers{position: held, ageMs: ms(60_000)}, 1, 2 * time.Second},
		{"peers that do not know", "follower", heldPeers{position: held}, 1, 1100 * time.Millisecond},
		{"peers that start too", "follower", heldPeers{}, 1, 2 * time.Second},
		{"peers that are gone", "follower", heldPeers{gone: true}, 1, 2 * time.Second},
		{"one that reads for its domain", "leader", heldPeers{}, 1, 1100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &knownMembers{}
				for i := range others {
					d.members = append(d.members, membership.Member{ID: fmt.Sprint("n", i), Region: "r", FailureDomain: "d", Status: membership.StatusAlive})
				}
				self := membership.Member{ID: nameThat(t, c.id == "leader", d.members), Region: "r", FailureDomain: "d", Status: membership.StatusAlive}
				src := &slowSource{}
				a := newTestAgent(t)
				a = NewAgent(Config{
					Self: self, Table: membership.NewTable(), Logger: a.Logger, Source: src, Directory: d, Peers: &c.peers, StartSpread: time.Nanosecond,
				})
				ctx, cancel := context.WithCancel(t.Context())
				for _, loop := range []func(context.Context) error{a.core.run, a.start, a.pullChanges} {
					go func() { _ = loop(ctx) }()
				}
				begun := time.Now()
				select {
				case <-a.ReadyDone():
				case <-time.After(10 * time.Second):
				}
				assert.Assert(t, time.Since(begun) <= c.within, "ready after %v", time.Since(begun))
				assert.Equal(t, src.reads, c.reads)
				cancel()
				a.stop()
				synctest.Wait()
			})
		})
	}
}

// nameThat returns an id that leads its failure domain, or one that does not.
func nameThat(t *testing.T, leads bool, others []membership.Member) string {
	t.Helper()
	for i := range 1000 {
		m := membership.Member{ID: fmt.Sprint("self", i), Region: "r", FailureDomain: "d", Status: membership.StatusAlive}
		if membership.TopRankedInDomain(m, others, directStarts) == leads {
			return m.ID
		}
	}
	t.Fatal("no such id")
	return ""
}

// TestHigherPositionIsTheNewest guards against a node that takes its old
// configuration for the newest because the node that told of a newer one had
// read it longer ago.
func TestHigherPositionIsTheNewest(t *testing.T) {
	at := func(offset int64) profile.Position { return profile.Position{Epoch: 1, Offset: offset} }
	now := time.Now()
	a := newTestAgent(t)
	held, _ := a.Position()
	a.noteSource(held, now)
	assert.Assert(t, a.holdsNewest())
	a.noteSource(at(held.Offset+1), now.Add(-time.Second))
	assert.Assert(t, !a.holdsNewest())
	a.noteSource(held, now.Add(time.Second))
	assert.Assert(t, !a.holdsNewest())
}
