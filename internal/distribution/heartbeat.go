package distribution

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

const (
	// digestMismatchLimit is how long the digests of two neighbours may differ
	// before one fetches the other's table. Batches in flight cause shorter
	// differences.
	digestMismatchLimit = 10 * time.Second
	// digestMismatchLimitNew applies to a node younger than newNodeAge: it misses
	// the entries that were gossiped between its first table and its first links.
	digestMismatchLimitNew = 2 * time.Second
	newNodeAge             = 30 * time.Second
	// topologyPause batches changes of members into one topology. When many nodes
	// start, their entries arrive in dozens of batches a second.
	topologyPause = 100 * time.Millisecond
	// compactInterval is the time between removals of entries that have been dead
	// or left for long.
	compactInterval = time.Minute
)

// maintainMembers sends heartbeats, probes silent neighbours, declares members
// dead and updates the topology when the table changes.
func (a *Agent) maintainMembers(ctx context.Context) error {
	tick := time.NewTicker(membership.HeartbeatInterval)
	defer tick.Stop()
	compacted := time.Now()
	renewal := time.NewTimer(0)
	<-renewal.C
	pending := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.membersChanged:
			if !pending {
				pending = true
				renewal.Reset(topologyPause)
			}
			continue
		case <-renewal.C:
			pending = false
			a.renewTopology()
			continue
		case <-tick.C:
		}
		now := time.Now()
		a.digest.Store(a.Table.Digest())
		a.sendHeartbeats(ctx)
		a.probeSilent(ctx, now)
		a.updateIsolation(now)
		a.declareDead(now)
		a.probeDeparted(ctx)
		if now.Sub(compacted) >= compactInterval {
			a.Table.Compact(now)
			a.pruneProofs()
			compacted = now
		}
	}
}

// departedProbesPerInterval is how many times per heartbeat interval all nodes
// together probe each member that is dead or has left. A restarted node that
// reaches neither the log nor a seed is found only by such a probe.
const departedProbesPerInterval = 2

// probeDeparted occasionally probes a random member that is dead or has left.
func (a *Agent) probeDeparted(ctx context.Context) {
	departed, all := a.Table.Departed()
	departed = slices.DeleteFunc(departed, func(m membership.Member) bool { return m.ID == a.Self.ID })
	if len(departed) == 0 || rand.IntN(all) >= departedProbesPerInterval*len(departed) {
		return
	}
	m := departed[rand.IntN(len(departed))]
	a.startUnlessRunning("reprobe", m.ID, func() {
		ctx, cancel := context.WithTimeout(ctx, sendTimeout)
		defer cancel()
		sent := time.Now()
		if answer, err := a.Peers.Probe(ctx, m, false); err == nil {
			a.mergeHello(answer, sent)
		}
	})
}

// renewTopology recomputes the node's links and the readers.
func (a *Agent) renewTopology() {
	t := membership.NewTopology(a.self(), a.Table.All())
	a.topology.Store(&t)
	a.detector.Retain(append(append([]membership.Member(nil), t.Neighbours...), t.Bridges...))
	a.topologyChanged.notify()
}

// startUnlessRunning starts f in a goroutine unless a call with the same
// purpose and node is still running, so that a node that does not answer ties up
// at most one goroutine.
func (a *Agent) startUnlessRunning(purpose, id string, f func()) {
	key, free := purpose+"\x00"+id, false
	a.inFlight.Update(key, func(_ bool, running bool) (bool, bool) {
		free = !running
		return true, true
	})
	if !free {
		return
	}
	a.tasks.Go(func() {
		defer a.inFlight.Delete(key)
		f()
	})
}

func (a *Agent) sendHeartbeats(ctx context.Context) {
	position, _ := a.Position()
	h := peer.Heartbeat{ID: a.Self.ID, Incarnation: a.self().Incarnation, Position: position, Digest: a.digest.Load(), StoreEra: uint64(a.Eras.Current())}
	t := a.topology.Load()
	for _, group := range [][]membership.Member{t.Neighbours, t.Bridges} {
		for _, m := range group {
			a.startUnlessRunning("beat", m.ID, func() {
				ctx, cancel := context.WithTimeout(ctx, sendTimeout)
				defer cancel()
				if err := a.Peers.Heartbeat(ctx, m, h); err != nil {
					a.Logger.Debug("heartbeat_failed", "node", m.ID, "error", err)
				}
			})
		}
	}
}

// probeSilent probes silent neighbours on new connections. A bridge is
// suspected only if it has no neighbours in its own region: a partition between
// regions silences every bridge while the nodes behind it may be alive.
func (a *Agent) probeSilent(ctx context.Context, now time.Time) {
	t := a.topology.Load()
	for _, m := range a.detector.Silent(t.Neighbours, now) {
		a.startUnlessRunning("probe", m.ID, func() {
			if !a.probe(ctx, m) && ctx.Err() == nil {
				a.suspect(m)
			}
		})
	}
	for _, m := range a.detector.Silent(t.Bridges, now) {
		a.startUnlessRunning("probe", m.ID, func() {
			if !a.probe(ctx, m) && ctx.Err() == nil && a.lacksNeighbours(m) {
				a.suspect(m)
			}
		})
	}
}

// lacksNeighbours reports whether a member has no neighbour in its own region
// that could detect its failure.
func (a *Agent) lacksNeighbours(m membership.Member) bool {
	return len(membership.Neighbours(m, a.Table.All())) == 0
}

// probe replaces the connection to a silent node and reports whether the node
// answers on the new one.
func (a *Agent) probe(ctx context.Context, m membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	sent := time.Now()
	answer, err := a.Peers.Probe(ctx, m, true)
	if err != nil {
		a.Logger.Info("probe_failed", "node", m.ID, "error", err)
		return false
	}
	a.detector.RecordContact(m.ID, time.Now())
	a.mergeHello(answer, sent)
	return true
}

// mergeHello merges the entry and the position from the answer to a hello that
// was sent at a time.
func (a *Agent) mergeHello(answer peer.HelloResponse, sent time.Time) {
	a.endIsolation()
	a.Eras.observePeer(Era(answer.StoreEra))
	a.merge(answer.Node.ID, []membership.Member{answer.Node})
	if answer.Position != nil {
		a.recordSourceAge(*answer.Position, answer.SourceAgeMs, sent)
		a.recordPeerPosition(answer.Node.ID, *answer.Position)
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
		a.queueSuspicion(s, a.Self.ID)
	}
}

// Heartbeat records that the sender is alive and its position, and compares its
// digest with that of this node.
func (a *Agent) Heartbeat(h peer.Heartbeat) {
	now := time.Now()
	a.detector.RecordContact(h.ID, now)
	a.endIsolation()
	a.Eras.observePeer(Era(h.StoreEra))
	if h.Position.Epoch > 0 {
		a.recordPeerPosition(h.ID, h.Position)
	}
	m, ok := a.Table.Get(h.ID)
	if !ok || m.Incarnation != h.Incarnation {
		return // the entry arrives with its hello or announcement
	}
	if m.Status == membership.StatusDead {
		a.sendDeadEntry(m)
	}
	a.compareDigest(m, h.Digest, now)
}

// sendDeadEntry sends a node declared dead its own entry, so that it refutes it.
// It uses a new connection: the one from before the node was lost may be silent.
func (a *Agent) sendDeadEntry(m membership.Member) {
	a.startUnlessRunning("dead", m.ID, func() {
		ctx, cancel := context.WithTimeout(a.runCtx, sendTimeout)
		defer cancel()
		a.Peers.Drop(m.ID)
		_ = a.Peers.Members(ctx, m, peer.MemberEntries{SenderID: a.Self.ID, Entries: []membership.Member{m}})
	})
}

func (a *Agent) compareDigest(m membership.Member, digest uint64, now time.Time) {
	if digest == a.digest.Load() {
		a.digestDiffers.Delete(m.ID)
		return
	}
	due, limit := false, digestMismatchLimit
	if now.Sub(a.createdAt) < newNodeAge {
		limit = digestMismatchLimitNew
	}
	a.digestDiffers.Update(m.ID, func(since time.Time, ok bool) (time.Time, bool) {
		if !ok {
			return now, true
		}
		due = now.Sub(since) >= limit
		return since, !due
	})
	if due {
		// One fetch at a time: the table of one neighbour mostly settles the
		// difference to all others.
		a.startUnlessRunning("table", "", func() {
			if a.fetchTable(a.runCtx, m) {
				a.digestDiffers.DeleteFunc(func(string, time.Time) bool { return true })
			}
		})
	}
}

// fetchTable merges the complete member table of a node and reports whether it
// was received.
func (a *Agent) fetchTable(ctx context.Context, m membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	table, err := a.Peers.MemberTable(ctx, m)
	if err != nil {
		a.Logger.Debug("table_failed", "node", m.ID, "error", err)
		return false
	}
	a.merge(m.ID, table.Entries)
	a.merge(m.ID, table.LeftServers)
	a.tableFetched.set()
	return true
}
