package distribution

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

var shop = profile.Key{Kind: profile.KindProfile, Name: "shop"}

func fullAt(epoch uint32, offset int64, number uint64) *peer.FullState {
	c := &profile.Checkpoint{Epoch: epoch, Through: offset}
	if number > 0 {
		c.Entries = []profile.Entry{{Key: shop, Version: profile.Version{Epoch: 1, Number: number}}}
	}
	return &peer.FullState{Checkpoint: c}
}

func changeAt(offset int64) record {
	data, _ := json.Marshal(profile.Record{ID: fmt.Sprint("r", offset), Kind: profile.RecordChange})
	return record{Offset: offset, Data: data}
}

// TestReplicaKeepsOrder guards against a position that moves back or skips
// records when updates arrive out of order, twice, or from a node that lags
// behind.
func TestReplicaKeepsOrder(t *testing.T) {
	at := func(epoch uint32, offset int64) profile.Position {
		return profile.Position{Epoch: epoch, Offset: offset}
	}
	needsNewerBuild := record{Offset: 11, Data: []byte(`{"id":"x","schema":99}`)}
	for _, c := range []struct {
		name   string
		update update
		want   profile.Position
		number uint64 // of the profile in effect
	}{
		{"records that follow", update{from: at(1, 10), records: []record{changeAt(11), changeAt(12)}}, at(1, 12), 5},
		{"records that overlap", update{from: at(1, 8), records: []record{changeAt(9), changeAt(10), changeAt(11)}}, at(1, 11), 5},
		{"records after a gap", update{from: at(1, 12), records: []record{changeAt(13)}}, at(1, 10), 5},
		{"records of another epoch", update{from: at(2, 10), records: []record{changeAt(11)}}, at(1, 10), 5},
		{"record of a newer build", update{from: at(1, 10), records: []record{needsNewerBuild, changeAt(12)}}, at(1, 10), 5},
		{"state of a node that lags behind", update{full: fullAt(1, 9, 4)}, at(1, 10), 5},
		{"state of the same position", update{full: fullAt(1, 10, 0)}, at(1, 10), 5},
		{"newer state", update{full: fullAt(1, 20, 6)}, at(1, 20), 6},
		{"next epoch from a node that lagged behind", update{full: fullAt(2, 0, 3)}, at(2, 0), 5},
		{"next epoch without the document", update{full: fullAt(2, 0, 0)}, at(2, 0), 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newReplica(slog.New(slog.DiscardHandler))
			r.published.Store(r.apply(update{full: fullAt(1, 10, 5)}))
			if next := r.apply(c.update); next != nil {
				r.published.Store(next)
			}
			p := r.published.Load()
			assert.Equal(t, p.position(), c.want)
			assert.Equal(t, p.Effective.Entries[shop].Version.Number, c.number)
			assert.Equal(t, p.NeedsNewerBuild, c.name == "record of a newer build")
		})
	}
}

func newTestAgent(t *testing.T) *Agent {
	a := NewAgent(Config{Self: membership.Member{ID: "a", Region: "r", Status: membership.StatusAlive}, Table: membership.NewTable(), Logger: slog.New(slog.DiscardHandler)})
	t.Cleanup(a.stop)
	a.replica.published.Store(a.replica.apply(update{full: fullAt(1, 10, 5)}))
	u := update{from: profile.Position{Epoch: 1, Offset: 10}}
	for i := int64(11); i < 11+ringSize+20; i++ {
		u.records = append(u.records, changeAt(i))
	}
	a.replica.published.Store(a.replica.apply(u))
	return a
}

// TestPull guards against deltas with a gap, and against full states where a
// delta suffices.
func TestPull(t *testing.T) {
	a := newTestAgent(t)
	last := int64(10 + ringSize + 20)
	for _, c := range []struct {
		from    *profile.Position
		records int
		full    bool
	}{
		{from: nil, full: true},
		{from: &profile.Position{Epoch: 1, Offset: last}},
		{from: &profile.Position{Epoch: 1, Offset: last + 5}},
		{from: &profile.Position{Epoch: 1, Offset: last - 3}, records: 3},
		{from: &profile.Position{Epoch: 1, Offset: last - ringSize}, records: ringSize},
		{from: &profile.Position{Epoch: 1, Offset: last - ringSize - 1}, full: true},
		{from: &profile.Position{Epoch: 0, Offset: last - 1}, full: true},
	} {
		answer, err := a.Pull(t.Context(), peer.PullRequest{After: c.from})
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Records), c.records, "%v", c.from)
		assert.Equal(t, len(answer.Full) > 0, c.full, "%v", c.from)
		assert.Equal(t, answer.Position.Offset, last)
		if answer.OnSent != nil {
			answer.OnSent()
		}
	}
}

// TestFullStateTransfersAreLimited guards against a node that sends its full
// state to a whole restarted failure domain at the same time, and against
// leaked transfer slots.
func TestFullStateTransfersAreLimited(t *testing.T) {
	a := newTestAgent(t)
	var sent []func()
	for i := range maxTransfers + 3 {
		answer, err := a.Pull(t.Context(), peer.PullRequest{})
		assert.NilError(t, err)
		assert.Equal(t, answer.RetryAfterMs > 0, i >= maxTransfers)
		assert.Assert(t, answer.RetryAfterMs <= (maxTransferRetryJitter+minTransferRetry).Milliseconds())
		if answer.OnSent != nil {
			sent = append(sent, answer.OnSent)
		}
	}
	for _, f := range sent {
		f()
	}
	answer, err := a.Pull(t.Context(), peer.PullRequest{})
	assert.NilError(t, err)
	assert.Assert(t, answer.RetryAfterMs == 0)
}

// TestPullPrefersOwnRegion guards against a change that is pulled from another
// region, where traffic costs money, although a reader of the node's region gets
// it a moment later.
func TestPullPrefersOwnRegion(t *testing.T) {
	a := newTestAgent(t)
	a.Table.Merge([]membership.Member{
		{ID: "near", Region: "r", Status: membership.StatusAlive}, {ID: "far", Region: "s", Status: membership.StatusAlive},
	})
	p := &puller{Agent: a, notBefore: map[string]time.Time{}}
	now := time.Now()
	ahead := profile.Position{Epoch: 1, Offset: 1000}
	a.peerPositions.Set("far", ahead)
	m, wait, found := p.chooseNode(now)
	assert.Assert(t, found && m.ID == "far" && wait == remotePullDelay, "%s %s", m.ID, wait)
	_, wait, _ = p.chooseNode(now.Add(remotePullDelay))
	assert.Assert(t, wait <= 0)
	a.peerPositions.Set("near", ahead)
	m, wait, _ = p.chooseNode(now)
	assert.Assert(t, m.ID == "near" && wait <= 0)
	p.notBefore["near"] = now.Add(time.Second)
	m, _, _ = p.chooseNode(now)
	assert.Equal(t, m.ID, "far", "a node that refused is asked again before its time")
}

// TestHeartbeatReportsPosition guards against a node that stays behind after an
// announcement was lost.
func TestHeartbeatReportsPosition(t *testing.T) {
	a := newTestAgent(t)
	ahead := profile.Position{Epoch: 1, Offset: 1000}
	for _, c := range []struct {
		reported profile.Position
		due      bool
	}{{profile.Position{Epoch: 1, Offset: 3}, false}, {profile.Position{}, false}, {ahead, true}} {
		a.Heartbeat(peer.Heartbeat{ID: "near", Position: c.reported})
		select {
		case <-a.pullDue:
			assert.Assert(t, c.due, "a pull for %s", c.reported)
		default:
			assert.Assert(t, !c.due, "no pull for %s", c.reported)
		}
	}
}

// TestStartWaitsForTarget guards against a node that becomes ready before it
// reaches the position of the log and the highest position of its peers.
func TestStartWaitsForTarget(t *testing.T) {
	last := int64(10 + ringSize + 20)
	for _, c := range []struct {
		target target
		want   bool
	}{
		{target{offset: last, position: profile.Position{Epoch: 1, Offset: last}}, true},
		{target{offset: last + 1}, false},
		{target{offset: profile.NoOffset, position: profile.Position{Epoch: 1, Offset: last + 1}}, false},
		{target{offset: profile.NoOffset, position: profile.Position{Epoch: 2}}, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			assert.Equal(t, newTestAgent(t).awaitTarget(t.Context(), c.target), c.want, "%+v", c.target)
		})
	}
}

// TestCallLimitsReachSnapshot guards against call limits that are lost when a
// node adopts a configuration or sends it to others.
func TestCallLimitsReachSnapshot(t *testing.T) {
	full := fullAt(1, 10, 5)
	full.Checkpoint.Limits = profile.CallLimits{BodyBytes: 1000}
	r := newReplica(slog.New(slog.DiscardHandler))
	p := r.apply(update{full: full})
	assert.Equal(t, p.Effective.Limits.BodyBytes, int64(1000))
	assert.Equal(t, fullOf(p).Checkpoint.Since(profile.Position{Epoch: 1, Offset: 9}).Limits.BodyBytes, int64(1000))
	g, found := snapshot.Build(1, profile.State{Limits: p.Effective.Limits}, nil)
	assert.Equal(t, len(found), 0)
	assert.Equal(t, g.Limits.BodyBytes, int64(1000))
}
