package distribution

import (
	"context"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

const (
	// gossipEvery is how long changes are gathered into one batch.
	gossipEvery = 100 * time.Millisecond
	// gossipBytesPerSecond bounds the entries that a node sends, two thirds of
	// its whole budget of 30 KB/s.
	gossipBytesPerSecond = 20_000
	// gossipBurstBytes lets a quiet node send at once what the restart of a
	// failure domain brings: 174 entries to 8 neighbours, compressed.
	gossipBurstBytes = 140_000
	// gossipBatch bounds the entries of one batch.
	gossipBatch = 256
)

// outgoing is a change that waits for the next batch. Of several changes of
// one member only the newest is kept.
type outgoing struct {
	from      string // nodes that told it, one after the other, each after a zero byte
	entry     *membership.Member
	suspicion *membership.Suspicion
}

// Members merges entries and suspicions from another node.
func (a *Agent) Members(m peer.MemberEntries) {
	a.merge(m.From, m.Entries)
	now := time.Now()
	for _, s := range m.Suspicions {
		a.hearSuspicion(m.From, s, now)
	}
}

// merge takes over entries that are news and queues them for the neighbours.
func (a *Agent) merge(from string, entries []membership.Member) {
	var others []membership.Member
	for _, e := range entries {
		if e.ID == a.Self.ID {
			a.refute(e)
			continue
		}
		others = append(others, e)
	}
	changed := a.Table.Merge(others)
	for _, e := range changed {
		a.outbox.Set("entry\x00"+e.ID, outgoing{from: "\x00" + from, entry: &e})
	}
	for _, e := range others {
		a.alsoFrom(from, e)
	}
	if len(changed) > 0 {
		a.tableChanged()
	}
}

func (a *Agent) tableChanged() {
	wake(a.members)
	a.requestBuild()
}

// refute answers an entry about the own node that is newer than its own.
func (a *Agent) refute(heard membership.Member) {
	if a.HeardSelf != nil {
		a.HeardSelf(heard)
	}
	refuted := false
	self, _ := a.Table.Update(a.Self.ID, func(have membership.Member) membership.Member {
		have, refuted = membership.Refute(have, heard)
		return have
	})
	if refuted {
		a.sendSelf(self)
	}
}

func (a *Agent) hearSuspicion(from string, s membership.Suspicion, now time.Time) {
	if s.ID == a.Self.ID {
		a.refute(membership.Member{ID: s.ID, Incarnation: s.Incarnation, Sequence: s.Sequence, Status: membership.StatusDead})
		return
	}
	have, ok := a.Table.Get(s.ID)
	if ok && a.detector.AddSuspicion(s, have, now) {
		a.sendSuspicion(s, from)
	}
}

func (a *Agent) sendSuspicion(s membership.Suspicion, from string) {
	a.outbox.Set("suspicion\x00"+s.ID+"\x00"+s.By, outgoing{from: from, suspicion: &s})
}

func (a *Agent) sendSelf(self membership.Member) {
	a.outbox.Set("entry\x00"+self.ID, outgoing{from: self.ID, entry: &self})
	a.tableChanged()
}

// SetStatus announces a new status of the own node: to the neighbours at once
// and in the directory.
func (a *Agent) SetStatus(ctx context.Context, status membership.Status) error {
	self := a.Revise(func(m membership.Member) membership.Member {
		m.Status = status
		return m
	})
	a.sendBatch(ctx, peer.MemberEntries{From: a.Self.ID, Entries: []membership.Member{self}}, nil)
	return a.Directory.Announce(ctx, self)
}

// gossip sends the queued changes in batches within the byte budget.
func (a *Agent) gossip(ctx context.Context) error {
	budget := rate.NewLimiter(gossipBytesPerSecond, gossipBurstBytes)
	tick := time.NewTicker(gossipEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if len(a.links()) == 0 || budget.Tokens() <= 0 {
			continue
		}
		batch, sources := a.takeBatch()
		if len(batch.Entries)+len(batch.Suspicions) > 0 {
			// The batch may overdraw the budget; the next ones wait for it.
			sent := a.sendBatch(ctx, batch, sources)
			budget.ReserveN(time.Now(), min(sent, gossipBurstBytes))
		}
	}
}

// takeBatch removes up to gossipBatch changes from the queue. sources tells
// which nodes told each entry.
func (a *Agent) takeBatch() (peer.MemberEntries, map[string]string) {
	batch, sources := peer.MemberEntries{From: a.Self.ID}, map[string]string{}
	keys := a.queued()
	for _, key := range keys[:min(len(keys), gossipBatch)] {
		var o outgoing
		a.outbox.Update(key, func(have outgoing, _ bool) (outgoing, bool) {
			o = have
			return have, false
		})
		if o.entry != nil {
			batch.Entries = append(batch.Entries, *o.entry)
			sources[o.entry.ID] = o.from
		} else if o.suspicion != nil {
			batch.Suspicions = append(batch.Suspicions, *o.suspicion)
		}
	}
	return batch, sources
}

// queued returns the keys of the queue, suspicions last: the entry that
// refutes one goes before it.
func (a *Agent) queued() []string {
	var keys []string
	a.outbox.Range(func(key string, _ outgoing) bool {
		keys = append(keys, key)
		return true
	})
	slices.Sort(keys)
	return keys
}

// alsoFrom notes that a node told a queued entry too, so that the entry is not
// sent back to it.
func (a *Agent) alsoFrom(from string, e membership.Member) {
	a.outbox.Update("entry\x00"+e.ID, func(o outgoing, ok bool) (outgoing, bool) {
		if ok && o.entry != nil && *o.entry == e {
			o.from += "\x00" + from
		}
		return o, ok
	})
}

// links returns the nodes that the node exchanges entries with.
func (a *Agent) links() []membership.Member {
	t := a.topology.Load()
	return slices.Concat(t.Neighbours, t.Bridges)
}

// sendBatch sends a batch to every linked node, without the entries that the
// node told, and returns about how many bytes that takes.
func (a *Agent) sendBatch(ctx context.Context, batch peer.MemberEntries, sources map[string]string) (bytes int) {
	for _, m := range a.links() {
		mine := batch
		mine.Entries = slices.DeleteFunc(slices.Clone(batch.Entries), func(e membership.Member) bool {
			return strings.Contains(sources[e.ID]+"\x00", "\x00"+m.ID+"\x00")
		})
		if len(mine.Entries)+len(mine.Suspicions) == 0 {
			continue
		}
		bytes += sizeOf(mine)
		a.tasks.run(func() {
			ctx, cancel := context.WithTimeout(ctx, sendLimit)
			defer cancel()
			if err := a.Peers.Members(ctx, m, mine); err != nil {
				a.Logger.Debug("members_failed", "node", m.ID, "error", err)
			}
		})
	}
	return bytes
}

// Approximate sizes on the wire, for the budget only.
const (
	entryBytes     = 120 // compressed, in base64
	suspicionBytes = 100
)

func sizeOf(m peer.MemberEntries) int {
	return len(m.Entries)*entryBytes + len(m.Suspicions)*suspicionBytes
}
