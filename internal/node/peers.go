package node

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/distribution"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// peers holds the client and the server of the inner protocol.
type peers struct {
	bytes  peer.ByteCounters
	pool   *peer.Pool
	server *peer.Server
}

// newAgent creates the agent and the client and server of the inner protocol,
// which depend on each other: the client sends the agent's member entry, and the
// server answers from the agent's state.
func (n *Node) newAgent(logClient platformlog.Log, self membership.Member) {
	token := n.settings.Peers.Token
	n.peers.pool = peer.NewPool(peer.PoolConfig{
		Self: func() membership.Member { return n.agent.SelfEntry() }, Token: token, Dial: peer.DialTCP, Bytes: &n.peers.bytes,
	})
	n.agent = distribution.NewAgent(distribution.Config{
		Self: self, Log: logClient, Peers: n.peers.pool, Seeds: n.settings.Peers.Seeds,
		Table: n.members, Snapshots: n.snapshots, Logger: n.logger,
		Source: n.platform.Source, Directory: n.platform.Directory, Eras: n.platform.Eras, OnSelfEntry: n.restoreServerState,
		StartSpread: n.settings.Platform.StartSpread.D(), ApplyWithin: n.settings.Configuration.ApplyWithin.D(),
	})
	n.peers.server = peer.NewServer(&peerHandler{Agent: n.agent, node: n}, token, &n.peers.bytes)
}

// addPeerServer adds the server of the inner protocol to the run group.
func (n *Node) addPeerServer(ctx context.Context, g *run.Group) {
	ctx, cancel := context.WithCancel(ctx)
	g.Add(func() error { return n.peers.server.Serve(ctx, n.listeners.peer) }, func(error) {
		cancel()
		n.peers.pool.Close()
	})
}

// peerHandler adds the methods that other components serve to those of the
// agent.
type peerHandler struct {
	*distribution.Agent
	node *Node
}

// QuarantineEntries merges quarantine entries from a neighbour.
func (h *peerHandler) QuarantineEntries(entries json.RawMessage) {
	h.node.receiveQuarantineUpdate(entries)
}

// Claim passes the claim of a key to the batcher on this node.
func (h *peerHandler) Claim(ctx context.Context, claim json.RawMessage) (json.RawMessage, error) {
	return h.node.callPath.claims.serveClaim(ctx, claim)
}

// Resolve passes the Resolution of a claim to the batcher on this node.
func (h *peerHandler) Resolve(ctx context.Context, resolution json.RawMessage) (json.RawMessage, error) {
	return h.node.callPath.claims.serveResolution(ctx, resolution)
}

// Quota passes a report of calls of organisations to the exchange of quotas.
func (h *peerHandler) Quota(ctx context.Context, r peer.QuotaReport) (peer.QuotaAnswer, error) {
	return h.node.callPath.quotas.Quota(ctx, r)
}

// Drain starts the graceful shutdown of the node.
func (h *peerHandler) Drain(context.Context) error {
	h.node.Drain()
	return nil
}

// Dump returns the state dump.
func (h *peerHandler) Dump(context.Context) (json.RawMessage, error) {
	var buf bytes.Buffer
	if err := h.node.WriteDump(&buf); err != nil {
		return nil, errors.Wrap(err, "dump")
	}
	return buf.Bytes(), nil
}

// PeerBytes is the traffic of the inner protocol since the start, in bytes.
type PeerBytes struct {
	In  int64 `json:"in"`
	Out int64 `json:"out"`
}

// PeerBytes returns the traffic of the inner protocol since the start.
func (n *Node) PeerBytes() PeerBytes {
	return PeerBytes{In: n.peers.bytes.In.Load(), Out: n.peers.bytes.Out.Load()}
}
