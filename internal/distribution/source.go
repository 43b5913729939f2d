package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// Source keeps whole configurations in one order. Where the platform has one,
// it takes the place of the config stream: changes do not race, need no fold
// and no checkpoints.
type Source interface {
	// Next returns the newest configuration after a position. When there is
	// none it waits up to wait and returns nil.
	Next(ctx context.Context, after profile.Position, wait time.Duration) (*profile.Checkpoint, error)
}

const (
	// sourceWait is the long poll for configurations and announcements.
	sourceWait = 5 * time.Second
	// sourceTries is how many reads must fail in a row before the member tells
	// the others that the source does not answer it.
	sourceTries = 2
	// sourceRetry is the time between the reads of a member that the source
	// does not answer and that is no reader any more.
	sourceRetry = 2 * time.Second
	// sourceBackoff bounds the random wait after a failed read. What the
	// operator wrote meanwhile is due soon after the store is back.
	sourceBackoff = 600 * time.Millisecond
)

// follower reads a Source while the node is a reader of its region. One
// goroutine owns it.
type follower struct {
	*Agent
	failures int
}

// followSource follows the source while the node has the role.
func (a *Agent) followSource(ctx context.Context) error {
	f := &follower{Agent: a}
	for f.awaitTurn(ctx) {
		err := f.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			f.answered()
			continue
		}
		f.failed(err)
		if !wait.For(ctx, min(wait.FullJitter(f.failures), rand.N(sourceBackoff))) {
			return nil
		}
	}
	return nil
}

// awaitTurn waits until the node is a reader, or until it is time to look
// whether the source answers it again.
func (f *follower) awaitTurn(ctx context.Context) bool {
	select {
	case <-f.found:
	case <-ctx.Done():
		return false
	}
	for ctx.Err() == nil {
		changed := f.roles.next()
		if f.isReader() {
			return true
		}
		if !f.self().SourceLost {
			wait.Until(ctx, changed, time.Hour)
			continue
		}
		wait.Until(ctx, changed, sourceRetry)
		return ctx.Err() == nil
	}
	return false
}

func (f *follower) step(ctx context.Context) error {
	poll := sourceWait
	if f.failures > 0 {
		poll = 0 // the answer shows at once whether the source is back
	}
	return f.readSource(ctx, poll)
}

// readSource makes one read and hands what it brought to the core.
func (a *Agent) readSource(ctx context.Context, poll time.Duration) error {
	after, held := a.Position()
	c, err := a.Source.Next(ctx, after, poll)
	if err != nil {
		return err
	}
	if c != nil {
		a.core.submit(ctx, update{full: &peer.FullState{Checkpoint: c}})
		after, held = a.Position()
	}
	if held {
		a.noteSource(after, time.Now())
	}
	return nil
}

func (f *follower) failed(err error) {
	f.failures++
	if f.failures == 1 {
		f.Logger.Warn("source_lost", "error", err)
	}
	if f.failures == sourceTries {
		f.setSourceLost(true)
	}
}

func (f *follower) answered() {
	if f.failures > 0 {
		f.Logger.Info("source_regained", "failures", f.failures)
	}
	f.failures = 0
	f.setSourceLost(false)
}

func (a *Agent) setSourceLost(lost bool) {
	if a.self().SourceLost == lost {
		return
	}
	a.Revise(func(m membership.Member) membership.Member {
		m.SourceLost = lost
		return m
	})
}
