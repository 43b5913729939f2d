package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Crash is the newest crash of one server with the fingerprint in flight.
type Crash struct {
	Server string `json:"server"`
	At     int64  `json:"at"`    // ns since 1970
	Count  int    `json:"count"` // crashes of this server since the last clear
}

// Entry is the crash history of one fingerprint. It is a state-based CRDT:
// nodes that join the same entries, in any order and any number of times, get
// the same result.
//
// Times act as versions: a crash counts only if it is later than ClearedAt. A
// node stamps a crash later than the clear that it knows, and a clear no
// earlier than the crashes that it knows, so that clock skew does not undo
// what the node has recorded. A crash and a clear that are recorded
// concurrently are ordered by their timestamps on every node.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes,omitempty"` // newest first, one for each server
	// SoleCauseAt is the time of the newest crash that only this request can
	// explain, see List.soleCause. Without it, crashes of several servers do
	// not distinguish the cause from requests that were in flight with it each time.
	SoleCauseAt int64 `json:"soleAt,omitempty"`
	ClearedAt   int64 `json:"clearedAt,omitempty"`
}

const (
	// crashedServersToQuarantine is the number of different servers that must
	// have crashed.
	crashedServersToQuarantine = 2
	// crashesOnOneServerToQuarantine applies to a service with a single server.
	// It is higher than crashedServersToQuarantine, since a server may crash
	// repeatedly for reasons unrelated to the request.
	crashesOnOneServerToQuarantine = 3
	// maxCrashes bounds the servers in an entry; more do not change the state.
	maxCrashes = 4
)

// join merges two entries of one fingerprint. It takes the maximum of each
// field and then drops crashes that are cleared or exceed maxCrashes, so it is
// commutative, associative and idempotent.
func join(a, b Entry) Entry {
	out := Entry{Fingerprint: a.Fingerprint, ClearedAt: max(a.ClearedAt, b.ClearedAt)}
	if sole := max(a.SoleCauseAt, b.SoleCauseAt); sole > out.ClearedAt {
		out.SoleCauseAt = sole
	}
	for _, c := range a.Crashes {
		out.add(c)
	}
	for _, c := range b.Crashes {
		out.add(c)
	}
	slices.SortFunc(out.Crashes, newestFirst)
	if len(out.Crashes) > maxCrashes {
		out.Crashes = out.Crashes[:maxCrashes]
	}
	return out
}

func (e *Entry) add(c Crash) {
	if c.At <= e.ClearedAt {
		return
	}
	i := slices.IndexFunc(e.Crashes, func(old Crash) bool { return old.Server == c.Server })
	switch {
	case i < 0:
		e.Crashes = append(e.Crashes, c)
	case cmp.Or(cmp.Compare(c.At, e.Crashes[i].At), cmp.Compare(c.Count, e.Crashes[i].Count)) > 0:
		e.Crashes[i] = c
	}
}

func newestFirst(a, b Crash) int {
	return cmp.Or(cmp.Compare(b.At, a.At), cmp.Compare(a.Server, b.Server))
}

func (e Entry) equal(o Entry) bool {
	return e.ClearedAt == o.ClearedAt && e.SoleCauseAt == o.SoleCauseAt && slices.Equal(e.Crashes, o.Crashes)
}

// latest returns the time of the newest crash or clear.
func (e Entry) latest() int64 {
	if len(e.Crashes) > 0 {
		return max(e.Crashes[0].At, e.ClearedAt)
	}
	return e.ClearedAt
}

// State says how a request is treated because of its entry.
type State string

// States of a fingerprint.
const (
	Clear       State = "clear"
	Suspect     State = "suspect"     // a server crashed while it was in flight
	Quarantined State = "quarantined" // refused
)

// state returns the state of the fingerprint. Suspicion and quarantine end
// expiry after the newest crash, and only crashes within expiry of the newest
// one count.
func (e Entry) state(now time.Time, expiry time.Duration) State {
	if len(e.Crashes) == 0 || now.UnixNano()-e.Crashes[0].At >= expiry.Nanoseconds() {
		return Clear
	}
	oldest := e.Crashes[0].At - expiry.Nanoseconds()
	if e.SoleCauseAt > oldest && e.crashedRepeatedly(oldest) {
		return Quarantined
	}
	return Suspect
}

// crashedRepeatedly reports whether the crashes after a time suffice for
// quarantine.
func (e Entry) crashedRepeatedly(after int64) bool {
	servers := 0
	for _, c := range e.Crashes {
		if c.At <= after {
			continue
		}
		servers++
		if c.Count >= crashesOnOneServerToQuarantine {
			return true
		}
	}
	return servers >= crashedServersToQuarantine
}

// servers returns the servers that crashed.
func (e Entry) servers() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		out = append(out, c.Server)
	}
	return out
}
