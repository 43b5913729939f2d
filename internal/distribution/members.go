package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// announceSpreads is the jitter of the first announcement, in start
	// spreads: a whole failure domain then appends under 100 records a second.
	announceSpreads = 2
	// announceEvery keeps an announcement within reach of starting nodes.
	announceEvery = 10 * time.Minute
	// directoryPause gathers announcements: nodes that start together greet
	// each other by themselves, so the readers need not read each announcement
	// on its own. It also leaves a starting node time to learn who the readers
	// are.
	directoryPause = time.Second
)

// announceSelf announces the own entry at start and from time to time.
func (a *Agent) announceSelf(ctx context.Context) error {
	if !wait.For(ctx, rand.N(announceSpreads*a.StartSpread)) {
		return nil
	}
	for {
		for attempt := 1; ; attempt++ {
			err := a.Directory.Announce(ctx, a.self())
			if err == nil {
				break
			}
			a.logFailure("announce_failed", attempt, err)
			if !wait.For(ctx, wait.FullJitter(attempt)) {
				return nil
			}
		}
		if !wait.For(ctx, announceEvery) {
			return nil
		}
	}
}

// logFailure reports the first failure of a row of attempts, so that a
// dependency that is lost for long does not fill the log.
func (a *Agent) logFailure(event string, attempt int, err error) {
	if attempt == 1 {
		a.Logger.Warn(event, "error", err)
	}
}

// readMembers follows the announcements while the node is a reader; it passes
// on what the other nodes of its region do not read.
func (a *Agent) readMembers(ctx context.Context) error {
	cursor, attempt := int64(0), 0
	select {
	case <-a.found:
	case <-ctx.Done():
		return nil
	}
	if !wait.For(ctx, directoryPause) {
		return nil
	}
	for {
		if _, ok := a.awaitRole(ctx); !ok {
			return nil
		}
		members, next, err := a.Directory.Entries(ctx, cursor, readWait)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			a.merge("", members)
			cursor, attempt = next, 0
			if len(members) > 0 && !wait.For(ctx, directoryPause) {
				return nil
			}
			continue
		}
		attempt++
		a.logFailure("directory_read_failed", attempt, err)
		if !wait.For(ctx, wait.FullJitter(attempt)) {
			return nil
		}
	}
}

// Revise changes the own entry and tells the neighbours.
func (a *Agent) Revise(change func(membership.Member) membership.Member) membership.Member {
	self, _ := a.Table.Update(a.Self.ID, func(m membership.Member) membership.Member {
		m = change(m)
		m.Sequence++
		return m
	})
	a.sendSelf(self)
	return self
}
