package profile

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

const (
	maxRefused = 64   // refusals kept for operators
	maxRecent  = 1024 // change ids kept to recognise repeated records
)

// State is the configuration at a position. Its maps are not changed after
// publication: the fold copies before it writes.
type State struct {
	Position Position
	Entries  map[Key]Entry
	Refused  []Refusal
	Recent   []string
}

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
	Outcome Outcome
	Refusal *Refusal // set with OutcomeRefused
}

type bufferedRecord struct {
	offset int64
	rec    Record
}

// Fold turns the records of one log into states. Records must come in offset
// order. A Fold belongs to one goroutine; State values may be shared.
type Fold struct {
	state    State
	anchored bool
	first    int64 // first offset read while not anchored
	next     int64 // offset expected next
	buffer   []bufferedRecord
}

// NewFold returns a fold that reads a log from its offset first and waits for
// a genesis record or a checkpoint.
func NewFold(first int64) *Fold {
	return &Fold{first: first, next: first, state: State{Entries: map[Key]Entry{}}}
}

// NewFoldFrom returns a fold that continues from a state.
func NewFoldFrom(s State) *Fold {
	return &Fold{state: s, anchored: true, next: s.Position.Offset + 1}
}

// Anchored reports whether the fold holds a state.
func (f *Fold) Anchored() bool { return f.anchored }

// Next returns the offset that the fold expects next.
func (f *Fold) Next() int64 { return f.next }

// State returns the state at the last record folded.
func (f *Fold) State() State { return f.state }

// Apply folds the record at an offset. Offsets may have gaps, since a service
// may leave out offsets, but never go down.
func (f *Fold) Apply(offset int64, data []byte) Verdict {
	if offset < f.next {
		return Verdict{Outcome: OutcomeOutOfOrder}
	}
	rec, err := decodeRecord(data)
	if err == nil && rec.Schema > SchemaVersion {
		return Verdict{Outcome: OutcomeNewSchema}
	}
	f.next = offset + 1
	if !f.anchored {
		return f.applyUnanchored(offset, rec, err)
	}
	return f.applyAnchored(offset, rec, err)
}

func decodeRecord(data []byte) (Record, error) {
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return Record{}, err
	}
	if rec.ID == "" {
		return Record{}, fmt.Errorf("record without id")
	}
	return rec, nil
}

// applyUnanchored buffers until a genesis record or a checkpoint that leaves
// no gap to the first offset read.
func (f *Fold) applyUnanchored(offset int64, rec Record, err error) Verdict {
	switch {
	case err != nil:
		rec = Record{}
	case rec.Kind == RecordGenesis:
		f.anchor(State{Position: Position{Era: 1, Offset: offset}, Entries: map[Key]Entry{}})
		return Verdict{Outcome: OutcomeAccepted}
	case rec.Kind == RecordCheckpoint && rec.Checkpoint != nil && rec.Checkpoint.Through+1 >= f.first:
		return f.anchorAt(offset, rec.Checkpoint)
	case rec.Kind == RecordCheckpoint && rec.Checkpoint != nil && rec.Checkpoint.Through == NoOffset:
		return f.anchorAt(offset, rec.Checkpoint)
	}
	f.buffer = append(f.buffer, bufferedRecord{offset: offset, rec: rec})
	return Verdict{Outcome: OutcomeBuffered}
}

func (f *Fold) anchor(s State) {
	f.state = s
	f.anchored = true
	f.buffer = nil
}

// anchorAt starts from a checkpoint and folds the buffered records that it
// does not cover. A checkpoint that covers no offset opens an era: what stands
// before it was written to a log without a state and is left out.
func (f *Fold) anchorAt(offset int64, c *Checkpoint) Verdict {
	buffered := f.buffer
	f.anchor(stateOf(c))
	if c.Through != NoOffset {
		for _, b := range buffered {
			if b.offset > c.Through {
				f.applyRecord(b.offset, b.rec)
			}
		}
	}
	f.state.Position.Offset = offset
	return Verdict{Outcome: OutcomeAccepted}
}

func stateOf(c *Checkpoint) State {
	entries := make(map[Key]Entry, len(c.Entries))
	for _, e := range c.Entries {
		entries[e.Key] = e
	}
	return State{
		Position: Position{Era: c.Era, Offset: c.Through},
		Entries:  entries, Refused: c.Refused, Recent: c.Recent,
	}
}

func (f *Fold) applyAnchored(offset int64, rec Record, err error) Verdict {
	if err != nil {
		v := f.refuse(offset, rec, false, finding.List{{Problem: "unreadable record: " + err.Error()}})
		f.state.Position.Offset = offset
		return v
	}
	return f.applyRecord(offset, rec)
}

func (f *Fold) applyRecord(offset int64, rec Record) Verdict {
	defer func() { f.state.Position.Offset = offset }()
	switch rec.Kind {
	case RecordChange:
		return f.applyChange(offset, rec)
	case RecordCheckpoint:
		if rec.Checkpoint != nil {
			f.join(rec.Checkpoint)
		}
	}
	return Verdict{Outcome: OutcomeAccepted}
}

// join takes over documents that the checkpoint has in a higher version. In
// one lineage there are none; after a log was lost, the first checkpoint may
// have come from a node that was behind.
func (f *Fold) join(c *Checkpoint) {
	f.state = Join(f.state, stateOf(c))
}

// Join returns a with each document of b that has a higher version there.
// The position stays a's.
func Join(a, b State) State {
	out := a
	copied := false
	for k, e := range b.Entries {
		if have, ok := a.Entries[k]; ok && have.Version.Compare(e.Version) >= 0 {
			continue
		}
		if !copied {
			out.Entries = maps.Clone(a.Entries)
			copied = true
		}
		if out.Entries == nil {
			out.Entries = map[Key]Entry{}
		}
		out.Entries[k] = e
	}
	return out
}

func (f *Fold) applyChange(offset int64, rec Record) Verdict {
	if slices.Contains(f.state.Recent, rec.ID) {
		return Verdict{Outcome: OutcomeRepeated}
	}
	f.remember(rec.ID)
	next, conflict, found := applyEdits(f.state, rec)
	if len(found) > 0 {
		return f.refuse(offset, rec, conflict, found)
	}
	f.state.Entries = next
	return Verdict{Outcome: OutcomeAccepted}
}

func (f *Fold) remember(id string) {
	recent := append(slices.Clone(f.state.Recent), id)
	if len(recent) > maxRecent {
		recent = recent[len(recent)-maxRecent:]
	}
	f.state.Recent = recent
}

func (f *Fold) refuse(offset int64, rec Record, conflict bool, found finding.List) Verdict {
	r := Refusal{
		RecordID: rec.ID, Author: rec.Author, Time: rec.Time, Conflict: conflict, Findings: found,
		Position: Position{Era: f.state.Position.Era, Offset: offset},
	}
	refused := append(slices.Clone(f.state.Refused), r)
	if len(refused) > maxRefused {
		refused = refused[len(refused)-maxRefused:]
	}
	f.state.Refused = refused
	return Verdict{Outcome: OutcomeRefused, Refusal: &r}
}

// applyEdits returns the entries after a change, or every finding against it.
func applyEdits(s State, rec Record) (entries map[Key]Entry, conflict bool, found finding.List) {
	entries = maps.Clone(s.Entries)
	seen := make(map[Key]bool)
	for i, e := range rec.Edits {
		if seen[e.Key] {
			found = append(found, editFinding(i, e, "document edited twice in one change"))
			continue
		}
		seen[e.Key] = true
		have, exists := s.Entries[e.Key]
		if problem := checkBase(e, have, exists); problem != "" {
			conflict = true
			found = append(found, editFinding(i, e, problem))
			continue
		}
		next, bad := applyEdit(s.Position.Era, i, e, have)
		found = append(found, bad...)
		next.Author, next.Time, next.RecordID = rec.Author, rec.Time, rec.ID
		entries[e.Key] = next
	}
	if len(found) == 0 {
		found = checkReferences(entries)
	}
	return entries, conflict, found
}

func editFinding(i int, e Edit, problem string) finding.Finding {
	return finding.Finding{Path: fmt.Sprintf("edits[%d] %s", i, e.Key), Problem: problem}
}

// checkBase returns the conflict between the version that an edit revises
// and the newest one, or "".
func checkBase(e Edit, have Entry, exists bool) string {
	live := exists && !have.Retired
	switch {
	case e.Base == nil && live:
		return fmt.Sprintf("already at version %s by %s", have.Version, have.Author)
	case e.Base != nil && !live:
		return fmt.Sprintf("revises version %s, but the document is not in force", e.Base)
	case e.Base != nil && e.Base.Compare(have.Version) != 0:
		return fmt.Sprintf("revises version %s, but the newest is %s by %s", e.Base, have.Version, have.Author)
	}
	return ""
}

func applyEdit(era uint32, i int, e Edit, have Entry) (Entry, finding.List) {
	next := Entry{Key: e.Key, Version: Version{Era: era, Number: have.Version.Number + 1}}
	switch e.Op {
	case OpRetire:
		next.Retired = true
		return next, nil
	case OpPublish:
		docs, found := ParseFile(fmt.Sprintf("edits[%d]", i), e.Document)
		if len(found) > 0 {
			return next, found
		}
		if len(docs) != 1 || docs[0].Key() != e.Key {
			return next, finding.List{editFinding(i, e, "the document is another one than the edit names")}
		}
		next.Document = docs[0].Canonical()
		return next, nil
	}
	return next, finding.List{editFinding(i, e, fmt.Sprintf("unknown operation %q", e.Op))}
}

// checkReferences refuses a configuration in which a service selects a
// profile that is not in force.
func checkReferences(entries map[Key]Entry) finding.List {
	var found finding.List
	for k, e := range entries {
		if k.Kind != KindSelection || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil || doc.Selection == nil {
			continue // checked when it was accepted
		}
		p, ok := entries[Key{Kind: KindProfile, Name: doc.Selection.Profile}]
		if !ok || p.Retired {
			found = append(found, finding.Finding{
				Path:    k.String(),
				Problem: fmt.Sprintf("service %s selects profile %s, which is not in force", doc.Selection.Service, doc.Selection.Profile),
				Allowed: "a published profile; change or retire the selection in the same change",
			})
		}
	}
	found.Sort()
	return found
}

// Parse returns the document of an entry that is in force.
func (e Entry) Parse() (Document, error) {
	docs, found := ParseFile(e.Key.String(), bytes.Clone(e.Document))
	if err := found.Err(); err != nil {
		return Document{}, err
	}
	if len(docs) != 1 {
		return Document{}, fmt.Errorf("%s: want one document, got %d", e.Key, len(docs))
	}
	return docs[0], nil
}

// CheckpointOf returns the checkpoint of a state for the log that it was
// folded from.
func CheckpointOf(s State) *Checkpoint {
	return &Checkpoint{
		Era: s.Position.Era, Through: s.Position.Offset,
		Entries: s.Sorted(), Recent: s.Recent, Refused: s.Refused,
	}
}

// Sorted returns the entries in the order of their keys.
func (s State) Sorted() []Entry {
	out := make([]Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		return bytes.Compare([]byte(a.Key.String()), []byte(b.Key.String()))
	})
	return out
}
