package distribution_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// limit is the time within which a change must be in effect on all nodes.
const limit = 5 * time.Second

var domains = []cluster.Domain{
	{Region: "gaucho", Name: "poa-a"}, {Region: "litoral", Name: "floripa-a"},
	{Region: "gaucho", Name: "poa-b"}, {Region: "litoral", Name: "floripa-b"},
}

// harness is a running cluster in a synctest bubble, which has virtual time.
type harness struct {
	*cluster.Cluster
	t   *testing.T
	ctx context.Context
}

// inCluster runs a test on a cluster whose nodes are ready.
func inCluster(t *testing.T, nodes int, retention time.Duration, test func(h *harness)) {
	inClusterWith(t, cluster.Config{Nodes: nodes, Retention: retention}, test)
}

// inClusterWith is inCluster with further settings of the cluster.
func inClusterWith(t *testing.T, cfg cluster.Config, test func(h *harness)) {
	cfg.Domains, cfg.LogRegion = domains, "gaucho"
	cfg.DomainDelay, cfg.RegionDelay = 500*time.Microsecond, 8*time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		c := cluster.New(cfg)
		h := &harness{Cluster: c, t: t, ctx: t.Context()}
		assert.NilError(t, c.Init(h.ctx))
		c.StartAll()
		defer c.StopAll()
		h.eventually(20*time.Second, "every node is ready and knows all", func() bool {
			return h.all(func(n *cluster.Node) bool {
				return n.Agent().Ready() && len(n.Agent().Table.All()) == cfg.Nodes
			})
		})
		test(h)
	})
}

// all reports whether a condition holds on every running node.
func (h *harness) all(ok func(n *cluster.Node) bool) bool {
	for _, n := range h.Nodes {
		if n.Agent() != nil && !ok(n) {
			return false
		}
	}
	return true
}

// eventually waits in virtual time until a condition holds.
func (h *harness) eventually(within time.Duration, what string, ok func() bool) time.Duration {
	h.t.Helper()
	begin := time.Now()
	for {
		synctest.Wait()
		if ok() {
			return time.Since(begin)
		}
		if time.Since(begin) > within {
			for _, n := range h.Nodes {
				if a := n.Agent(); a != nil {
					p, _ := a.Position()
					h.t.Logf("%s at %s ready=%v alive=%d", n.Member.ID, p, a.Ready(), len(h.alive(n)))
				}
			}
			h.t.Fatalf("not within %s: %s", within, what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (h *harness) alive(n *cluster.Node) (ids []string) {
	for _, m := range n.Agent().Table.All() {
		if m.Routable() {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// publish appends a new profile and returns a check that it is in effect on a
// node.
func (h *harness) publish(name string) func(n *cluster.Node) bool {
	h.t.Helper()
	_, err := h.Publish(h.ctx, name, nil, 0)
	assert.NilError(h.t, err)
	return h.applies(name)
}

func (h *harness) applies(name string) func(n *cluster.Node) bool {
	return func(n *cluster.Node) bool {
		s := n.Agent().State()
		return s != nil && s.Entries[profile.Key{Kind: profile.KindProfile, Name: name}].Version.Number > 0
	}
}

func (h *harness) status(n *cluster.Node, id string) membership.Status {
	m, _ := n.Agent().Table.Get(id)
	return m.Status
}

func (h *harness) reader(region string) *cluster.Node {
	var members []membership.Member
	for _, n := range h.Nodes {
		if n.Agent() != nil {
			members = append(members, n.Member)
		}
	}
	return h.node(membership.Readers(region, members)[0])
}

func (h *harness) node(id string) *cluster.Node {
	for _, n := range h.Nodes {
		if n.Member.ID == id {
			return n
		}
	}
	h.t.Fatalf("no node %s", id)
	return nil
}

// fault is a test case: what happens before and after a change is published.
// The change must then be in effect on every running node within the limit and
// stay in effect.
type fault struct {
	name   string
	before func(h *harness)
	after  func(h *harness)
}

// TestChangeReachesEveryNode guards against a fault that keeps a change from a
// node: failed nodes at each step of the path, network partitions, paused nodes
// and connections that went silent.
func TestChangeReachesEveryNode(t *testing.T) {
	for _, f := range []fault{
		{name: "no fault"},
		{name: "reader killed before the change", before: func(h *harness) { h.reader("gaucho").Kill() }},
		{name: "reader killed after the change", after: func(h *harness) { h.reader("gaucho").Kill() }},
		{name: "reader of the other region killed after the change", after: func(h *harness) { h.reader("litoral").Kill() }},
		{name: "both readers of a region killed", before: func(h *harness) {
			h.reader("litoral").Kill()
			h.reader("litoral").Kill()
		}},
		{name: "node killed while it passes the change on", after: func(h *harness) {
			time.Sleep(2 * time.Millisecond)
			h.Nodes[4].Kill()
		}},
		{name: "domain killed and restarted", before: func(h *harness) {
			for i := 0; i < len(h.Nodes); i += 4 {
				h.Nodes[i].Kill()
			}
		}, after: func(h *harness) {
			for i := 0; i < len(h.Nodes); i += 4 {
				h.Nodes[i].Start()
			}
		}},
		{name: "region cut from the log", before: func(h *harness) {
			for _, n := range h.Nodes {
				n.Log.SetDisconnected(n.Member.Region == "litoral")
			}
		}},
		{name: "node paused past its heartbeat limit", before: func(h *harness) {
			h.Net.Pause("n004")
			time.Sleep(8 * time.Second)
		}, after: func(h *harness) { h.Net.Resume("n004") }},
		{name: "node cut from all and back", before: func(h *harness) {
			h.Net.SetCut(func(from, to string) bool { return from == "n004" || to == "n004" })
			time.Sleep(20 * time.Second)
		}, after: func(h *harness) { h.Net.SetCut(func(string, string) bool { return false }) }},
		{name: "regions cut from each other and back, one without the log", before: func(h *harness) {
			for _, n := range h.Nodes {
				n.Log.SetDisconnected(n.Member.Region == "litoral")
			}
			h.Net.SetCut(func(from, to string) bool { return h.node(from).Member.Region != h.node(to).Member.Region })
			time.Sleep(time.Minute)
		}, after: func(h *harness) {
			time.Sleep(time.Second)
			h.Net.SetCut(func(string, string) bool { return false })
		}},
		{name: "every connection of a node silent", before: func(h *harness) {
			for _, n := range h.Nodes {
				h.Net.Blackhole("n004", n.Member.ID)
			}
		}},
		{name: "log slow", before: func(h *harness) { h.Log.SetFaults(standin.LogFaults{SlowMs: 1500}) }},
	} {
		t.Run(f.name, func(t *testing.T) {
			inCluster(t, 16, time.Hour, func(h *harness) {
				if f.before != nil {
					f.before(h)
				}
				has := h.publish("shop")
				if f.after != nil {
					f.after(h)
				}
				h.eventually(limit, "the change is in effect on all nodes", func() bool { return h.all(has) })
				time.Sleep(20 * time.Second)
				assert.Assert(t, h.all(has), "the change was reverted")
			})
		})
	}
}
