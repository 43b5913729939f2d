package distribution_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/cluster"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// publishToAll publishes a first profile and waits until all nodes apply it.
func (h *harness) publishToAll(name string) func(n *cluster.Node) bool {
	has := h.publish(name)
	h.eventually(limit, "the first change is in effect", func() bool { return h.all(has) })
	return has
}

// TestLogRestartKeepsConfiguration guards against a configuration that is lost
// or reverted when the log restarts empty or with other records.
func TestLogRestartKeepsConfiguration(t *testing.T) {
	for _, c := range []struct {
		name  string
		after func(h *harness)
	}{
		{"empty", func(*harness) {}},
		{"initialised by an operator", func(h *harness) { assert.NilError(h.t, h.Init(h.ctx)) }},
		{"with other records at the same offsets", func(h *harness) {
			for range 5 {
				_, err := h.Append(h.ctx, profile.Record{Kind: profile.RecordChange})
				assert.NilError(h.t, err)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, 12, time.Hour, func(h *harness) {
				has := h.publishToAll("shop")
				h.Log.SetFaults(standin.LogFaults{Reset: true})
				c.after(h)
				h.eventually(time.Minute, "the nodes are in the next epoch", func() bool {
					return h.all(func(n *cluster.Node) bool {
						p, _ := n.Agent().Position()
						return p.Epoch >= 2 && has(n)
					})
				})
				time.Sleep(time.Minute)
				p, _ := h.Nodes[0].Agent().Position()
				assert.Equal(t, p.Epoch, uint32(2), "one loss opened several epochs")
				next := h.publish("library")
				h.eventually(limit, "the next change is in effect", func() bool { return h.all(next) && h.all(has) })
			})
		})
	}
}

// TestStateOutlivesRetention guards against a log whose records all expire
// without a new checkpoint, and against readers that all write one.
func TestStateOutlivesRetention(t *testing.T) {
	inCluster(t, 12, 4*time.Minute, func(h *harness) {
		has := h.publishToAll("shop")
		time.Sleep(30 * time.Minute)
		b, err := h.Log.Local(0).Read(h.ctx, platformlog.StreamConfig, 0, 1, 0)
		var out *platformlog.RangeError
		if err == nil {
			t.Fatalf("nothing expired: %+v", b)
		}
		assert.Assert(t, asRangeError(err, &out))
		machine := profile.NewStateMachine(out.First)
		b, err = h.Log.Local(0).Read(h.ctx, platformlog.StreamConfig, out.First, 256, 0)
		assert.NilError(t, err)
		for _, e := range b.Entries {
			machine.Apply(e.Offset, e.Data)
		}
		assert.Assert(t, machine.Anchored(), "the log has no checkpoint from which the state can be rebuilt")
		_, held := machine.State().Entries[profile.Key{Kind: profile.KindProfile, Name: "shop"}]
		assert.Assert(t, held)
		assert.Assert(t, out.Next < 60, "%d checkpoints in 30 min", out.Next) // at most two per minute
		h.Nodes[3].Kill()
		h.Nodes[3].Start()
		h.eventually(limit, "a new node has the state", func() bool {
			return h.Nodes[3].Agent().Ready() && has(h.Nodes[3])
		})
	})
}

// TestReaderAfterRecordExpiry guards against a reader that fails on a record
// that expired while the log was unreachable, and against duplicate checkpoints
// that change the state.
func TestReaderAfterRecordExpiry(t *testing.T) {
	inCluster(t, 12, time.Hour, func(h *harness) {
		has := h.publishToAll("shop")
		for _, n := range h.Nodes {
			n.Log.SetDisconnected(true)
		}
		time.Sleep(15 * time.Second)
		_, err := h.Publish(h.ctx, "library", nil, 0)
		assert.NilError(t, err)
		b, err := h.Log.Local(0).Read(h.ctx, platformlog.StreamConfig, 0, 256, 0)
		assert.NilError(t, err)
		machine := profile.NewStateMachine(0)
		for _, e := range b.Entries {
			machine.Apply(e.Offset, e.Data)
		}
		for range 2 {
			_, err = h.Append(h.ctx, profile.Record{Kind: profile.RecordCheckpoint, Checkpoint: profile.CheckpointOf(machine.State())})
			assert.NilError(t, err)
		}
		h.Log.SetFaults(standin.LogFaults{ExpireBefore: map[string]int64{platformlog.StreamConfig: b.Next}})
		for _, n := range h.Nodes {
			n.Log.SetDisconnected(false)
		}
		h.eventually(15*time.Second, "all hold both profiles", func() bool { return h.all(has) && h.all(h.applies("library")) })
		p, _ := h.Nodes[0].Agent().Position()
		assert.Equal(t, p.Epoch, uint32(1), "an expired record opened an epoch")
	})
}

// TestOnlyReadersPollLog guards against nodes that poll the log without being
// readers.
func TestOnlyReadersPollLog(t *testing.T) {
	inCluster(t, 12, time.Hour, func(h *harness) {
		time.Sleep(30 * time.Second)
		before := map[string]int64{}
		for _, n := range h.Nodes {
			before[n.Member.ID] = n.Log.Reads()
		}
		time.Sleep(time.Minute)
		reading := 0
		for _, n := range h.Nodes {
			if n.Log.Reads() > before[n.Member.ID] {
				reading++
			}
		}
		assert.Equal(t, reading, 4)
	})
}

// TestStartRule guards against a node that becomes ready with an outdated
// configuration or with none.
func TestStartRule(t *testing.T) {
	for _, c := range []struct {
		name        string
		log, peers  bool // whether the node can reach them
		ready       bool
		peersBehind bool // its peers lack the newest record
	}{
		{name: "log and peers", log: true, peers: true, ready: true},
		{name: "peers alone", peers: true, ready: true},
		{name: "neither", ready: false},
		{name: "log ahead of peers", log: true, peers: true, peersBehind: true, ready: false},
	} {
		t.Run(c.name, func(t *testing.T) {
			inCluster(t, 12, time.Hour, func(h *harness) {
				has := h.publishToAll("shop")
				n := h.Nodes[4]
				n.Kill()
				n.Log.SetDisconnected(!c.log)
				h.Net.SetCut(func(from, to string) bool { return !c.peers && (from == "n004" || to == "n004") })
				if c.peersBehind {
					for _, o := range h.Nodes {
						o.Log.SetDisconnected(true)
					}
					n.Log.SetDisconnected(false)
					time.Sleep(11 * time.Second) // the pending long polls end
					assert.Assert(t, !h.isReader(n), "the test needs a node that does not read")
					h.publish("library")
				}
				n.Start()
				time.Sleep(10 * time.Second)
				assert.Equal(t, n.Agent().Ready(), c.ready)
				assert.Equal(t, n.Agent().State() != nil && has(n), c.ready || c.peersBehind)
				h.Net.SetCut(func(string, string) bool { return false })
				for _, o := range h.Nodes {
					o.Log.SetDisconnected(false)
				}
				h.eventually(15*time.Second, "the node is ready", func() bool { return n.Agent().Ready() && has(n) })
			})
		})
	}
}

// TestFailureDomainRestart guards against a restarted failure domain that is
// not ready within the time limit, and against its nodes overloading the log
// with reads.
func TestFailureDomainRestart(t *testing.T) {
	for _, logDown := range []bool{false, true} {
		inCluster(t, 32, time.Hour, func(h *harness) {
			has := h.publishToAll("shop")
			before := h.reads()
			h.Log.SetFaults(standin.LogFaults{Down: logDown})
			for i := 0; i < len(h.Nodes); i += 4 {
				h.Nodes[i].Kill()
				h.Nodes[i].Start()
			}
			h.eventually(limit, "the domain is ready", func() bool {
				return h.all(func(n *cluster.Node) bool { return n.Agent().Ready() && has(n) })
			})
			perNode := float64(h.reads()-before) / 8
			assert.Assert(t, perNode < 20, "%v reads of the log per restarted node", perNode)
		})
	}
}

func (h *harness) reads() (sum int64) {
	for _, n := range h.Nodes {
		sum += n.Log.Reads()
	}
	return sum
}
