package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// keepGenerations is how many generations stay readable. A call reads the
// published number and then its shard, so it can be overtaken by an install
// or two, and by more only if it was paused in between.
const keepGenerations = 4

// anyHost is the key of routes that match every host.
const anyHost = ""

// Match is the result of a route lookup.
type Match struct {
	Generation uint64
	Route      *Route // nil when no route matches
	HeldBack   bool   // the route's service has no backend server here
}

// Cache keeps the newest generations, sharded by the host of the routes.
// Install writes every shard and then raises the published number, so a call
// that reads the number once sees one generation in all shards.
type Cache struct {
	published atomic.Uint64
	install   sync.Mutex // held by Install only; readers never take it
	latest    atomic.Pointer[Snapshot]
	shards    []holderShard
}

type holderShard struct {
	mu     sync.RWMutex
	tables map[uint64]*routeTable // guarded by mu; by generation number
}

type routeTable struct {
	routes   map[string][]*Route // by host, longest path prefix first
	heldBack map[string][]*Route
}

// NewCache returns a holder without a generation.
func NewCache() *Cache {
	h := &Cache{shards: make([]holderShard, shard.DefaultCount)}
	for i := range h.shards {
		h.shards[i].tables = make(map[uint64]*routeTable)
	}
	return h
}

// Install makes g the published generation. Its number must be higher than
// every number installed before; a lower one is ignored and reported false.
func (h *Cache) Install(g *Snapshot) bool {
	h.install.Lock()
	defer h.install.Unlock()
	if g.Generation <= h.published.Load() {
		return false
	}
	tables := splitByShard(g, len(h.shards))
	for i := range h.shards {
		h.shards[i].put(g.Generation, tables[i])
	}
	h.latest.Store(g)
	h.published.Store(g.Generation)
	return true
}

func splitByShard(g *Snapshot, count int) []*routeTable {
	tables := make([]*routeTable, count)
	for i := range tables {
		tables[i] = &routeTable{routes: map[string][]*Route{}, heldBack: map[string][]*Route{}}
	}
	for _, r := range g.Routes {
		t := tables[shard.Index(r.Host, count)]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, r := range g.HeldBack {
		t := tables[shard.Index(r.Host, count)]
		t.heldBack[r.Host] = append(t.heldBack[r.Host], r)
	}
	return tables
}

func (s *holderShard) put(number uint64, t *routeTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[number] = t
	for n := range s.tables {
		if n+keepGenerations <= number {
			delete(s.tables, n)
		}
	}
}

func (s *holderShard) get(number uint64) *routeTable {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tables[number]
}

// Published returns the number of the published generation, 0 for none.
func (h *Cache) Published() uint64 { return h.published.Load() }

// Latest returns the newest generation for dumps and status, or nil.
func (h *Cache) Latest() *Snapshot { return h.latest.Load() }

// Limits returns the bounds on what callers send.
func (h *Cache) Limits() profile.CallLimits {
	if g := h.latest.Load(); g != nil {
		return g.Limits
	}
	return profile.CallLimits{}
}

// Lookup finds the route of a call in the published generation. Routes with
// the call's host go before routes for every host, longer path prefixes
// before shorter ones.
func (h *Cache) Lookup(host, method, path string) Match {
	for {
		number := h.published.Load()
		if number == 0 {
			return Match{}
		}
		if m, ok := h.lookupIn(number, host, method, path); ok {
			return m
		}
		// The generation was replaced keepGenerations times since its number
		// was read. The published number has moved, so this ends.
	}
}

func (h *Cache) lookupIn(number uint64, host, method, path string) (Match, bool) {
	m := Match{Generation: number}
	for _, key := range []string{host, anyHost} {
		t := h.shards[shard.Index(key, len(h.shards))].get(number)
		if t == nil {
			return Match{}, false
		}
		route, held := t.find(key, method, path)
		if route != nil {
			m.Route, m.HeldBack = route, held
			return m, true
		}
	}
	return m, true
}

// find returns the longest match, also among the routes held back, so that a
// call never falls through to a shorter prefix of another service.
func (t *routeTable) find(host, method, path string) (route *Route, heldBack bool) {
	route = firstMatch(t.routes[host], method, path)
	held := firstMatch(t.heldBack[host], method, path)
	if held != nil && (route == nil || len(held.PathPrefix) > len(route.PathPrefix)) {
		return held, true
	}
	return route, false
}

func firstMatch(routes []*Route, method, path string) *Route {
	for _, r := range routes {
		if r.Matches(method, path) {
			return r
		}
	}
	return nil
}
