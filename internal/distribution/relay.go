package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

const (
	// remotePullDelay gives the readers of the own region time to get a change
	// from the log before it is pulled over the metered link between regions.
	remotePullDelay = 300 * time.Millisecond
	// pullTimeout is the timeout of a pull. A full state takes 0.3 s per MB on
	// the link between regions.
	pullTimeout = 3 * time.Second
	// pullTimeoutWithAlternative is the timeout of a pull while another node is
	// also ahead, so that a node that has just failed does not delay a change.
	pullTimeoutWithAlternative = 600 * time.Millisecond
	// sendTimeout is the timeout of a one-way message, including the time to open
	// a connection.
	sendTimeout = 2 * time.Second
)

// notePosition records the position that a node reported and wakes the puller
// if it is ahead of the own one.
func (a *Agent) notePosition(id string, p profile.Position) {
	a.peerPositions.Set(id, p)
	own, ok := a.Position()
	if !ok || p.Compare(own) > 0 {
		wake(a.pullDue)
	}
}

// announcePositions announces each new position to the linked nodes, except
// those that are known to hold it.
func (a *Agent) announcePositions(ctx context.Context) error {
	var announced profile.Position
	for {
		advanced := a.replica.advanced.next()
		if p, ok := a.Position(); ok && p != announced {
			announced = p
			a.announce(ctx, p)
		}
		select {
		case <-advanced:
		case <-ctx.Done():
			return nil
		}
	}
}

func (a *Agent) announce(ctx context.Context, p profile.Position) {
	t := a.topology.Load()
	for _, group := range [][]membership.Member{t.Neighbours, t.Bridges} {
		for _, m := range group {
			if have, ok := a.peerPositions.Get(m.ID); ok && have.Compare(p) >= 0 {
				continue
			}
			a.tasks.run(func() { a.sendAnnouncement(ctx, m, p) })
		}
	}
}

// sendAnnouncement announces a position to one node. If the announcement is
// lost, the next heartbeat carries the position.
func (a *Agent) sendAnnouncement(ctx context.Context, m membership.Member, p profile.Position) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := a.Peers.Announce(ctx, m, peer.PositionAnnouncement{ID: a.Self.ID, Position: p, SourceAgeMs: a.sourceAge(p)}); err != nil {
		a.Logger.Debug("announce_failed", "node", m.ID, "error", err)
	}
}

// puller is the state of the goroutine that pulls.
type puller struct {
	*Agent
	notBefore  map[string]time.Time // when a node that refused may be asked again
	wantFull   bool                 // the last answer could not be applied
	aheadSince time.Time            // since when any node has been ahead; zero if none is
}

// pullChanges pulls from nodes that reported a higher position, one pull at a
// time, so that each record is transferred once.
func (a *Agent) pullChanges(ctx context.Context) error {
	p := &puller{Agent: a, notBefore: map[string]time.Time{}}
	for {
		advanced := a.replica.advanced.next()
		m, wait, found := p.next(time.Now())
		if found && wait <= 0 {
			p.pull(ctx, m)
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if !found {
			wait = time.Hour // nothing to pull: only pullDue ends the wait
		}
		t := time.NewTimer(wait)
		select {
		case <-a.pullDue:
		case <-advanced:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}

// next chooses the node to pull from and how long to wait before the pull.
func (p *puller) next(now time.Time) (m membership.Member, wait time.Duration, found bool) {
	ahead := p.ahead()
	p.noteAhead(ahead, now)
	for _, c := range ahead {
		w := p.notBefore[c.ID].Sub(now)
		if c.Region != p.Self.Region {
			w = max(w, p.aheadSince.Add(remotePullDelay).Sub(now))
		}
		if !found || w < wait {
			m, wait, found = c, w, true
		}
	}
	return m, wait, found
}

// ahead returns the known nodes that reported a higher position, those of the
// own failure domain first, otherwise in random order to spread the pulls of
// many nodes.
func (p *puller) ahead() []membership.Member {
	if have := p.replica.published.Load(); have != nil && have.NewSchema {
		return nil // more records would not help this build
	}
	own, ok := p.Position()
	var ids []string
	p.peerPositions.Range(func(id string, reported profile.Position) bool {
		if !ok || reported.Compare(own) > 0 {
			ids = append(ids, id)
		}
		return true
	})
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []membership.Member
	for _, id := range ids {
		m, known := p.Table.Get(id)
		if !known || m.Status == membership.StatusDead || m.Status == membership.StatusLeft {
			p.peerPositions.Delete(id)
			continue
		}
		out = append(out, m)
	}
	slices.SortStableFunc(out, func(a, b membership.Member) int { return cmp.Compare(p.distance(a), p.distance(b)) })
	return out
}

// distance is 0 for members of the own failure domain and 1 for others.
func (p *puller) distance(m membership.Member) int {
	if m.Region == p.Self.Region && m.FailureDomain == p.Self.FailureDomain {
		return 0
	}
	return 1
}

func (p *puller) noteAhead(ahead []membership.Member, now time.Time) {
	if len(ahead) == 0 {
		p.aheadSince = time.Time{}
	} else if p.aheadSince.IsZero() {
		p.aheadSince = now
	}
}

// pull fetches from one node the changes after the own position.
func (p *puller) pull(ctx context.Context, m membership.Member) {
	limit := pullTimeout
	if len(p.ahead()) > 1 {
		limit = pullTimeoutWithAlternative
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req := peer.PullRequest{AcceptsRouteChanges: true}
	if own, ok := p.Position(); ok {
		req.After, req.Full = &own, p.wantFull
	}
	answer, err := p.Peers.Pull(limited, m, req)
	if err != nil {
		p.Logger.Debug("pull_failed", "node", m.ID, "error", err)
		p.peerPositions.Delete(m.ID) // its next heartbeat reports the position again
		return
	}
	if answer.RetryAfterMs > 0 {
		p.notBefore[m.ID] = time.Now().Add(time.Duration(answer.RetryAfterMs) * time.Millisecond)
		return
	}
	delete(p.notBefore, m.ID)
	if !p.applyAnswer(ctx, req, answer) {
		p.peerPositions.Delete(m.ID)
		p.wantFull = true
		return
	}
	p.wantFull = false
	p.peerPositions.Set(m.ID, answer.Position)
}

// applyAnswer applies an answer and reports whether the own position advanced.
func (a *Agent) applyAnswer(ctx context.Context, req peer.PullRequest, answer peer.PullResponse) bool {
	u := update{}
	switch {
	case len(answer.Full) > 0:
		full, err := peer.DecodeFullState(answer.Full)
		if err != nil {
			a.Logger.Warn("state_unreadable", "error", err)
			return false
		}
		u.full = &full
	case req.After != nil:
		u.from = *req.After
		for _, r := range answer.Records {
			u.records = append(u.records, record{Offset: r.Offset, Data: r.Data()})
		}
	}
	before, had := a.Position()
	a.replica.submit(ctx, u)
	after, has := a.Position()
	return has && (!had || after.Compare(before) > 0)
}
