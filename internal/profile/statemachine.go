package profile

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

const (
	maxRefused = 64   // refusals kept for operators
	maxRecent  = 1024 // change ids kept to recognise repeated records
)

// logStart is the offset of the first record that a log ever holds. A reader
// that starts there has missed nothing to retention.
const logStart int64 = 0

// Outcome is what the fold made of a record.
type Outcome int

// Outcomes of a record.
const (
	OutcomeBuffered Outcome = iota // read before any anchor; kept until one comes
	OutcomeAccepted
	OutcomeRefused
	OutcomeRepeated   // an id that was folded before
	OutcomeNewSchema  // needs a newer build; the fold stays where it is
	OutcomeOutOfOrder // not the next offset; the fold stays where it is
)

// Verdict is the result of one record.
type Verdict struct {
	Outcome  Outcome
	Refusal  *Refusal // set with OutcomeRefused
	Accepted []Entry  // versions that an accepted change made, in the order of its edits
	Replayed []Replay // records buffered until this one, which anchored the fold
}

// Replay is the verdict of a record that was buffered.
type Replay struct {
	Offset  int64
	Verdict Verdict
}

// reading is a record as it was read, or the reason why it is unreadable.
type reading struct {
	offset int64
	rec    Record
	err    error
}

// StateMachine turns the records of one log into states. Records must come in offset
// order. A Fold belongs to one goroutine; State values may be shared.
//
// The state at an offset depends only on the log: a reader that starts from a
// checkpoint reaches the same one as a reader that started at offset 0.
type StateMachine struct {
	state    State
	anchored bool
	blocked  bool      // a record with a newer schema was met
	first    int64     // first offset read while not anchored
	next     int64     // offset expected next
	buffer   []reading // read while not anchored
}

// NewStateMachine returns a fold that reads a log from its offset first and waits for
// a genesis record or a checkpoint. First must be the first retained offset.
func NewStateMachine(first int64) *StateMachine {
	return &StateMachine{first: first, next: first, state: State{Entries: map[Key]Entry{}}}
}

// NewStateMachineFrom returns a fold that continues from a state.
func NewStateMachineFrom(s State) *StateMachine {
	return &StateMachine{state: s, anchored: true, next: s.Position.Offset + 1}
}

// Anchored reports whether the fold holds a state.
func (f *StateMachine) Anchored() bool { return f.anchored }

// Blocked reports whether the fold met a record with a schema that this build
// does not know. It folds nothing after that.
func (f *StateMachine) Blocked() bool { return f.blocked }

// Next returns the offset that the fold expects next.
func (f *StateMachine) Next() int64 { return f.next }

// State returns the state at the last record folded.
func (f *StateMachine) State() State { return f.state }

// Apply folds the record at an offset. Offsets may have gaps, since a service
// may leave out offsets, but never go down.
func (f *StateMachine) Apply(offset int64, data []byte) Verdict {
	if offset < f.next {
		return Verdict{Outcome: OutcomeOutOfOrder}
	}
	// The fold stays blocked: a gap in offsets would otherwise let the record
	// after the unknown one pass.
	if f.blocked || schemaOf(data) > SchemaVersion {
		f.blocked = true
		return Verdict{Outcome: OutcomeNewSchema}
	}
	f.next = offset + 1
	rec, err := decodeRecord(data)
	r := reading{offset: offset, rec: rec, err: err}
	if f.anchored {
		return f.fold(r)
	}
	start, ok := f.startAt(r)
	if !ok {
		f.buffer = append(f.buffer, r)
		return Verdict{Outcome: OutcomeBuffered}
	}
	replayed := f.anchor(start)
	v := f.fold(r)
	v.Replayed = replayed
	return v
}

// schemaOf reads only the schema, since the rest of a record with a newer
// schema may not decode.
func schemaOf(data []byte) int {
	var head struct {
		Schema int `json:"schema"`
	}
	if json.Unmarshal(data, &head) != nil {
		return 0
	}
	return head.Schema
}

func decodeRecord(data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, err
	}
	if err := checkSigned(rec); err != nil {
		return Record{}, err
	}
	if rec.Kind != RecordCheckpoint {
		return rec, nil
	}
	if rec.Checkpoint == nil {
		return Record{ID: rec.ID}, errors.New("checkpoint without a state")
	}
	if err := rec.Checkpoint.resolve(); err != nil {
		return Record{ID: rec.ID}, err
	}
	return rec, nil
}

// startAt returns the state to start from when the record is a genesis record
// or a checkpoint that leaves no gap to the first offset read. The record
// itself is still to be folded.
func (f *StateMachine) startAt(r reading) (State, bool) {
	switch {
	case r.err != nil:
		return State{}, false
	case r.rec.Kind == RecordGenesis && f.first == logStart:
		// A later genesis record has no effect on readers that saw the first,
		// so it must not be a start for readers that did not.
		return State{Position: Position{Epoch: firstEra, Offset: NoOffset}, Entries: map[Key]Entry{}}, true
	case r.rec.Kind == RecordCheckpoint && f.startsFrom(r):
		return r.rec.Checkpoint.state(), true
	}
	return State{}, false
}

func (f *StateMachine) startsFrom(r reading) bool {
	c := r.rec.Checkpoint
	if c.Through+1 < f.first || c.Through >= r.offset {
		return false
	}
	for _, b := range f.buffer {
		if b.offset == c.Through {
			return b.rec.ID == c.ThroughID // another id: the checkpoint is of a lost log
		}
	}
	return true
}

// anchor starts from a state and folds the buffered records after it. When
// the state covers no offset of this log, the changes before it were written
// to a log without a state, so nothing could be checked against them.
func (f *StateMachine) anchor(s State) []Replay {
	buffered := f.buffer
	f.state, f.anchored, f.buffer = s, true, nil
	var replayed []Replay
	for _, b := range buffered {
		if b.offset <= s.Position.Offset {
			continue
		}
		v := f.replay(b, s.Position.Offset == NoOffset)
		replayed = append(replayed, Replay{Offset: b.offset, Verdict: v})
	}
	return replayed
}

func (f *StateMachine) replay(r reading, unanchored bool) Verdict {
	if unanchored && r.err == nil && r.rec.Kind == RecordChange {
		return f.refuseUnanchored(r)
	}
	return f.fold(r)
}

func (f *StateMachine) refuseUnanchored(r reading) Verdict {
	if f.repeated(r.rec.ID) {
		return Verdict{Outcome: OutcomeRepeated}
	}
	f.remember(r.rec.ID)
	return f.refuse(r, false, finding.List{{
		Problem: "log not anchored", Allowed: "changes after the genesis record or the checkpoint of a restarted log",
	}})
}

// fold takes one record into the state of an anchored fold.
func (f *StateMachine) fold(r reading) Verdict {
	v := f.decide(r)
	f.state.Position.Offset = r.offset
	f.state.LastID = r.rec.ID
	return v
}

func (f *StateMachine) decide(r reading) Verdict {
	if r.err != nil {
		return f.refuse(r, false, finding.List{{Problem: "unreadable record: " + r.err.Error()}})
	}
	switch r.rec.Kind {
	case RecordGenesis:
		return Verdict{Outcome: OutcomeAccepted} // no effect on a configuration that exists
	case RecordChange:
		return f.applyChange(r)
	case RecordCheckpoint:
		return f.applyCheckpoint(r)
	}
	return f.refuse(r, false, finding.List{{Problem: fmt.Sprintf("unknown kind of record %q", r.rec.Kind)}})
}

// applyCheckpoint takes over documents that the checkpoint has in a higher
// version. In one lineage there are none; after a log was lost, the first
// checkpoint may have come from a node that was behind.
func (f *StateMachine) applyCheckpoint(r reading) Verdict {
	c := r.rec.Checkpoint
	if c.Through >= r.offset {
		return f.refuse(r, false, finding.List{{
			Problem: fmt.Sprintf("checkpoint covers offset %d, which this log had not reached: it is of a lost log", c.Through),
		}})
	}
	f.state = Join(f.state, c.state())
	f.state.Position.Epoch = max(f.state.Position.Epoch, c.Epoch)
	return Verdict{Outcome: OutcomeAccepted}
}

func (f *StateMachine) applyChange(r reading) Verdict {
	if f.repeated(r.rec.ID) {
		return Verdict{Outcome: OutcomeRepeated}
	}
	f.remember(r.rec.ID)
	c := newChange(f.state, r.rec)
	if found := c.apply(); len(found) > 0 {
		return f.refuse(r, c.conflict, found)
	}
	f.state.Entries = c.entries
	return Verdict{Outcome: OutcomeAccepted, Accepted: c.accepted}
}

func (f *StateMachine) repeated(id string) bool { return slices.Contains(f.state.Recent, id) }

func (f *StateMachine) remember(id string) {
	f.state.Recent = lastOf(append(slices.Clone(f.state.Recent), id), maxRecent)
}

func (f *StateMachine) refuse(r reading, conflict bool, found finding.List) Verdict {
	refusal := bounded(Refusal{
		RecordID: r.rec.ID, Author: r.rec.Author, Time: r.rec.Time, Keys: r.rec.keys(), Conflict: conflict, Findings: found,
		Position: Position{Epoch: f.state.Position.Epoch, Offset: r.offset},
	})
	f.state.Refused = lastOf(append(slices.Clone(f.state.Refused), refusal), maxRefused)
	return Verdict{Outcome: OutcomeRefused, Refusal: &refusal}
}

func lastOf[T any](list []T, count int) []T {
	return list[max(0, len(list)-count):]
}
