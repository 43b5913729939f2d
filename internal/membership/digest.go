package membership

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// keepGone is how long dead and left entries are kept, so that a late message
// does not bring them back.
const keepGone = time.Hour

// Digest returns a number that is equal for equal tables. Entries of members
// that are gone are left out, since nodes drop them at different times.
func (t *Table) Digest() uint64 {
	var sum uint64
	t.members.Range(func(_ string, m Member) bool {
		if !m.gone() {
			sum ^= m.digest()
		}
		return true
	})
	return sum
}

func (m Member) gone() bool { return m.Status == StatusDead || m.Status == StatusLeft }

func (m Member) digest() uint64 {
	text := m.ID + "\x00" + strconv.FormatInt(m.Incarnation, 36) + "\x00" +
		strconv.FormatUint(m.Sequence, 36) + "\x00" + string(m.Status)
	return xxhash.Sum64String(text)
}

// Compact drops entries that have been gone for keepGone and returns how many.
// The table notes when it learned of the departure; the entry itself carries
// no time, since clocks of nodes differ.
func (t *Table) Compact(now time.Time) int {
	for _, m := range t.All() {
		t.gone.Update(m.ID, func(since time.Time, ok bool) (time.Time, bool) {
			if !ok {
				since = now
			}
			return since, m.gone()
		})
	}
	var expired []string
	t.gone.Range(func(id string, since time.Time) bool {
		if now.Sub(since) >= keepGone {
			expired = append(expired, id)
		}
		return true
	})
	for _, id := range expired {
		t.members.Delete(id)
		t.gone.Delete(id)
	}
	return len(expired)
}
