package distribution

import (
	"context"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

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
	for number := uint64(1); ; number++ {
		advanced := a.core.advanced.next()
		a.buildOne(number)
		select {
		case <-ctx.Done():
			return nil
		case <-a.changed:
		case <-advanced:
		}
	}
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
	a.Logger.Info("generation_installed", "generation", g.Number, "position", g.Position.String(), "routes", len(g.Routes), "held_back", len(g.HeldBack))
}
