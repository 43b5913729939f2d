// Package operator holds what goldcrestctl does, apart from flags and output:
// it reads the configuration from the log and submits changes to it.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// ErrNotInitialised means that the log holds no genesis record or checkpoint.
var ErrNotInitialised = errors.New("the log holds no configuration; run goldcrestctl init once")

// Client reads and changes the configuration.
type Client struct {
	log    platformlog.Log
	author string
	now    func() time.Time
}

// NewClient returns a client that signs changes with the author's name.
func NewClient(log platformlog.Log, author string, now func() time.Time) *Client {
	return &Client{log: log, author: author, now: now}
}

const readBatch = 256

// State reads the log to its end and returns the configuration.
func (c *Client) State(ctx context.Context) (profile.State, error) {
	fold, err := c.fold(ctx)
	if err != nil {
		return profile.State{}, err
	}
	return fold.State(), nil
}

func (c *Client) fold(ctx context.Context) (*profile.Fold, error) {
	first, err := c.first(ctx)
	if err != nil {
		return nil, err
	}
	fold := profile.NewFold(first)
	if err := c.readOn(ctx, fold, nil); err != nil {
		return nil, err
	}
	if !fold.Anchored() {
		return nil, errors.WithStack(ErrNotInitialised)
	}
	return fold, nil
}

func (c *Client) first(ctx context.Context) (int64, error) {
	_, err := c.log.Read(ctx, platformlog.StreamConfig, 0, 1, 0)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return outside.First, nil
	}
	return 0, err
}

// readOn folds up to the end of the log and reports the verdict of every
// record to seen.
func (c *Client) readOn(ctx context.Context, fold *profile.Fold, seen func(data []byte, v profile.Verdict)) error {
	for {
		b, err := c.log.Read(ctx, platformlog.StreamConfig, fold.Next(), readBatch, 0)
		if err != nil {
			return errors.Wrap(err, "read the configuration")
		}
		for _, e := range b.Entries {
			v := fold.Apply(e.Offset, e.Data)
			if seen != nil {
				seen(e.Data, v)
			}
		}
		if len(b.Entries) == 0 {
			return nil
		}
	}
}

// Init writes the genesis record of an empty log.
func (c *Client) Init(ctx context.Context) error {
	if _, err := c.fold(ctx); err == nil {
		return errors.New("the log holds a configuration already")
	} else if !errors.Is(err, ErrNotInitialised) {
		return err
	}
	return c.append(ctx, profile.Record{ID: uuid.NewString(), Kind: profile.RecordGenesis})
}

func (c *Client) append(ctx context.Context, rec profile.Record) error {
	rec.Schema, rec.Author, rec.Time = profile.SchemaVersion, c.author, c.now().UTC()
	data, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode record")
	}
	_, err = c.log.Append(ctx, platformlog.StreamConfig, data)
	return err
}

// RefusedError reports a change that the fold refused.
type RefusedError struct {
	Conflict bool // another change won the race
	Findings finding.List
}

// Error implements error.
func (e *RefusedError) Error() string { return "the change was refused:\n" + e.Findings.Error() }

// Submit appends a change and reads on until its verdict is known. It returns
// the state that holds the change.
func (c *Client) Submit(ctx context.Context, edits []profile.Edit) (profile.State, error) {
	fold, err := c.fold(ctx)
	if err != nil {
		return profile.State{}, err
	}
	id := uuid.NewString()
	if err := c.append(ctx, profile.Record{ID: id, Kind: profile.RecordChange, Edits: edits}); err != nil {
		return profile.State{}, err
	}
	var verdict *profile.Verdict
	err = c.readOn(ctx, fold, func(data []byte, v profile.Verdict) {
		var rec profile.Record
		if json.Unmarshal(data, &rec) == nil && rec.ID == id && verdict == nil {
			verdict = &v
		}
	})
	switch {
	case err != nil:
		return profile.State{}, errors.Mark(err, platformlog.ErrUnknown)
	case verdict == nil:
		return profile.State{}, errors.Mark(errors.New("the change is not in the log"), platformlog.ErrUnknown)
	case verdict.Outcome == profile.OutcomeRefused:
		return profile.State{}, errors.WithStack(&RefusedError{Conflict: verdict.Refusal.Conflict, Findings: verdict.Refusal.Findings})
	}
	return fold.State(), nil
}

// PublishEdits returns the edits that bring the state to the documents, each
// against the version in the state. Documents that are equal are left out.
func PublishEdits(s profile.State, docs []profile.Document) []profile.Edit {
	var edits []profile.Edit
	for _, d := range docs {
		have, ok := s.Entries[d.Key()]
		live := ok && !have.Retired
		if live && string(have.Document) == string(d.Canonical()) {
			continue
		}
		e := profile.Edit{Op: profile.OpPublish, Key: d.Key(), Document: d.Canonical()}
		if live {
			e.Base = &have.Version
		}
		edits = append(edits, e)
	}
	return edits
}

// RetireEdits returns the edits that retire a profile and, when asked for,
// the selections that name it.
func RetireEdits(s profile.State, name string, selections bool) ([]profile.Edit, error) {
	have, ok := s.Entries[profile.Key{Kind: profile.KindProfile, Name: name}]
	if !ok || have.Retired {
		return nil, errors.Newf("profile %s is not in force", name)
	}
	edits := []profile.Edit{retireEdit(have)}
	for _, e := range s.Sorted() {
		if !selections || e.Key.Kind != profile.KindSelection || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil {
			return nil, errors.Wrapf(err, "read %s", e.Key)
		}
		if doc.Selection.Profile == name {
			edits = append(edits, retireEdit(e))
		}
	}
	return edits, nil
}

func retireEdit(e profile.Entry) profile.Edit {
	return profile.Edit{Op: profile.OpRetire, Key: e.Key, Base: &e.Version}
}
