package snapshot

import (
	"sync"
	"sync/atomic"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// retainedSnapshots is the range of generations whose snapshots stay readable.
// Generations that were refused count too, so fewer snapshots may be readable. A
// lookup reads the published generation and then a shard; more than two installs
// in between happen only if its goroutine is descheduled.
const retainedSnapshots = 4

// anyHost is the host key of routes that match all hosts.
const anyHost = ""

// Match is the result of a route lookup in the snapshot of a generation.
type Match struct {
	Generation uint64
	Route      *Route // nil when no route matches
	HeldBack   bool   // Route is one of Snapshot.HeldBack
	// Organisations are those of the same generation; nil for none.
	Organisations *Organisations
}

// Cache holds the published snapshot and earlier ones that lookups may still
// read, sharded by the host of the routes. Install writes every shard before it
// publishes the generation, so that a lookup, which reads the generation once,
// sees the same snapshot in all shards.
type Cache struct {
	published atomic.Uint64
	installMu sync.Mutex // held by Install only; readers never take it
	latest    atomic.Pointer[Snapshot]
	shards    []cacheShard
}

type cacheShard struct {
	mu     sync.RWMutex
	tables map[uint64]*routeTable // guarded by mu; by generation
}

type routeTable struct {
	routes   map[string][]*Route // by host, longest path prefix first
	heldBack map[string][]*Route

	organisations *Organisations // the same in all shards
}

// NewCache returns an empty cache.
func NewCache() *Cache {
	c := &Cache{shards: make([]cacheShard, shard.DefaultCount)}
	for i := range c.shards {
		c.shards[i].tables = make(map[uint64]*routeTable)
	}
	return c
}

// Install publishes a snapshot. It ignores a snapshot whose generation is not
// higher than the published one and returns false.
func (c *Cache) Install(s *Snapshot) bool {
	c.installMu.Lock()
	defer c.installMu.Unlock()
	if s.Generation <= c.published.Load() {
		return false
	}
	tables := splitByShard(s, len(c.shards))
	for i := range c.shards {
		c.shards[i].put(s.Generation, tables[i])
	}
	c.latest.Store(s)
	c.published.Store(s.Generation)
	return true
}

func splitByShard(s *Snapshot, count int) []*routeTable {
	tables := make([]*routeTable, count)
	for i := range tables {
		tables[i] = &routeTable{routes: map[string][]*Route{}, heldBack: map[string][]*Route{}, organisations: s.Organisations}
	}
	for _, r := range s.Routes {
		t := tables[shard.Index(r.Host, count)]
		t.routes[r.Host] = append(t.routes[r.Host], r)
	}
	for _, r := range s.HeldBack {
		t := tables[shard.Index(r.Host, count)]
		t.heldBack[r.Host] = append(t.heldBack[r.Host], r)
	}
	return tables
}

func (s *cacheShard) put(generation uint64, t *routeTable) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tables[generation] = t
	for n := range s.tables {
		if n+retainedSnapshots <= generation {
			delete(s.tables, n)
		}
	}
}

func (s *cacheShard) get(generation uint64) *routeTable {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.tables[generation]
}

// Published returns the published generation, or 0 for none.
func (c *Cache) Published() uint64 { return c.published.Load() }

// Latest returns the newest snapshot, or nil.
func (c *Cache) Latest() *Snapshot { return c.latest.Load() }

// Limits returns the limits of the newest snapshot on what callers send.
func (c *Cache) Limits() profile.CallLimits {
	if s := c.latest.Load(); s != nil {
		return s.Limits
	}
	return profile.CallLimits{}
}

// Lookup finds the route of a call in the published snapshot. path is the path as
// the caller sent it, without the query. Routes with the
// call's host take precedence over routes for every host, and longer path
// prefixes over shorter ones.
func (c *Cache) Lookup(host, method, path string) Match {
	forms := newCallPath(path)
	for {
		generation := c.published.Load()
		if generation == 0 {
			return Match{}
		}
		if m, ok := c.lookupIn(generation, host, method, forms); ok {
			return m
		}
		// Install dropped this generation after it was read, or while it
		// publishes a generation that is higher by retainedSnapshots or more. The
		// lookup repeats until a readable generation is published.
	}
}

// lookupIn finds the route in one generation. It returns false if the generation
// is no longer readable.
func (c *Cache) lookupIn(generation uint64, host, method string, path callPath) (Match, bool) {
	m := Match{Generation: generation}
	for _, key := range []string{host, anyHost} {
		t := c.shards[shard.Index(key, len(c.shards))].get(generation)
		if t == nil {
			return Match{}, false
		}
		m.Organisations = t.organisations
		route, held := t.find(key, method, path)
		if route != nil {
			m.Route, m.HeldBack = route, held
			return m, true
		}
	}
	return m, true
}

// find returns the match with the longest path prefix, including routes held
// back, so that their calls do not match a shorter prefix of another service.
func (t *routeTable) find(host, method string, path callPath) (route *Route, heldBack bool) {
	route = firstMatch(t.routes[host], method, path)
	held := firstMatch(t.heldBack[host], method, path)
	if held != nil && (route == nil || len(held.PathPrefix) > len(route.PathPrefix)) {
		return held, true
	}
	return route, false
}

func firstMatch(routes []*Route, method string, path callPath) *Route {
	for _, r := range routes {
		if r.matches(method, path) {
			return r
		}
	}
	return nil
}
