package membership

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Time limits of the failure detection.
const (
	HeartbeatEvery = time.Second
	// SilenceLimit is the silence after which a neighbour opens a new
	// connection, three lost heartbeats.
	SilenceLimit = 3 * time.Second
	// refuteWithin is left to a suspected node to answer before two
	// suspicions make it dead.
	refuteWithin = time.Second
	// loneLimit is the age at which one suspicion alone makes a node dead.
	loneLimit = 10 * time.Second
)

// Suspicion is the statement of one member that it cannot reach another one.
type Suspicion struct {
	ID          string `json:"id"`
	Incarnation int64  `json:"incarnation"`
	Sequence    uint64 `json:"sequence"`
	By          string `json:"by"`
}

// suspect is what is held against one member at one incarnation and sequence.
type suspect struct {
	incarnation int64
	sequence    uint64
	first       time.Time
	by          map[string]bool // replaced, never changed, once stored
}

// Detector decides from heartbeats and suspicions which members are dead. It
// is sharded by the id of the member that it decides about.
type Detector struct {
	heard    *shard.Map[time.Time]
	suspects *shard.Map[suspect]
}

// NewDetector returns a detector that has heard from nobody.
func NewDetector() *Detector {
	return &Detector{heard: shard.NewMap[time.Time](shard.DefaultCount), suspects: shard.NewMap[suspect](shard.DefaultCount)}
}

// Heard notes a sign of life from a neighbour.
func (d *Detector) Heard(id string, now time.Time) { d.heard.Set(id, now) }

// Silent returns the neighbours that have not been heard for SilenceLimit. A
// neighbour that is seen for the first time gets the whole limit.
func (d *Detector) Silent(neighbours []Member, now time.Time) []Member {
	var out []Member
	for _, m := range neighbours {
		d.heard.Update(m.ID, func(last time.Time, ok bool) (time.Time, bool) {
			if !ok {
				return now, true
			}
			if now.Sub(last) >= SilenceLimit {
				out = append(out, m)
			}
			return last, true
		})
	}
	return out
}

// Forget drops the times of members that are no neighbours any more, so that
// a member that becomes one again starts with the whole limit.
func (d *Detector) Forget(neighbours []Member) {
	keep := make(map[string]bool, len(neighbours))
	for _, m := range neighbours {
		keep[m.ID] = true
	}
	d.heard.DeleteFunc(func(id string, _ time.Time) bool { return !keep[id] })
}

// Suspect notes a suspicion and reports whether it was news. One against an
// older incarnation or sequence than the table's was refuted already.
func (d *Detector) Suspect(s Suspicion, have Member, now time.Time) bool {
	if !have.Routable() && have.Status != StatusDraining {
		return false
	}
	if s.Incarnation != have.Incarnation || s.Sequence != have.Sequence {
		return false
	}
	news := false
	d.suspects.Update(s.ID, func(c suspect, ok bool) (suspect, bool) {
		if !ok || c.incarnation != s.Incarnation || c.sequence != s.Sequence {
			c = suspect{incarnation: s.Incarnation, sequence: s.Sequence, first: now}
		}
		if c.by[s.By] {
			return c, true
		}
		by := map[string]bool{s.By: true}
		for id := range c.by {
			by[id] = true
		}
		c.by, news = by, true
		return c, true
	})
	return news
}

// Dead returns the entries of the members whose suspicion has stood long
// enough. neighboursOf returns the neighbours of a member.
func (d *Detector) Dead(t *Table, neighboursOf func(Member) []Member, now time.Time) []Member {
	var out []Member
	cases := d.open()
	for id, c := range cases {
		m, ok := t.Get(id)
		if !ok || m.Incarnation != c.incarnation || m.Sequence != c.sequence {
			d.suspects.Delete(id) // refuted, or started anew
			continue
		}
		if decided(c, witnesses(neighboursOf(m), cases), now) {
			m.Status = StatusDead
			out = append(out, m)
			d.suspects.Delete(id)
		}
	}
	return out
}

// open returns a copy of the cases, so that the caller holds no shard lock.
func (d *Detector) open() map[string]suspect {
	out := map[string]suspect{}
	d.suspects.Range(func(id string, c suspect) bool {
		out[id] = c
		return true
	})
	return out
}

// witnesses returns how many neighbours are not suspected themselves. Those
// that were lost together with a member say nothing about it.
func witnesses(neighbours []Member, cases map[string]suspect) int {
	n := 0
	for _, m := range neighbours {
		if _, suspected := cases[m.ID]; !suspected {
			n++
		}
	}
	return n
}

func decided(c suspect, neighbours int, now time.Time) bool {
	age := now.Sub(c.first)
	if age >= loneLimit {
		return true
	}
	enough := len(c.by) >= 2 || neighbours < fewNeighbours
	return enough && age >= refuteWithin
}

// Refute returns the own entry with a raised sequence when others hold the
// node for suspect, dead or left, and whether there was anything to refute.
func Refute(self Member, heard Member) (Member, bool) {
	if heard.ID != self.ID || !heard.Newer(self) {
		return self, false
	}
	if heard.Incarnation > self.Incarnation {
		// The clock of an earlier start was ahead; nobody would believe this one.
		self.Incarnation = heard.Incarnation + 1
		return self, true
	}
	self.Sequence = heard.Sequence + 1
	return self, true
}
