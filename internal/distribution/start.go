package distribution

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// startSpread is the jitter of the reads of a starting node. A restarted
	// failure domain makes about 500 of them.
	startSpread = time.Second
	// startPeerCount is how many peers a starting node asks for their position.
	startPeerCount = 5
	// startRequestTimeout is the timeout of these requests.
	startRequestTimeout = time.Second
	// startLogTimeout is the timeout of reading the log or source at the start.
	startLogTimeout = 2 * time.Second
	// startTargetTimeout is how long a node tries to reach one target before it
	// determines a newer one.
	startTargetTimeout = 2 * time.Second
	// maxTableRequests is the maximum number of peers asked for their table.
	maxTableRequests = 3
)

// target is what a node must hold before it becomes ready.
type target struct {
	offset   int64            // last offset of the log, NoOffset if it is empty or unavailable
	position profile.Position // highest position that a peer reported
}

// start applies the start rule: the node becomes ready only once it has reached
// the end of the log and the highest position of some peers. If the log or the
// peers do not answer, the other suffices. startFromSource replaces the log where
// there is a source.
func (a *Agent) start(ctx context.Context) error {
	if !wait.For(ctx, rand.N(a.StartSpread)) {
		return nil
	}
	s := &starter{Agent: a}
	for attempt := 1; ; attempt++ {
		changed := a.replica.changed.next()
		if s.tryStart(ctx) {
			break
		}
		pause := wait.FullJitter(attempt)
		if s.sourceEmpty {
			pause = emptySourceRetry
		}
		wait.Until(ctx, changed, pause)
	}
	if ctx.Err() != nil {
		return nil
	}
	a.ready.Store(true)
	close(a.readyDone)
	a.Logger.Info("ready", "position", a.State().Position.String())
	<-ctx.Done()
	return nil
}

// tryStart determines a target and reports whether the node reached it.
func (s *starter) tryStart(ctx context.Context) bool {
	if s.startFromSource(ctx) {
		return true
	}
	if s.sourceEmpty {
		return ctx.Err() != nil
	}
	s.findPeers(ctx)
	s.finishPeerSearch()
	t, ok := s.findTarget(ctx)
	return ok && s.awaitTarget(ctx, t) || ctx.Err() != nil
}

// finishPeerSearch ends the search for peers and lets the readers begin.
func (a *Agent) finishPeerSearch() {
	a.searchOnce.Do(func() {
		a.renewTopology() // with an outdated topology the node would take itself for a reader
		close(a.peersSearched)
	})
}

// findPeers fills the table of a starting node. The hellos of other nodes do
// not suffice: with only their senders in its table the node would take itself
// for a reader.
func (a *Agent) findPeers(ctx context.Context) {
	if len(a.activePeers()) == 0 {
		a.discoverPeers(ctx)
	}
	if a.tableFetched.happened() {
		return
	}
	for _, m := range a.samplePeers(maxTableRequests) {
		if a.fetchTable(ctx, m) {
			return
		}
	}
}

// discoverPeers searches for peers in the directory, then among the seeds.
func (a *Agent) discoverPeers(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, startLogTimeout)
	defer cancel()
	if err := a.readPeers(readCtx); err != nil {
		a.Logger.Warn("announcements_unread", "error", err)
	} else if a.Source != nil {
		a.finishPeerSearch()
	}
	if len(a.activePeers()) == 0 {
		a.contactSeeds(ctx)
	}
}

// readPeers merges the newest announcements.
func (a *Agent) readPeers(ctx context.Context) error {
	members, _, err := a.readDirectory(ctx, Cursor{}, 0)
	if err == nil {
		a.merge("", members)
		a.directoryRead.set()
	}
	return err
}

func (a *Agent) contactSeeds(ctx context.Context) {
	for _, address := range a.Seeds {
		sent := time.Now()
		helloCtx, cancel := context.WithTimeout(ctx, startRequestTimeout)
		answer, err := a.Peers.Hello(helloCtx, address)
		cancel()
		if err != nil {
			a.Logger.Debug("seed_failed", "address", address, "error", err)
			continue
		}
		a.mergeHello(answer, sent)
	}
}

// activePeers returns the other members that are neither dead nor left.
func (a *Agent) activePeers() []membership.Member {
	var out []membership.Member
	for _, m := range a.Table.All() {
		if m.ID != a.Self.ID && m.Status != membership.StatusDead && m.Status != membership.StatusLeft {
			out = append(out, m)
		}
	}
	return out
}

// samplePeers returns up to n random members, spread over as many failure
// domains as possible, since this node's whole domain may have restarted.
func (a *Agent) samplePeers(n int) []membership.Member {
	byDomain := map[string][]membership.Member{}
	var domains []string
	all := a.activePeers()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all {
		if len(byDomain[m.FailureDomain]) == 0 {
			domains = append(domains, m.FailureDomain)
		}
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	var out []membership.Member
	for round := 0; len(out) < min(n, len(all)); round++ {
		for _, d := range domains {
			if round < len(byDomain[d]) && len(out) < n {
				out = append(out, byDomain[d][round])
			}
		}
	}
	return out
}

// findTarget determines the target from the log and some peers. It reports false
// if the log cannot be read and no peer reports a position.
func (a *Agent) findTarget(ctx context.Context) (target, bool) {
	t := target{offset: profile.NoOffset}
	logCtx, cancel := context.WithTimeout(ctx, startLogTimeout)
	defer cancel()
	err := a.setLogTarget(logCtx, &t)
	position, answered := a.askPositions(ctx)
	t.position = position
	return t, err == nil || answered
}

// errSourceNotRead is returned on a node with a source, which startFromSource has
// just failed to read.
var errSourceNotRead = errors.New("the source was not read")

// setLogTarget sets the target to the end of the log.
func (a *Agent) setLogTarget(ctx context.Context, t *target) error {
	if a.Source != nil {
		return errSourceNotRead
	}
	_, next, err := streamEnds(ctx, a.Log, platformlog.StreamConfig)
	if err == nil {
		t.offset = next - 1
	}
	return err
}

// askPositions asks some peers concurrently and returns the highest position.
func (a *Agent) askPositions(ctx context.Context) (highest profile.Position, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, startRequestTimeout)
	defer cancel()
	sent := time.Now()
	peers := a.samplePeers(startPeerCount)
	answers := make([]*peer.HelloResponse, len(peers))
	var wg sync.WaitGroup
	for i, m := range peers {
		wg.Go(func() {
			if answer, err := a.Peers.Probe(ctx, m, false); err == nil {
				answers[i] = &answer
			}
		})
	}
	wg.Wait()
	for _, answer := range answers {
		if answer == nil {
			continue
		}
		a.mergeHello(*answer, sent)
		if p := answer.Position; p != nil {
			answered = true
			if p.Compare(highest) > 0 {
				highest = *p
			}
		}
	}
	return highest, answered
}

// awaitTarget waits until the node holds the target, and reports false if it does
// not within startTargetTimeout.
func (a *Agent) awaitTarget(ctx context.Context, t target) bool {
	deadline := time.Now().Add(startTargetTimeout)
	for {
		changed := a.replica.changed.next()
		p, ok := a.Position()
		if ok && p.Offset >= t.offset && p.Compare(t.position) >= 0 {
			return true
		}
		if left := time.Until(deadline); left <= 0 || ctx.Err() != nil {
			return false
		}
		wait.Until(ctx, changed, time.Until(deadline))
	}
}
