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
	// bridgeWait is left to the readers of the own region to get a change from
	// the log before it is pulled over the metered link.
	bridgeWait = 300 * time.Millisecond
	// pullLimit bounds one pull. A full state takes 0.3 s per MB on the link
	// between regions.
	pullLimit = 3 * time.Second
	// pullPatience bounds a pull while another node is known to be ahead too.
	// A node that has just lost its power must not hold a change up.
	pullPatience = 600 * time.Millisecond
	// sendLimit bounds a notification, the opening of a connection included.
	sendLimit = 2 * time.Second
)

// hear notes the position that a node told and wakes the puller when it is
// ahead of the own one.
func (a *Agent) hear(id string, p profile.Position) {
	a.heard.Set(id, p)
	own, ok := a.Position()
	if !ok || p.Compare(own) > 0 {
		wake(a.pullDue)
	}
}

// announcePositions tells the linked nodes each new position, apart from
// those that are known to hold it.
func (a *Agent) announcePositions(ctx context.Context) error {
	var told profile.Position
	for {
		advanced := a.core.advanced.next()
		if p, ok := a.Position(); ok && p != told {
			told = p
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
			if have, ok := a.heard.Get(m.ID); ok && have.Compare(p) >= 0 {
				continue
			}
			a.tasks.run(func() { a.tell(ctx, m, p) })
		}
	}
}

// tell announces a position to one node. A lost announcement is made up for
// by the next heartbeat.
func (a *Agent) tell(ctx context.Context, m membership.Member, p profile.Position) {
	ctx, cancel := context.WithTimeout(ctx, sendLimit)
	defer cancel()
	if err := a.Peers.Announce(ctx, m, peer.Announce{ID: a.Self.ID, Position: p, SourceAgeMs: a.sourceAge(p)}); err != nil {
		a.Logger.Debug("announce_failed", "node", m.ID, "error", err)
	}
}

// puller is the state of the one goroutine that pulls.
type puller struct {
	*Agent
	notBefore map[string]time.Time // nodes that refused, and until when
	full      bool                 // the last answer could not be applied
	remote    time.Time            // since when only another region has been ahead; zero when not
}

// pullChanges pulls from a node that told a higher position, one pull at a
// time, so that each record arrives once.
func (a *Agent) pullChanges(ctx context.Context) error {
	p := &puller{Agent: a, notBefore: map[string]time.Time{}}
	for {
		advanced := a.core.advanced.next()
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

// next chooses the node to pull from and how long to wait before.
func (p *puller) next(now time.Time) (m membership.Member, wait time.Duration, found bool) {
	ahead := p.ahead()
	p.noteRemote(ahead, now)
	for _, c := range ahead {
		w := p.notBefore[c.ID].Sub(now)
		if c.Region != p.Self.Region {
			w = max(w, p.remote.Add(bridgeWait).Sub(now))
		}
		if !found || w < wait {
			m, wait, found = c, w, true
		}
	}
	return m, wait, found
}

// ahead returns the known nodes that told a higher position, those of the own
// failure domain first, else in random order so that the pulls of many nodes
// spread.
func (p *puller) ahead() []membership.Member {
	if have := p.core.published.Load(); have != nil && have.NewSchema {
		return nil // more records would not help this build
	}
	own, ok := p.Position()
	var ids []string
	p.heard.Range(func(id string, told profile.Position) bool {
		if !ok || told.Compare(own) > 0 {
			ids = append(ids, id)
		}
		return true
	})
	rand.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	var out []membership.Member
	for _, id := range ids {
		m, known := p.Table.Get(id)
		if !known || m.Status == membership.StatusDead || m.Status == membership.StatusLeft {
			p.heard.Delete(id)
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

func (p *puller) noteRemote(ahead []membership.Member, now time.Time) {
	if len(ahead) == 0 {
		p.remote = time.Time{}
	} else if p.remote.IsZero() {
		p.remote = now
	}
}

// pull gets from one node what lies after the own position.
func (p *puller) pull(ctx context.Context, m membership.Member) {
	limit := pullLimit
	if len(p.ahead()) > 1 {
		limit = pullPatience
	}
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req := peer.PullRequest{AcceptsRouteChanges: true}
	if own, ok := p.Position(); ok {
		req.From, req.Full = &own, p.full
	}
	answer, err := p.Peers.Pull(limited, m, req)
	if err != nil {
		p.Logger.Debug("pull_failed", "node", m.ID, "error", err)
		p.heard.Delete(m.ID) // its next heartbeat tells the position again
		return
	}
	if answer.RetryAfterMs > 0 {
		p.notBefore[m.ID] = time.Now().Add(time.Duration(answer.RetryAfterMs) * time.Millisecond)
		return
	}
	delete(p.notBefore, m.ID)
	if !p.take(ctx, req, answer) {
		p.heard.Delete(m.ID)
		p.full = true
		return
	}
	p.full = false
	p.heard.Set(m.ID, answer.Position)
}

// take applies an answer and reports whether the own position advanced.
func (a *Agent) take(ctx context.Context, req peer.PullRequest, answer peer.PullResponse) bool {
	u := update{}
	switch {
	case len(answer.Full) > 0:
		full, err := peer.DecodeFullState(answer.Full)
		if err != nil {
			a.Logger.Warn("state_unreadable", "error", err)
			return false
		}
		u.full = &full
	case req.From != nil:
		u.from = *req.From
		for _, r := range answer.Records {
			u.records = append(u.records, record{Offset: r.Offset, Data: r.Data()})
		}
	}
	before, had := a.Position()
	a.core.submit(ctx, u)
	after, has := a.Position()
	return has && (!had || after.Compare(before) > 0)
}
