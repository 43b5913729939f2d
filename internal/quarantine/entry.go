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

// Entry is what is known of one fingerprint. Entries of different nodes join
// to the same result in any order and any number of times.
//
// Times act as versions: a crash counts only if it is later than ClearedAt. A
// node stamps a crash later than the clear that it knows, and a clear no
// earlier than the crashes that it knows, so that clocks that differ do not
// undo what the node has seen. For a crash and a clear that cross in flight,
// the stamps decide, on every node alike.
type Entry struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	Crashes     []Crash     `json:"crashes,omitempty"` // newest first, one for each server
	// SoleAt is the newest crash in which no other request in flight was under
	// suspicion. Crashes of several servers alone do not tell the cause from
	// requests that were in flight beside it each time.
	SoleAt    int64 `json:"soleAt,omitempty"`
	ClearedAt int64 `json:"clearedAt,omitempty"`
}

const (
	// serversToQuarantine is how many different servers must have crashed.
	serversToQuarantine = 2
	// crashesOfOneServer quarantines a fingerprint whose service has a single
	// server. It is higher, since a server may crash again by itself.
	crashesOfOneServer = 3
	// maxCrashes bounds an entry; more crashes change no verdict.
	maxCrashes = 4
)

// join returns the union of two entries of one fingerprint. It takes the
// maximum of each field and then drops what is cleared or over the bound, so
// it is commutative, associative and idempotent.
func join(a, b Entry) Entry {
	out := Entry{Fingerprint: a.Fingerprint, ClearedAt: max(a.ClearedAt, b.ClearedAt)}
	if sole := max(a.SoleAt, b.SoleAt); sole > out.ClearedAt {
		out.SoleAt = sole
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
	i := slices.IndexFunc(e.Crashes, func(have Crash) bool { return have.Server == c.Server })
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
	return e.ClearedAt == o.ClearedAt && e.SoleAt == o.SoleAt && slices.Equal(e.Crashes, o.Crashes)
}

// latest returns the time of the newest crash or clear.
func (e Entry) latest() int64 {
	if len(e.Crashes) > 0 {
		return max(e.Crashes[0].At, e.ClearedAt)
	}
	return e.ClearedAt
}

// State is what an entry means for a request.
type State string

// States of a fingerprint.
const (
	Clear       State = "clear"
	Suspect     State = "suspect"     // a server crashed with it in flight
	Quarantined State = "quarantined" // refused
)

// state returns the meaning of an entry. It lasts for expiry after the newest
// crash, and crashes that are further apart than that do not add up.
func (e Entry) state(now time.Time, expiry time.Duration) State {
	if len(e.Crashes) == 0 || now.UnixNano()-e.Crashes[0].At >= expiry.Nanoseconds() {
		return Clear
	}
	oldest := e.Crashes[0].At - expiry.Nanoseconds()
	if e.SoleAt > oldest && e.repeated(oldest) {
		return Quarantined
	}
	return Suspect
}

// repeated reports whether enough servers crashed after a time.
func (e Entry) repeated(oldest int64) bool {
	servers := 0
	for _, c := range e.Crashes {
		if c.At <= oldest {
			continue
		}
		servers++
		if c.Count >= crashesOfOneServer {
			return true
		}
	}
	return servers >= serversToQuarantine
}

// servers returns the servers that crashed.
func (e Entry) servers() []string {
	out := make([]string, 0, len(e.Crashes))
	for _, c := range e.Crashes {
		out = append(out, c.Server)
	}
	return out
}
