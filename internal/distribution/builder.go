package distribution

import (
	"context"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// buildPause gathers changes of members into one generation. A change of the
// configuration does not wait.
const buildPause = 200 * time.Millisecond

func (a *Agent) requestBuild() { wake(a.changed) }

// build makes a generation of the newest state and members after each change.
// It installs none before the start rule is met, so that a node does not
// serve an old configuration.
func (a *Agent) build(ctx context.Context) error {
	select {
	case <-a.readyDone:
	case <-ctx.Done():
		return nil
	}
	for number := uint64(1); ctx.Err() == nil; number++ {
		advanced := a.core.advanced.next()
		a.buildOne(number)
		select {
		case <-ctx.Done():
		case <-advanced:
		case <-a.changed:
			wait.Until(ctx, advanced, buildPause)
		}
	}
	return nil
}

func (a *Agent) buildOne(number uint64) {
	s := a.State()
	if s == nil {
		return
	}
	g, found := snapshot.Build(number, *s, a.Table.All())
	if len(found) > 0 {
		a.Logger.Error("generation_refused", "position", s.Position.String(), "findings", found.Error())
		return
	}
	a.Holder.Install(g)
	a.installed.raise()
	a.Logger.Info("generation_installed", "generation", g.Generation, "position", g.Position.String(), "routes", len(g.Routes), "held_back", len(g.HeldBack))
}

// InForce returns the position of the installed generation and a channel that
// the next installation closes.
func (a *Agent) InForce() (p profile.Position, ok bool, next <-chan struct{}) {
	next = a.installed.next()
	if g := a.Holder.Latest(); g != nil {
		return g.Position, true, next
	}
	return p, false, next
}
