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
	// startSpread is the jitter of the reads of a starting node. A failure
	// domain that restarts makes about 500 of them.
	startSpread = time.Second
	// startPeers is how many peers a starting node asks for their position.
	startPeers = 5
	// startAsk bounds the wait for these answers.
	startAsk = time.Second
	// startLogLimit bounds a read of the log during the start.
	startLogLimit = 2 * time.Second
	// startReach is how long a node tries to reach one target before it looks
	// for a newer one.
	startReach = 2 * time.Second
	// startTables is how many peers are asked for their table at most.
	startTables = 3
)

// target is what a node must hold before it serves.
type target struct {
	offset   int64            // last offset of the log, NoOffset when it is empty or silent
	position profile.Position // highest position that a peer told
}

// start applies the start rule: the node serves only once it holds what the
// log held, or, when the log does not answer, what its peers hold.
func (a *Agent) start(ctx context.Context) error {
	if !wait.For(ctx, rand.N(a.StartSpread)) {
		return nil
	}
	s := &starter{Agent: a}
	for attempt := 1; ; attempt++ {
		advanced := a.core.advanced.next()
		if s.startOnce(ctx) {
			break
		}
		pause := wait.FullJitter(attempt)
		if s.sourceEmpty {
			pause = emptySourceRetry
		}
		wait.Until(ctx, advanced, pause)
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

// startOnce looks for a target and reports whether the node reached it.
func (s *starter) startOnce(ctx context.Context) bool {
	if s.startFromSource(ctx) {
		return true
	}
	if s.sourceEmpty {
		return ctx.Err() != nil
	}
	s.findPeers(ctx)
	s.peersFound()
	t, ok := s.startTarget(ctx)
	return ok && s.reach(ctx, t) || ctx.Err() != nil
}

// peersFound lets the readers begin.
func (a *Agent) peersFound() {
	a.foundOnce.Do(func() {
		a.renewTopology() // alone in its table the node would read the log
		close(a.found)
	})
}

// findPeers fills the table of a starting node. Being greeted is not enough:
// with only those members in its table the node would take itself for a reader.
func (a *Agent) findPeers(ctx context.Context) {
	if len(a.others()) == 0 {
		a.findAnnounced(ctx)
	}
	if a.hasTable.Load() {
		return
	}
	for _, m := range a.spread(startTables) {
		if a.fetchTable(ctx, m) {
			a.hasTable.Store(true)
			return
		}
	}
}

// findAnnounced looks for peers in the directory and among the seeds.
func (a *Agent) findAnnounced(ctx context.Context) {
	limited, cancel := context.WithTimeout(ctx, startLogLimit)
	defer cancel()
	if err := a.readPeers(limited); err != nil {
		a.Logger.Warn("announcements_unread", "error", err)
	} else if a.Source != nil {
		a.peersFound()
	}
	if len(a.others()) == 0 {
		a.askSeeds(ctx)
	}
}

// readPeers merges the newest announcements.
func (a *Agent) readPeers(ctx context.Context) error {
	members, _, err := a.Directory.Entries(ctx, 0, 0)
	if err == nil {
		a.merge("", members)
	}
	return err
}

func (a *Agent) askSeeds(ctx context.Context) {
	for _, address := range a.Seeds {
		limited, cancel := context.WithTimeout(ctx, startAsk)
		answer, err := a.Peers.Hello(limited, address)
		cancel()
		if err != nil {
			a.Logger.Debug("seed_failed", "address", address, "error", err)
			continue
		}
		a.greeted(answer)
	}
}

// others returns the members apart from the own node that may answer.
func (a *Agent) others() []membership.Member {
	var out []membership.Member
	for _, m := range a.Table.All() {
		if m.ID != a.Self.ID && m.Status != membership.StatusDead && m.Status != membership.StatusLeft {
			out = append(out, m)
		}
	}
	return out
}

// spread returns up to n random members, from as many failure domains as
// there are: the own one may have restarted as a whole.
func (a *Agent) spread(n int) []membership.Member {
	byDomain := map[string][]membership.Member{}
	var domains []string
	all := a.others()
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

// startTarget asks the log and some peers. It reports false when neither
// answers.
func (a *Agent) startTarget(ctx context.Context) (target, bool) {
	t := target{offset: profile.NoOffset}
	limited, cancel := context.WithTimeout(ctx, startLogLimit)
	defer cancel()
	err := a.sourceTarget(limited, &t)
	position, answered := a.askPositions(ctx)
	t.position = position
	return t, err == nil || answered
}

// errSourceUnread marks a start whose source was asked before and did not
// answer.
var errSourceUnread = errors.New("the source was not read")

// sourceTarget sets the target to the end of the log.
func (a *Agent) sourceTarget(ctx context.Context, t *target) error {
	if a.Source != nil {
		return errSourceUnread
	}
	_, next, err := streamEnds(ctx, a.Log, platformlog.StreamConfig)
	if err == nil {
		t.offset = next - 1
	}
	return err
}

// askPositions asks some peers at once and returns the highest position.
func (a *Agent) askPositions(ctx context.Context) (highest profile.Position, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, startAsk)
	defer cancel()
	peers := a.spread(startPeers)
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
		a.greeted(*answer)
		if p := answer.Position; p != nil {
			answered = true
			if p.Compare(highest) > 0 {
				highest = *p
			}
		}
	}
	return highest, answered
}

// reach waits until the node holds the target.
func (a *Agent) reach(ctx context.Context, t target) bool {
	limit := time.Now().Add(startReach)
	for {
		advanced := a.core.advanced.next()
		p, ok := a.Position()
		if ok && p.Offset >= t.offset && p.Compare(t.position) >= 0 {
			return true
		}
		if left := time.Until(limit); left <= 0 || ctx.Err() != nil {
			return false
		}
		wait.Until(ctx, advanced, time.Until(limit))
	}
}
