package profile

import (
	"bytes"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Since returns the checkpoint without what has not changed since a position,
// for a node that holds the configuration of that position.
func (c *Checkpoint) Since(base Position) *Checkpoint {
	out := *c
	out.Entries, out.Kept, out.Changes = nil, nil, nil
	for _, e := range c.Entries {
		if e.Version.Epoch == base.Epoch && e.Version.Number <= uint64(max(base.Offset, 0)) {
			out.Kept = append(out.Kept, KeptDocument{Key: e.Key, Sum: xxhash.Sum64(e.Document)})
			continue
		}
		if change, ok := e.changeSince(uint64(max(base.Offset, 0))); ok && e.Version.Epoch == base.Epoch {
			out.Changes = append(out.Changes, change)
			continue
		}
		out.Entries = append(out.Entries, e)
	}
	return &out
}

// Complete returns the checkpoint with what Since left out, taken from the
// configuration that the node holds.
func (c *Checkpoint) Complete(have State) (*Checkpoint, error) {
	if len(c.Kept) == 0 && len(c.Changes) == 0 {
		return c, nil
	}
	out := *c
	out.Kept, out.Changes = nil, nil
	out.Entries = append([]Entry(nil), c.Entries...)
	for _, change := range c.Changes {
		held, ok := have.Entries[change.Entry.Key]
		if !ok {
			return nil, errors.Newf("%s was reduced to a change and is not held", change.Entry.Key)
		}
		e, err := change.apply(held, uint64(max(c.Through, 0)))
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, e)
	}
	for _, k := range c.Kept {
		e, ok := have.Entries[k.Key]
		if !ok || xxhash.Sum64(e.Document) != k.Sum {
			return nil, errors.Newf("%s was left out of a change and is not held as it was meant", k.Key)
		}
		out.Entries = append(out.Entries, e)
	}
	return &out, nil
}

// CarryOver takes parsed documents and versions over from an older state where
// a document has the same bytes, parses the others and notes which of their
// routes changed, so that a change costs what it changes. It is for states of a source that keeps whole
// configurations, which checks documents when it reads them.
func (s State) CarryOver(older State) error {
	for k, e := range s.Entries {
		if have, ok := older.Entries[k]; ok && have.doc != nil && bytes.Equal(have.Document, e.Document) {
			s.Entries[k] = have
			continue
		}
		if err := e.resolveCanonical(); err != nil {
			return err
		}
		if e.history == nil {
			e.history = historyAfter(older.Entries[k], e, uint64(max(s.Position.Offset, 0)))
		}
		s.Entries[k] = e
	}
	return nil
}

// resolveCanonical parses a document in its canonical form, which needs no
// defaults and no places of findings.
func (e *Entry) resolveCanonical() error {
	if e.Retired || e.doc != nil {
		return nil
	}
	if e.Key.Kind != KindProfile {
		return e.resolve()
	}
	p := &Profile{}
	if err := json.Unmarshal(e.Document, p); err != nil {
		return errors.Wrapf(err, "decode %s", e.Key)
	}
	if p.Kind != KindProfile || p.Name != e.Key.Name {
		return errors.Newf("%s holds another document than its key names", e.Key)
	}
	e.doc = &Document{Profile: p}
	return nil
}
