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

// History returns the events of a document in log order, as far back as the log
// is retained. It includes the newest version even when its record has
// expired, since checkpoints hold it.
func (c *Client) History(ctx context.Context, key profile.Key) ([]Event, error) {
	h := &historyCollector{key: key}
	if _, err := c.replay(ctx, h.observe); err != nil {
		return nil, err
	}
	return h.events, nil
}

// historyCollector collects the events of one document while the log is replayed.
type historyCollector struct {
	key        profile.Key
	lastOffset int64 // offset of the last record
	events     []Event
}

func (h *historyCollector) observe(offset int64, v profile.Verdict, s profile.State) {
	if offset <= h.lastOffset {
		h.events = nil // the log is read from its start again
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

// addState adds versions and refusals that only a checkpoint holds, since their
// records have expired.
func (h *historyCollector) addState(s profile.State) {
	for _, r := range s.Refused {
		h.addRefusal(r)
	}
	if e, ok := s.Entries[h.key]; ok {
		h.addVersion(e)
	}
}

func (h *historyCollector) addVersion(e profile.Entry) {
	same := func(event Event) bool { return event.Version != nil && event.Version.Version == e.Version }
	if e.Key == h.key && !slices.ContainsFunc(h.events, same) {
		h.events = append(h.events, Event{Version: &e})
	}
}

func (h *historyCollector) addRefusal(r profile.Refusal) {
	same := func(event Event) bool { return event.Refused != nil && event.Refused.Position == r.Position }
	if slices.Contains(r.Keys, h.key) && !slices.ContainsFunc(h.events, same) {
		h.events = append(h.events, Event{Refused: &r})
	}
}

// Version returns one version of a document, as long as the log retains it.
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
