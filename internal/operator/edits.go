package operator

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// NotPublishedError reports an edit of a document that has no version in force.
type NotPublishedError struct {
	Key profile.Key
}

// Error implements error.
func (e *NotPublishedError) Error() string { return e.Key.String() + " is not in force" }

// PublishEdits returns the edits that publish the documents, each based on the
// version in the state. Unchanged documents are skipped, so that a pipeline can
// publish the same files repeatedly.
func PublishEdits(s profile.State, docs []profile.Document) []profile.Edit {
	var edits []profile.Edit
	for _, d := range docs {
		current, live := s.Live(d.Key())
		text := d.Canonical()
		if live && bytes.Equal(current.Document, text) {
			continue
		}
		e := profile.Edit{Op: profile.OpPublish, Key: d.Key(), Document: text}
		if live {
			e.Base = &current.Version
		}
		edits = append(edits, e)
	}
	return edits
}

// PruneEdits returns the edits that retire every published document that is not
// among the given ones.
func PruneEdits(s profile.State, docs []profile.Document) []profile.Edit {
	keep := make(map[profile.Key]bool, len(docs))
	for _, d := range docs {
		keep[d.Key()] = true
	}
	var edits []profile.Edit
	for _, e := range s.Sorted() {
		if !e.Retired && !keep[e.Key] {
			edits = append(edits, retireEdit(e))
		}
	}
	return edits
}

// ReviseEdits returns the edits that replace published documents; unchanged ones
// are skipped. With a base, the edits are based on that version and conflict when
// it is not the newest.
func ReviseEdits(s profile.State, docs []profile.Document, base *profile.Version) ([]profile.Edit, error) {
	var edits []profile.Edit
	for _, d := range docs {
		current, live := s.Live(d.Key())
		if !live {
			return nil, errors.WithStack(&NotPublishedError{Key: d.Key()})
		}
		e := profile.Edit{Op: profile.OpPublish, Key: d.Key(), Base: base, Document: d.Canonical()}
		if base == nil {
			e.Base = &current.Version
		}
		if *e.Base == current.Version && bytes.Equal(current.Document, e.Document) {
			continue
		}
		edits = append(edits, e)
	}
	return edits, nil
}

// RetireEdits returns the edits that retire a document and, optionally, the
// selections of a profile.
func RetireEdits(s profile.State, key profile.Key, selections bool) ([]profile.Edit, error) {
	current, live := s.Live(key)
	if !live {
		return nil, errors.WithStack(&NotPublishedError{Key: key})
	}
	edits := []profile.Edit{retireEdit(current)}
	if !selections || key.Kind != profile.KindProfile {
		return edits, nil
	}
	for _, e := range s.Sorted() {
		if e.Key.Kind != profile.KindSelection || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", e.Key)
		}
		if doc.Selection.Profile == key.Name {
			edits = append(edits, retireEdit(e))
		}
	}
	return edits, nil
}

func retireEdit(e profile.Entry) profile.Edit {
	return profile.Edit{Op: profile.OpRetire, Key: e.Key, Base: &e.Version}
}
