package profile

import (
	"bytes"
	"maps"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// firstEpoch is the epoch that a genesis record starts.
const firstEpoch = 1

// State is the configuration at a position. Its maps and slices are immutable
// after publication: the state machine copies them before it writes.
type State struct {
	Position Position
	LastID   string // id of the record at Position, to detect that the log was replaced
	Entries  map[Key]Entry
	Refused  []Refusal
	Recent   []string
	Limits   CallLimits
}

// Sorted returns the entries sorted by key.
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

// Live returns the entry of a document that is in force: its newest version is
// not retired.
func (s State) Live(k Key) (Entry, bool) {
	e, ok := s.Entries[k]
	return e, ok && !e.Retired
}

// Merge returns a with the documents of b that have a higher version and with
// the change ids and refusals that only b contains. The position is that of a.
func Merge(a, b State) State {
	out := a
	out.Entries = mergeEntries(a.Entries, b.Entries)
	out.Recent = mergeLists(a.Recent, b.Recent, maxRecent, func(id string) string { return id })
	out.Refused = mergeLists(a.Refused, b.Refused, maxRefused, func(r Refusal) refusalKey {
		return refusalKey{r.RecordID, r.Position}
	})
	return out
}

type refusalKey struct {
	id string
	at Position
}

func mergeEntries(a, b map[Key]Entry) map[Key]Entry {
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

// mergeLists prepends the items that only b contains to a, since those of a are
// newer, and keeps the last limit items. When b is an older state of the same
// history, the result equals a: items that a lacks were cut off at the limit.
func mergeLists[T any, K comparable](a, b []T, limit int, key func(T) K) []T {
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
	return lastN(append(missing, a...), limit)
}

// CheckpointOf returns the checkpoint of a state, for the log that the state
// was built from.
func CheckpointOf(s State) *Checkpoint {
	return &Checkpoint{
		Epoch: s.Position.Epoch, Through: s.Position.Offset, ThroughID: s.LastID,
		Entries: s.Sorted(), Recent: s.Recent, Refused: s.Refused, Limits: s.Limits,
	}
}

// State validates the documents of the checkpoint and returns its state.
func (c *Checkpoint) State() (State, error) {
	if err := c.validate(); err != nil {
		return State{}, err
	}
	return c.uncheckedState(), nil
}

// uncheckedState returns the state without validation. When a document is
// listed twice, the higher version wins.
func (c *Checkpoint) uncheckedState() State {
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

// validate checks and parses the documents. One unreadable document makes
// the checkpoint invalid, since no later snapshot could be built from it.
func (c *Checkpoint) validate() error {
	if c.Epoch < firstEpoch || c.Through < NoOffset {
		return errors.Newf("checkpoint of era %d through %d", c.Epoch, c.Through)
	}
	for i := range c.Entries {
		if err := c.Entries[i].ensureParsed(); err != nil {
			return errors.Wrap(err, "checkpoint")
		}
	}
	return nil
}

func (e *Entry) ensureParsed() error {
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

// Parse returns the document of an entry that is in force. Entries from the
// state machine hold it already parsed; it is shared and must not be modified.
func (e Entry) Parse() (Document, error) {
	if e.doc != nil {
		return *e.doc, nil
	}
	docs, found := parse(e.Key.String(), bytes.Clone(e.Document), namesInForce)
	if err := found.Err(); err != nil {
		return Document{}, err
	}
	if len(docs) != 1 || docs[0].Key() != e.Key {
		return Document{}, errors.Newf("%s holds another document than its key names", e.Key)
	}
	return docs[0], nil
}
