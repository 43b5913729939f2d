package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

const (
	// digestLimit is how long the digests of two neighbours may differ before
	// one asks for the other's table. Batches on their way explain less.
	digestLimit = 10 * time.Second
	// digestLimitNew holds for a node younger than newFor: entries that spread
	// between its first table and its first links have passed it by.
	digestLimitNew = 2 * time.Second
	newFor         = 30 * time.Second
	// compactEvery is how often entries of members long gone are dropped.
	compactEvery = time.Minute
)

// keepMembers sends heartbeats, finds silent neighbours and decides deaths.
func (a *Agent) keepMembers(ctx context.Context) error {
	tick := time.NewTicker(membership.HeartbeatInterval)
	defer tick.Stop()
	compacted := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.members:
			a.renewTopology()
			continue
		case <-tick.C:
		}
		now := time.Now()
		a.digest.Store(a.Table.Digest())
		a.beat(ctx)
		a.checkSilence(ctx, now)
		a.settleDeaths(now)
		a.reprobe(ctx)
		if now.Sub(compacted) >= compactEvery {
			a.Table.Compact(now)
			compacted = now
		}
	}
}

// reprobes is how many times in each heartbeat interval all nodes together look
// whether a member that is gone is back. A restarted node that reaches neither
// the log nor a seed knows nobody and waits to be greeted.
const reprobes = 2

// reprobe greets a random member that is gone, now and then.
func (a *Agent) reprobe(ctx context.Context) {
	var gone []membership.Member
	all := a.Table.All()
	for _, m := range all {
		if m.ID != a.Self.ID && (m.Status == membership.StatusDead || m.Status == membership.StatusLeft) {
			gone = append(gone, m)
		}
	}
	if len(gone) == 0 || rand.IntN(len(all)) >= reprobes*len(gone) {
		return
	}
	m := gone[rand.IntN(len(gone))]
	a.once("reprobe", m.ID, func() {
		ctx, cancel := context.WithTimeout(ctx, sendLimit)
		defer cancel()
		if answer, err := a.Peers.Probe(ctx, m, false); err == nil {
			a.greeted(answer)
		}
	})
}

// renewTopology computes the node's links and the readers anew.
func (a *Agent) renewTopology() {
	t := membership.NewTopology(a.self(), a.Table.All())
	a.topology.Store(&t)
	a.detector.Retain(append(append([]membership.Member(nil), t.Neighbours...), t.Bridges...))
	a.roles.raise()
}

// once runs f for a node unless the last f for it has not ended, so that a
// node that does not answer holds one goroutine at most.
func (a *Agent) once(purpose, id string, f func()) {
	key, free := purpose+"\x00"+id, false
	a.busy.Update(key, func(_ bool, running bool) (bool, bool) {
		free = !running
		return true, true
	})
	if !free {
		return
	}
	a.tasks.run(func() {
		defer a.busy.Delete(key)
		f()
	})
}

func (a *Agent) beat(ctx context.Context) {
	position, _ := a.Position()
	h := peer.Heartbeat{ID: a.Self.ID, Incarnation: a.self().Incarnation, Position: position, Digest: a.digest.Load()}
	t := a.topology.Load()
	for _, group := range [][]membership.Member{t.Neighbours, t.Bridges} {
		for _, m := range group {
			a.once("beat", m.ID, func() {
				ctx, cancel := context.WithTimeout(ctx, sendLimit)
				defer cancel()
				if err := a.Peers.Heartbeat(ctx, m, h); err != nil {
					a.Logger.Debug("heartbeat_failed", "node", m.ID, "error", err)
				}
			})
		}
	}
}

// checkSilence opens new connections to the neighbours that went silent. Only
// neighbours in the own region are suspected: a cut between regions silences
// every bridge and says nothing about the nodes behind it.
func (a *Agent) checkSilence(ctx context.Context, now time.Time) {
	t := a.topology.Load()
	for _, m := range a.detector.Silent(t.Neighbours, now) {
		a.once("probe", m.ID, func() {
			if !a.probe(ctx, m) && ctx.Err() == nil {
				a.suspect(m)
			}
		})
	}
	for _, m := range a.detector.Silent(t.Bridges, now) {
		a.once("probe", m.ID, func() {
			if !a.probe(ctx, m) && ctx.Err() == nil && a.alone(m) {
				a.suspect(m)
			}
		})
	}
}

// alone reports whether a member has no neighbour in its own region who could
// find its death.
func (a *Agent) alone(m membership.Member) bool {
	return len(membership.Neighbours(m, a.Table.All())) == 0
}

// probe replaces the connection to a silent node and reports whether the node
// answered on the new one.
func (a *Agent) probe(ctx context.Context, m membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	answer, err := a.Peers.Probe(ctx, m, true)
	if err != nil {
		a.Logger.Info("probe_failed", "node", m.ID, "error", err)
		return false
	}
	a.detector.RecordContact(m.ID, time.Now())
	a.greeted(answer)
	return true
}

// greeted takes over what the answer to a hello tells.
func (a *Agent) greeted(answer peer.HelloResponse) {
	a.merge(answer.Node.ID, []membership.Member{answer.Node})
	if answer.Position != nil {
		a.noteSourceAge(*answer.Position, answer.SourceAgeMs)
		a.hear(answer.Node.ID, *answer.Position)
	}
}

func (a *Agent) suspect(m membership.Member) {
	have, ok := a.Table.Get(m.ID)
	if !ok || have.Incarnation != m.Incarnation {
		return
	}
	s := membership.Suspicion{ID: have.ID, Incarnation: have.Incarnation, Sequence: have.Sequence, By: a.Self.ID}
	if a.detector.AddSuspicion(s, have, time.Now()) {
		a.Logger.Info("suspected", "node", m.ID)
		a.sendSuspicion(s, a.Self.ID)
	}
}

func (a *Agent) settleDeaths(now time.Time) {
	all := a.Table.All()
	neighboursOf := func(m membership.Member) []membership.Member { return membership.Neighbours(m, all) }
	dead := a.detector.ConfirmDead(a.Table, neighboursOf, now)
	for _, m := range dead {
		a.Logger.Warn("member_dead", "node", m.ID)
	}
	a.merge(a.Self.ID, dead)
}

// Heartbeat notes a sign of life, the sender's position and its digest.
func (a *Agent) Heartbeat(h peer.Heartbeat) {
	now := time.Now()
	a.detector.RecordContact(h.ID, now)
	if h.Position.Epoch > 0 {
		a.hear(h.ID, h.Position)
	}
	m, ok := a.Table.Get(h.ID)
	if !ok || m.Incarnation != h.Incarnation {
		return // its hello or its announcement brings the entry
	}
	if m.Status == membership.StatusDead {
		a.tellDead(m)
	}
	a.compareDigest(m, h.Digest, now)
}

// tellDead shows a node that was paused its own entry, so that it refutes it.
func (a *Agent) tellDead(m membership.Member) {
	a.once("dead", m.ID, func() {
		ctx, cancel := context.WithTimeout(a.base, sendLimit)
		defer cancel()
		_ = a.Peers.Members(ctx, m, peer.MemberEntries{From: a.Self.ID, Entries: []membership.Member{m}})
	})
}

func (a *Agent) compareDigest(m membership.Member, digest uint64, now time.Time) {
	if digest == a.digest.Load() {
		a.differs.Delete(m.ID)
		return
	}
	due, limit := false, digestLimit
	if now.Sub(a.born) < newFor {
		limit = digestLimitNew
	}
	a.differs.Update(m.ID, func(since time.Time, ok bool) (time.Time, bool) {
		if !ok {
			return now, true
		}
		due = now.Sub(since) >= limit
		return since, !due
	})
	if due {
		a.once("table", m.ID, func() { a.fetchTable(a.base, m) })
	}
}

// fetchTable merges the whole table of a node.
func (a *Agent) fetchTable(ctx context.Context, m membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pullLimit)
	defer cancel()
	table, err := a.Peers.MemberTable(ctx, m)
	if err != nil {
		a.Logger.Debug("table_failed", "node", m.ID, "error", err)
		return false
	}
	a.merge(m.ID, table.Entries)
	return true
}
