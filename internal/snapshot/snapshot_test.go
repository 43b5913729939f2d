package snapshot

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// testbed holds a configuration and a member table that change independently.
type testbed struct {
	t       assert.TestingT
	machine *profile.StateMachine
	table   *membership.Table
	offset  int64
}

func newTestbed(t assert.TestingT) *testbed {
	b := &testbed{t: t, machine: profile.NewStateMachine(0), table: membership.NewTable()}
	b.apply(profile.RecordGenesis, nil)
	return b
}

func (b *testbed) apply(kind profile.RecordKind, edits []profile.Edit) profile.Verdict {
	data, err := json.Marshal(profile.Record{ID: fmt.Sprint(b.offset), Kind: kind, Schema: profile.SchemaVersion, Edits: edits})
	assert.NilError(b.t, err)
	b.offset++
	return b.machine.Apply(b.offset-1, data)
}

func (b *testbed) publish(kind, name, document string) profile.Edit {
	e := profile.Edit{Op: profile.OpPublish, Key: profile.Key{Kind: kind, Name: name}, Document: json.RawMessage(document)}
	if have, ok := b.machine.State().Live(e.Key); ok {
		e.Base = &have.Version
	}
	return e
}

func (b *testbed) member(id int, service string, status membership.Status) {
	name := fmt.Sprintf("n%03d", id)
	have, _ := b.table.Get(name)
	b.table.Merge([]membership.Member{{ID: name, Incarnation: have.Incarnation + 1, Service: service, InboundAddress: "127.0.0.1:1", Status: status}})
}

func profileWith(name string, services ...string) string {
	p := profile.Profile{Kind: profile.KindProfile, Name: name}
	for i, s := range services {
		p.Routes = append(p.Routes, profile.Route{Name: fmt.Sprint("r", i), Host: s + ".example", PathPrefix: "/", Service: s, Priority: "caller"})
	}
	data, _ := json.Marshal(p.Routes)
	return fmt.Sprintf(`{"kind":"profile","name":%q,"routes":%s}`, name, data)
}

// step applies one random change to the configuration or the members.
func (b *testbed) step(t *rapid.T) {
	names := rapid.SampledFrom([]string{"agenda", "acervo", "vitrine"})
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		name := names.Draw(t, "profile")
		b.apply(profile.RecordChange, []profile.Edit{b.publish(profile.KindProfile, name, profileWith(name, rapid.SliceOfN(names, 1, 3).Draw(t, "services")...))})
	case 1:
		service := names.Draw(t, "service")
		b.apply(profile.RecordChange, []profile.Edit{b.publish(profile.KindSelection, service, fmt.Sprintf(`{"kind":"selection","service":%q,"profile":%q}`, service, names.Draw(t, "chosen")))})
	case 2:
		key := profile.Key{Kind: rapid.SampledFrom([]string{profile.KindProfile, profile.KindSelection}).Draw(t, "kind"), Name: names.Draw(t, "retired")}
		if e, ok := b.machine.State().Live(key); ok {
			b.apply(profile.RecordChange, []profile.Edit{{Op: profile.OpRetire, Key: key, Base: &e.Version}})
		}
	case 3:
		status := rapid.SampledFrom([]membership.Status{membership.StatusAlive, membership.StatusSuspect, membership.StatusDraining, membership.StatusDead})
		b.member(rapid.IntRange(0, 5).Draw(t, "member"), names.Draw(t, "service"), status.Draw(t, "status"))
	}
}

// expectedRoutes derives the routes in force from the documents and the members,
// without Build: by id, whether a backend server is known for the route.
func (b *testbed) expectedRoutes() map[string]bool {
	s, out := b.machine.State(), map[string]bool{}
	serving := map[string]bool{}
	for _, m := range b.table.All() {
		serving[m.Service] = serving[m.Service] || m.Routable()
	}
	for _, e := range s.Sorted() {
		if e.Key.Kind != profile.KindProfile || e.Retired {
			continue
		}
		doc, err := e.Parse()
		assert.NilError(b.t, err)
		for _, r := range doc.Profile.Routes {
			if b.selectedProfile(s, r.Service) == e.Key.Name {
				out[e.Key.Name+"/"+r.Name] = serving[r.Service]
			}
		}
	}
	return out
}

func (b *testbed) selectedProfile(s profile.State, service string) string {
	e, ok := s.Live(profile.Key{Kind: profile.KindSelection, Name: service})
	if !ok {
		return service
	}
	doc, err := e.Parse()
	assert.NilError(b.t, err)
	return doc.Selection.Profile
}

// TestSnapshotsAreComplete guards against routes to a service or backend server
// that the snapshot lacks, and against missing routes, while profiles,
// selections and members change.
func TestSnapshotsAreComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := newTestbed(t)
		for number := uint64(1); number < 25; number++ {
			b.step(t)
			snap, found := Build(number, b.machine.State(), b.table.All())
			assert.NilError(t, found.Err())
			b.checkComplete(snap)
		}
	})
}

func (b *testbed) checkComplete(snap *Snapshot) {
	got := map[string]bool{}
	for _, r := range snap.Routes {
		got[r.ID] = true
		svc := snap.Services[r.Route.Service]
		assert.Assert(b.t, svc == r.Service && len(svc.Endpoints) > 0, r.ID)
		for _, e := range svc.Endpoints {
			m, ok := b.table.Get(e.ID)
			assert.Assert(b.t, ok && m.Routable() && m.Service == svc.Name && m.Incarnation == e.Incarnation, "%s: %s", r.ID, e.ID)
		}
	}
	for _, r := range snap.HeldBack {
		got[r.ID] = false
	}
	assert.DeepEqual(b.t, got, b.expectedRoutes())
}

// TestCheckFindsDanglingReferences guards against a Check that misses a
// dangling reference and a Build that accepts an unreadable document.
func TestCheckFindsDanglingReferences(t *testing.T) {
	full := &Service{Name: "a", Endpoints: []*Endpoint{{ID: "n"}}}
	route := func(s *Service) []*Route {
		return []*Route{{ID: "p/r", Route: profile.Route{Service: "a"}, Service: s}}
	}
	cases := map[string]*Snapshot{
		"service missing":          {Routes: route(full)},
		"service of another build": {Routes: route(full), Services: map[string]*Service{"a": {Name: "a", Endpoints: full.Endpoints}}},
	}
	for name, snap := range cases {
		assert.Assert(t, len(snap.Check()) == 1, name)
	}
	assert.NilError(t, (&Snapshot{Routes: route(full), Services: map[string]*Service{"a": full}}).Check().Err())
	key := profile.Key{Kind: profile.KindProfile, Name: "agenda"}
	snap, found := Build(1, profile.State{Entries: map[profile.Key]profile.Entry{key: {Key: key, Document: json.RawMessage(`{}`)}}}, nil)
	assert.Assert(t, snap == nil && len(found) == 1, "%v", found)
}
