package distribution_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// applyWithin is the bound that the clusters of these tests are configured for.
const applyWithin = 2 * time.Second

// startPollsEnd is longer than a long poll: until then, nodes that took themselves
// for readers while they started may still wait for a change.
const startPollsEnd = 15 * time.Second

// cutOff cuts nodes off from all others and from the log.
func (h *harness) cutOff(lost map[string]bool) {
	h.Net.SetCut(func(from, to string) bool { return lost[from] || lost[to] })
	for _, n := range h.Nodes {
		n.Log.SetDisconnected(lost[n.Member.ID])
	}
}

// readers returns the readers of the given regions.
func (h *harness) readers(regions ...string) map[string]bool {
	var members []membership.Member
	for _, n := range h.Nodes {
		members = append(members, n.Member)
	}
	out := map[string]bool{}
	for _, region := range regions {
		for _, id := range membership.Readers(region, members) {
			out[id] = true
		}
	}
	return out
}

// neighbours returns the neighbours and bridges of a node.
func (h *harness) neighbours(id string) map[string]bool {
	out := map[string]bool{}
	for _, m := range h.node(id).Agent().LinkedNodes() {
		out[m.ID] = true
	}
	return out
}

// randomHalf returns half of the nodes.
func (h *harness) randomHalf() map[string]bool {
	out := map[string]bool{}
	for _, i := range rand.Perm(len(h.Nodes))[:len(h.Nodes)/2] {
		out[h.Nodes[i].Member.ID] = true
	}
	return out
}

// logReads returns how many reads of the log all nodes have sent.
func (h *harness) logReads() (reads int64) {
	for _, n := range h.Nodes {
		reads += n.Log.Reads()
	}
	return reads
}

// TestChangeInForceWithoutReaders guards against a change that is late on nodes
// that reach the log because the nodes that would have told them of it are cut
// off, at any time between the cut and the detection of the failure.
func TestChangeInForceWithoutReaders(t *testing.T) {
	for _, c := range []struct {
		name string
		lost func(h *harness) map[string]bool
	}{
		{"readers of the region of the log", func(h *harness) map[string]bool { return h.readers("gaucho") }},
		{"readers of the other region", func(h *harness) map[string]bool { return h.readers("litoral") }},
		{"all readers", func(h *harness) map[string]bool { return h.readers("gaucho", "litoral") }},
		{"all neighbours of a node", func(h *harness) map[string]bool { return h.neighbours("n004") }},
		{"half of the nodes", (*harness).randomHalf},
	} {
		for _, after := range []time.Duration{0, time.Second, 3 * time.Second, 8 * time.Second} {
			t.Run(c.name+" "+after.String()+" before the change", func(t *testing.T) {
				t.Parallel()
				inClusterWith(t, cluster.Config{Nodes: 12, ApplyWithin: applyWithin}, func(h *harness) {
					time.Sleep(startPollsEnd)
					lost := c.lost(h)
					h.cutOff(lost)
					time.Sleep(after)
					has := h.publish("shop")
					h.eventually(applyWithin, "the change is in effect on the nodes that reach the log", func() bool {
						return h.all(func(n *cluster.Node) bool { return lost[n.Member.ID] || has(n) })
					})
				})
			})
		}
	}
}

// TestFewNodesReadTheLog guards against nodes that all check the log themselves
// while the readers do, which the log could not bear for a large fleet.
func TestFewNodesReadTheLog(t *testing.T) {
	const (
		period = 20 * time.Second
		// readsPerBound covers the checks of one reader at a third of the bound, and
		// the long polls of four.
		readsPerBound = 5
	)
	inClusterWith(t, cluster.Config{Nodes: 32, ApplyWithin: applyWithin}, func(h *harness) {
		time.Sleep(startPollsEnd)
		before := h.logReads()
		time.Sleep(period)
		reads := h.logReads() - before
		assert.Assert(t, reads <= readsPerBound*int64(period/applyWithin), "%d reads", reads)
	})
}
