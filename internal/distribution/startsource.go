package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// directStarts is how many members of a failure domain read the source
	// when they start. A whole configuration for each node of a region that
	// starts would fill the link to the source for seconds.
	directStarts = 3
	// peerStartLimit is how long the other members wait for a peer that holds
	// the newest configuration.
	peerStartLimit = 800 * time.Millisecond
	// peerStartAsk bounds the wait for the answers of peers, some of which may
	// be gone.
	peerStartAsk = 200 * time.Millisecond
	// sourceFresh is the age up to which what a peer read from the source
	// counts as the newest: a long poll without an answer and its delay.
	sourceFresh = sourceWait + time.Second
	// emptySourceRetry is the time until a node that found the source empty
	// reads it again. The readers tell it of the first configuration sooner.
	emptySourceRetry = 2 * time.Second
)

// sourceView is what a node knows of the source: at some time the position was
// its newest.
type sourceView struct {
	position profile.Position
	at       time.Time
}

// newerThan reports whether a view replaces another one: a higher position
// always does, however long ago it was seen.
func (v sourceView) newerThan(have *sourceView) bool {
	if have == nil {
		return true
	}
	if c := v.position.Compare(have.position); c != 0 {
		return c > 0
	}
	return v.at.After(have.at)
}

// noteSource notes the newest position of the source.
func (a *Agent) noteSource(p profile.Position, at time.Time) {
	next := &sourceView{position: p, at: at}
	for have := a.newest.Load(); next.newerThan(have); have = a.newest.Load() {
		if a.newest.CompareAndSwap(have, next) {
			return
		}
	}
}

// noteSourceAge notes what a node told with a position.
func (a *Agent) noteSourceAge(p profile.Position, ageMs *int64) {
	if ageMs != nil && *ageMs >= 0 {
		a.noteSource(p, time.Now().Add(-time.Duration(*ageMs)*time.Millisecond))
	}
}

// sourceAge returns how long ago a position was the newest of the source, in
// ms, or nil when that is not known.
func (a *Agent) sourceAge(p profile.Position) *int64 {
	view := a.newest.Load()
	if view == nil || p.Compare(view.position) < 0 {
		return nil
	}
	age := time.Since(view.at).Milliseconds()
	return &age
}

// holdsNewest reports whether the node holds what was the newest of the source
// a short while ago.
func (a *Agent) holdsNewest() bool {
	p, ok := a.Position()
	if !ok {
		return false
	}
	age := a.sourceAge(p)
	return age != nil && *age <= sourceFresh.Milliseconds()
}

// starter is the state of the one goroutine that applies the start rule.
type starter struct {
	*Agent
	sourceEmpty bool // the source answered this start and held no configuration
	peersAsked  bool
}

// startFromSource gets the newest configuration of the source, from peers that
// read it lately or from itself. Peers are looked for meanwhile: those that
// died at the same time must not hold the start up.
func (s *starter) startFromSource(ctx context.Context) bool {
	if s.Source == nil {
		return false
	}
	if _, ok := s.Position(); ok && s.sourceEmpty {
		return true // whatever a peer brought is newer than what the source held
	}
	s.once("peers", s.Self.ID, func() {
		s.findPeers(ctx)
		s.peersFound()
	})
	if s.startFromPeers(ctx) {
		return true
	}
	limited, cancel := context.WithTimeout(ctx, startLogLimit)
	defer cancel()
	if err := s.readSource(limited, 0); err != nil {
		s.Logger.Warn("source_unread", "error", err)
		return false
	}
	_, ok := s.Position()
	s.sourceEmpty = !ok
	return ok
}

// startFromPeers waits until the node holds what peers lately read from the
// source. It is tried once, and not by the members that read the source for
// their failure domain. It gives up at once where peers hold a configuration
// and none knows its age, since then few nodes start.
func (s *starter) startFromPeers(ctx context.Context) bool {
	if s.peersAsked {
		return false
	}
	s.peersAsked = true
	ctx, cancel := context.WithTimeout(ctx, peerStartLimit)
	defer cancel()
	select {
	case <-s.found:
	case <-ctx.Done():
		return false
	}
	if membership.TopRankedInDomain(s.self(), s.Table.All(), directStarts) {
		return false
	}
	if held := s.askForNewest(ctx); held && s.newest.Load() == nil {
		return false
	}
	for ctx.Err() == nil {
		advanced := s.core.advanced.next()
		if s.holdsNewest() {
			return true
		}
		wait.Until(ctx, advanced, peerStartAsk)
	}
	return s.holdsNewest()
}

// askForNewest greets the readers of the region and some other members, and
// reports whether one of them holds a configuration.
func (s *starter) askForNewest(ctx context.Context) (held bool) {
	ctx, cancel := context.WithTimeout(ctx, peerStartAsk)
	defer cancel()
	var (
		mu sync.Mutex // guards held
		wg sync.WaitGroup
	)
	for _, m := range s.likelyNewest() {
		wg.Go(func() {
			answer, err := s.Peers.Probe(ctx, m, false)
			if err != nil {
				s.Logger.Debug("start_peer_failed", "node", m.ID, "error", err)
				return
			}
			s.greeted(answer)
			mu.Lock()
			defer mu.Unlock()
			held = held || answer.Position != nil
		})
	}
	wg.Wait()
	return held
}

// likelyNewest returns the members that most likely hold the newest
// configuration of the source.
func (s *starter) likelyNewest() []membership.Member {
	var out []membership.Member
	for _, id := range s.topology.Load().Readers[s.Self.Region] {
		if m, ok := s.Table.Get(id); ok && id != s.Self.ID {
			out = append(out, m)
		}
	}
	return append(out, s.spread(startTables)...)
}
