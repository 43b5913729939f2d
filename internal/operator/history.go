package operator

import (
	"context"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Event is an accepted version of a document or a refused change to it;
// exactly one pointer is set.
type Event struct {
	Version *profile.Entry   `json:"version,omitempty"`
	Refused *profile.Refusal `json:"refused,omitempty"`
}

// History returns what happened to a document, oldest first, as far back as
// the log is retained. The newest version is there even when its record has
// expired, since checkpoints hold it.
func (c *Client) History(ctx context.Context, key profile.Key) ([]Event, error) {
	h := &historyCollector{key: key}
	if _, err := c.replay(ctx, h.observe); err != nil {
		return nil, err
	}
	return h.events, nil
}

// historyCollector collects the events of one document while the log is folded.
type historyCollector struct {
	key        profile.Key
	lastOffset int64 // offset seen last
	events     []Event
}

func (h *historyCollector) observe(offset int64, v profile.Verdict, s profile.State) {
	if offset <= h.lastOffset {
		h.events = nil // reading started anew
	}
	h.lastOffset = offset
	if v.Outcome == profile.OutcomeBuffered {
		return
	}
	for _, r := range v.Replayed {
		h.add(r.Verdict)
	}
	h.add(v)
	h.addState(s)
}

func (h *historyCollector) add(v profile.Verdict) {
	for _, e := range v.Accepted {
		h.addVersion(e)
	}
	if v.Refusal != nil {
		h.addRefusal(*v.Refusal)
	}
}

// addState adds what came with a checkpoint and not by a record of its own.
func (h *historyCollector) addState(s profile.State) {
	for _, r := range s.Refused {
		h.addRefusal(r)
	}
	if e, ok := s.Entries[h.key]; ok {
		h.addVersion(e)
	}
}

func (h *historyCollector) addVersion(e profile.Entry) {
	known := func(have Event) bool { return have.Version != nil && have.Version.Version == e.Version }
	if e.Key == h.key && !slices.ContainsFunc(h.events, known) {
		h.events = append(h.events, Event{Version: &e})
	}
}

func (h *historyCollector) addRefusal(r profile.Refusal) {
	known := func(have Event) bool { return have.Refused != nil && have.Refused.Position == r.Position }
	if slices.Contains(r.Keys, h.key) && !slices.ContainsFunc(h.events, known) {
		h.events = append(h.events, Event{Refused: &r})
	}
}

// Version returns one version of a document, from the log while it is
// retained.
func (c *Client) Version(ctx context.Context, key profile.Key, v profile.Version) (profile.Entry, error) {
	events, err := c.History(ctx, key)
	if err != nil {
		return profile.Entry{}, err
	}
	var retained []string
	for _, e := range events {
		if e.Version == nil {
			continue
		}
		if e.Version.Version == v {
			return *e.Version, nil
		}
		retained = append(retained, e.Version.Version.String())
	}
	return profile.Entry{}, errors.Newf("%s has no version %s in the log, which holds: %s", key, v, strings.Join(retained, " "))
}
