package snapshot

import (
	"fmt"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

const testHosts = 8

// numbered returns a generation in which everything carries its number. Odd
// generations have a route for /odd more.
func numbered(n uint64) *Snapshot {
	g := &Snapshot{Generation: n, Services: map[string]*Service{}}
	for i := range testHosts {
		name := fmt.Sprintf("s%d", i)
		svc := &Service{Name: name, Version: profile.Version{Epoch: 1, Number: n}}
		for range int(n%3) + 1 {
			svc.Endpoints = append(svc.Endpoints, &Endpoint{ID: name, Incarnation: int64(n)})
		}
		g.Services[name] = svc
		g.add(svc, fmt.Sprintf("h%d", i), "/")
		if n%2 == 1 {
			g.add(svc, fmt.Sprintf("h%d", i), "/odd")
		}
	}
	g.order()
	return g
}

func (g *Snapshot) add(svc *Service, host, prefix string) *Route {
	r := &Route{ID: "p" + host + prefix, Route: profile.Route{Host: host, PathPrefix: prefix, Service: svc.Name}, Service: svc}
	g.Routes = append(g.Routes, r)
	return r
}

// whole returns what is wrong with a match, or "".
func whole(m Match) string {
	switch {
	case m.Route == nil:
		return "no route"
	case m.Route.Service.Version.Number != m.Generation:
		return fmt.Sprintf("service of generation %d in %d", m.Route.Service.Version.Number, m.Generation)
	case len(m.Route.Service.Endpoints) != int(m.Generation%3)+1:
		return "half of the endpoints"
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

// Guards against a call that sees parts of two generations, or an older one
// than before, while thousands of generations are installed. Run with -race.
func TestReadersSeeOneWholeGeneration(t *testing.T) {
	const switches, readers = 4000, 6
	h := NewCache()
	h.Install(numbered(1))
	done := make(chan struct{})
	problems := make([]string, readers)
	var g sync.WaitGroup
	for i := range readers {
		g.Go(func() { problems[i] = readUntil(h, done, i) })
	}
	for n := uint64(2); n <= switches; n++ {
		h.Install(numbered(n))
	}
	close(done)
	g.Wait()
	assert.DeepEqual(t, problems, make([]string, readers))
	assert.Equal(t, h.Published(), uint64(switches))
}

func readUntil(h *Cache, done <-chan struct{}, seed int) string {
	last := uint64(0)
	for i := seed; ; i++ {
		select {
		case <-done:
			return ""
		default:
		}
		m := h.Lookup(fmt.Sprintf("h%d", i%testHosts), "GET", "/odd/x")
		if problem := whole(m); problem != "" {
			return problem
		}
		if m.Generation < last {
			return fmt.Sprintf("generation %d after %d", m.Generation, last)
		}
		last = m.Generation
	}
}

// Guards against a generation that is installed late and takes the place of
// a newer one.
func TestInstallNeverGoesBack(t *testing.T) {
	h := NewCache()
	assert.Assert(t, h.Install(numbered(5)))
	assert.Assert(t, !h.Install(numbered(4)) && !h.Install(numbered(5)))
	assert.Equal(t, h.Lookup("h0", "GET", "/").Generation, uint64(5))
	assert.Equal(t, h.Latest().Generation, uint64(5))
}

// Guards the choice among routes: host before any host, longer prefix before
// shorter, whole segments, methods, and no fall-through from a held route.
func TestLookupOrder(t *testing.T) {
	g := &Snapshot{Generation: 1, Services: map[string]*Service{}}
	svc := &Service{Name: "s"}
	g.add(svc, "a", "/")
	g.add(svc, "a", "/x")
	g.add(svc, "", "/x/y")
	g.add(svc, "a", "/post").Methods = []string{"POST"}
	held := g.add(svc, "a", "/x/held")
	g.Routes, g.HeldBack = g.Routes[:len(g.Routes)-1], []*Route{held}
	g.order()
	h := NewCache()
	h.Install(g)
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
		m := h.Lookup(c.host, c.method, c.path)
		got := ""
		if m.Route != nil {
			got = m.Route.ID
		}
		assert.Assert(t, got == c.want && m.HeldBack == c.held, "%+v: got %q", c, got)
	}
	assert.Assert(t, NewCache().Lookup("a", "GET", "/").Route == nil)
}
