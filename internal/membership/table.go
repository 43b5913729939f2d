package membership

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// departedRetention is how long dead and left entries are kept, so that a
// delayed message does not bring them back.
const departedRetention = time.Hour

// Table holds the newest entry of each member, sharded by id.
type Table struct {
	members       *shard.Map[Member]
	departedSince *shard.Map[time.Time] // when Compact first found a member dead or left
	leftServers   *shard.Map[Member]    // by member id: the entry that says that its backend server leaves, of the latest such start
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		members:       shard.NewMap[Member](shard.DefaultCount),
		departedSince: shard.NewMap[time.Time](shard.DefaultCount),
		leftServers:   shard.NewMap[Member](shard.DefaultCount),
	}
}

// Merge stores the entries that are newer than those in the table and returns
// them.
func (t *Table) Merge(entries []Member) []Member {
	var changed []Member
	for _, e := range entries {
		t.members.Update(e.ID, func(current Member, ok bool) (Member, bool) {
			if ok && !e.Newer(current) {
				return current, true
			}
			changed = append(changed, e)
			return e, true
		})
	}
	return changed
}

// Update changes an entry atomically and returns the result. It reports false
// when there is no such entry.
func (t *Table) Update(id string, change func(Member) Member) (out Member, ok bool) {
	t.members.Update(id, func(current Member, present bool) (Member, bool) {
		if ok = present; ok {
			out = change(current)
		}
		return out, ok
	})
	return out, ok
}

// Get returns the entry of a member.
func (t *Table) Get(id string) (Member, bool) { return t.members.Get(id) }

// All returns every entry sorted by id.
func (t *Table) All() []Member {
	var out []Member
	t.members.Range(func(_ string, m Member) bool {
		out = append(out, m)
		return true
	})
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Departed returns the members that are dead or have left, in no order, and the
// number of all members.
func (t *Table) Departed() (departed []Member, all int) {
	t.members.Range(func(_ string, m Member) bool {
		all++
		if m.departed() {
			departed = append(departed, m)
		}
		return true
	})
	return departed, all
}

// CountCallable returns the number of members to which new calls may be sent.
func (t *Table) CountCallable() int {
	n := 0
	t.members.Range(func(_ string, m Member) bool {
		if t.callable(m) {
			n++
		}
		return true
	})
	return n
}

// Digest returns a hash that is equal for equal tables. It excludes dead and
// left members, since nodes drop them at different times.
func (t *Table) Digest() uint64 {
	var sum uint64
	t.members.Range(func(_ string, m Member) bool {
		if !m.departed() {
			sum ^= m.digest()
		}
		return true
	})
	return sum
}

func (m Member) departed() bool { return m.Status == StatusDead || m.Status == StatusLeft }

func (m Member) digest() uint64 {
	var buffer [128]byte // on the stack: the digest is computed each second
	text := append(buffer[:0], m.ID...)
	text = strconv.AppendInt(append(text, 0), m.Incarnation, 36)
	text = strconv.AppendUint(append(text, 0), m.Sequence, 36)
	text = append(append(text, 0), m.Status...)
	return xxhash.Sum64(text)
}

// Compact drops entries that have been dead or left for departedRetention and
// returns how many. The time counts from the first call that found the entry
// dead or left; entries carry no time, since the clocks of nodes differ.
func (t *Table) Compact(now time.Time) int {
	for _, m := range t.All() {
		t.departedSince.Update(m.ID, func(since time.Time, ok bool) (time.Time, bool) {
			if !ok {
				since = now
			}
			return since, m.departed()
		})
	}
	var expired []string
	t.departedSince.Range(func(id string, since time.Time) bool {
		if now.Sub(since) >= departedRetention {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		t.members.Delete(id)
		t.departedSince.Delete(id)
		t.leftServers.Delete(id)
	}
	return len(expired)
}
