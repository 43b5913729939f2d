package membership

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Timing of the failure detection.
const (
	HeartbeatInterval = time.Second
	// HeartbeatTimeout is the time without contact (three heartbeats) after
	// which a node opens a new connection to a neighbour.
	HeartbeatTimeout = 3 * time.Second
	// refutationPeriod is the time a suspected node has to refute before enough
	// suspicions make it dead.
	refutationPeriod = time.Second
	// singleSuspicionTimeout is the age at which one suspicion alone makes a
	// node dead.
	singleSuspicionTimeout = 10 * time.Second
	// minNeighboursForQuorum is the number of unsuspected neighbours below which
	// one suspicion suffices, since there may be no second node to report one.
	minNeighboursForQuorum = 3
)

// Suspicion is a report by one member that it cannot reach another one.
type Suspicion struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	By          string `json:"by"`
}

// pendingSuspicion collects the suspicions of one member at one incarnation
// and sequence.
type pendingSuspicion struct {
	incarnation   int64
	sequence      uint64
	firstReported time.Time
	reporters     map[string]bool // copied on write
}

// Detector decides from heartbeats and suspicions which members are dead. It
// is sharded by the id of the member that it decides about.
type Detector struct {
	lastContact *shard.Map[time.Time]
	pending     *shard.Map[pendingSuspicion]
}

// NewDetector returns a detector without contacts or suspicions.
func NewDetector() *Detector {
	return &Detector{lastContact: shard.NewMap[time.Time](shard.DefaultCount), pending: shard.NewMap[pendingSuspicion](shard.DefaultCount)}
}

// RecordContact records that a node sent a heartbeat or answered a probe.
func (d *Detector) RecordContact(id string, now time.Time) { d.lastContact.Set(id, now) }

// Silent returns the neighbours without contact for HeartbeatTimeout.
// For a new neighbour the time starts with the first call.
func (d *Detector) Silent(neighbours []Member, now time.Time) []Member {
	var out []Member
	for _, m := range neighbours {
		d.lastContact.Update(m.ID, func(last time.Time, ok bool) (time.Time, bool) {
			if !ok {
				return now, true
			}
			if now.Sub(last) >= HeartbeatTimeout {
				out = append(out, m)
			}
			return last, true
		})
	}
	return out
}

// Retain drops the contact times of all but the given neighbours, so that the
// timeout starts afresh when a member becomes a neighbour again.
func (d *Detector) Retain(neighbours []Member) {
	keep := make(map[string]bool, len(neighbours))
	for _, m := range neighbours {
		keep[m.ID] = true
	}
	d.lastContact.DeleteFunc(func(id string, _ time.Time) bool { return !keep[id] })
}

// AddSuspicion records a suspicion and reports whether it was new. current is
// the table's entry. A suspicion of a dead or left member is ignored, and one of
// another incarnation or sequence too, since an older one was refuted already.
func (d *Detector) AddSuspicion(s Suspicion, current Member, now time.Time) bool {
	if !current.Routable() && current.Status != StatusDraining {
		return false
	}
	if s.Incarnation != current.Incarnation || s.Sequence != current.Sequence {
		return false
	}
	added := false
	d.pending.Update(s.ID, func(p pendingSuspicion, ok bool) (pendingSuspicion, bool) {
		if !ok || p.incarnation != s.Incarnation || p.sequence != s.Sequence {
			p = pendingSuspicion{incarnation: s.Incarnation, sequence: s.Sequence, firstReported: now}
		}
		if p.reporters[s.By] {
			return p, true
		}
		reporters := map[string]bool{s.By: true}
		for id := range p.reporters {
			reporters[id] = true
		}
		p.reporters, added = reporters, true
		return p, true
	})
	return added
}

// ConfirmDead returns the entries, with status dead, of the members whose
// suspicion is confirmed, and drops these suspicions and those refuted. It does
// not change the table.
// neighboursOf returns the neighbours of a member.
func (d *Detector) ConfirmDead(t *Table, neighboursOf func(Member) []Member, now time.Time) []Member {
	pending := d.pendingCopy()
	return d.confirmDead(t, pending, func(m Member, p pendingSuspicion) bool {
		return confirmed(p, countUnsuspected(neighboursOf(m), pending), now)
	})
}

// ConfirmDeadIsolated is ConfirmDead for a node that reaches none of its linked
// nodes. Its own suspicions show only that it is cut off itself, so they are
// confirmed by their age alone.
func (d *Detector) ConfirmDeadIsolated(t *Table, now time.Time) []Member {
	return d.confirmDead(t, d.pendingCopy(), func(_ Member, p pendingSuspicion) bool {
		return now.Sub(p.firstReported) >= singleSuspicionTimeout
	})
}

func (d *Detector) confirmDead(t *Table, pending map[string]pendingSuspicion, isConfirmed func(Member, pendingSuspicion) bool) []Member {
	var out []Member
	for id, p := range pending {
		m, ok := t.Get(id)
		if !ok || m.Incarnation != p.incarnation || m.Sequence != p.sequence {
			d.pending.Delete(id) // refuted, or the node restarted
			continue
		}
		if isConfirmed(m, p) {
			m.Status = StatusDead
			out = append(out, m)
			d.pending.Delete(id)
		}
	}
	return out
}

// AllSilent reports whether there was no contact with any of the nodes for
// HeartbeatTimeout. A node without a recorded contact is not silent yet.
func (d *Detector) AllSilent(nodes []Member, now time.Time) bool {
	for _, m := range nodes {
		last, ok := d.lastContact.Get(m.ID)
		if !ok || now.Sub(last) < HeartbeatTimeout {
			return false
		}
	}
	return true
}

// DropSuspicionsBy drops the suspicions that only one member has reported.
func (d *Detector) DropSuspicionsBy(id string) {
	d.pending.DeleteFunc(func(_ string, p pendingSuspicion) bool { return len(p.reporters) == 1 && p.reporters[id] })
}

// pendingCopy returns a copy of pending, so that the caller holds no shard lock.
func (d *Detector) pendingCopy() map[string]pendingSuspicion {
	out := map[string]pendingSuspicion{}
	d.pending.Range(func(id string, p pendingSuspicion) bool {
		out[id] = p
		return true
	})
	return out
}

// countUnsuspected returns how many neighbours are not suspected themselves.
// Those that were lost together with a member cannot report it.
func countUnsuspected(neighbours []Member, pending map[string]pendingSuspicion) int {
	n := 0
	for _, m := range neighbours {
		if _, suspected := pending[m.ID]; !suspected {
			n++
		}
	}
	return n
}

// confirmed reports whether a suspicion is confirmed. neighbours is the number
// of neighbours that could have reported it.
func confirmed(p pendingSuspicion, neighbours int, now time.Time) bool {
	age := now.Sub(p.firstReported)
	if age >= singleSuspicionTimeout {
		return true
	}
	enough := len(p.reporters) >= 2 || neighbours < minNeighboursForQuorum
	return enough && age >= refutationPeriod
}

// Refute returns the node's entry with a higher sequence or incarnation than a
// received entry that is newer, such as one that says that the node is suspect,
// dead or left. It reports whether the received entry was newer.
func Refute(self Member, received Member) (Member, bool) {
	if received.ID != self.ID || !received.Newer(self) {
		return self, false
	}
	if received.Incarnation > self.Incarnation || received.Sequence == math.MaxUint64 {
		// The clock was ahead at an earlier start, so other nodes would ignore
		// this incarnation as older; or no higher sequence number is left.
		self.Incarnation = received.Incarnation + 1
		return self, true
	}
	self.Sequence = received.Sequence + 1
	return self, true
}
