// Package membership holds the nodes that are known and their state. It does
// no I/O and reads no clock; internal/distribution runs the loops.
package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Status is the state of a member.
type Status string

// Member states, in the order in which the later one wins at the same
// incarnation and sequence.
const (
	StatusAlive    Status = "alive"
	StatusSuspect  Status = "suspect"
	StatusDraining Status = "draining"
	StatusLeft     Status = "left"
	StatusDead     Status = "dead"
)

var statusRank = map[Status]int{StatusAlive: 0, StatusSuspect: 1, StatusDraining: 2, StatusLeft: 3, StatusDead: 4}

// Member is one node and the backend server beside it.
type Member struct {
	ID             string `json:"id"`
	Incarnation    int64  `json:"incarnation"` // start time of the process in ns; a restart is newer
	Sequence       uint64 `json:"sequence"`    // raised by the member itself, to refute a suspicion
	Service        string `json:"service"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	PeerAddress    string `json:"peerAddress"`  // inner protocol
	InboundAddress string `json:"guardAddress"` // HTTP from other nodes
	Slots          int    `json:"slots"`
	Status         Status `json:"status"`

	// Set where backend servers report their state to their node.
	ServerID     string `json:"serverId,omitempty"`     // id of the backend server's present start
	ServerBorn   int64  `json:"serverBorn,omitempty"`   // its start, Unix time in ns
	ServerReport int64  `json:"serverReport,omitempty"` // number of the newest report
	// ServerLeaving says that the backend server leaves. The status also tells
	// a node that drains itself beside a server that stays.
	ServerLeaving bool `json:"serverLeaving,omitempty"`
	// SourceLost says that the platform's store does not answer the member,
	// so that it cannot read for its region.
	SourceLost bool `json:"sourceLost,omitempty"`
}

// Newer reports whether m replaces o.
func (m Member) Newer(o Member) bool {
	if c := cmp.Compare(m.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Sequence, o.Sequence); c != 0 {
		return c > 0
	}
	return statusRank[m.Status] > statusRank[o.Status]
}

// Routable reports whether new calls may be sent to the member.
func (m Member) Routable() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}

// Table holds the newest entry of each member, sharded by id.
type Table struct {
	members *shard.Map[Member]
	gone    *shard.Map[time.Time] // when Compact first saw a member dead or left
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members: shard.NewMap[Member](shard.DefaultCount),
		gone:    shard.NewMap[time.Time](shard.DefaultCount),
	}
}

// Merge takes over the entries that are newer than the ones held and returns
// them.
func (t *Table) Merge(entries []Member) []Member {
	var changed []Member
	for _, e := range entries {
		t.members.Update(e.ID, func(have Member, ok bool) (Member, bool) {
			if ok && !e.Newer(have) {
				return have, true
			}
			changed = append(changed, e)
			return e, true
		})
	}
	return changed
}

// Revise changes an entry in one step and returns the result. It reports false
// when there is no such entry.
func (t *Table) Revise(id string, change func(Member) Member) (out Member, ok bool) {
	t.members.Update(id, func(have Member, present bool) (Member, bool) {
		if ok = present; ok {
			out = change(have)
		}
		return out, ok
	})
	return out, ok
}

// Get returns the entry of a member.
func (t *Table) Get(id string) (Member, bool) { return t.members.Get(id) }

// All returns every entry in the order of ids.
func (t *Table) All() []Member {
	var out []Member
	t.members.Range(func(_ string, m Member) bool {
		out = append(out, m)
		return true
	})
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}
