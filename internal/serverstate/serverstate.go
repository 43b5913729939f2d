// Package serverstate decides which status reports of the backend server
// beside a node hold. Reports may arrive late, twice, from an earlier start of
// the server or from one that had its address before. The package does no I/O
// and reads no clock.
package serverstate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is what a backend server says of itself.
type Report struct {
	ID        string // of this start of the server; an id may be used again
	StartMs   int64  // start of the server by its own clock, Unix ms; 0 when the report does not say
	Sequence  int64  // rises with each report of one start
	Service   string
	Address   string
	Slots     int           // calls that it runs at once
	Warmup    time.Duration // how much longer it is slow after its start
	Leaving   bool          // it takes no new work
	Departure bool          // it leaves for good; the report has no address, service or slots
}

// Errors of Accept.
var (
	ErrOtherServer = errors.New("the report comes from another backend server")
	ErrStaleReport = errors.New("a newer report has arrived before")
)

// Tracker holds the newest report of one backend server.
type Tracker struct {
	service string
	address string

	mu     sync.Mutex
	newest Report // guarded by mu; zero before the first report
}

// NewTracker returns a Tracker for the backend server of a service at an
// address.
func NewTracker(service, address string) *Tracker {
	return &Tracker{service: service, address: address}
}

// Change is what an accepted report changes.
type Change struct {
	Report  Report
	Started bool // the first report of a start of the server
	Changed bool // the state, the slots or the start differ from before
}

// Accept takes a report over or says why it does not hold.
func (t *Tracker) Accept(r Report) (Change, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Departure {
		return t.acceptDepartureLocked(r)
	}
	if r.Service != t.service || r.Address != t.address {
		return Change{}, errors.Wrapf(ErrOtherServer, "service %s at %s", r.Service, r.Address)
	}
	if t.staleLocked(r) {
		return Change{}, errors.Wrapf(ErrStaleReport, "report %d of start %d after %d of %d", r.Sequence, r.StartMs, t.newest.Sequence, t.newest.StartMs)
	}
	c := Change{Report: r, Started: r.StartMs != t.newest.StartMs || r.ID != t.newest.ID}
	if !c.Started && t.newest.Leaving {
		r.Leaving, c.Report.Leaving = true, true // a server that leaves never comes back in one start
	}
	c.Changed = c.Started || r.Leaving != t.newest.Leaving || r.Slots != t.newest.Slots
	t.newest = r
	return c, nil
}

// staleLocked reports whether a report is older than the newest one. The same
// report may come twice, since its answer may have been lost.
func (t *Tracker) staleLocked(r Report) bool {
	if r.StartMs != t.newest.StartMs {
		return r.StartMs < t.newest.StartMs
	}
	return r.Sequence < t.newest.Sequence
}

// acceptDepartureLocked takes a departure over. It holds for the start that it names.
func (t *Tracker) acceptDepartureLocked(r Report) (Change, error) {
	if r.StartMs != 0 && r.StartMs < t.newest.StartMs {
		return Change{}, errors.Wrapf(ErrStaleReport, "departure of start %d after %d", r.StartMs, t.newest.StartMs)
	}
	if t.newest.ID != "" && r.ID != t.newest.ID && r.StartMs <= t.newest.StartMs {
		return Change{}, errors.Wrapf(ErrOtherServer, "departure of %s beside %s", r.ID, t.newest.ID)
	}
	next := t.newest
	next.ID, next.Leaving = r.ID, true
	next.StartMs, next.Sequence = max(next.StartMs, r.StartMs), max(next.Sequence, r.Sequence)
	c := Change{Report: next, Changed: !t.newest.Leaving || t.newest.ID != r.ID}
	t.newest = next
	return c, nil
}

// Restore takes over what an earlier start of the node knew, so that a
// delayed report does not bring a server back that has left since.
func (t *Tracker) Restore(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.StartMs > t.newest.StartMs || r.StartMs == t.newest.StartMs && r.Sequence > t.newest.Sequence {
		t.newest = Report{ID: r.ID, StartMs: r.StartMs, Sequence: r.Sequence, Leaving: r.Leaving}
	}
}
