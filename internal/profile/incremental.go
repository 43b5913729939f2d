package profile

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Since returns the checkpoint reduced to what has changed since a position,
// for a node that holds the configuration of that position. It is meant for a
// Source, whose documents have the offset of a configuration as version number.
func (c *Checkpoint) Since(base Position) *Checkpoint {
	out := *c
	out.Entries, out.Unchanged, out.Deltas = nil, nil, nil
	var organisations []Entry
	for _, e := range c.Entries {
		if e.Version.Epoch == base.Epoch && e.Version.Number <= uint64(max(base.Offset, 0)) {
			if e.Key.Kind == KindOrganisation {
				organisations = append(organisations, e)
				continue
			}
			out.Unchanged = append(out.Unchanged, UnchangedDocument{Key: e.Key, Hash: xxhash.Sum64(e.Document)})
			continue
		}
		if delta, ok := e.deltaSince(uint64(max(base.Offset, 0))); ok && e.Version.Epoch == base.Epoch {
			out.Deltas = append(out.Deltas, delta)
			continue
		}
		out.Entries = append(out.Entries, e)
	}
	out.UnchangedOrganisations = newUnchangedSet(organisations)
	return &out
}

// newUnchangedSet returns the set of some entries, nil for none.
func newUnchangedSet(entries []Entry) *UnchangedSet {
	if len(entries) == 0 {
		return nil
	}
	set := &UnchangedSet{Hash: hashOfEntries(entries)}
	for _, e := range entries {
		set.NameHashes = appendNameHash(set.NameHashes, e.Key.Name)
	}
	return set
}

// hashOfEntries sorts entries of one kind by name and returns the hash of their
// names and documents.
func hashOfEntries(entries []Entry) uint64 {
	slices.SortFunc(entries, func(a, b Entry) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	digest := xxhash.New()
	var length [8]byte
	for _, e := range entries {
		for _, part := range [][]byte{[]byte(e.Key.Name), e.Document} {
			binary.BigEndian.PutUint64(length[:], uint64(len(part)))
			_, _ = digest.Write(length[:]) // a digest takes all bytes
			_, _ = digest.Write(part)
		}
	}
	return digest.Sum64()
}

// resolve returns the held organisations that the set stands for. An organisation
// that was removed may have the name hash of one that was not; the hash of the
// contents then differs, and the receiver asks for the complete state.
func (u *UnchangedSet) resolve(have State, sent []Entry) ([]Entry, error) {
	present := nameHashSet(u.NameHashes)
	changed := make(map[Key]bool, len(sent))
	for _, e := range sent {
		changed[e.Key] = true
	}
	var out []Entry
	for k, e := range have.Entries {
		if k.Kind == KindOrganisation && !e.Retired && !changed[k] && present[nameHash(k.Name)] {
			out = append(out, e)
		}
	}
	if hashOfEntries(out) != u.Hash {
		return nil, errors.New("complete checkpoint: organisations were omitted as unchanged, but those that are held differ")
	}
	return out, nil
}

// Complete reverses Since: it adds the omitted documents and routes from the
// configuration that the node holds.
func (c *Checkpoint) Complete(have State) (*Checkpoint, error) {
	if len(c.Unchanged) == 0 && len(c.Deltas) == 0 && c.UnchangedOrganisations == nil {
		return c, nil
	}
	out := *c
	out.Unchanged, out.Deltas, out.UnchangedOrganisations = nil, nil, nil
	out.Entries = append([]Entry(nil), c.Entries...)
	if set := c.UnchangedOrganisations; set != nil {
		organisations, err := set.resolve(have, c.Entries)
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, organisations...)
	}
	for _, delta := range c.Deltas {
		held, ok := have.Entries[delta.Entry.Key]
		if !ok {
			return nil, errors.Newf("complete checkpoint: %s was sent as a delta, but no version of it is held", delta.Entry.Key)
		}
		e, err := delta.apply(held, uint64(max(c.Through, 0)))
		if err != nil {
			return nil, err
		}
		out.Entries = append(out.Entries, e)
	}
	for _, u := range c.Unchanged {
		e, ok := have.Entries[u.Key]
		if !ok || xxhash.Sum64(e.Document) != u.Hash {
			return nil, errors.Newf("complete checkpoint: %s was omitted as unchanged, but the held document differs", u.Key)
		}
		out.Entries = append(out.Entries, e)
	}
	return &out, nil
}

// NewProfileEntry returns the entry of a profile of a source. The entry keeps the
// profile, so that it is not decoded again. It is not validated, see CheckSince.
func NewProfileEntry(p *Profile, version Version, recordID string) Entry {
	doc := Document{Profile: p}
	return Entry{Key: doc.Key(), Version: version, Document: doc.Canonical(), RecordID: recordID, doc: &doc}
}

// CheckSince validates the document of an entry, whose routes are sorted by name.
// Routes that the older, validated entry of the document holds with the same content
// are left out: validation takes most of the time of a change, and a change usually
// concerns a few of hundreds of routes.
func (e Entry) CheckSince(older Entry) error {
	_, err := Entry{Key: e.Key, Document: e.changedSince(older)}.Parse()
	return err
}

// changedSince returns the document with only the routes that differ from those of
// an older entry, or all of it where that does not suffice to validate it.
func (e Entry) changedSince(older Entry) json.RawMessage {
	if e.doc == nil || e.doc.Profile == nil || older.doc == nil || older.doc.Profile == nil || hasRepeatedNames(e.doc.Profile.Routes) {
		return e.Document
	}
	reduced := *e.doc.Profile
	reduced.Routes = changedRoutes(older.doc.Profile.Routes, reduced.Routes)
	if len(reduced.Routes) == 0 {
		reduced.Routes = e.doc.Profile.Routes[:min(1, len(e.doc.Profile.Routes))] // a profile without routes is invalid
	}
	return Document{Profile: &reduced}.Canonical()
}

func hasRepeatedNames(sorted []Route) bool {
	for i := 1; i < len(sorted); i++ {
		if sorted[i].Name == sorted[i-1].Name {
			return true
		}
	}
	return false
}

// CarryOver replaces entries of s by those of an older state whose documents have
// the same bytes. It parses the other documents and records which of their routes
// changed, so that the cost of an update depends on its size. It is meant for
// states of a source with complete configurations, which validates documents
// when it reads them.
func (s State) CarryOver(older State) error {
	for k, e := range s.Entries {
		if have, ok := older.Entries[k]; ok && have.doc != nil && bytes.Equal(have.Document, e.Document) {
			s.Entries[k] = have
			continue
		}
		if err := e.ensureParsedCanonical(); err != nil {
			return err
		}
		if e.history == nil {
			e.history = replacementHistory(older.Entries[k], e, uint64(max(s.Position.Offset, 0)))
		}
		s.Entries[k] = e
	}
	return nil
}

// ensureParsedCanonical parses a document in canonical form, which needs
// neither defaults nor source locations for findings.
func (e *Entry) ensureParsedCanonical() error {
	if e.Retired || e.doc != nil {
		return nil
	}
	switch e.Key.Kind {
	case KindProfile:
	case KindOrganisation:
		return e.parseCanonicalOrganisation()
	default:
		return e.ensureParsed()
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

func (e *Entry) parseCanonicalOrganisation() error {
	o := &Organisation{}
	if err := json.Unmarshal(e.Document, o); err != nil {
		return errors.Wrapf(err, "decode %s", e.Key)
	}
	if o.Kind != KindOrganisation || o.Name != e.Key.Name {
		return errors.Newf("%s holds another document than its key names", e.Key)
	}
	e.doc = &Document{Organisation: o}
	return nil
}
