package snapshot

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

const testHosts = 8

// snapshotOf returns a snapshot whose versions and endpoints carry its
// generation. Odd generations have an additional route for /odd.
func snapshotOf(n uint64) *Snapshot {
	s := &Snapshot{Generation: n, Services: map[string]*Service{}}
	for i := range testHosts {
		name := fmt.Sprintf("s%d", i)
		svc := &Service{Name: name, Version: profile.Version{Epoch: 1, Number: n}}
		for range int(n%3) + 1 {
			svc.Endpoints = append(svc.Endpoints, &Endpoint{ID: name, Incarnation: int64(n)})
		}
		s.Services[name] = svc
		s.add(svc, fmt.Sprintf("h%d", i), "/")
		if n%2 == 1 {
			s.add(svc, fmt.Sprintf("h%d", i), "/odd")
		}
	}
	s.sortRoutes()
	return s
}

func (s *Snapshot) add(svc *Service, host, prefix string) *Route {
	r := &Route{ID: "p" + host + prefix, Route: profile.Route{Host: host, PathPrefix: prefix, Service: svc.Name}, Service: svc}
	s.Routes = append(s.Routes, r)
	return r
}

// inconsistency describes how a match mixes generations, or returns "" if it does
// not.
func inconsistency(m Match) string {
	switch {
	case m.Route == nil:
		return "no route"
	case m.Route.Service.Version.Number != m.Generation:
		return fmt.Sprintf("service of generation %d in %d", m.Route.Service.Version.Number, m.Generation)
	case len(m.Route.Service.Endpoints) != int(m.Generation%3)+1:
		return "wrong number of endpoints"
	case (m.Route.PathPrefix == "/odd") != (m.Generation%2 == 1):
		return "route of another generation"
	}
	for _, e := range m.Route.Service.Endpoints {
		if e.Incarnation != int64(m.Generation) {
			return "endpoint of another generation"
		}
	}
	return ""
}

// TestReadersSeeOneCompleteSnapshot guards against a call that sees parts of two
// snapshots, or an older one than before, during thousands of installs. Run
// with -race.
func TestReadersSeeOneCompleteSnapshot(t *testing.T) {
	const installs, readers = 4000, 6
	cache := NewCache()
	cache.Install(snapshotOf(1))
	done := make(chan struct{})
	problems := make([]string, readers)
	var running sync.WaitGroup
	for i := range readers {
		running.Go(func() { problems[i] = readUntil(cache, done, i) })
	}
	for n := uint64(2); n <= installs; n++ {
		cache.Install(snapshotOf(n))
	}
	close(done)
	running.Wait()
	assert.DeepEqual(t, problems, make([]string, readers))
	assert.Equal(t, cache.Published(), uint64(installs))
}

func readUntil(cache *Cache, done <-chan struct{}, seed int) string {
	last := uint64(0)
	for i := seed; ; i++ {
		select {
		case <-done:
			return ""
		default:
		}
		m := cache.Lookup(fmt.Sprintf("h%d", i%testHosts), "GET", "/odd/x")
		if problem := inconsistency(m); problem != "" {
			return problem
		}
		if m.Generation < last {
			return fmt.Sprintf("generation %d after %d", m.Generation, last)
		}
		last = m.Generation
	}
}

// TestInstallKeepsNewerSnapshot guards against a late install that replaces a
// newer snapshot.
func TestInstallKeepsNewerSnapshot(t *testing.T) {
	cache := NewCache()
	assert.Assert(t, cache.Install(snapshotOf(5)))
	assert.Assert(t, !cache.Install(snapshotOf(4)) && !cache.Install(snapshotOf(5)))
	assert.Equal(t, cache.Lookup("h0", "GET", "/").Generation, uint64(5))
	assert.Equal(t, cache.Latest().Generation, uint64(5))
}

// TestLookupOrder guards against a call that matches the wrong route: one for every
// host before one for its host, a shorter prefix before a longer one, part of a
// segment, another method, or a shorter prefix than that of a route held back.
func TestLookupOrder(t *testing.T) {
	s := &Snapshot{Generation: 1, Services: map[string]*Service{}}
	svc := &Service{Name: "s"}
	s.add(svc, "a", "/")
	s.add(svc, "a", "/x")
	s.add(svc, "", "/x/y")
	s.add(svc, "a", "/post").Methods = []string{"POST"}
	held := s.add(svc, "a", "/x/held")
	s.Routes, s.HeldBack = s.Routes[:len(s.Routes)-1], []*Route{held}
	s.sortRoutes()
	cache := NewCache()
	cache.Install(s)
	cases := []struct {
		host, method, path string
		want               string
		held               bool
	}{
		{"a", "GET", "/", "pa/", false}, {"a", "GET", "/x", "pa/x", false}, {"a", "GET", "/xy", "pa/", false},
		{"a", "GET", "/x/y", "pa/x", false}, {"b", "GET", "/x/y/z", "p/x/y", false}, {"b", "GET", "/x", "", false},
		{"a", "GET", "/post", "pa/", false}, {"a", "POST", "/post", "pa/post", false},
		{"a", "GET", "/x/held/1", "pa/x/held", true},
	}
	for _, c := range cases {
		m := cache.Lookup(c.host, c.method, c.path)
		got := ""
		if m.Route != nil {
			got = m.Route.ID
		}
		assert.Assert(t, got == c.want && m.HeldBack == c.held, "%+v: got %q", c, got)
	}
	assert.Assert(t, NewCache().Lookup("a", "GET", "/").Route == nil)
}
