// Package shard provides the only sharded container of the code base.
//
// Goroutines share state only through it. Each shard has its own lock. While a
// caller holds one, it must not do I/O, block, or take the lock of another
// shard.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// DefaultCount is the number of shards for maps on the call path. It is several
// times the number of cores of a small instance, so that two cores rarely
// contend for one lock.
const DefaultCount = 32

// Map is a map split into shards, each under its own lock.
//
// Methods that access all shards lock them one after the other and never hold
// two locks at once.
type Map[V any] struct {
	shards []mapShard[V]
}

type mapShard[V any] struct {
	mu sync.RWMutex
	m  map[string]V // guarded by mu
}

// NewMap returns a Map with the given number of shards. A count below one
// selects DefaultCount.
func NewMap[V any](count int) *Map[V] {
	if count < 1 {
		count = DefaultCount
	}
	s := &Map[V]{shards: make([]mapShard[V], count)}
	for i := range s.shards {
		s.shards[i].m = make(map[string]V)
	}
	return s
}

// Index returns the index of the shard that holds key, among count shards.
func Index(key string, count int) int {
	return int(xxhash.Sum64String(key) % uint64(count))
}

func (s *Map[V]) shardOf(key string) *mapShard[V] {
	return &s.shards[Index(key, len(s.shards))]
}

// Get returns the value of key and whether key is present.
func (s *Map[V]) Get(key string) (V, bool) {
	sh := s.shardOf(key)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	v, ok := sh.m[key]
	return v, ok
}

// Set stores v under key.
func (s *Map[V]) Set(key string, v V) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.m[key] = v
}

// Delete removes key.
func (s *Map[V]) Delete(key string) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.m, key)
}

// Update calls fn with the value of key, under the lock of its shard. fn
// receives the current value and whether there is one, and returns the new
// value and whether to keep the key. fn must not call back into the Map.
func (s *Map[V]) Update(key string, fn func(v V, ok bool) (V, bool)) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	old, ok := sh.m[key]
	v, keep := fn(old, ok)
	if !keep {
		delete(sh.m, key)
		return
	}
	sh.m[key] = v
}

// UpdateShard calls fn with all entries of the shard that holds key, under its
// lock. It allows a caller to bound the size of a shard while adding to it. fn
// must not retain m and must not call back into the Map.
func (s *Map[V]) UpdateShard(key string, fn func(m map[string]V)) {
	sh := s.shardOf(key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	fn(sh.m)
}

// UpdateAll replaces the value of every entry with the result of fn, one shard
// at a time, and removes the entries for which fn returns false. fn must not
// call back into the Map.
func (s *Map[V]) UpdateAll(fn func(key string, v V) (V, bool)) {
	for i := range s.shards {
		s.shards[i].updateAll(fn)
	}
}

func (sh *mapShard[V]) updateAll(fn func(key string, v V) (V, bool)) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for k, v := range sh.m {
		next, keep := fn(k, v)
		if !keep {
			delete(sh.m, k)
			continue
		}
		sh.m[k] = next
	}
}

// Range calls fn for every entry, one shard at a time under its read lock,
// until fn returns false. It is not a consistent view: the Map may change
// between two shards. fn must not call back into the Map.
func (s *Map[V]) Range(fn func(key string, v V) bool) {
	for i := range s.shards {
		if !s.shards[i].each(fn) {
			return
		}
	}
}

func (sh *mapShard[V]) each(fn func(key string, v V) bool) bool {
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	for k, v := range sh.m {
		if !fn(k, v) {
			return false
		}
	}
	return true
}

// DeleteFunc removes the entries for which fn returns true, one shard at a
// time, and returns how many it removed.
func (s *Map[V]) DeleteFunc(fn func(key string, v V) bool) int {
	removed := 0
	for i := range s.shards {
		removed += s.shards[i].deleteFunc(fn)
	}
	return removed
}

func (sh *mapShard[V]) deleteFunc(fn func(key string, v V) bool) int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	removed := 0
	for k, v := range sh.m {
		if fn(k, v) {
			delete(sh.m, k)
			removed++
		}
	}
	return removed
}

// Len returns the number of entries.
func (s *Map[V]) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.RLock()
		n += len(s.shards[i].m)
		s.shards[i].mu.RUnlock()
	}
	return n
}
