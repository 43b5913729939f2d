package profile

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// DocumentDelta encodes a version of a profile as the routes that changed since
// an older configuration. It keeps updates small when a burst of configurations
// changes a few of several hundred routes each.
type DocumentDelta struct {
	Entry  Entry   `json:"entry"` // its document is the profile without routes
	Routes []Route `json:"routes,omitempty"`
	// NameHashes holds a hash of the name of each route of the profile, see
	// appendNameHash. Routes with other names were removed.
	NameHashes []byte `json:"names"`
	// Hash is the hash of the complete document. A receiver detects by it that
	// its own document is not the one that the sender assumed.
	Hash uint64 `json:"sum"`
}

// routeHistory records in which configuration each route of a profile last
// changed. Configurations are identified by their Position.Offset. It is
// immutable once an entry refers to it.
type routeHistory struct {
	knownAfter uint64            // changes up to this offset are not known
	changed    map[string]uint64 // by route name: offset at which this node saw the last change
}

// deltaSince returns the changes of a document after the configuration at an
// offset. It returns false when they are not known or concern more than half of
// the routes.
func (e Entry) deltaSince(offset uint64) (DocumentDelta, bool) {
	if e.history == nil || offset < e.history.knownAfter || e.doc == nil || e.doc.Profile == nil {
		return DocumentDelta{}, false
	}
	p := e.doc.Profile
	delta := DocumentDelta{Hash: xxhash.Sum64(e.Document), NameHashes: make([]byte, 0, nameHashBytes*len(p.Routes))}
	for _, r := range p.Routes {
		delta.NameHashes = appendNameHash(delta.NameHashes, r.Name)
		if e.history.changed[r.Name] > offset {
			delta.Routes = append(delta.Routes, r)
		}
	}
	if len(delta.Routes) > len(p.Routes)/2 {
		return DocumentDelta{}, false
	}
	head := *p
	head.Routes = nil
	delta.Entry = e
	delta.Entry.Document = Document{Profile: &head}.Canonical()
	return delta, true
}

// nameHashBytes is the size of one hash of a name. A removed route whose hash is that
// of another one makes the receivers fetch the whole state: among 2,000 routes, one
// removal in 30 with hashes of two bytes, and one in 8,000 with three.
const nameHashBytes = 3

func nameHash(name string) uint32 {
	const mask = 1<<(8*nameHashBytes) - 1
	return uint32(xxhash.Sum64String(name) & mask)
}

// appendNameHash appends the hash of a name, in nameHashBytes.
func appendNameHash(hashes []byte, name string) []byte {
	h := nameHash(name)
	return append(hashes, byte(h>>16), byte(h>>8), byte(h))
}

// nameHashSet returns the hashes of a list that appendNameHash has made.
func nameHashSet(hashes []byte) map[uint32]bool {
	present := make(map[uint32]bool, len(hashes)/nameHashBytes)
	for ; len(hashes) >= nameHashBytes; hashes = hashes[nameHashBytes:] {
		present[uint32(hashes[0])<<16|uint32(hashes[1])<<8|uint32(hashes[2])] = true
	}
	return present
}

// apply returns the entry that results from applying the delta to the held
// entry. offset is that of the configuration that the delta belongs to.
func (d DocumentDelta) apply(have Entry, offset uint64) (Entry, error) {
	if have.doc == nil || have.doc.Profile == nil {
		return Entry{}, errors.Newf("apply delta of %s: the held document is not a profile", d.Entry.Key)
	}
	p := &Profile{}
	if err := json.Unmarshal(d.Entry.Document, p); err != nil {
		return Entry{}, errors.Wrapf(err, "decode delta of %s", d.Entry.Key)
	}
	p.Routes = d.mergeRoutes(have.doc.Profile.Routes)
	out := d.Entry
	out.doc = &Document{Profile: p}
	out.Document = out.doc.Canonical()
	if xxhash.Sum64(out.Document) != d.Hash {
		return Entry{}, errors.Newf("apply delta of %s: hash mismatch, the delta is based on another version than the held one", d.Entry.Key)
	}
	out.history = have.history.withChanges(d.Routes, offset)
	return out, nil
}

func (d DocumentDelta) mergeRoutes(have []Route) []Route {
	present := nameHashSet(d.NameHashes)
	changed := make(map[string]bool, len(d.Routes))
	for _, r := range d.Routes {
		changed[r.Name] = true
	}
	routes := slices.Clone(d.Routes)
	for _, r := range have {
		if present[nameHash(r.Name)] && !changed[r.Name] {
			routes = append(routes, r)
		}
	}
	SortRoutes(routes)
	return routes
}

// SortRoutes sorts routes by name. Complete configurations keep this order, so
// that applying a delta yields equal documents on all nodes.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
}

// withChanges returns the history extended by the routes that changed in the
// configuration at an offset.
func (h *routeHistory) withChanges(routes []Route, offset uint64) *routeHistory {
	if h == nil {
		return &routeHistory{knownAfter: offset}
	}
	next := &routeHistory{knownAfter: h.knownAfter, changed: maps.Clone(h.changed)}
	if next.changed == nil {
		next.changed = make(map[string]uint64, len(routes))
	}
	for _, r := range routes {
		next.changed[r.Name] = offset
	}
	return next
}

// replacementHistory returns the route history of a document that replaces
// another one.
func replacementHistory(have, next Entry, offset uint64) *routeHistory {
	if have.doc == nil || have.doc.Profile == nil || next.doc == nil || next.doc.Profile == nil {
		return &routeHistory{knownAfter: offset}
	}
	return have.history.withChanges(changedRoutes(have.doc.Profile.Routes, next.doc.Profile.Routes), offset)
}

// changedRoutes returns the routes that are new or differ from the old one of the same
// name.
func changedRoutes(old, routes []Route) []Route {
	byName := make(map[string]*Route, len(old))
	for i := range old {
		byName[old[i].Name] = &old[i]
	}
	var changed []Route
	for _, r := range routes {
		if before, ok := byName[r.Name]; !ok || !reflect.DeepEqual(*before, r) {
			changed = append(changed, r)
		}
	}
	return changed
}
