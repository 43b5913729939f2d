// Package snapshot holds immutable generations of routes, services and
// backend servers. A generation is checked whole before it is used.
package snapshot

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Endpoint is a backend server as callers' nodes see it: the node that guards
// it and where both stand.
type Endpoint struct {
	ID            string
	Incarnation   int64
	GuardAddress  string
	Region        string
	FailureDomain string
	Slots         int
}

// Service is a service with its backend servers and the profile that it
// selected.
type Service struct {
	Name      string
	Profile   string
	Version   profile.Version
	Policy    profile.Policy
	Endpoints []*Endpoint
}

// Route leads matching calls to a service of the same generation.
type Route struct {
	profile.Route
	ID      string // profile/route
	Service *Service
	Parts   []Part // services that share the calls; empty sends all to Service
	weights int    // sum over Parts
}

// Part is a service's share of a route.
type Part struct {
	Service *Service
	Weight  int
}

// Choose returns the service of one call. random decides between the parts of
// a split; a part without backend servers keeps its share, so that its calls
// are refused and not moved to another service.
func (r *Route) Choose(random uint64) *Service {
	if r.weights == 0 {
		return r.Service
	}
	n := int(random % uint64(r.weights))
	for _, p := range r.Parts {
		if n -= p.Weight; n < 0 {
			return p.Service
		}
	}
	return r.Service
}

// held reports whether no service of the route has a backend server.
func (r *Route) held() bool {
	for _, p := range r.Parts {
		if len(p.Service.Endpoints) > 0 {
			return false
		}
	}
	return len(r.Service.Endpoints) == 0
}

// Snapshot is one consistent set of routes and services. It is immutable.
type Snapshot struct {
	Generation uint64
	Position   profile.Position
	Services   map[string]*Service
	Routes     []*Route // longest path prefix first
	// HeldBack names routes in force whose service has no backend server
	// here; calls to them are answered as not run.
	HeldBack []*Route
	Limits   profile.CallLimits // of what callers send
}

// Build makes the generation of a state and the members known. It never
// returns a generation together with findings.
func Build(number uint64, s profile.State, members []membership.Member) (*Snapshot, finding.List) {
	g := &Snapshot{Generation: number, Position: s.Position, Services: map[string]*Service{}, Limits: s.Limits}
	endpoints := endpointsOf(members)
	selected := selections(s)
	var found finding.List
	for _, e := range s.Sorted() {
		if e.Key.Kind != profile.KindProfile || e.Retired {
			continue
		}
		doc, err := e.Parse()
		if err != nil || doc.Profile == nil {
			found = append(found, finding.Finding{Path: e.Key.String(), Problem: fmt.Sprintf("unreadable document: %v", err)})
			continue
		}
		g.addProfile(doc.Profile, e.Version, selected, endpoints)
	}
	if len(found) > 0 {
		return nil, found
	}
	g.order()
	if found = g.Check(); len(found) > 0 {
		return nil, found
	}
	return g, nil
}

func endpointsOf(members []membership.Member) map[string][]*Endpoint {
	out := make(map[string][]*Endpoint)
	for _, m := range members {
		if !m.Routable() || m.Service == "" {
			continue
		}
		out[m.Service] = append(out[m.Service], &Endpoint{
			ID: m.ID, Incarnation: max(m.Incarnation, m.ServerStartNs), GuardAddress: m.InboundAddress,
			Region: m.Region, FailureDomain: m.FailureDomain, Slots: m.Slots,
		})
	}
	return out
}

// selections returns the profile that each service chose. A service without
// a choice is absent and runs under the profile of its own name.
func selections(s profile.State) map[string]string {
	out := make(map[string]string)
	for k, e := range s.Entries {
		if k.Kind != profile.KindSelection || e.Retired {
			continue
		}
		if doc, err := e.Parse(); err == nil && doc.Selection != nil {
			out[doc.Selection.Service] = doc.Selection.Profile
		}
	}
	return out
}

func (g *Snapshot) addProfile(p *profile.Profile, v profile.Version, selected map[string]string, endpoints map[string][]*Endpoint) {
	for _, r := range p.Routes {
		choice, ok := selected[r.Service]
		if !ok {
			choice = r.Service
		}
		if choice != p.Name {
			continue
		}
		service := func(name string) *Service {
			svc := g.Services[name]
			if svc == nil {
				svc = &Service{Name: name, Profile: p.Name, Version: v, Policy: p.Policy, Endpoints: endpoints[name]}
				g.Services[name] = svc
			}
			return svc
		}
		route := &Route{Route: r, ID: p.Name + "/" + r.Name, Service: service(r.Service)}
		for _, part := range r.Split {
			route.Parts = append(route.Parts, Part{Service: service(part.Service), Weight: part.Weight})
			route.weights += part.Weight
		}
		if route.held() {
			g.HeldBack = append(g.HeldBack, route)
			continue
		}
		g.Routes = append(g.Routes, route)
	}
}

func (g *Snapshot) order() {
	byPrefix := func(a, b *Route) int {
		if c := cmp.Compare(len(b.PathPrefix), len(a.PathPrefix)); c != 0 {
			return c
		}
		return cmp.Compare(a.ID, b.ID)
	}
	slices.SortStableFunc(g.Routes, byPrefix)
	slices.SortStableFunc(g.HeldBack, byPrefix)
}

// Check returns every reference that does not resolve inside the generation.
func (g *Snapshot) Check() finding.List {
	var found finding.List
	for _, r := range g.Routes {
		svc := g.Services[r.Route.Service]
		switch {
		case svc == nil || svc != r.Service:
			found = append(found, finding.Finding{Path: r.ID, Problem: "route names service " + r.Route.Service + ", which this generation lacks"})
		case r.held():
			found = append(found, finding.Finding{Path: r.ID, Problem: "route names service " + svc.Name + ", which has no backend server"})
		}
	}
	return found
}

// Matches reports whether a call belongs to the route, apart from its host.
func (r *Route) Matches(method, path string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	return hasPathPrefix(path, r.PathPrefix)
}

// hasPathPrefix matches whole segments: /a matches /a and /a/b but not /ab.
func hasPathPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}

// Idempotent reports whether a call of the given method may run more than once.
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
