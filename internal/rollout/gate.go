package rollout

import (
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

const (
	// stateLease is how long a state that gives calls to the target version holds on
	// a callers' node. Coordinators publish one at least each PublishInterval.
	stateLease = 1500 * time.Millisecond
	// PublishInterval is the longest time between two states of a coordinator.
	PublishInterval = 400 * time.Millisecond
	// versionHold is how long servers of a version that is new to a service get no
	// calls from nodes that know no order: an order for it may be on its way.
	versionHold = 2 * time.Second
	// replacedHold is how long replaced versions get no calls after a completion: as
	// long as nodes may take to learn that their servers are gone. Servers of the same
	// version that join later are used.
	replacedHold = 15 * time.Second
)

// view is a state with the time at which it arrived.
type view struct {
	State
	at time.Time
}

// Gate holds the states of all orders that a node knows of, and chooses the version
// that a call goes to.
type Gate struct {
	views    *shard.Map[view]      // by service
	versions *shard.Map[time.Time] // when a version of a service was first seen, by both
}

// NewGate returns a Gate without orders.
func NewGate() *Gate {
	return &Gate{views: shard.NewMap[view](shard.DefaultCount), versions: shard.NewMap[time.Time](shard.DefaultCount)}
}

// Set stores a state and reports whether it is newer than the one before, or tells a
// newer place of the same order.
func (g *Gate) Set(s State, now time.Time) bool {
	isNewer := false
	g.views.Update(s.Service, func(have view, ok bool) (view, bool) {
		if isNewer = !ok; isNewer {
			return view{State: s, at: now}, true
		}
		if isNewer = s.NewerThan(have.State); isNewer {
			return view{State: s.after(have.State), at: now}, true
		}
		if s.Number == have.Number && s.Found > have.Found {
			isNewer, have.Found = true, s.Found
		}
		return have, true
	})
	return isNewer
}

// Read returns the state that follows when an order is read, and whether it replaces
// the one that is held.
func (g *Gate) Read(o Order) (State, bool) {
	have, ok := g.views.Get(o.Service)
	if !ok {
		return NewState(o), true
	}
	return have.read(o)
}

// Get returns the state of a service's order, and its age.
func (g *Gate) Get(service string, now time.Time) (State, time.Duration, bool) {
	v, ok := g.views.Get(service)
	return v.State, now.Sub(v.at), ok
}

// States returns the states of all orders, sorted by service.
func (g *Gate) States() []State {
	var out []State
	g.views.Range(func(_ string, v view) bool {
		out = append(out, v.State)
		return true
	})
	slices.SortFunc(out, func(a, b State) int {
		if a.Service < b.Service {
			return -1
		}
		return 1
	})
	return out
}

// SeeVersions records the versions of a snapshot.
func (g *Gate) SeeVersions(s *snapshot.Snapshot, now time.Time) {
	for _, svc := range s.Services {
		for _, version := range svc.Versions {
			g.versions.Update(versionKey(svc.Name, version), func(first time.Time, ok bool) (time.Time, bool) {
				if !ok {
					first = now
				}
				return first, true
			})
		}
	}
}

func versionKey(service, version string) string { return service + "\x00" + version }

// Choice restricts the servers of a call.
type Choice struct {
	// Accepts reports whether a server may get the call; nil accepts all.
	Accepts func(*snapshot.Endpoint) bool
	// Otherwise restricts the servers of a retry after a refusal, or when no server
	// that is accepted is there; nil has the same ones tried again.
	Otherwise func(*snapshot.Endpoint) bool
	// Judged means that the call goes to a version that is being judged. It is not
	// hedged, since a hedge would hide that the version is slow.
	Judged bool
}

// Choose chooses the versions of one call. random is a number in [0, 1).
func (g *Gate) Choose(svc *snapshot.Service, random float64, now time.Time) Choice {
	v, ordered := g.views.Get(svc.Name)
	if !ordered {
		return g.chooseUnordered(svc, now)
	}
	if len(svc.Versions) == 0 || len(svc.Versions) == 1 && (svc.Versions[0] != v.Target || v.Phase != RolledBack) {
		return Choice{} // the nodes of the servers hold the exposure
	}
	isTarget := func(e *snapshot.Endpoint) bool { return e.Version == v.Target }
	isOther := func(e *snapshot.Endpoint) bool { return e.Version != v.Target }
	switch v.Phase {
	case RolledBack:
		return Choice{Accepts: isOther}
	case Completed:
		if !slices.Contains(svc.Versions, v.Target) || now.Sub(v.at) > replacedHold {
			return Choice{}
		}
		return Choice{Accepts: func(e *snapshot.Endpoint) bool { return !slices.Contains(v.Replaced, e.Version) }}
	}
	expired := v.Term == 0 || now.Sub(v.at) > stateLease
	if expired || random >= v.Share {
		c := Choice{Accepts: isOther}
		if v.Phase == Moving {
			c.Otherwise = isTarget
		}
		return c
	}
	return Choice{
		Accepts:   func(e *snapshot.Endpoint) bool { return isTarget(e) && v.receives(e.ID) },
		Otherwise: isOther, Judged: v.Phase == Observing,
	}
}

// chooseUnordered keeps calls from versions that are new to a service for
// versionHold, while others are there.
func (g *Gate) chooseUnordered(svc *snapshot.Service, now time.Time) Choice {
	if len(svc.Versions) < 2 {
		return Choice{}
	}
	var held []string
	for _, version := range svc.Versions {
		first, ok := g.versions.Get(versionKey(svc.Name, version))
		if !ok || now.Sub(first) < versionHold {
			held = append(held, version)
		}
	}
	if len(held) == 0 || len(held) == len(svc.Versions) {
		return Choice{}
	}
	return Choice{Accepts: func(e *snapshot.Endpoint) bool { return !slices.Contains(held, e.Version) }}
}
