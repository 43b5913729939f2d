package distribution

import (
	"context"
	"encoding/json"
	"log/slog"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Agent keeps one node's configuration and members up to date. One goroutine
// owns the fold; other goroutines see the published State.
type Agent struct {
	log     platformlog.Log
	self    membership.Member
	table   *membership.Table
	holder  *snapshot.Holder
	logger  *slog.Logger
	state   atomic.Pointer[profile.State]
	changed chan struct{} // capacity 1: a rebuild is due
}

// NewAgent returns an Agent of the node self.
func NewAgent(log platformlog.Log, self membership.Member, table *membership.Table, holder *snapshot.Holder, logger *slog.Logger) *Agent {
	return &Agent{log: log, self: self, table: table, holder: holder, logger: logger, changed: make(chan struct{}, 1)}
}

// State returns the configuration that the node holds, or nil.
func (a *Agent) State() *profile.State { return a.state.Load() }

// Run runs the loops until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	add := func(f func(context.Context) error) {
		g.Add(func() error { return f(ctx) }, func(error) { cancel() })
	}
	add(a.followConfig)
	add(a.followMembers)
	add(a.announce)
	add(a.build)
	return g.Run()
}

func (a *Agent) followConfig(ctx context.Context) error {
	fold := profile.NewFold(firstOffset)
	return follow(ctx, a.log, platformlog.StreamConfig, a.logger, func(b platformlog.Batch, from int64) int64 {
		for _, e := range b.Entries {
			fold.Apply(e.Offset, e.Data)
			from = e.Offset + 1
		}
		if len(b.Entries) > 0 && fold.Anchored() {
			s := fold.State()
			a.state.Store(&s)
			a.requestBuild()
		}
		return from
	})
}

func (a *Agent) followMembers(ctx context.Context) error {
	return follow(ctx, a.log, platformlog.StreamMembers, a.logger, func(b platformlog.Batch, from int64) int64 {
		var members []membership.Member
		for _, e := range b.Entries {
			from = e.Offset + 1
			var m membership.Member
			if err := json.Unmarshal(e.Data, &m); err != nil || m.ID == "" {
				a.logger.Warn("announcement_unreadable", "offset", e.Offset)
				continue
			}
			members = append(members, m)
		}
		if len(a.table.Merge(members)) > 0 {
			a.requestBuild()
		}
		return from
	})
}

func (a *Agent) announce(ctx context.Context) error {
	a.table.Merge([]membership.Member{a.self})
	a.requestBuild()
	for attempt := 1; ; attempt++ {
		err := a.Announce(ctx, a.self)
		if err == nil {
			break
		}
		a.logger.Warn("announce_failed", "error", err)
		if !sleep(ctx, fullJitter(attempt)) {
			return nil
		}
	}
	<-ctx.Done()
	return nil
}

// Announce appends an entry of the own node to the members stream. Appending
// it twice is harmless, so an unknown outcome counts as a failure.
func (a *Agent) Announce(ctx context.Context, m membership.Member) error {
	data, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "announce")
	}
	_, err = a.log.Append(ctx, platformlog.StreamMembers, data)
	return errors.Wrap(err, "announce")
}

// SetStatus announces a new status of the own node.
func (a *Agent) SetStatus(ctx context.Context, status membership.Status) error {
	self, _ := a.table.Get(a.self.ID)
	self.Status = status
	self.Sequence++
	a.table.Merge([]membership.Member{self})
	a.requestBuild()
	return a.Announce(ctx, self)
}

func (a *Agent) requestBuild() {
	select {
	case a.changed <- struct{}{}:
	default: // one is due already and will see the newest state
	}
}

// build makes a generation of the newest state and members after each change.
func (a *Agent) build(ctx context.Context) error {
	for number := uint64(1); ; number++ {
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		}
		s := a.state.Load()
		if s == nil {
			continue
		}
		g, found := snapshot.Build(number, *s, a.table.All())
		if len(found) > 0 {
			a.logger.Error("generation_refused", "position", s.Position.String(), "findings", found.Error())
			continue
		}
		a.holder.Install(g)
		a.logger.Info("generation_installed", "generation", g.Number, "position", g.Position.String(), "routes", len(g.Routes), "held_back", len(g.HeldBack))
	}
}
