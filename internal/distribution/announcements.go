package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// firstAnnounceSpreads is the jitter of the first announcement in multiples
	// of StartSpread; a failure domain then appends under 100 records a second.
	firstAnnounceSpreads = 2
	// announceInterval keeps a node among the newest announcements, which
	// starting nodes read.
	announceInterval = 10 * time.Minute
	// directoryPause batches announcements: nodes that start together exchange
	// hellos directly, so the readers need not read each announcement on its
	// own. It also gives a starting node time to learn which nodes are readers.
	directoryPause = time.Second
)

// announceSelf announces the node's entry at the start, unless that was done, and
// then every announceInterval.
func (a *Agent) announceSelf(ctx context.Context) error {
	if !wait.For(ctx, rand.N(firstAnnounceSpreads*a.StartSpread)) {
		return nil
	}
	for announce := a.AnnounceOnce; ; announce = a.announceEntry {
		var restores int64
		for attempt := 1; ; attempt++ {
			restores = a.Eras.Restores()
			err := announce(ctx)
			if err == nil {
				break
			}
			a.logFirstFailure("announce_failed", attempt, err)
			if !wait.For(ctx, wait.FullJitter(attempt)) {
				return nil
			}
		}
		if !a.awaitAnnouncementDue(ctx, restores) {
			return nil
		}
	}
}

// announceEntry announces the node's entry in the directory. Where the directory
// keeps one entry of each node, that of before the node's start is read before it
// is replaced: it may be the only record of the backend server's departure.
func (a *Agent) announceEntry(ctx context.Context) error {
	if a.Source != nil && !a.directoryRead.happened() {
		if err := a.readPeers(ctx); err != nil {
			return err
		}
	}
	next := &announcedEntry{entry: a.self(), restores: a.Eras.Restores()}
	err := a.Directory.Announce(ctx, next.entry)
	if err == nil {
		a.announced.Store(next)
	}
	return err
}

// announcedEntry is an entry that was announced, and the count of restores before
// the announcement was sent: a store that was restored since may lack it.
type announcedEntry struct {
	entry    membership.Member
	restores int64
}

// AnnounceOnce announces the node's entry unless the directory has it already. A
// node and its backend server start together, and every call to the directory
// counts.
func (a *Agent) AnnounceOnce(ctx context.Context) error {
	if last := a.announced.Load(); last != nil && *last == (announcedEntry{entry: a.self(), restores: a.Eras.Restores()}) {
		return nil
	}
	return a.announceEntry(ctx)
}

// logFirstFailure logs only the first of several consecutive failures, so that a
// long outage of a dependency does not fill the log.
func (a *Agent) logFirstFailure(event string, attempt int, err error) {
	if attempt == 1 {
		a.Logger.Warn(event, "error", err)
	}
}

// readMembers reads the announcements while the node is a reader and queues them
// for gossip: other nodes read only the newest ones, once at their start.
func (a *Agent) readMembers(ctx context.Context) error {
	var cursor Cursor
	attempt := 0
	select {
	case <-a.peersSearched:
	case <-ctx.Done():
		return nil
	}
	if !wait.For(ctx, directoryPause) {
		return nil
	}
	for {
		if _, ok := a.awaitReaderRole(ctx); !ok {
			return nil
		}
		members, next, err := a.readDirectory(ctx, cursor, readWait)
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
		a.logFirstFailure("directory_read_failed", attempt, err)
		if !wait.For(ctx, wait.FullJitter(attempt)) {
			return nil
		}
	}
}

// readDirectory makes one read of the directory, again if the store was restored
// meanwhile.
func (a *Agent) readDirectory(ctx context.Context, cursor Cursor, poll time.Duration) (members []membership.Member, next Cursor, err error) {
	err = a.Eras.inOneEra(ctx, func(ctx context.Context, _ bool) (err error) {
		members, next, err = a.Directory.Entries(ctx, cursor, poll)
		return err
	})
	return members, next, err
}

// UpdateSelf changes the node's entry, increments its sequence and queues it for
// the linked nodes.
func (a *Agent) UpdateSelf(change func(membership.Member) membership.Member) membership.Member {
	self, _ := a.Table.Update(a.Self.ID, func(m membership.Member) membership.Member {
		m = change(m)
		m.Sequence++
		return m
	})
	a.queueSelf(self)
	return self
}
