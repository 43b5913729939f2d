// Package cluster runs many agents in one process over an in-memory network
// and log, for tests in virtual time and for measurements.
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
	Domains     []Domain      // nodes are dealt to them in turn
	LogRegion   string        // region in which the log stands
	DomainDelay time.Duration // one way between failure domains
	RegionDelay time.Duration // one way between regions
	Retention   time.Duration // of the log; an hour when zero
	Token       string
	Logger      *slog.Logger // nil for none
}

// Cluster is a set of nodes, their log and their network.
type Cluster struct {
	cfg   Config
	Log   *standin.Log
	Net   *standin.Network
	Nodes []*Node
	cross atomic.Int64 // bytes sent between regions
	sent  atomic.Int64 // bytes sent by nodes
}

// Node is one node. A restart gives it a new agent.
type Node struct {
	cluster *Cluster
	Entry   membership.Member
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
	places := map[string]Domain{}
	for i := range cfg.Nodes {
		d := cfg.Domains[i%len(cfg.Domains)]
		id := fmt.Sprintf("n%03d", i)
		places[id] = d
		c.Nodes = append(c.Nodes, &Node{cluster: c, Log: c.Log.Local(c.logDelay(d)), Entry: membership.Member{
			ID: id, Service: fmt.Sprintf("service-%02d", i%100), Region: d.Region, FailureDomain: d.Name,
			PeerAddress: id, InboundAddress: "127.0.0.1:1", Slots: 18, Status: membership.StatusAlive,
		}})
	}
	c.Net = standin.NewNetwork(
		func(from, to string) time.Duration { return c.delay(places[from], places[to]) },
		func(from, to string, bytes int) {
			c.sent.Add(int64(bytes))
			if places[from].Region != places[to].Region {
				c.cross.Add(int64(bytes))
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
	return c.logDelay(Domain{Region: n.Entry.Region, Name: n.Entry.FailureDomain})
}

// Bytes returns what the nodes sent so far, in all and between regions.
func (c *Cluster) Bytes() (sent, cross int64) { return c.sent.Load(), c.cross.Load() }

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

// Init writes the genesis record.
func (c *Cluster) Init(ctx context.Context) error {
	_, err := c.Append(ctx, profile.Record{Kind: profile.RecordGenesis})
	return err
}

// Publish appends a change that publishes a profile, with padding to give it
// a size, and returns its offset.
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
	self := n.Entry
	self.Incarnation = time.Now().UnixNano()
	bytes := &peer.ByteCounters{}
	var agent *distribution.Agent
	pool := peer.NewPool(peer.PoolConfig{
		Self: func() membership.Member { return agent.SelfEntry() }, Token: c.cfg.Token,
		Dial: c.Net.Dialer(self.PeerAddress), Bytes: bytes,
	})
	agent = distribution.NewAgent(distribution.Config{
		Self: self, Log: n.Log, Peers: pool, Seeds: c.seeds(), Table: membership.NewTable(),
		Snapshots: snapshot.NewCache(), Logger: c.cfg.Logger.With("node", self.ID),
	})
	ln, err := c.Net.Listen(self.PeerAddress)
	if err != nil {
		panic(err) // an address is free once its node is down
	}
	n.agent = agent
	n.stop = runNode(agent, pool, func(ctx context.Context) error {
		return peer.NewServer(handler{agent}, c.cfg.Token, bytes).Serve(ctx, ln)
	})
}

// runNode runs the parts of a node and returns the function that ends them.
func runNode(agent *distribution.Agent, pool *peer.Pool, serve func(context.Context) error) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var parts sync.WaitGroup
	parts.Go(func() { _ = agent.Run(ctx) })
	parts.Go(func() { _ = serve(ctx) })
	return func() {
		cancel()
		pool.Close()
		parts.Wait()
	}
}

// seeds returns the addresses of the first two nodes.
func (c *Cluster) seeds() []string {
	var out []string
	for _, n := range c.Nodes[:min(2, len(c.Nodes))] {
		out = append(out, n.Entry.PeerAddress)
	}
	return out
}

// Kill ends a node at once, as the death of its process does.
func (n *Node) Kill() {
	n.mu.Lock()
	stop := n.stop
	n.agent, n.stop = nil, nil
	n.mu.Unlock()
	if stop == nil {
		return
	}
	n.cluster.Net.Reset(n.Entry.PeerAddress)
	n.cluster.Net.Resume(n.Entry.PeerAddress)
	stop()
}

// Agent returns the agent of a running node, or nil.
func (n *Node) Agent() *distribution.Agent {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.agent
}

// handler adds to the agent the methods that no cluster needs.
type handler struct{ *distribution.Agent }

var errNotHere = errors.New("not part of a cluster")

func (handler) Suspects(json.RawMessage) {}

func (handler) Claim(context.Context, json.RawMessage) (json.RawMessage, error) {
	return nil, errNotHere
}

func (handler) Settle(context.Context, json.RawMessage) (json.RawMessage, error) {
	return nil, errNotHere
}

func (handler) Drain(context.Context) error { return errNotHere }

func (handler) Dump(context.Context) (json.RawMessage, error) { return nil, errNotHere }
