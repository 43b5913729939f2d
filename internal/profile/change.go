package profile

import (
	"fmt"
	"maps"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// change validates a change record by applying its edits to a copy of the
// entries. The copy becomes the new state only when no edit has a finding.
type change struct {
	before   map[Key]Entry
	epoch    uint32
	rec      Record
	entries  map[Key]Entry
	touched  map[Key]bool
	accepted []Entry
	conflict bool // an edit is based on a version that is not the newest
}

func newChange(s State, rec Record) *change {
	return &change{
		before: s.Entries, epoch: s.Position.Epoch, rec: rec,
		entries: maps.Clone(s.Entries), touched: make(map[Key]bool, len(rec.Edits)),
	}
}

// apply applies every edit to the copy and returns all findings.
func (c *change) apply() finding.List {
	if len(c.rec.Edits) == 0 {
		return finding.List{{Path: "edits", Problem: "a change needs edits", Allowed: "at least one"}}
	}
	var found finding.List
	for i, e := range c.rec.Edits {
		found = append(found, c.applyEdit(i, e)...)
	}
	if len(found) > 0 {
		return found
	}
	found = append(c.checkReferences(), c.checkKeys()...)
	return append(found, c.checkSize()...)
}

func (c *change) applyEdit(i int, e Edit) finding.List {
	if c.touched[e.Key] {
		return finding.List{editFinding(i, e, "document edited twice in one change")}
	}
	c.touched[e.Key] = true
	have, exists := c.before[e.Key]
	if problem := baseConflict(e, have, exists); problem != "" {
		c.conflict = true
		return finding.List{editFinding(i, e, problem)}
	}
	next, found := buildEntry(i, e)
	next.Version = Version{Epoch: max(c.epoch, have.Version.Epoch), Number: have.Version.Number + 1}
	next.Author, next.Time, next.RecordID = c.rec.Author, c.rec.Time, c.rec.ID
	c.entries[e.Key] = next
	c.accepted = append(c.accepted, next)
	return found
}

func editFinding(i int, e Edit, problem string) finding.Finding {
	return finding.Finding{Path: fmt.Sprintf("edits[%d] %s", i, e.Key), Problem: problem}
}

// baseConflict describes the conflict between the base version of an edit and the
// newest version of the document. It returns "" when there is none.
func baseConflict(e Edit, have Entry, exists bool) string {
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

func buildEntry(i int, e Edit) (Entry, finding.List) {
	next := Entry{Key: e.Key}
	switch e.Op {
	case OpRetire:
		if e.Base == nil {
			return next, finding.List{editFinding(i, e, "a retirement needs the version that it retires")}
		}
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
		next.Document, next.doc = docs[0].Canonical(), &docs[0]
		return next, nil
	}
	return next, finding.List{editFinding(i, e, fmt.Sprintf("unknown operation %q", e.Op))}
}

// checkReferences refuses a change after which a service selects a profile
// that is not in force. It checks only selections that the change edits or
// whose profile it edits: a dangling reference that results from a merge of two
// histories must not block unrelated changes.
func (c *change) checkReferences() finding.List {
	var found finding.List
	for k, e := range c.entries {
		if k.Kind != KindSelection || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil {
			continue // cannot happen: accepted documents have been parsed
		}
		target := Key{Kind: KindProfile, Name: doc.Selection.Profile}
		if p, ok := c.entries[target]; (ok && !p.Retired) || !(c.touched[k] || c.touched[target]) {
			continue
		}
		found = append(found, finding.Finding{
			Path:    k.String(),
			Problem: fmt.Sprintf("service %s selects profile %s, which is not in force", doc.Selection.Service, target.Name),
			Allowed: "a published profile; change or retire the selection in the same change",
		})
	}
	found.Sort()
	return found
}
