package profile

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
)

// KeyHash is the SHA-256 of a key. Keys themselves are neither kept nor sent on;
// as they are long random texts, the hash does not reveal them.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// fingerprintBytes is the length of the part of a hash that logs show.
const fingerprintBytes = 4

// Fingerprint returns the first 8 hexadecimal digits, which name the key in logs.
func (h KeyHash) Fingerprint() string { return hex.EncodeToString(h[:fingerprintBytes]) }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(len(h)) {
		return errors.Newf("a key hash has %d hexadecimal digits", hex.EncodedLen(len(h)))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Organisation is a group of callers with keys, a rank and a quota.
type Organisation struct {
	Kind          string    `json:"kind" required:"true" oneof:"organisation" doc:"always organisation"`
	Name          string    `json:"name" required:"true" doc:"name of the organisation, unique among organisations"`
	KeyHashes     []KeyHash `json:"keyHashes,omitempty" format:"64 hexadecimal digits" doc:"SHA-256 of each key of the organisation; without one it can make no calls but public ones"`
	Rank          int       `json:"rank,omitempty" min:"0" max:"65534" doc:"importance of the organisation's calls; 0 is the most important; goes before the rank of the route"`
	RatePerSecond float64   `json:"ratePerSecond,omitempty" min:"0" max:"1e15" doc:"calls a second that the organisation may make through all nodes together; 0 sets no limit"`
	Burst         float64   `json:"burst,omitempty" min:"0" max:"1e15" doc:"calls that the organisation may make at once beyond its rate"`
}

// MaxOrganisationRank is the upper bound of Organisation.Rank. It keeps the result
// of CallRank within 32 bits.
const MaxOrganisationRank = 65534

// CallRank returns the rank of a call, 0 for the most important one, from the
// organisation that makes it, nil for none, and the rank of its route. The rank of
// the organisation goes before that of the route. Calls of no organisation go
// before those of all: most are made by a backend server during a call that was
// admitted before, and whose work is lost if they are refused for want of room.
func CallRank(o *Organisation, routeRank int) int {
	if o == nil {
		return routeRank
	}
	return (o.Rank+1)*(MaxRank+1) + routeRank
}

// checkOrganisation reports a bad name and repeated keys.
func checkOrganisation(v jsonc.Value, o *Organisation, names nameRule) finding.List {
	found := names.check(v, "name", o.Name)
	seen := make(map[KeyHash]bool, len(o.KeyHashes))
	for _, h := range o.KeyHashes {
		if seen[h] {
			found = append(found, fieldOrParent(v, "keyHashes").Finding(fmt.Sprintf("key hash %s... is listed twice", h.Fingerprint()), "each key once"))
		}
		seen[h] = true
	}
	return found
}

// KeyHolders returns the names of the organisations that hold each key, in the
// order of the organisations. A key belongs to one organisation.
func KeyHolders(organisations []*Organisation) map[KeyHash][]string {
	holders := map[KeyHash][]string{}
	for _, o := range organisations {
		for _, h := range o.KeyHashes {
			if !slices.Contains(holders[h], o.Name) {
				holders[h] = append(holders[h], o.Name)
			}
		}
	}
	return holders
}

// Organisations returns the organisations in force, sorted by name.
func (s State) Organisations() ([]*Organisation, error) { return organisationsIn(s.Entries) }

func organisationsIn(entries map[Key]Entry) ([]*Organisation, error) {
	var out []*Organisation
	for k, e := range entries {
		if k.Kind != KindOrganisation || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil {
			return nil, err
		}
		out = append(out, doc.Organisation)
	}
	slices.SortFunc(out, func(a, b *Organisation) int { return strings.Compare(a.Name, b.Name) })
	return out, nil
}

// checkKeys refuses a change after which two organisations share a key, since
// calls with it could be attributed to either. Keys that neither of two
// organisations was given by this change are not reported: they can only be
// shared since two histories were merged, which must not block other changes.
func (c *change) checkKeys() finding.List {
	if !slices.ContainsFunc(c.accepted, func(e Entry) bool { return e.Key.Kind == KindOrganisation && !e.Retired }) {
		return nil
	}
	all, err := organisationsIn(c.entries)
	if err != nil {
		return nil // cannot happen: accepted documents have been parsed
	}
	holders := KeyHolders(all)
	var found finding.List
	for _, o := range all {
		key := Key{Kind: KindOrganisation, Name: o.Name}
		if !c.touched[key] {
			continue
		}
		for _, h := range o.KeyHashes {
			if len(holders[h]) > 1 {
				found = append(found, finding.Finding{
					Path:    key.String(),
					Problem: fmt.Sprintf("key hash %s... belongs to %s", h.Fingerprint(), strings.Join(holders[h], " and ")),
					Allowed: "each key in one organisation",
				})
			}
		}
	}
	return found
}
