package membership

import "slices"

// A departure is the last word of a start of a backend server. The table keeps it
// beyond the entry that says so: after a restart the server's node may know nothing
// of it, believe a delayed report, and announce the server as running.

// RecordLeftServers records the departures that entries name, older ones than the
// table's included. It reports whether one was new.
func (t *Table) RecordLeftServers(entries []Member) bool {
	found := false
	for _, e := range entries {
		if !e.ServerLeaving || e.ServerStartNs == 0 {
			continue
		}
		t.leftServers.Update(e.ID, func(have Member, ok bool) (Member, bool) {
			if ok && have.ServerStartNs >= e.ServerStartNs {
				return have, true
			}
			found = true
			return e, true
		})
	}
	return found
}

// serverHasLeft reports whether the backend server that an entry names has left.
func (t *Table) serverHasLeft(m Member) bool {
	left, ok := t.leftServers.Get(m.ID)
	return ok && m.ServerStartNs != 0 && m.ServerID == left.ServerID && m.ServerStartNs <= left.ServerStartNs
}

// LeftServers returns the recorded departures that the entries of their members do
// not show.
func (t *Table) LeftServers() []Member {
	var out []Member
	t.leftServers.Range(func(_ string, left Member) bool {
		out = append(out, left)
		return true
	})
	hidden := out[:0]
	for _, left := range out {
		if m, ok := t.members.Get(left.ID); ok && !m.ServerLeaving && m.ServerStartNs <= left.ServerStartNs {
			hidden = append(hidden, left)
		}
	}
	return hidden
}

// Departures returns the members of a region that are gone and whose backend
// servers have left: no node announces them again.
func (t *Table) Departures(region string) []Member {
	departed, _ := t.Departed()
	return slices.DeleteFunc(departed, func(m Member) bool { return m.Region != region || !m.ServerLeaving })
}

// Callable returns the members to which new calls may be sent, sorted by id.
func (t *Table) Callable() []Member {
	var out []Member
	for _, m := range t.All() {
		if t.callable(m) {
			out = append(out, m)
		}
	}
	return out
}

func (t *Table) callable(m Member) bool { return m.Routable() && !t.serverHasLeft(m) }
