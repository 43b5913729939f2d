// Package cluster runs many agents in one process over an in-memory network
// and log, for tests in virtual time and for benchmarks.
package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/distribution"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// Domain is a failure domain and its region.
type Domain struct {
	Region, Name string
}

// Config describes a cluster.
type Config struct {
	Nodes       int
	Domains     []Domain      // assigned to nodes in rotation
	LogRegion   string        // region of the log
	DomainDelay time.Duration // one-way delay between failure domains, and to the log from its region
	RegionDelay time.Duration // one-way delay between regions, and to the log from other regions
	Retention   time.Duration // of the log; one hour if zero
	ApplyWithin time.Duration // as in distribution.Config
	Token       string        // of the inner protocol
	Logger      *slog.Logger  // discards if nil
	// Platform returns what takes the place of the log on a node that starts; nil
	// uses the log.
	Platform func(id string) Platform
}

// Platform is what a platform other than the log provides; see distribution.Config.
type Platform struct {
	Source    distribution.Source
	Directory distribution.Directory
	Eras      *distribution.Eras
}

// Cluster is a set of nodes, their log and their network.
type Cluster struct {
	cfg              Config
	Log              *standin.Log
	Net              *standin.Network
	Nodes            []*Node
	crossRegionBytes atomic.Int64 // bytes sent between regions
	sentBytes        atomic.Int64 // bytes sent by nodes
}

// Node is a node of the cluster. Every start creates a new agent.
type Node struct {
	cluster *Cluster
	Member  membership.Member
	Log     *standin.LocalLog

	mu    sync.Mutex
	agent *distribution.Agent // guarded by mu; nil while the node is down
	stop  func()              // guarded by mu
}

// New returns a cluster without running nodes.
func New(cfg Config) *Cluster {
	if cfg.Retention == 0 {
		cfg.Retention = time.Hour
	}
	if cfg.Logger == nil {
		cfg.Logger = slog.New(slog.NewTextHandler(io.Discard, &slog.HandlerOptions{Level: slog.LevelError + 1}))
	}
	c := &Cluster{cfg: cfg, Log: standin.NewLog(cfg.Retention, time.Now)}
	domains := map[string]Domain{}
	for i := range cfg.Nodes {
		d := cfg.Domains[i%len(cfg.Domains)]
		id := fmt.Sprintf("n%03d", i)
		domains[id] = d
		c.Nodes = append(c.Nodes, &Node{cluster: c, Log: c.Log.Local(c.logDelay(d)), Member: membership.Member{
			ID: id, Service: fmt.Sprintf("service-%02d", i%100), Region: d.Region, FailureDomain: d.Name,
			PeerAddress: id, InboundAddress: "127.0.0.1:1", Slots: 18, Status: membership.StatusAlive,
		}})
	}
	c.Net = standin.NewNetwork(
		func(from, to string) time.Duration { return c.delay(domains[from], domains[to]) },
		func(from, to string, bytes int) {
			c.sentBytes.Add(int64(bytes))
			if domains[from].Region != domains[to].Region {
				c.crossRegionBytes.Add(int64(bytes))
			}
		})
	return c
}

func (c *Cluster) delay(from, to Domain) time.Duration {
	switch {
	case from.Region != to.Region:
		return c.cfg.RegionDelay
	case from.Name != to.Name:
		return c.cfg.DomainDelay
	}
	return 0
}

func (c *Cluster) logDelay(d Domain) time.Duration {
	if d.Region != c.cfg.LogRegion {
		return c.cfg.RegionDelay
	}
	return c.cfg.DomainDelay
}

// LogDelay returns the one-way delay between a node and the log.
func (c *Cluster) LogDelay(n *Node) time.Duration {
	return c.logDelay(Domain{Region: n.Member.Region, Name: n.Member.FailureDomain})
}

// SentBytes returns the bytes that the nodes have sent, in total and between
// regions.
func (c *Cluster) SentBytes() (total, crossRegion int64) {
	return c.sentBytes.Load(), c.crossRegionBytes.Load()
}

// Append appends a record to the config stream.
func (c *Cluster) Append(ctx context.Context, rec profile.Record) (int64, error) {
	rec.Schema, rec.Author, rec.Time = profile.SchemaVersion, "test", time.Now().UTC()
	if rec.ID == "" {
		rec.ID = uuid.NewString()
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return 0, errors.Wrap(err, "encode record")
	}
	return c.Log.Local(0).Append(ctx, platformlog.StreamConfig, data)
}

// Init appends the genesis record.
func (c *Cluster) Init(ctx context.Context) error {
	_, err := c.Append(ctx, profile.Record{Kind: profile.RecordGenesis})
	return err
}

// Publish appends a change that publishes a profile, whose size is increased by a
// path prefix of at least padding bytes, and returns the offset of the change.
func (c *Cluster) Publish(ctx context.Context, name string, base *profile.Version, padding int) (int64, error) {
	prefix := "/" + name
	for len(prefix) < padding {
		prefix += "/padding"
	}
	doc := fmt.Sprintf(`{"kind":"profile","name":%q,"routes":[{"name":"all","host":"%s.example","pathPrefix":%q,"service":"service-00"}]}`, name, name, prefix)
	edit := profile.Edit{Op: profile.OpPublish, Key: profile.Key{Kind: profile.KindProfile, Name: name}, Base: base, Document: json.RawMessage(doc)}
	return c.Append(ctx, profile.Record{Kind: profile.RecordChange, Edits: []profile.Edit{edit}})
}

// StartAll starts every node.
func (c *Cluster) StartAll() {
	for _, n := range c.Nodes {
		n.Start()
	}
}

// StopAll stops every node.
func (c *Cluster) StopAll() {
	var wg sync.WaitGroup
	for _, n := range c.Nodes {
		wg.Go(n.Kill)
	}
	wg.Wait()
}

// Start starts a node that is down.
func (n *Node) Start() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.agent != nil {
		return
	}
	c := n.cluster
	self := n.Member
	self.Incarnation = time.Now().UnixNano()
	bytes := &peer.ByteCounters{}
	var agent *distribution.Agent
	pool := peer.NewPool(peer.PoolConfig{
		Self: func() membership.Member { return agent.SelfEntry() }, Token: c.cfg.Token,
		Dial: c.Net.Dialer(self.PeerAddress), Bytes: bytes,
	})
	var platform Platform
	if c.cfg.Platform != nil {
		platform = c.cfg.Platform(self.ID)
	}
	agent = distribution.NewAgent(distribution.Config{
		Self: self, Log: n.Log, Source: platform.Source, Directory: platform.Directory, Eras: platform.Eras, Peers: pool, Seeds: c.seeds(), Table: membership.NewTable(),
		ApplyWithin: c.cfg.ApplyWithin, Snapshots: snapshot.NewCache(), Logger: c.cfg.Logger.With("node", self.ID),
	})
	ln, err := c.Net.Listen(self.PeerAddress)
	if err != nil {
		panic(err) // cannot happen: the address is free while the node is down
	}
	n.agent = agent
	n.stop = runNode(agent, pool, func(ctx context.Context) error {
		return peer.NewServer(peerHandler{agent}, c.cfg.Token, bytes).Serve(ctx, ln)
	})
}

// runNode starts the agent and the server of a node and returns the function that
// stops them and the node's peer connections.
func runNode(agent *distribution.Agent, pool *peer.Pool, serve func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = agent.Run(ctx) })
	wg.Go(func() { _ = serve(ctx) })
	return func() {
		cancel()
		pool.Close()
		wg.Wait()
	}
}

// seeds returns the peer addresses of the first two nodes.
func (c *Cluster) seeds() []string {
	var out []string
	for _, n := range c.Nodes[:min(2, len(c.Nodes))] {
		out = append(out, n.Member.PeerAddress)
	}
	return out
}

// Kill stops a node immediately, without a drain, as a crash of its process
// does.
func (n *Node) Kill() {
	n.mu.Lock()
	stop := n.stop
	n.agent, n.stop = nil, nil
	n.mu.Unlock()
	if stop == nil {
		return
	}
	n.cluster.Net.Reset(n.Member.PeerAddress)
	n.cluster.Net.Resume(n.Member.PeerAddress)
	stop()
}

// Agent returns the agent of a running node, or nil.
func (n *Node) Agent() *distribution.Agent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agent
}

// peerHandler adds stubs of the peer methods that the cluster does not use.
type peerHandler struct{ *distribution.Agent }

var errUnsupported = errors.New("not supported by the in-memory cluster")

func (peerHandler) QuarantineEntries(json.RawMessage) {}

func (peerHandler) Claim(context.Context, json.RawMessage) (json.RawMessage, error) {
	return nil, errUnsupported
}

func (peerHandler) Resolve(context.Context, json.RawMessage) (json.RawMessage, error) {
	return nil, errUnsupported
}

func (peerHandler) RolloutStates(json.RawMessage) {}

func (peerHandler) RolloutReport(context.Context, json.RawMessage) (json.RawMessage, error) {
	return nil, errUnsupported
}

func (peerHandler) Quota(context.Context, peer.QuotaReport) (peer.QuotaAnswer, error) {
	return peer.QuotaAnswer{}, errUnsupported
}

func (peerHandler) Drain(context.Context) error { return errUnsupported }

func (peerHandler) Dump(context.Context) (json.RawMessage, error) { return nil, errUnsupported }
