package operator

import (
	"bytes"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// NotPublishedError reports a document that a command names and that is not
// published.
type NotPublishedError struct {
	Key profile.Key
}

// Error implements error.
func (e *NotPublishedError) Error() string { return e.Key.String() + " is not in force" }

// PublishEdits returns the edits that bring the state to the documents, each
// against the version in the state. Documents that are equal are left out, so
// a pipeline can publish the same files again.
func PublishEdits(s profile.State, docs []profile.Document) []profile.Edit {
	var edits []profile.Edit
	for _, d := range docs {
		have, live := s.Live(d.Key())
		text := d.Canonical()
		if live && bytes.Equal(have.Document, text) {
			continue
		}
		e := profile.Edit{Op: profile.OpPublish, Key: d.Key(), Document: text}
		if live {
			e.Base = &have.Version
		}
		edits = append(edits, e)
	}
	return edits
}

// PruneEdits returns the edits that retire every document in force that is
// not among the documents.
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

// ReviseEdits returns the edits that replace documents in force. With a base
// the edit is against that version and loses when it is not the newest.
func ReviseEdits(s profile.State, docs []profile.Document, base *profile.Version) ([]profile.Edit, error) {
	var edits []profile.Edit
	for _, d := range docs {
		have, live := s.Live(d.Key())
		if !live {
			return nil, errors.WithStack(&NotPublishedError{Key: d.Key()})
		}
		e := profile.Edit{Op: profile.OpPublish, Key: d.Key(), Base: base, Document: d.Canonical()}
		if base == nil {
			e.Base = &have.Version
		}
		if *e.Base == have.Version && bytes.Equal(have.Document, e.Document) {
			continue
		}
		edits = append(edits, e)
	}
	return edits, nil
}

// RetireEdits returns the edits that retire a document and, when asked for,
// the selections that name it.
func RetireEdits(s profile.State, key profile.Key, selections bool) ([]profile.Edit, error) {
	have, live := s.Live(key)
	if !live {
		return nil, errors.WithStack(&NotPublishedError{Key: key})
	}
	edits := []profile.Edit{retireEdit(have)}
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
