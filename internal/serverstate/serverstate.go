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
	Born      int64  // start of the server by its own clock, Unix ms; 0 when the report does not say
	Number    int64  // rises with each report of one start
	Service   string
	Address   string
	Slots     int           // calls that it runs at once
	Warmup    time.Duration // how much longer it is slow after its start
	Leaving   bool          // it takes no new work
	Departure bool          // it leaves for good; the report has no address, service or slots
}

// Errors of Accept.
var (
	ErrForeign = errors.New("the report comes from another backend server")
	ErrOld     = errors.New("a newer report has arrived before")
)

// Tracker holds the newest report of one backend server.
type Tracker struct {
	service string
	address string

	mu   sync.Mutex
	last Report // guarded by mu; zero before the first report
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
		return t.departLocked(r)
	}
	if r.Service != t.service || r.Address != t.address {
		return Change{}, errors.Wrapf(ErrForeign, "service %s at %s", r.Service, r.Address)
	}
	if t.olderLocked(r) {
		return Change{}, errors.Wrapf(ErrOld, "report %d of start %d after %d of %d", r.Number, r.Born, t.last.Number, t.last.Born)
	}
	c := Change{Report: r, Started: r.Born != t.last.Born || r.ID != t.last.ID}
	if !c.Started && t.last.Leaving {
		r.Leaving, c.Report.Leaving = true, true // a server that leaves never comes back in one start
	}
	c.Changed = c.Started || r.Leaving != t.last.Leaving || r.Slots != t.last.Slots
	t.last = r
	return c, nil
}

// olderLocked reports whether a report is older than the newest one. The same
// report may come twice, since its answer may have been lost.
func (t *Tracker) olderLocked(r Report) bool {
	if r.Born != t.last.Born {
		return r.Born < t.last.Born
	}
	return r.Number < t.last.Number
}

// departLocked takes a departure over. It holds for the start that it names.
func (t *Tracker) departLocked(r Report) (Change, error) {
	if r.Born != 0 && r.Born < t.last.Born {
		return Change{}, errors.Wrapf(ErrOld, "departure of start %d after %d", r.Born, t.last.Born)
	}
	if t.last.ID != "" && r.ID != t.last.ID && r.Born <= t.last.Born {
		return Change{}, errors.Wrapf(ErrForeign, "departure of %s beside %s", r.ID, t.last.ID)
	}
	next := t.last
	next.ID, next.Leaving = r.ID, true
	next.Born, next.Number = max(next.Born, r.Born), max(next.Number, r.Number)
	c := Change{Report: next, Changed: !t.last.Leaving || t.last.ID != r.ID}
	t.last = next
	return c, nil
}

// Remember takes over what an earlier start of the node knew, so that a
// delayed report does not bring a server back that has left since.
func (t *Tracker) Remember(r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Born > t.last.Born || r.Born == t.last.Born && r.Number > t.last.Number {
		t.last = Report{ID: r.ID, Born: r.Born, Number: r.Number, Leaving: r.Leaving}
	}
}
