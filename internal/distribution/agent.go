// Package distribution brings the configuration and the members to every
// node. Two nodes per region read the platform's log; the others get records
// from their neighbours.
package distribution

import (
	"cmp"
	"context"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Peers reaches other nodes; *peer.Pool implements it.
type Peers interface {
	Hello(ctx context.Context, address string) (peer.HelloResponse, error)
	Probe(ctx context.Context, m membership.Member, silent bool) (peer.HelloResponse, error)
	Drop(id string)
	Heartbeat(ctx context.Context, m membership.Member, h peer.Heartbeat) error
	Announce(ctx context.Context, m membership.Member, a peer.Announce) error
	Members(ctx context.Context, m membership.Member, e peer.MemberEntries) error
	Pull(ctx context.Context, m membership.Member, r peer.PullRequest) (peer.PullResponse, error)
	MemberTable(ctx context.Context, m membership.Member) (peer.MemberTable, error)
	Status(ctx context.Context, m membership.Member, r peer.StatusRequest) (peer.StatusResponse, error)
}

// Config holds what an Agent works with.
type Config struct {
	Self membership.Member
	Log  platformlog.Log
	// Source takes the place of the log's config stream; nil folds the log.
	Source Source
	// Directory is where nodes find each other; nil takes the log's members
	// stream.
	Directory Directory
	// StartSpread is the jitter of the first reads and of the first
	// announcement; 0 takes the default.
	StartSpread time.Duration
	// HeardSelf is told entries about the own node that come from others; nil
	// for nobody.
	HeardSelf func(membership.Member)
	Peers     Peers
	Seeds     []string // addresses to try when the log does not answer
	Table     *membership.Table
	Holder    *snapshot.Cache
	Logger    *slog.Logger
}

// Agent keeps one node's configuration and members up to date. Each loop has
// its own file; they share the published state, the table and the maps below.
type Agent struct {
	Config
	core     *core
	topology atomic.Pointer[membership.Topology]
	roles    *notice // raised when the topology changed
	detector *membership.Detector
	heard    *shard.Map[profile.Position] // newest position that each node told
	differs  *shard.Map[time.Time]        // since when a neighbour's digest has differed
	busy     *shard.Map[bool]             // nodes that a heartbeat or probe is on its way to
	digest   atomic.Uint64                // of the table, renewed each heartbeat

	changed   chan struct{} // a build is due
	installed *notice       // raised when a generation was installed
	members   chan struct{} // the table changed
	pullDue   chan struct{} // a node told a higher position
	outbox    *shard.Map[outgoing]
	transfer  chan struct{} // slots for transfers of full state
	packed    atomic.Pointer[packedState]

	born      time.Time
	tasks     tasks
	base      context.Context // ends with Run
	stop      context.CancelFunc
	found     chan struct{} // closed once the node looked for peers
	foundOnce sync.Once
	hasTable  atomic.Bool // a peer gave its whole table since the start
	newest    atomic.Pointer[sourceView]
	ready     atomic.Bool
	readyDone chan struct{}
	retention atomic.Int64 // of the log, in ns; 0 until a reader has seen it

	logFirst   atomic.Int64  // first retained offset that a read told
	unanchored chan struct{} // the log may have dropped its newest checkpoint
}

// NewAgent returns an Agent.
func NewAgent(cfg Config) *Agent {
	a := &Agent{
		Config: cfg, born: time.Now(), core: newCore(cfg.Logger), roles: newNotice(), installed: newNotice(), detector: membership.NewDetector(),
		heard:   shard.NewMap[profile.Position](shard.DefaultCount),
		differs: shard.NewMap[time.Time](shard.DefaultCount),
		busy:    shard.NewMap[bool](shard.DefaultCount),
		changed: make(chan struct{}, 1), members: make(chan struct{}, 1), pullDue: make(chan struct{}, 1),
		outbox:    shard.NewMap[outgoing](shard.DefaultCount),
		transfer:  make(chan struct{}, maxTransfers),
		found:     make(chan struct{}),
		readyDone: make(chan struct{}), unanchored: make(chan struct{}, 1),
	}
	a.StartSpread = cmp.Or(a.StartSpread, startSpread)
	if a.Directory == nil {
		a.Directory = &logDirectory{log: cfg.Log, logger: cfg.Logger}
	}
	a.base, a.stop = context.WithCancel(context.Background())
	a.Table.Merge([]membership.Member{cfg.Self})
	a.renewTopology()
	return a
}

// State returns the configuration that the node applies, or nil.
func (a *Agent) State() *profile.State {
	if p := a.core.published.Load(); p != nil {
		return &p.Applied
	}
	return nil
}

// Position returns the position that the node holds.
func (a *Agent) Position() (profile.Position, bool) {
	if p := a.core.published.Load(); p != nil {
		return p.position(), true
	}
	return profile.Position{}, false
}

// Advanced returns a channel that the next change of the position closes.
func (a *Agent) Advanced() <-chan struct{} { return a.core.advanced.next() }

// Ready reports whether the start rule has been met.
func (a *Agent) Ready() bool { return a.ready.Load() }

// ReadyDone returns a channel that is closed once the start rule is met.
func (a *Agent) ReadyDone() <-chan struct{} { return a.readyDone }

// Run runs the loops until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer a.tasks.close()
	defer a.stop()
	defer cancel()
	var g run.Group
	for _, loop := range a.loops() {
		g.Add(func() error { return loop(ctx) }, func(error) { cancel() })
	}
	return g.Run()
}

func (a *Agent) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		a.core.run, a.start, a.readMembers, a.announceSelf, a.keepMembers, a.gossip,
		a.announcePositions, a.pullChanges, a.build,
	}
	if a.Source != nil {
		return append(loops, a.followSource)
	}
	return append(loops, a.readConfig, a.writeCheckpoints)
}

// self returns the own entry as it stands.
func (a *Agent) self() membership.Member {
	if m, ok := a.Table.Get(a.Self.ID); ok {
		return m
	}
	return a.Self
}

// SelfEntry returns the own entry, for hello.
func (a *Agent) SelfEntry() membership.Member { return a.self() }

// Digest returns the digest of the member table as of the last heartbeat.
func (a *Agent) Digest() uint64 { return a.digest.Load() }

// Neighbours returns the nodes that this one has links to.
func (a *Agent) Neighbours() []membership.Member {
	t := a.topology.Load()
	return slices.Concat(t.Neighbours, t.Bridges)
}

func (a *Agent) isReader() bool { return a.topology.Load().IsReader(a.Self) }
