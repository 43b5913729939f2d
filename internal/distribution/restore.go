package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// reannouncementsPerSecond is how many announcements all nodes together write
	// again after a restore: 870 nodes take 2.5 s, and an eighth of the 400 writes a
	// second that the platform allows is left.
	reannouncementsPerSecond = 350
	// minReannounceSpread is the spread of a small fleet.
	minReannounceSpread = 100 * time.Millisecond
	// departurePause is the mean time between two departures that one reader writes
	// again; the four readers of two regions then write 80 a second.
	departurePause = 50 * time.Millisecond
	// maxDepartureAttempts bounds the attempts for one departure: the other reader of
	// the region writes it too.
	maxDepartureAttempts = 5
)

// StoreEra returns the newest era of the store that the node knows of, and how
// often it rose since the start of the node.
func (a *Agent) StoreEra() (era Era, restores int64) { return a.Eras.Current(), a.Eras.Restores() }

// StoreEraChanged returns a channel that is closed when the era next rises.
func (a *Agent) StoreEraChanged() <-chan struct{} { return a.Eras.Changed() }

// followEras reacts to a store that came back from a copy. The streams notice by
// themselves that their cursors are of an earlier era; this tells the linked nodes,
// since the store may answer some nodes and not others, and writes departures again.
func (a *Agent) followEras(ctx context.Context) error {
	known, handled := a.Eras.Current(), a.Eras.Restores()
	for {
		changed := a.Eras.Changed()
		if restores := a.Eras.Restores(); restores != handled {
			era := a.Eras.Current()
			position, _ := a.Position()
			a.Logger.Warn("store_era_changed", "old", known, "new", era, "position", position.String(),
				"reader", a.isReader(), "announce_within_ms", a.reannounceSpread().Milliseconds())
			known, handled = era, restores
			a.relayEra(ctx)
			a.startUnlessRunning("departures", a.Self.ID, func() { a.announceDepartures(ctx) })
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// relayEra tells the linked nodes of the era, with the node's position. A node that
// holds none does so with its next heartbeat.
func (a *Agent) relayEra(ctx context.Context) {
	p, held := a.Position()
	if !held {
		return
	}
	for _, m := range a.LinkedNodes() {
		a.startUnlessRunning("era", m.ID, func() { a.sendAnnouncement(ctx, m, p) })
	}
}

// reannounceSpread returns the time in which the nodes write their announcements
// again, each after a random part of it.
func (a *Agent) reannounceSpread() time.Duration {
	return max(minReannounceSpread, time.Duration(a.Table.CountCallable())*time.Second/reannouncementsPerSecond)
}

// awaitAnnouncementDue waits until the node's entry is to be announced again:
// announceInterval after the last time, or earlier if the store was restored since
// and may lack it. restores is the count before the last announcement was sent.
func (a *Agent) awaitAnnouncementDue(ctx context.Context, restores int64) bool {
	timer := time.NewTimer(announceInterval)
	defer timer.Stop()
	for {
		changed := a.Eras.Changed()
		if a.Eras.Restores() != restores {
			return wait.For(ctx, rand.N(a.reannounceSpread()))
		}
		select {
		case <-changed:
		case <-timer.C:
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// announceDepartures writes the departures again of backend servers whose nodes are
// gone, and which only the store and the tables of other nodes hold. The readers of
// a region do so for its members. It begins anew when the store is restored once
// more.
func (a *Agent) announceDepartures(ctx context.Context) {
	_ = a.Eras.inOneEra(ctx, func(ctx context.Context, _ bool) error {
		if !wait.For(ctx, rand.N(a.reannounceSpread())) {
			return ctx.Err()
		}
		if !a.isReader() {
			return nil
		}
		for _, m := range a.Table.Departures(a.Self.Region) {
			a.announceDeparture(ctx, m)
			if !wait.For(ctx, rand.N(2*departurePause)) {
				return ctx.Err()
			}
		}
		return nil
	})
}

func (a *Agent) announceDeparture(ctx context.Context, m membership.Member) {
	for attempt := 1; attempt <= maxDepartureAttempts; attempt++ {
		err := a.Directory.AnnounceDeparted(ctx, m)
		if err == nil || ctx.Err() != nil {
			return
		}
		a.logFirstFailure("announce_failed", attempt, err)
		if !wait.For(ctx, wait.FullJitter(attempt)) {
			return
		}
	}
}

// sourceEnd is the end of a read of the source: at a time, the source held nothing
// newer than a position.
type sourceEnd struct {
	position profile.Position
	at       time.Time
}

// recordSourceEnd makes a proof of freshness from the end of a read. After a
// restore the newest configuration of the store may be older than the one in force.
// A proof for a position in force stays true then: a read finds nothing newer. One
// for the older position would keep nodes that hold it from looking further, so a
// node makes none while another one reports a higher position than it has.
func (a *Agent) recordSourceEnd(end sourceEnd) {
	if a.Eras.Current() > 0 && a.peerIsAhead(end.position) {
		return
	}
	a.recordSourcePosition(end.position, end.at)
}

// peerIsAhead reports whether another node has reported a higher position.
func (a *Agent) peerIsAhead(p profile.Position) bool {
	ahead := false
	a.peerPositions.Range(func(_ string, reported profile.Position) bool {
		ahead = reported.Compare(p) > 0
		return !ahead
	})
	return ahead
}

// reachPeers waits until a starting node holds the highest position that some other
// nodes report: the store that it has just read may lack what is in force. It
// reports false if the node does not get there.
func (s *starter) reachPeers(ctx context.Context) bool {
	probeCtx, cancel := context.WithTimeout(ctx, peerStartProbeTimeout)
	defer cancel()
	highest, answered := s.askPositions(probeCtx)
	return !answered || s.awaitTarget(ctx, target{offset: profile.NoOffset, position: highest})
}
