package distribution

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// sourceReadersPerDomain is how many members of a failure domain read the
	// source at once when they start; the others first ask their peers. If every
	// node of a restarted region read a full configuration, the link to the source
	// would be saturated for seconds.
	sourceReadersPerDomain = 3
	// peerStartTimeout is how long the other members wait to get the newest
	// configuration from peers.
	peerStartTimeout = 800 * time.Millisecond
	// peerStartProbeTimeout is the timeout of requests to peers, some of which
	// may have failed.
	peerStartProbeTimeout = 200 * time.Millisecond
	// emptySourceRetry is the time until a node that found the source empty
	// reads it again. The first configuration arrives from the readers sooner.
	emptySourceRetry = 2 * time.Second
)

// holdsNewest reports whether the node's position was the newest of the source
// within maxProofAge.
func (a *Agent) holdsNewest() bool {
	p, ok := a.Position()
	if !ok {
		return false
	}
	age := a.sourceAge(p)
	return age != nil && *age <= a.maxProofAge().Milliseconds()
}

// starter is the state of the goroutine that applies the start rule.
type starter struct {
	*Agent
	sourceEmpty bool // the source was read during this start and is empty
	peersTried  bool
}

// startFromSource gets the newest configuration of the source, either from
// peers that read it recently or from the source itself. It searches for peers
// concurrently, so that peers that failed at the same time do not delay the
// start.
func (s *starter) startFromSource(ctx context.Context) bool {
	if s.Source == nil {
		return false
	}
	if _, ok := s.Position(); ok && s.sourceEmpty {
		return true // any configuration from a peer is newer than the empty source
	}
	s.startUnlessRunning("peers", s.Self.ID, func() {
		s.findPeers(ctx)
		s.finishPeerSearch()
	})
	if s.startFromPeers(ctx) {
		return true
	}
	readCtx, cancel := context.WithTimeout(ctx, startLogTimeout)
	defer cancel()
	end, err := s.readSourceEnd(readCtx, 0)
	if err != nil {
		s.Logger.Warn("source_unread", "error", err)
		return false
	}
	if s.Eras.Current() > 0 && !s.reachPeers(ctx) {
		return false
	}
	if end != nil {
		s.recordSourceEnd(*end)
	}
	_, ok := s.Position()
	s.sourceEmpty = !ok
	return ok
}

// startFromPeers waits until the node holds what peers recently read from the
// source. It is tried once, and not by the members that read the source for
// their failure domain. It gives up at once if peers hold a configuration but
// none knows its age, since then only few nodes are starting.
func (s *starter) startFromPeers(ctx context.Context) bool {
	if s.peersTried {
		return false
	}
	s.peersTried = true
	ctx, cancel := context.WithTimeout(ctx, peerStartTimeout)
	defer cancel()
	select {
	case <-s.peersSearched:
	case <-ctx.Done():
		return false
	}
	if membership.TopRankedInDomain(s.self(), s.Table.All(), sourceReadersPerDomain) {
		return false
	}
	if held := s.probeForNewest(ctx); held && s.newestSource.Load() == nil {
		return false
	}
	for ctx.Err() == nil {
		changed := s.replica.changed.next()
		if s.holdsNewest() {
			return true
		}
		wait.Until(ctx, changed, peerStartProbeTimeout)
	}
	return s.holdsNewest()
}

// probeForNewest probes the readers of the region and some other members, and
// reports whether any of them holds a configuration.
func (s *starter) probeForNewest(ctx context.Context) (held bool) {
	ctx, cancel := context.WithTimeout(ctx, peerStartProbeTimeout)
	defer cancel()
	var (
		mu sync.Mutex // guards held
		wg sync.WaitGroup
	)
	for _, m := range s.likelyNewest() {
		wg.Go(func() {
			sent := time.Now()
			answer, err := s.Peers.Probe(ctx, m, false)
			if err != nil {
				s.Logger.Debug("start_peer_failed", "node", m.ID, "error", err)
				return
			}
			s.mergeHello(answer, sent)
			mu.Lock()
			defer mu.Unlock()
			held = held || answer.Position != nil
		})
	}
	wg.Wait()
	return held
}

// likelyNewest returns the members that are most likely to hold the newest
// configuration of the source.
func (s *starter) likelyNewest() []membership.Member {
	var out []membership.Member
	for _, id := range s.topology.Load().Readers[s.Self.Region] {
		if m, ok := s.Table.Get(id); ok && id != s.Self.ID {
			out = append(out, m)
		}
	}
	return append(out, s.samplePeers(maxTableRequests)...)
}
