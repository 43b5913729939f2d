package profile

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Since returns the checkpoint without the documents that have not changed
// since a position, for a node that holds the configuration of that position.
func (c *Checkpoint) Since(base Position) *Checkpoint {
	out := *c
	out.Entries, out.Kept = nil, nil
	for _, e := range c.Entries {
		if e.Version.Era == base.Era && e.Version.Number <= uint64(max(base.Offset, 0)) {
			out.Kept = append(out.Kept, e.Key)
			continue
		}
		out.Entries = append(out.Entries, e)
	}
	return &out
}

// Complete returns the checkpoint with the documents that Since left out,
// taken from the configuration that the node holds.
func (c *Checkpoint) Complete(have State) (*Checkpoint, error) {
	if len(c.Kept) == 0 {
		return c, nil
	}
	out := *c
	out.Kept = nil
	out.Entries = append([]Entry(nil), c.Entries...)
	for _, k := range c.Kept {
		e, ok := have.Entries[k]
		if !ok {
			return nil, errors.Newf("%s was left out of a change and is not held", k)
		}
		out.Entries = append(out.Entries, e)
	}
	return &out, nil
}

// CarryOver takes parsed documents and versions over from an older state where
// a document has the same bytes, and parses the others, so that a change costs
// what it changes. It is for states of a source that keeps whole
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
