// Package snapshot builds and caches immutable snapshots of routes, services
// and backend servers. Build validates a snapshot before it is used.
package snapshot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Endpoint is a backend server as seen by callers' nodes: the node with its
// inbound proxy and the location of both.
type Endpoint struct {
	ID             string
	Incarnation    int64 // of the node, or the start of its backend server in ns if that is later
	ServerStart    int64 // of the backend server in ns, 0 where servers do not report it
	InboundAddress string
	Region         string
	FailureDomain  string
	Slots          int
	Version        string // of the backend server's software; empty where servers do not report it
}

// Start identifies the start of the backend server. Where servers do not report
// it, each start of the node counts as one of the server.
func (e *Endpoint) Start() int64 { return cmp.Or(e.ServerStart, e.Incarnation) }

// Service is a service with its backend servers, and the first profile with a
// route that names it. Policy is that profile's.
type Service struct {
	Name      string
	Profile   string
	Version   profile.Version
	Policy    profile.Policy
	Endpoints []*Endpoint
	Versions  []string // of the endpoints, sorted, each once
}

// Route maps matching calls to a service of the same snapshot.
type Route struct {
	profile.Route
	ID          string // profile/route
	Service     *Service
	Parts       []Part // services that share the calls by weight; empty sends all to Service
	totalWeight int    // sum over Parts
}

// Part is a service's share of a route.
type Part struct {
	Service *Service
	Weight  int
}

// Choose returns the service of one call. random selects among the parts of a
// split by weight; a part without backend servers keeps its share, so that its
// calls are refused rather than sent to another service.
func (r *Route) Choose(random uint64) *Service {
	if r.totalWeight == 0 {
		return r.Service
	}
	n := int(random % uint64(r.totalWeight))
	for _, p := range r.Parts {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return r.Service
}

// isHeldBack reports whether none of the route's services has a backend server.
func (r *Route) isHeldBack() bool {
	for _, p := range r.Parts {
		if len(p.Service.Endpoints) > 0 {
			return false
		}
	}
	return len(r.Service.Endpoints) == 0
}

// Snapshot is an immutable, consistent set of routes and services. Generation
// is its sequence number.
type Snapshot struct {
	Generation uint64
	Position   profile.Position
	Services   map[string]*Service
	Routes     []*Route // longest path prefix first
	// HeldBack lists routes in force none of whose services has a known backend
	// server; calls to them are refused as not run.
	HeldBack []*Route
	Limits   profile.CallLimits // limits on what callers send
	// Organisations holds the organisations in force; nil for none.
	Organisations *Organisations
}

// Build returns the snapshot of a state and the known members, or findings,
// never both.
func Build(generation uint64, state profile.State, members []membership.Member) (*Snapshot, finding.List) {
	s := &Snapshot{Generation: generation, Position: state.Position, Services: map[string]*Service{}, Limits: state.Limits}
	endpoints := endpointsOf(members)
	selected := selectedProfiles(state)
	var found finding.List
	for _, e := range state.Sorted() {
		if e.Key.Kind != profile.KindProfile || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil || doc.Profile == nil {
			found = append(found, finding.Finding{Path: e.Key.String(), Problem: fmt.Sprintf("unreadable document: %v", err)})
			continue
		}
		s.addProfile(doc.Profile, e.Version, selected, endpoints)
	}
	organisations, err := state.Organisations()
	if err != nil {
		found = append(found, finding.Finding{Problem: fmt.Sprintf("unreadable organisation: %v", err)})
	}
	if len(found) > 0 {
		return nil, found
	}
	s.Organisations = NewOrganisations(organisations)
	s.sortRoutes()
	if found = s.Check(); len(found) > 0 {
		return nil, found
	}
	return s, nil
}

func endpointsOf(members []membership.Member) map[string][]*Endpoint {
	out := make(map[string][]*Endpoint)
	for _, m := range members {
		if !m.Routable() || m.Service == "" {
			continue
		}
		out[m.Service] = append(out[m.Service], &Endpoint{
			ID: m.ID, Incarnation: max(m.Incarnation, m.ServerStartNs), ServerStart: m.ServerStartNs, InboundAddress: m.InboundAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, Slots: m.Slots, Version: m.Version,
		})
	}
	return out
}

func versionsOf(endpoints []*Endpoint) []string {
	var out []string
	for _, e := range endpoints {
		if !slices.Contains(out, e.Version) {
			out = append(out, e.Version)
		}
	}
	slices.Sort(out)
	return out
}

// selectedProfiles returns the selected profile of each service. A service
// without a selection is absent and uses the profile of its own name.
func selectedProfiles(state profile.State) map[string]string {
	out := make(map[string]string)
	for k, e := range state.Entries {
		if k.Kind != profile.KindSelection || e.Retired {
			continue
		}
		if doc, err := e.Parse(); err == nil && doc.Selection != nil {
			out[doc.Selection.Service] = doc.Selection.Profile
		}
	}
	return out
}

func (s *Snapshot) addProfile(p *profile.Profile, v profile.Version, selected map[string]string, endpoints map[string][]*Endpoint) {
	for _, r := range p.Routes {
		choice, ok := selected[r.Service]
		if !ok {
			choice = r.Service
		}
		if choice != p.Name {
			continue
		}
		service := func(name string) *Service {
			svc := s.Services[name]
			if svc == nil {
				svc = &Service{Name: name, Profile: p.Name, Version: v, Policy: p.Policy, Endpoints: endpoints[name], Versions: versionsOf(endpoints[name])}
				s.Services[name] = svc
			}
			return svc
		}
		route := &Route{Route: r, ID: p.Name + "/" + r.Name, Service: service(r.Service)}
		for _, part := range r.Split {
			route.Parts = append(route.Parts, Part{Service: service(part.Service), Weight: part.Weight})
			route.totalWeight += part.Weight
		}
		if route.isHeldBack() {
			s.HeldBack = append(s.HeldBack, route)
			continue
		}
		s.Routes = append(s.Routes, route)
	}
}

func (s *Snapshot) sortRoutes() {
	byPrefix := func(a, b *Route) int {
		if c := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	}
	slices.SortStableFunc(s.Routes, byPrefix)
	slices.SortStableFunc(s.HeldBack, byPrefix)
}

// Check returns the entries of Routes whose service is not that of the snapshot,
// or that have no backend server. It checks neither HeldBack nor the services of
// a split.
func (s *Snapshot) Check() finding.List {
	var found finding.List
	for _, r := range s.Routes {
		svc := s.Services[r.Route.Service]
		switch {
		case svc == nil || svc != r.Service:
			found = append(found, finding.Finding{Path: r.ID, Problem: "route names service " + r.Route.Service + ", which this snapshot lacks"})
		case r.isHeldBack():
			found = append(found, finding.Finding{Path: r.ID, Problem: "route names service " + svc.Name + ", which has no backend server"})
		}
	}
	return found
}

// IsIdempotent reports whether a call of the given method may run more than once.
func (r *Route) IsIdempotent(method string) bool {
	if r.Idempotent != nil {
		return *r.Idempotent
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "TRACE", "PUT", "DELETE":
		return true
	}
	return false
}
