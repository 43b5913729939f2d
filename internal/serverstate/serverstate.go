// Package serverstate decides which status reports of a node's backend server
// to accept. Reports may arrive late, twice, from an earlier start of the server
// or from another server that used its address before. The package does no I/O
// and reads no clock.
package serverstate

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Report is a status report of a backend server.
type Report struct {
	ID        string // instance id, which may be reused
	StartMs   int64  // start time by the server's clock, Unix ms; 0 if a departure names none
	Sequence  int64  // increases with each report of one start
	Service   string
	Address   string
	Slots     int           // calls that it can run at once
	Version   string        // of its software; empty if it names none
	ColdFor   time.Duration // rest of its cold start
	Leaving   bool          // it takes no new calls
	Departure bool          // it was deregistered; the report has no address, service or slots
}

const (
	// maxSlots bounds the slots that a report may claim.
	maxSlots = 1 << 16
	// maxClockAhead is how far a server's start may lie in the future. Clocks of
	// instances differ by seconds; a start years ahead would make every real
	// report look stale.
	maxClockAhead = 24 * time.Hour
)

// Validate reports why a report cannot be from a backend server.
func (r Report) Validate(now time.Time) error {
	switch {
	case r.ID == "":
		return errors.New("the report names no instance")
	case r.StartMs < 0 || r.StartMs > now.Add(maxClockAhead).UnixMilli():
		return errors.Newf("the start %d ms is out of range", r.StartMs)
	case r.Sequence < 0:
		return errors.Newf("the sequence number %d is negative", r.Sequence)
	case !r.Departure && (r.Slots <= 0 || r.Slots > maxSlots):
		return errors.Newf("%d slots are out of range", r.Slots)
	}
	return nil
}

// Errors that Accept returns.
var (
	ErrOtherServer = errors.New("the report comes from another backend server")
	ErrStaleReport = errors.New("a newer report has arrived before")
)

// Tracker holds the newest report of one backend server.
type Tracker struct {
	service string
	address string

	mu       sync.Mutex
	newest   Report // guarded by mu; zero before the first report
	held     bool   // guarded by mu; see Hold
	expected bool   // guarded by mu; see ExpectReport
	// pending is the effect of the reports since Hold, or nil for none; guarded by mu.
	pending *Change
}

// NewTracker returns a Tracker for the backend server of a service at an
// address.
func NewTracker(service, address string) *Tracker {
	return &Tracker{service: service, address: address}
}

// Hold makes reports of a server that takes calls have no effect until Release. A
// node that has just started holds them until it knows what was known of its
// server before: a report that is delivered late may be from before the server's
// departure. That a server leaves has its effect at once.
func (t *Tracker) Hold() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.held = true
}

// Release ends Hold and returns the effect of the reports since then.
func (t *Tracker) Release() Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	pending := t.pending
	t.held, t.pending = false, nil
	if pending == nil || t.newest.Leaving {
		return Change{}
	}
	return Change{Report: t.newest, Started: pending.Started, Changed: true}
}

// Change is the effect of an accepted report.
type Change struct {
	Report  Report
	Started bool // the report is the first one after a start of the server
	Changed bool // the start, the slots, the version or Leaving differ from the newest report before
}

// Accept stores a report and returns its effect, or returns ErrOtherServer or
// ErrStaleReport.
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
		return Change{}, errors.Wrapf(ErrStaleReport, "report %d of start %d is older than report %d of start %d", r.Sequence, r.StartMs, t.newest.Sequence, t.newest.StartMs)
	}
	c := Change{Report: r, Started: r.StartMs != t.newest.StartMs || r.ID != t.newest.ID}
	if !c.Started && t.newest.Leaving {
		r.Leaving, c.Report.Leaving = true, true // Leaving is final until the next start
	}
	c.Changed = c.Started || t.expected || r.Leaving != t.newest.Leaving || r.Slots != t.newest.Slots || r.Version != t.newest.Version
	t.newest, t.expected = r, false
	return t.holdLocked(c), nil
}

// holdLocked keeps the effect of a report back while reports are held, unless the
// server leaves.
func (t *Tracker) holdLocked(c Change) Change {
	if !t.held {
		return c
	}
	if c.Report.Leaving {
		t.pending = nil
		return c
	}
	if c.Changed {
		c.Started = c.Started || t.pending != nil && t.pending.Started
		t.pending = &c
	}
	return Change{Report: c.Report}
}

// MarkLeaving records that the start with an instance id has said in an answer
// that it shuts down. It returns false if that is not the newest start or is known.
func (t *Tracker) MarkLeaving(id string) (Change, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.newest.ID != id || t.newest.Leaving {
		return Change{}, false
	}
	t.newest.Leaving = true
	return Change{Report: t.newest, Changed: true}, true
}

// ExpectReport makes the next report of the start with an instance id count as a
// change, after the inbound proxy has dropped its state: a server at its address
// said that it is another one.
func (t *Tracker) ExpectReport(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expected = t.expected || t.newest.ID == id
}

// staleLocked reports whether a report is older than the newest one. The newest
// report itself is not stale, since a server resends it when the answer was lost.
func (t *Tracker) staleLocked(r Report) bool {
	if r.StartMs != t.newest.StartMs {
		return r.StartMs < t.newest.StartMs
	}
	return r.Sequence < t.newest.Sequence
}

// acceptDepartureLocked stores a departure. It applies to the start that it names,
// or to the newest one of the same instance id if it names none.
func (t *Tracker) acceptDepartureLocked(r Report) (Change, error) {
	if r.StartMs != 0 && r.StartMs < t.newest.StartMs {
		return Change{}, errors.Wrapf(ErrStaleReport, "departure of start %d after start %d", r.StartMs, t.newest.StartMs)
	}
	if t.newest.ID != "" && r.ID != t.newest.ID && r.StartMs <= t.newest.StartMs {
		return Change{}, errors.Wrapf(ErrOtherServer, "departure of %s after a report of %s", r.ID, t.newest.ID)
	}
	next := t.newest
	next.ID, next.Leaving = r.ID, true
	next.StartMs, next.Sequence = max(next.StartMs, r.StartMs), max(next.Sequence, r.Sequence)
	c := Change{Report: next, Changed: !t.newest.Leaving || t.newest.ID != r.ID}
	t.newest = next
	return c, nil
}

// Restore adds what was known of the server before a restart of the node, and
// returns the effect. Of two starts the later one counts. A departure is the last
// word of its start, whatever the sequence numbers: a report that was sent before
// it may arrive after the restart.
func (t *Tracker) Restore(r Report) Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case r.StartMs > t.newest.StartMs:
		t.newest, t.pending = Report{ID: r.ID, StartMs: r.StartMs, Sequence: r.Sequence}, nil
	case r.StartMs < t.newest.StartMs || r.ID != t.newest.ID:
		return Change{}
	}
	t.newest.Sequence = max(t.newest.Sequence, r.Sequence)
	if t.pending != nil {
		t.pending.Started = false // this start is known from before
	}
	if !r.Leaving || t.newest.Leaving {
		return Change{}
	}
	t.newest.Leaving, t.pending = true, nil
	return Change{Report: t.newest, Changed: true}
}
