package distribution_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// TestMain guards against goroutines that outlive a stopped agent.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func asRangeError(err error, out **platformlog.RangeError) bool { return errors.As(err, out) }

func (h *harness) isReader(n *cluster.Node) bool {
	return h.reader(n.Member.Region) == n || h.secondReader(n.Member.Region) == n
}

func (h *harness) secondReader(region string) *cluster.Node {
	var members []membership.Member
	for _, n := range h.Nodes {
		members = append(members, n.Member)
	}
	return h.node(membership.Readers(region, members)[1])
}

// everyNodeSees returns a check that a node has a status in the tables of all
// others.
func (h *harness) everyNodeSees(id string, want membership.Status) func() bool {
	return func() bool {
		return h.all(func(n *cluster.Node) bool { return n.Member.ID == id || h.status(n, id) == want })
	}
}

// TestFailedNodeIsDeclaredDead guards against a failed node that stays alive in
// the tables, and against a restarted one that stays dead in them.
func TestFailedNodeIsDeclaredDead(t *testing.T) {
	inCluster(t, 16, time.Hour, func(h *harness) {
		h.Nodes[5].Kill()
		took := h.eventually(7*time.Second, "the node is dead for all", h.everyNodeSees("n005", membership.StatusDead))
		assert.Assert(t, took > 3*time.Second, "dead after %s, before the silence limit", took)
		h.Nodes[5].Start()
		h.eventually(limit, "the restarted node is alive", h.everyNodeSees("n005", membership.StatusAlive))
	})
}

// TestBrokenLinkDeclaresNoNodeDead guards against a member that is declared
// dead because of a single broken link or a partition between regions.
func TestBrokenLinkDeclaresNoNodeDead(t *testing.T) {
	for _, c := range []struct {
		name string
		cut  func(a, b string) bool
		want []string // nodes that may be seen as dead
	}{
		{name: "one link", cut: func(a, b string) bool { return a == "n004" && b == "n002" || a == "n002" && b == "n004" }},
		{name: "between regions", cut: func(a, b string) bool { return (a[3]-'0')%2 != (b[3]-'0')%2 }},
		{name: "one direction", cut: func(a, b string) bool { return a == "n004" && b == "n002" }},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, 16, time.Hour, func(h *harness) {
				h.Net.SetCut(c.cut)
				for range 120 {
					time.Sleep(500 * time.Millisecond)
					for _, n := range h.Nodes {
						for _, o := range h.Nodes {
							assert.Assert(t, h.status(n, o.Member.ID) != membership.StatusDead, "%s has %s as dead", n.Member.ID, o.Member.ID)
						}
					}
				}
			})
		})
	}
}

// TestUnreachableNodeRejoins guards against a node that was paused or
// partitioned for longer than the silence limit and stays dead for the others,
// or declares them dead when it returns.
func TestUnreachableNodeRejoins(t *testing.T) {
	cutOne := func(from, to string) bool { return from == "n006" || to == "n006" }
	cut := func(h *harness) { h.Net.SetCut(cutOne) }
	mend := func(h *harness) { h.Net.SetCut(func(string, string) bool { return false }) }
	for _, c := range []struct {
		name         string
		lose, regain func(h *harness)
		away         time.Duration // time for which the node stays lost after it was found dead
	}{
		{"paused", func(h *harness) { h.Net.Pause("n006") }, func(h *harness) { h.Net.Resume("n006") }, 5 * time.Second},
		{"cut", cut, mend, 5 * time.Second},
		{"cut for a minute", cut, mend, time.Minute},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, 16, time.Hour, func(h *harness) {
				c.lose(h)
				h.eventually(7*time.Second, "the lost node is dead", h.everyNodeSees("n006", membership.StatusDead))
				time.Sleep(c.away)
				c.regain(h)
				h.eventually(limit, "the node is alive for all", h.everyNodeSees("n006", membership.StatusAlive))
				h.eventually(15*time.Second, "all are alive for all", func() bool {
					return h.all(func(n *cluster.Node) bool { return len(h.alive(n)) == len(h.Nodes) })
				})
			})
		})
	}
}

// TestSilentConnectionReplaced guards against a node that is declared dead
// because its connections went silent although new ones would work.
func TestSilentConnectionReplaced(t *testing.T) {
	inCluster(t, 16, time.Hour, func(h *harness) {
		for _, n := range h.Nodes {
			h.Net.Blackhole("n006", n.Member.ID)
		}
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, h.all(func(n *cluster.Node) bool { return len(h.alive(n)) == len(h.Nodes) }))
		}
	})
}

// TestDrainSpreadsWithoutLog guards against a draining node that keeps receiving
// new calls because its status reaches the others only through the log.
func TestDrainSpreadsWithoutLog(t *testing.T) {
	inCluster(t, 16, time.Hour, func(h *harness) {
		h.Nodes[7].Log.SetDisconnected(true) // the log is unreachable
		go func() { _ = h.Nodes[7].Agent().SetStatus(h.ctx, membership.StatusDraining) }()
		h.eventually(time.Second, "the node is draining for all", h.everyNodeSees("n007", membership.StatusDraining))
	})
}

// TestStatusListsEveryNode guards against a status without some nodes, in
// particular those that do not answer.
func TestStatusListsEveryNode(t *testing.T) {
	inCluster(t, 16, time.Hour, func(h *harness) {
		h.publishToAll("shop")
		h.Nodes[9].Kill()
		answer, err := h.Nodes[0].Agent().Status(h.ctx, peer.StatusRequest{Scope: peer.ScopeAll})
		assert.NilError(t, err)
		assert.Equal(t, len(answer.Rows), 16)
		for _, r := range answer.Rows {
			assert.Equal(t, r.Error != "", r.ID == "n009", "%+v", r)
			assert.Equal(t, r.Ready, r.ID != "n009")
		}
	})
}
