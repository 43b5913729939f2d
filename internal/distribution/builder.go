package distribution

import (
	"context"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// buildPause batches changes of members into one snapshot. A change of the
// configuration does not wait.
const buildPause = 200 * time.Millisecond

func (a *Agent) requestBuild() { wake(a.buildDue) }

// build builds a snapshot of the newest state and members after each change.
// It installs none before the start rule is met, so that a node does not
// serve an outdated configuration.
func (a *Agent) build(ctx context.Context) error {
	select {
	case <-a.readyDone:
	case <-ctx.Done():
		return nil
	}
	// Numbers of refused snapshots are used again: with gaps of several numbers, an
	// installation would drop the published snapshot before it publishes the next.
	for number := uint64(1); ctx.Err() == nil; {
		changed := a.replica.changed.next()
		if a.buildOne(number) {
			number++
		}
		select {
		case <-ctx.Done():
		case <-changed:
		case <-a.buildDue:
			wait.Until(ctx, changed, buildPause)
		}
	}
	return nil
}

// buildOne builds and installs a snapshot and reports whether it was installed.
func (a *Agent) buildOne(number uint64) bool {
	s := a.State()
	if s == nil {
		return false
	}
	g, found := snapshot.Build(number, *s, a.Table.Callable())
	if len(found) > 0 {
		a.Logger.Error("generation_refused", "position", s.Position.String(), "findings", found.Error())
		return false
	}
	a.Snapshots.Install(g)
	a.installed.notify()
	a.Logger.Info("generation_installed", "generation", g.Generation, "position", g.Position.String(), "routes", len(g.Routes), "held_back", len(g.HeldBack))
	return true
}

// InstalledPosition returns the position of the installed snapshot and a
// channel that is closed by the next installation.
func (a *Agent) InstalledPosition() (p profile.Position, ok bool, next <-chan struct{}) {
	next = a.installed.next()
	if g := a.Snapshots.Latest(); g != nil {
		return g.Position, true, next
	}
	return p, false, next
}
