package profile

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// DocumentChange is a profile as the routes in which it differs from an older
// version. A storm of configurations changes a few routes of hundreds.
type DocumentChange struct {
	Entry  Entry   `json:"entry"` // with the profile without its routes
	Routes []Route `json:"routes,omitempty"`
	// Names holds a hash of the name of each route that the profile has, two
	// bytes each. Routes of other names are gone.
	Names []byte `json:"names"`
	// Sum is the hash of the whole document, by which a node finds that it
	// held another one than the sender assumed.
	Sum uint64 `json:"sum"`
}

// routeHistory tells which routes of a profile changed when. It is not changed
// once an entry has it.
type routeHistory struct {
	floor   uint64            // older changes are not known
	changed map[string]uint64 // by name of the route: the version in which this node saw it change
}

// changeSince returns what changed in a document after a version, or false
// when that is not known or would not be smaller than the document.
func (e Entry) changeSince(version uint64) (DocumentChange, bool) {
	if e.history == nil || version < e.history.floor || e.doc == nil || e.doc.Profile == nil {
		return DocumentChange{}, false
	}
	p := e.doc.Profile
	change := DocumentChange{Sum: xxhash.Sum64(e.Document), Names: make([]byte, 0, nameBytes*len(p.Routes))}
	for _, r := range p.Routes {
		change.Names = binary.BigEndian.AppendUint16(change.Names, nameHash(r.Name))
		if e.history.changed[r.Name] > version {
			change.Routes = append(change.Routes, r)
		}
	}
	if len(change.Routes) > len(p.Routes)/2 {
		return DocumentChange{}, false
	}
	head := *p
	head.Routes = nil
	change.Entry = e
	change.Entry.Document = Document{Profile: &head}.Canonical()
	return change, true
}

// nameBytes is the size of the hash of a route's name in DocumentChange.Names.
const nameBytes = 2

func nameHash(name string) uint16 { return uint16(xxhash.Sum64String(name)) }

// apply returns the document that the change makes of the one held. version is
// that of the configuration which the change belongs to.
func (c DocumentChange) apply(have Entry, version uint64) (Entry, error) {
	if have.doc == nil || have.doc.Profile == nil {
		return Entry{}, errors.Newf("%s is not held as a profile", c.Entry.Key)
	}
	p := &Profile{}
	if err := json.Unmarshal(c.Entry.Document, p); err != nil {
		return Entry{}, errors.Wrapf(err, "decode change of %s", c.Entry.Key)
	}
	p.Routes = c.mergeRoutes(have.doc.Profile.Routes)
	out := c.Entry
	out.doc = &Document{Profile: p}
	out.Document = out.doc.Canonical()
	if xxhash.Sum64(out.Document) != c.Sum {
		return Entry{}, errors.Newf("change of %s belongs to another version than the one held", c.Entry.Key)
	}
	out.history = have.history.with(c.Routes, version)
	return out, nil
}

func (c DocumentChange) mergeRoutes(have []Route) []Route {
	left := make(map[uint16]bool, len(c.Names)/nameBytes)
	for names := c.Names; len(names) >= nameBytes; names = names[nameBytes:] {
		left[binary.BigEndian.Uint16(names)] = true
	}
	changed := make(map[string]bool, len(c.Routes))
	for _, r := range c.Routes {
		changed[r.Name] = true
	}
	routes := slices.Clone(c.Routes)
	for _, r := range have {
		if left[nameHash(r.Name)] && !changed[r.Name] {
			routes = append(routes, r)
		}
	}
	SortRoutes(routes)
	return routes
}

// SortRoutes puts routes in the order of their names, which whole
// configurations keep so that a change of some routes gives equal documents on
// all nodes.
func SortRoutes(routes []Route) {
	slices.SortFunc(routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
}

// with returns the history after routes changed in a version.
func (h *routeHistory) with(routes []Route, version uint64) *routeHistory {
	if h == nil {
		return &routeHistory{floor: version}
	}
	next := &routeHistory{floor: h.floor, changed: maps.Clone(h.changed)}
	if next.changed == nil {
		next.changed = make(map[string]uint64, len(routes))
	}
	for _, r := range routes {
		next.changed[r.Name] = version
	}
	return next
}

// historyAfter returns the history of a document that replaces another one.
func historyAfter(have, next Entry, version uint64) *routeHistory {
	if have.doc == nil || have.doc.Profile == nil || next.doc == nil || next.doc.Profile == nil {
		return &routeHistory{floor: version}
	}
	old := make(map[string]*Route, len(have.doc.Profile.Routes))
	for i, r := range have.doc.Profile.Routes {
		old[r.Name] = &have.doc.Profile.Routes[i]
	}
	var changed []Route
	for _, r := range next.doc.Profile.Routes {
		if before, ok := old[r.Name]; !ok || !reflect.DeepEqual(*before, r) {
			changed = append(changed, r)
		}
	}
	return have.history.with(changed, version)
}
