package distribution

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// gossipInterval is how long changes are collected into one batch.
	gossipInterval = 100 * time.Millisecond
	// gossipBytesPerSecond limits the entries that a node sends to two thirds
	// of its control traffic budget of 30 KB/s.
	gossipBytesPerSecond = 20_000
	// gossipBurstBytes lets an idle node send the changes of a restarted
	// failure domain (174 entries to 8 neighbours) in one batch.
	gossipBurstBytes = 140_000
	// gossipBatchSize is the maximum number of changes in one batch.
	gossipBatchSize = 256
)

// queuedChange is a change queued for the next batch. Of several entries of one
// member, or suspicions of it by one reporter, only the newest is kept.
type queuedChange struct {
	from      string // ids of the nodes that sent it, each preceded by a zero byte
	entry     *membership.Member
	suspicion *membership.Suspicion
}

// sentBy reports whether a node sent the change.
func sentBy(from, id string) bool { return strings.Contains(from+"\x00", "\x00"+id+"\x00") }

// Keys of the outbox; those of entries come first.
func entryKey(id string) string { return "entry\x00" + id }

func suspicionKey(s membership.Suspicion) string { return "suspicion\x00" + s.ID + "\x00" + s.By }

// Members merges entries and suspicions from another node.
func (a *Agent) Members(m peer.MemberEntries) {
	a.merge(m.SenderID, m.Entries)
	now := time.Now()
	for _, s := range m.Suspicions {
		a.handleSuspicion(m.SenderID, s, now)
	}
}

// merge adds newer entries to the table and queues them for the linked nodes.
// from is the node that sent them, or "" for the directory.
func (a *Agent) merge(from string, entries []membership.Member) {
	var others []membership.Member
	now := time.Now()
	for _, e := range entries {
		if err := e.Validate(now); err != nil {
			a.refuseEntry(from, e, err)
			continue
		}
		if e.ID == a.Self.ID {
			a.refute(e)
			continue
		}
		others = append(others, e)
	}
	serversLeft := a.Table.RecordLeftServers(others)
	changed := a.Table.Merge(others)
	for _, e := range changed {
		a.enqueue(entryKey(e.ID), queuedChange{from: "\x00" + from, entry: &e})
	}
	for _, e := range others {
		a.recordSender(from, e)
	}
	if len(changed) > 0 || serversLeft {
		a.tableChanged()
	}
}

// refuseEntry counts and logs an entry that is not from a node.
func (a *Agent) refuseEntry(from string, e membership.Member, err error) {
	a.refusedEntries.Add(1)
	a.Logger.Warn("member_refused", "node", e.ID[:min(len(e.ID), maxLoggedIDBytes)], "from", from, "error", err)
}

// maxLoggedIDBytes bounds the part of a refused entry's id that is logged.
const maxLoggedIDBytes = 64

// RefusedEntries returns how many member entries were refused since the start.
func (a *Agent) RefusedEntries() int64 { return a.refusedEntries.Load() }

func (a *Agent) tableChanged() {
	wake(a.membersChanged)
	a.requestBuild()
}

// refute queues this node's entry with a higher incarnation or sequence if
// another node sent a newer entry about it.
func (a *Agent) refute(received membership.Member) {
	if a.OnSelfEntry != nil {
		a.OnSelfEntry(received)
	}
	refuted := false
	self, _ := a.Table.Update(a.Self.ID, func(have membership.Member) membership.Member {
		have, refuted = membership.Refute(have, received)
		return have
	})
	if refuted {
		a.queueSelf(self)
	}
}

func (a *Agent) handleSuspicion(from string, s membership.Suspicion, now time.Time) {
	if s.ID == a.Self.ID {
		a.merge(from, []membership.Member{{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence, Status: membership.StatusDead}})
		return
	}
	have, ok := a.Table.Get(s.ID)
	if ok && a.detector.AddSuspicion(s, have, now) {
		a.queueSuspicion(s, from)
	}
}

func (a *Agent) queueSuspicion(s membership.Suspicion, from string) {
	a.enqueue(suspicionKey(s), queuedChange{from: "\x00" + from, suspicion: &s})
}

func (a *Agent) queueSelf(self membership.Member) {
	a.enqueue(entryKey(self.ID), queuedChange{from: self.ID, entry: &self})
	a.tableChanged()
}

// SetStatus sends a new status of the node to the linked nodes, without waiting
// for the next batch, and then announces it in the directory.
func (a *Agent) SetStatus(ctx context.Context, status membership.Status) error {
	self := a.UpdateSelf(func(m membership.Member) membership.Member {
		m.Status = status
		return m
	})
	a.sendBatch(ctx, peer.MemberEntries{SenderID: a.Self.ID, Entries: []membership.Member{self}}, nil)
	return a.Directory.Announce(ctx, self)
}

// enqueue queues a change for the next batch.
func (a *Agent) enqueue(key string, change queuedChange) {
	a.outbox.Set(key, change)
	wake(a.outboxFilled)
}

// gossip sends the queued changes in batches at the rate of the byte budget. It
// does not wake up while nothing is queued.
func (a *Agent) gossip(ctx context.Context) error {
	budget := rate.NewLimiter(gossipBytesPerSecond, gossipBurstBytes)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.outboxFilled:
		}
		if !wait.For(ctx, gossipInterval) {
			return nil
		}
		if len(a.linkedNodes()) > 0 && budget.Tokens() > 0 {
			batch, sources := a.takeBatch()
			// The batch may exceed the budget; later batches wait for the refill.
			sent := a.sendBatch(ctx, batch, sources)
			budget.ReserveN(time.Now(), min(sent, gossipBurstBytes))
		}
		if a.outbox.Len() > 0 {
			wake(a.outboxFilled)
		}
	}
}

// takeBatch removes up to gossipBatchSize changes from the queue. The map holds,
// by key, the nodes that sent the change.
func (a *Agent) takeBatch() (peer.MemberEntries, map[string]string) {
	batch, sources := peer.MemberEntries{SenderID: a.Self.ID}, map[string]string{}
	keys := a.queuedKeys()
	for _, key := range keys[:min(len(keys), gossipBatchSize)] {
		var change queuedChange
		a.outbox.Update(key, func(have queuedChange, _ bool) (queuedChange, bool) {
			change = have
			return have, false
		})
		sources[key] = change.from
		if change.entry != nil {
			batch.Entries = append(batch.Entries, *change.entry)
		} else if change.suspicion != nil {
			batch.Suspicions = append(batch.Suspicions, *change.suspicion)
		}
	}
	return batch, sources
}

// queuedKeys returns the keys of the queue, suspicions last, so that an entry
// that refutes a suspicion is sent before it.
func (a *Agent) queuedKeys() []string {
	var keys []string
	a.outbox.Range(func(key string, _ queuedChange) bool {
		keys = append(keys, key)
		return true
	})
	slices.Sort(keys)
	return keys
}

// recordSender records that another node sent the same queued entry, so that it
// is not sent back to that node.
func (a *Agent) recordSender(from string, e membership.Member) {
	a.outbox.Update(entryKey(e.ID), func(queued queuedChange, ok bool) (queuedChange, bool) {
		if ok && queued.entry != nil && *queued.entry == e {
			queued.from += "\x00" + from
		}
		return queued, ok
	})
}

// linkedNodes returns the nodes that this node exchanges entries with.
func (a *Agent) linkedNodes() []membership.Member {
	t := a.topology.Load()
	return slices.Concat(t.Neighbours, t.Bridges)
}

// sendBatch sends a batch to every linked node, without what came from that node,
// and returns the approximate number of bytes. It does not wait until they are
// sent.
func (a *Agent) sendBatch(ctx context.Context, batch peer.MemberEntries, sources map[string]string) (bytes int) {
	for _, m := range a.linkedNodes() {
		selected := batch
		selected.Entries = slices.DeleteFunc(slices.Clone(batch.Entries), func(e membership.Member) bool {
			return sentBy(sources[entryKey(e.ID)], m.ID)
		})
		selected.Suspicions = slices.DeleteFunc(slices.Clone(batch.Suspicions), func(s membership.Suspicion) bool {
			return s.By == m.ID || sentBy(sources[suspicionKey(s)], m.ID)
		})
		if len(selected.Entries)+len(selected.Suspicions) == 0 {
			continue
		}
		bytes += batchBytes(selected)
		a.tasks.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, sendTimeout)
			defer cancel()
			if err := a.Peers.Members(ctx, m, selected); err != nil {
				a.Logger.Debug("members_failed", "node", m.ID, "error", err)
			}
		})
	}
	return bytes
}

// Approximate sizes on the wire, used only for the budget.
const (
	entryBytes     = 120 // compressed, in base64
	suspicionBytes = 100
)

func batchBytes(m peer.MemberEntries) int {
	return len(m.Entries)*entryBytes + len(m.Suspicions)*suspicionBytes
}
