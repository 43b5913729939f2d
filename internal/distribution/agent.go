// Package distribution keeps the configuration and the member table of every
// node up to date. Two nodes per region, its readers, read the platform's log or
// Source; the others get the changes from their neighbours.
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
	"github.com/goldcrestshed/goldcrestshed/internal/tasks"
)

// Peers sends requests to other nodes; *peer.Pool implements it.
type Peers interface {
	Hello(ctx context.Context, address string) (peer.HelloResponse, error)
	Probe(ctx context.Context, m membership.Member, silent bool) (peer.HelloResponse, error)
	Drop(id string)
	Heartbeat(ctx context.Context, m membership.Member, h peer.Heartbeat) error
	Announce(ctx context.Context, m membership.Member, a peer.PositionAnnouncement) error
	Members(ctx context.Context, m membership.Member, e peer.MemberEntries) error
	Pull(ctx context.Context, m membership.Member, r peer.PullRequest) (peer.PullResponse, error)
	MemberTable(ctx context.Context, m membership.Member) (peer.MemberTable, error)
	Status(ctx context.Context, m membership.Member, r peer.StatusRequest) (peer.StatusResponse, error)
}

// Config holds the dependencies and settings of an Agent.
type Config struct {
	Self membership.Member
	Log  platformlog.Log
	// Source replaces the log's config stream; nil reads the log.
	Source Source
	// Directory is used to discover other nodes; nil uses the log's members
	// stream.
	Directory Directory
	// Eras tracks the era of the store behind Source and Directory; nil tracks none.
	Eras *Eras
	// StartSpread is the maximum random delay of the first reads and, times
	// firstAnnounceSpreads, of the first announcement; 0 means the default.
	StartSpread time.Duration
	// ApplyWithin is the time within which a confirmed configuration must be in
	// effect on every node that reaches the log or source; 0 means the default.
	ApplyWithin time.Duration
	// OnSelfEntry is called with entries about this node that other nodes sent,
	// and with their suspicions as entries with status dead; it may be nil.
	OnSelfEntry func(membership.Member)
	Peers       Peers
	Seeds       []string // addresses to contact when the directory yields no peer
	Table       *membership.Table
	Snapshots   *snapshot.Cache
	Logger      *slog.Logger
}

// Agent keeps one node's configuration and member table up to date. Its loops
// share the published state, the table and the maps below.
type Agent struct {
	Config
	replica         *replica
	topology        atomic.Pointer[membership.Topology]
	topologyChanged *broadcast // notified when the topology is recomputed
	detector        *membership.Detector
	peerPositions   *shard.Map[profile.Position]   // last position that each node reported
	digestDiffers   *shard.Map[time.Time]          // when a neighbour's digest began to differ
	inFlight        *shard.Map[bool]               // tasks of startUnlessRunning, by purpose and node
	digest          atomic.Uint64                  // of the table as of the last heartbeat
	announced       atomic.Pointer[announcedEntry] // entry that was last announced
	refusedEntries  atomic.Int64                   // entries that Member.Validate rejected
	isolated        atomic.Bool                    // the node reaches no linked node, see updateIsolation
	isolatedDeaths  *shard.Map[membership.Member]  // earlier entries of members that it declared dead meanwhile

	buildDue       chan struct{} // a build is due
	installed      *broadcast    // notified when a snapshot is installed
	membersChanged chan struct{} // the table changed
	pullDue        chan struct{} // a node reported a position that this node lacks
	outbox         *shard.Map[queuedChange]
	outboxFilled   chan struct{} // a change was queued in outbox
	transferSlots  chan struct{} // holds one element per packed state being sent
	packed         atomic.Pointer[packedState]

	createdAt     time.Time
	tasks         tasks.Group
	runCtx        context.Context // ends with Run
	stop          context.CancelFunc
	peersSearched chan struct{} // closed once the node has searched for peers
	searchOnce    sync.Once
	tableFetched  *event                     // a peer has sent its complete member table since the start
	directoryRead *event                     // the directory was read since the start
	recalled      *event                     // see Recalled
	newestSource  atomic.Pointer[sourceView] // newest position of the log or source that the node knows of
	verified      atomic.Pointer[sourceView] // when the node last knew that it held that position
	ready         atomic.Bool
	readyDone     chan struct{}
	proofSequence atomic.Uint64          // of the last proof that this node made
	seenProofs    *shard.Map[peer.Proof] // last proof by origin
	peerProofs    *shard.Map[time.Time]  // when the last proof that each neighbour sent was made
	proofDue      chan struct{}          // a newer proof is to be passed on
	retention     atomic.Int64           // of the log, in ns; 0 until a reader has seen it

	firstRetained  atomic.Int64  // first retained offset as of the last read
	checkpointLost chan struct{} // the log may have dropped the newest checkpoint
}

// NewAgent returns an Agent.
func NewAgent(cfg Config) *Agent {
	a := &Agent{
		Config: cfg, createdAt: time.Now(), replica: newReplica(cfg.Logger), topologyChanged: newBroadcast(), installed: newBroadcast(), detector: membership.NewDetector(),
		peerPositions:  shard.NewMap[profile.Position](shard.DefaultCount),
		digestDiffers:  shard.NewMap[time.Time](shard.DefaultCount),
		isolatedDeaths: shard.NewMap[membership.Member](0),
		inFlight:       shard.NewMap[bool](shard.DefaultCount),
		buildDue:       make(chan struct{}, 1), membersChanged: make(chan struct{}, 1), pullDue: make(chan struct{}, 1),
		outboxFilled:  make(chan struct{}, 1),
		seenProofs:    shard.NewMap[peer.Proof](shard.DefaultCount),
		peerProofs:    shard.NewMap[time.Time](shard.DefaultCount),
		proofDue:      make(chan struct{}, 1),
		outbox:        shard.NewMap[queuedChange](shard.DefaultCount),
		transferSlots: make(chan struct{}, maxTransfers),
		peersSearched: make(chan struct{}), tableFetched: newEvent(), directoryRead: newEvent(), recalled: newEvent(),
		readyDone: make(chan struct{}), checkpointLost: make(chan struct{}, 1),
	}
	a.StartSpread = cmp.Or(a.StartSpread, startSpread)
	if a.Eras == nil {
		a.Eras = NewEras()
	}
	a.ApplyWithin = cmp.Or(a.ApplyWithin, defaultApplyWithin)
	if a.Directory == nil {
		a.Directory = &logDirectory{log: cfg.Log, logger: cfg.Logger}
	}
	a.runCtx, a.stop = context.WithCancel(context.Background())
	a.Table.Merge([]membership.Member{cfg.Self})
	a.renewTopology()
	return a
}

// State returns the configuration in effect on the node, or nil.
func (a *Agent) State() *profile.State {
	if p := a.replica.published.Load(); p != nil {
		return &p.Effective
	}
	return nil
}

// Position returns the position of the configuration that the node holds.
func (a *Agent) Position() (profile.Position, bool) {
	if p := a.replica.published.Load(); p != nil {
		return p.position(), true
	}
	return profile.Position{}, false
}

// ConfigChanged returns a channel that is closed when the position next changes
// or a record that needs a newer build arrives.
func (a *Agent) ConfigChanged() <-chan struct{} { return a.replica.changed.next() }

// Ready reports whether the start rule has been met; see start.
func (a *Agent) Ready() bool { return a.ready.Load() }

// ReadyDone returns a channel that is closed once the start rule is met.
func (a *Agent) ReadyDone() <-chan struct{} { return a.readyDone }

// Run runs the loops until the context ends or one of them returns.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer a.tasks.Close()
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
		a.replica.run, a.start, a.readMembers, a.announceSelf, a.maintainMembers, a.gossip,
		a.announcePositions, a.pullChanges, a.build, a.checkFreshness, a.relayProofs, a.recall, a.followEras,
	}
	if a.Source != nil {
		return append(loops, a.runSourceReader)
	}
	return append(loops, a.readConfig, a.writeCheckpoints)
}

// self returns the node's current entry in the table.
func (a *Agent) self() membership.Member {
	if m, ok := a.Table.Get(a.Self.ID); ok {
		return m
	}
	return a.Self
}

// SelfEntry returns the node's current entry, which a hello carries.
func (a *Agent) SelfEntry() membership.Member { return a.self() }

// Digest returns the digest of the member table as of the last heartbeat.
func (a *Agent) Digest() uint64 { return a.digest.Load() }

// LinkedNodes returns the neighbours and bridges of the node.
func (a *Agent) LinkedNodes() []membership.Member {
	t := a.topology.Load()
	return slices.Concat(t.Neighbours, t.Bridges)
}

// isReader reports whether the node reads the log or the source.
func (a *Agent) isReader() bool {
	return a.isolated.Load() || a.topology.Load().IsReader(a.Self)
}
