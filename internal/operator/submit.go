package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// TooLargeError reports a change that exceeds the size of one record.
type TooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the change takes %d bytes, a record holds at most %d: publish fewer documents at once", e.Bytes, platformlog.MaxRecordBytes)
}

// RefusedError reports a change that the state machine refused for its content.
type RefusedError struct {
	Findings finding.List
}

// Error implements error.
func (e *RefusedError) Error() string { return "the change was refused:\n" + e.Findings.Error() }

// ConflictError reports a change that was refused because another operator
// changed the same documents first.
type ConflictError struct {
	Conflicts []EditConflict `json:"losses"`
	Findings  finding.List   `json:"findings"`
}

// EditConflict is one document that another operator changed first.
type EditConflict struct {
	Key     profile.Key      `json:"key"`
	Base    *profile.Version `json:"base,omitempty"` // version that the change was based on
	Winner  profile.Version  `json:"winner"`
	Retired bool             `json:"retired,omitempty"` // the winner retired the document
	Author  string           `json:"author"`            // of the winner
	Time    time.Time        `json:"time"`
	Diff    string           `json:"diff"` // from the winner's document to that of the change
}

// String describes the winning version in one line.
func (c EditConflict) String() string {
	what := "published"
	if c.Retired {
		what = "retired it as"
	}
	return fmt.Sprintf("%s: %s %s version %s at %s", c.Key, c.Author, what, c.Winner, c.Time.Format(time.RFC3339))
}

// Error implements error. The message names each winner and shows the
// difference.
func (e *ConflictError) Error() string {
	var b strings.Builder
	b.WriteString("the change conflicts with an earlier change, no part of it was applied:\n")
	b.WriteString(e.Findings.Error())
	for _, c := range e.Conflicts {
		fmt.Fprintf(&b, "\n%s\n%s", c, c.Diff)
	}
	return strings.TrimRight(b.String(), "\n")
}

// Submit appends a change and reads the log until the verdict on it is known.
// It returns the state after the change.
//
// It fails with *ConflictError or *RefusedError when the change was refused, with
// ErrUnavailable when the log could not be read before, with ErrNotApplied when
// the change is not in the log, and with ErrUnknown when it was sent and its
// verdict could not be read.
func (c *Client) Submit(ctx context.Context, edits []profile.Edit) (profile.State, error) {
	machine, err := c.replay(ctx, nil)
	if err != nil {
		return profile.State{}, err
	}
	rec, err := c.append(ctx, machine.Next(), profile.Record{Kind: profile.RecordChange, Edits: edits})
	if err != nil {
		return profile.State{}, err
	}
	s, err := c.awaitVerdict(ctx, machine, rec.ID)
	if err != nil {
		err = errors.Wrap(err, "the change is in the log and its verdict is unknown; run the command again")
		return profile.State{}, errors.Mark(err, platformlog.ErrUnknown)
	}
	return s, refusalError(s, rec)
}

var errChangeNotFound = errors.New("the change is not in the log")

// awaitVerdict applies records until the state holds the verdict on the record.
func (c *Client) awaitVerdict(ctx context.Context, machine *profile.StateMachine, id string) (profile.State, error) {
	var decided *profile.State
	observe := func(_ int64, _ profile.Verdict, s profile.State) {
		if decided == nil && slices.Contains(s.Recent, id) {
			decided = &s
		}
	}
	err := c.readToEnd(ctx, machine, observe)
	var rangeErr *platformlog.RangeError
	if decided == nil && errors.As(err, &rangeErr) {
		// The log was restarted since the change was appended.
		_, err = c.replay(ctx, observe)
	}
	switch {
	case decided != nil:
		return *decided, nil
	case err != nil:
		return profile.State{}, err
	}
	return profile.State{}, errors.WithStack(errChangeNotFound)
}

// refusalError returns the error for a refused change, or nil when the state
// holds no refusal of it, which means that it was accepted.
func refusalError(s profile.State, rec profile.Record) error {
	i := slices.IndexFunc(s.Refused, func(r profile.Refusal) bool { return r.RecordID == rec.ID })
	if i < 0 {
		return nil
	}
	refusal := s.Refused[i]
	if !refusal.Conflict {
		return errors.WithStack(&RefusedError{Findings: refusal.Findings})
	}
	return errors.WithStack(&ConflictError{Conflicts: editConflicts(s, rec.Edits), Findings: refusal.Findings})
}

func editConflicts(s profile.State, edits []profile.Edit) []EditConflict {
	var out []EditConflict
	for _, e := range edits {
		current, ok := s.Entries[e.Key]
		live := ok && !current.Retired
		if !ok || (e.Base == nil && !live) || (e.Base != nil && *e.Base == current.Version) {
			continue
		}
		out = append(out, EditConflict{
			Key: e.Key, Base: e.Base, Winner: current.Version, Retired: current.Retired, Author: current.Author, Time: current.Time,
			Diff: Diff(fmt.Sprintf("version %s by %s", current.Version, current.Author), "this change", current.Document, e.Document),
		})
	}
	return out
}
