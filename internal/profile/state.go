package profile

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// firstEra is the era that a genesis record starts.
const firstEra = 1

// State is the configuration at a position. Its maps and slices are not
// changed after publication: the fold copies before it writes.
type State struct {
	Position Position
	LastID   string // id of the record at Position, to recognise a log that was replaced
	Entries  map[Key]Entry
	Refused  []Refusal
	Recent   []string
	Limits   CallLimits
}

// Sorted returns the entries in the order of their keys.
func (s State) Sorted() []Entry {
	out := make([]Entry, 0, len(s.Entries))
	for _, e := range s.Entries {
		out = append(out, e)
	}
	slices.SortFunc(out, func(a, b Entry) int {
		if c := strings.Compare(a.Key.Kind, b.Key.Kind); c != 0 {
			return c
		}
		return strings.Compare(a.Key.Name, b.Key.Name)
	})
	return out
}

// Live returns the entry of a document that is in force.
func (s State) Live(k Key) (Entry, bool) {
	e, ok := s.Entries[k]
	return e, ok && !e.Retired
}

// Join returns a with each document of b that has a higher version there, and
// with the change ids and refusals that only b knows. The position stays a's.
func Join(a, b State) State {
	out := a
	out.Entries = joinEntries(a.Entries, b.Entries)
	out.Recent = joinLists(a.Recent, b.Recent, maxRecent, func(id string) string { return id })
	out.Refused = joinLists(a.Refused, b.Refused, maxRefused, func(r Refusal) refusalKey {
		return refusalKey{r.RecordID, r.Position}
	})
	return out
}

type refusalKey struct {
	id string
	at Position
}

func joinEntries(a, b map[Key]Entry) map[Key]Entry {
	out, copied := a, false
	for k, e := range b {
		if have, ok := a[k]; ok && have.Version.Compare(e.Version) >= 0 {
			continue
		}
		if !copied {
			out, copied = maps.Clone(a), true
		}
		if out == nil {
			out = map[Key]Entry{}
		}
		out[k] = e
	}
	return out
}

// joinLists puts what only b holds before a, since a goes on from there, and
// keeps the last limit. Within one lineage this returns a: what a no longer
// holds was cut off at the limit before.
func joinLists[T any, K comparable](a, b []T, limit int, key func(T) K) []T {
	have := make(map[K]bool, len(a))
	for _, v := range a {
		have[key(v)] = true
	}
	var missing []T
	for _, v := range b {
		if !have[key(v)] {
			missing = append(missing, v)
		}
	}
	if len(missing) == 0 {
		return a
	}
	return lastOf(append(missing, a...), limit)
}

// CheckpointOf returns the checkpoint of a state for the log that it was
// folded from.
func CheckpointOf(s State) *Checkpoint {
	return &Checkpoint{
		Epoch: s.Position.Epoch, Through: s.Position.Offset, ThroughID: s.LastID,
		Entries: s.Sorted(), Recent: s.Recent, Refused: s.Refused, Limits: s.Limits,
	}
}

// State returns the state that the checkpoint holds, after a check of its
// documents.
func (c *Checkpoint) State() (State, error) {
	if err := c.resolve(); err != nil {
		return State{}, err
	}
	return c.state(), nil
}

// state keeps the higher version when a document stands there twice.
func (c *Checkpoint) state() State {
	entries := make(map[Key]Entry, len(c.Entries))
	for _, e := range c.Entries {
		if have, ok := entries[e.Key]; !ok || have.Version.Compare(e.Version) < 0 {
			entries[e.Key] = e
		}
	}
	return State{
		Position: Position{Epoch: c.Epoch, Offset: c.Through}, LastID: c.ThroughID,
		Entries: entries, Refused: c.Refused, Recent: c.Recent, Limits: c.Limits,
	}
}

// resolve parses the documents. One unreadable document would keep every
// later generation from being built, so it makes the checkpoint invalid.
func (c *Checkpoint) resolve() error {
	if c.Epoch < firstEra || c.Through < NoOffset {
		return errors.Newf("checkpoint of era %d through %d", c.Epoch, c.Through)
	}
	for i := range c.Entries {
		if err := c.Entries[i].resolve(); err != nil {
			return errors.Wrap(err, "checkpoint")
		}
	}
	return nil
}

func (e *Entry) resolve() error {
	if e.Retired || e.doc != nil {
		return nil
	}
	doc, err := e.Parse()
	if err != nil {
		return err
	}
	e.doc = &doc
	return nil
}

// Parse returns the document of an entry that is in force. Entries that came
// through the fold hold it parsed; it is shared and must not be changed.
func (e Entry) Parse() (Document, error) {
	if e.doc != nil {
		return *e.doc, nil
	}
	docs, found := ParseFile(e.Key.String(), bytes.Clone(e.Document))
	if err := found.Err(); err != nil {
		return Document{}, err
	}
	if len(docs) != 1 || docs[0].Key() != e.Key {
		return Document{}, errors.Newf("%s holds another document than its key names", e.Key)
	}
	return docs[0], nil
}
