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
	maxRecent  = 1024 // change ids kept to detect duplicate records
)

// logStart is the offset of the first record of every log. A reader that
// starts there has missed no record that expired by retention.
const logStart int64 = 0

// Outcome is the result of applying a record.
type Outcome int

// Outcomes of a record.
const (
	OutcomeBuffered Outcome = iota // read before the state machine is anchored; kept until then
	OutcomeAccepted
	OutcomeRefused
	OutcomeRepeated        // a change with this id was applied before
	OutcomeNeedsNewerBuild // needs a newer build; the state is unchanged
	OutcomeOutOfOrder      // below the next offset; the state is unchanged
)

// Verdict is the outcome of one record with its details.
type Verdict struct {
	Outcome  Outcome
	Refusal  *Refusal // set with OutcomeRefused
	Accepted []Entry  // new versions of an accepted change, in the order of its edits
	Replayed []Replay // buffered records, when this one anchored the state machine
}

// Replay is the verdict of a buffered record.
type Replay struct {
	Offset  int64
	Verdict Verdict
}

// decodedRecord is a record at an offset of the log, or the error from decoding
// it.
type decodedRecord struct {
	offset int64
	rec    Record
	err    error
}

// StateMachine turns the records of one log into states. Records must be
// applied in offset order. It is not safe for concurrent use; State values may
// be shared.
//
// It is anchored once it has a state to apply records to, from a genesis
// record or a checkpoint. The state at an offset depends only on the log: a
// reader that starts from a checkpoint reaches the same state as one that
// started at offset 0.
type StateMachine struct {
	state    State
	anchored bool
	blocked  bool            // a record with a newer schema was read
	first    int64           // first offset read before it was anchored
	next     int64           // lowest offset accepted next
	buffer   []decodedRecord // records read before it was anchored
}

// NewStateMachine returns a state machine that reads a log from offset first
// and is anchored by a genesis record or a checkpoint. first must be the first
// retained offset of the log.
func NewStateMachine(first int64) *StateMachine {
	return &StateMachine{first: first, next: first, state: State{Entries: map[Key]Entry{}}}
}

// NewStateMachineFrom returns a state machine that continues from a state.
func NewStateMachineFrom(s State) *StateMachine {
	return &StateMachine{state: s, anchored: true, next: s.Position.Offset + 1}
}

// Anchored reports whether there is a state to apply records to.
func (m *StateMachine) Anchored() bool { return m.anchored }

// Blocked reports whether a record had a schema that this build does not know.
// No record is applied after that.
func (m *StateMachine) Blocked() bool { return m.blocked }

// Next returns the lowest offset that Apply accepts next.
func (m *StateMachine) Next() int64 { return m.next }

// State returns the state after the last applied record.
func (m *StateMachine) State() State { return m.state }

// Apply applies the record at an offset. Offsets may have gaps, since a log
// service may skip some, but must increase.
func (m *StateMachine) Apply(offset int64, data []byte) Verdict {
	if offset < m.next {
		return Verdict{Outcome: OutcomeOutOfOrder}
	}
	// The state machine stays blocked: since gaps in offsets are allowed, the
	// record after the unknown one would otherwise be applied.
	if m.blocked || schemaOf(data) > SchemaVersion {
		m.blocked = true
		return Verdict{Outcome: OutcomeNeedsNewerBuild}
	}
	m.next = offset + 1
	rec, err := decodeRecord(data)
	r := decodedRecord{offset: offset, rec: rec, err: err}
	if m.anchored {
		return m.applyRecord(r)
	}
	start, ok := m.initialState(r)
	if !ok {
		m.buffer = append(m.buffer, r)
		return Verdict{Outcome: OutcomeBuffered}
	}
	replayed := m.anchor(start)
	v := m.applyRecord(r)
	v.Replayed = replayed
	return v
}

// schemaOf decodes only the schema, since the rest of a record with a newer
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
	if err := checkIDAndAuthor(rec); err != nil {
		return Record{}, err
	}
	if rec.Kind != RecordCheckpoint {
		return rec, nil
	}
	if rec.Checkpoint == nil {
		return Record{ID: rec.ID}, errors.New("checkpoint without a state")
	}
	if err := rec.Checkpoint.validate(); err != nil {
		return Record{ID: rec.ID}, err
	}
	return rec, nil
}

// initialState returns the initial state when the record is a genesis record
// or a checkpoint that leaves no gap before the first offset read. The record
// itself still has to be applied.
func (m *StateMachine) initialState(r decodedRecord) (State, bool) {
	switch {
	case r.err != nil:
		return State{}, false
	case r.rec.Kind == RecordGenesis && m.first == logStart:
		// A later genesis record has no effect on readers that applied the
		// first, so it must not anchor readers that did not.
		return State{Position: Position{Epoch: firstEpoch, Offset: NoOffset}, Entries: map[Key]Entry{}}, true
	case r.rec.Kind == RecordCheckpoint && m.coversStart(r):
		return r.rec.Checkpoint.uncheckedState(), true
	}
	return State{}, false
}

// coversStart reports whether the record's checkpoint belongs to this log and
// leaves no gap before the first offset read.
func (m *StateMachine) coversStart(r decodedRecord) bool {
	c := r.rec.Checkpoint
	if c.Through+1 < m.first || c.Through >= r.offset {
		return false
	}
	for _, b := range m.buffer {
		if b.offset == c.Through {
			return b.rec.ID == c.ThroughID // another id: the checkpoint belongs to a lost log
		}
	}
	return true
}

// anchor sets the initial state and applies the buffered records after it.
// When the state covers no offset of this log, the buffered changes were
// appended before there was a state to validate them against, and are refused.
func (m *StateMachine) anchor(s State) []Replay {
	buffered := m.buffer
	m.state, m.anchored, m.buffer = s, true, nil
	var replayed []Replay
	for _, b := range buffered {
		if b.offset <= s.Position.Offset {
			continue
		}
		v := m.replay(b, s.Position.Offset == NoOffset)
		replayed = append(replayed, Replay{Offset: b.offset, Verdict: v})
	}
	return replayed
}

func (m *StateMachine) replay(r decodedRecord, unanchored bool) Verdict {
	if unanchored && r.err == nil && r.rec.Kind == RecordChange {
		return m.refuseUnanchored(r)
	}
	return m.applyRecord(r)
}

func (m *StateMachine) refuseUnanchored(r decodedRecord) Verdict {
	if m.isRecent(r.rec.ID) {
		return Verdict{Outcome: OutcomeRepeated}
	}
	m.addRecent(r.rec.ID)
	return m.refuse(r, false, finding.List{{
		Problem: "log not anchored", Allowed: "changes after the genesis record or the checkpoint of a restarted log",
	}})
}

// applyRecord applies one decoded record. The state machine must be anchored.
func (m *StateMachine) applyRecord(r decodedRecord) Verdict {
	v := m.applyByKind(r)
	m.state.Position.Offset = r.offset
	m.state.LastID = r.rec.ID
	return v
}

func (m *StateMachine) applyByKind(r decodedRecord) Verdict {
	if r.err != nil {
		return m.refuse(r, false, finding.List{{Problem: "unreadable record: " + r.err.Error()}})
	}
	switch r.rec.Kind {
	case RecordGenesis:
		return Verdict{Outcome: OutcomeAccepted} // no effect on an existing configuration
	case RecordChange:
		return m.applyChange(r)
	case RecordCheckpoint:
		return m.applyCheckpoint(r)
	}
	return m.refuse(r, false, finding.List{{Problem: fmt.Sprintf("unknown kind of record %q", r.rec.Kind)}})
}

// applyCheckpoint adopts documents of which the checkpoint has a higher
// version. Within one history there are none; after the log was lost, the
// first checkpoint may have come from a node that was behind.
func (m *StateMachine) applyCheckpoint(r decodedRecord) Verdict {
	c := r.rec.Checkpoint
	if c.Through >= r.offset {
		return m.refuse(r, false, finding.List{{
			Problem: fmt.Sprintf("checkpoint covers offset %d, which this log had not reached: it is of a lost log", c.Through),
		}})
	}
	m.state = Merge(m.state, c.uncheckedState())
	m.state.Position.Epoch = max(m.state.Position.Epoch, c.Epoch)
	return Verdict{Outcome: OutcomeAccepted}
}

func (m *StateMachine) applyChange(r decodedRecord) Verdict {
	if m.isRecent(r.rec.ID) {
		return Verdict{Outcome: OutcomeRepeated}
	}
	m.addRecent(r.rec.ID)
	c := newChange(m.state, r.rec)
	if found := c.apply(); len(found) > 0 {
		return m.refuse(r, c.conflict, found)
	}
	m.state.Entries = c.entries
	return Verdict{Outcome: OutcomeAccepted, Accepted: c.accepted}
}

func (m *StateMachine) isRecent(id string) bool { return slices.Contains(m.state.Recent, id) }

func (m *StateMachine) addRecent(id string) {
	m.state.Recent = lastN(append(slices.Clone(m.state.Recent), id), maxRecent)
}

func (m *StateMachine) refuse(r decodedRecord, conflict bool, found finding.List) Verdict {
	refusal := truncateRefusal(Refusal{
		RecordID: r.rec.ID, Author: r.rec.Author, Time: r.rec.Time, Keys: r.rec.keys(), Conflict: conflict, Findings: found,
		Position: Position{Epoch: m.state.Position.Epoch, Offset: r.offset},
	})
	m.state.Refused = lastN(append(slices.Clone(m.state.Refused), refusal), maxRefused)
	return Verdict{Outcome: OutcomeRefused, Refusal: &refusal}
}

func lastN[T any](list []T, count int) []T {
	return list[max(0, len(list)-count):]
}
