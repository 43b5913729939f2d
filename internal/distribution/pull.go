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
	// remotePullDelay gives the readers of the node's region time to get a change
	// from the log before it is pulled from another region, where traffic costs
	// money.
	remotePullDelay = 300 * time.Millisecond
	// pullTimeout is the timeout of a pull. A full state takes 0.3 s per MB
	// between regions.
	pullTimeout = 3 * time.Second
	// pullTimeoutWithAlternative is the timeout of a pull while another node is
	// also ahead, so that a node that has just failed does not delay a change.
	pullTimeoutWithAlternative = 600 * time.Millisecond
	// sendTimeout is the timeout of a one-way message, including the time to open
	// a connection.
	sendTimeout = 2 * time.Second
)

// recordPeerPosition records the position that a node reported. It wakes the
// puller if the position is ahead of this node's or this node has none.
func (a *Agent) recordPeerPosition(id string, p profile.Position) {
	a.peerPositions.Set(id, p)
	own, ok := a.Position()
	if !ok || p.Compare(own) > 0 {
		wake(a.pullDue)
	}
}

// announcePositions announces each new position to the neighbours and bridges,
// except those that are known to hold it.
func (a *Agent) announcePositions(ctx context.Context) error {
	var announced profile.Position
	for {
		changed := a.replica.changed.next()
		if p, ok := a.Position(); ok && p != announced {
			announced = p
			a.updateVerified()
			a.announce(ctx, p)
		}
		select {
		case <-changed:
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
			a.tasks.Go(func() { a.sendAnnouncement(ctx, m, p) })
		}
	}
}

// sendAnnouncement announces a position to one node. If the announcement is
// lost, the next heartbeat carries the position.
func (a *Agent) sendAnnouncement(ctx context.Context, m membership.Member, p profile.Position) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := a.Peers.Announce(ctx, m, peer.PositionAnnouncement{ID: a.Self.ID, Position: p, Proof: a.proofOf(p), StoreEra: uint64(a.Eras.Current())}); err != nil {
		a.Logger.Debug("announce_failed", "node", m.ID, "error", err)
	}
}

// puller is the state of pullChanges.
type puller struct {
	*Agent
	notBefore  map[string]time.Time // when a node that refused may be asked again
	wantFull   bool                 // the last answer did not advance the position
	aheadSince time.Time            // start of the period in which at least one node has been ahead; zero if none is
}

// pullChanges pulls from nodes that reported a higher position. It makes one pull
// at a time, so that the same records are not requested from several nodes.
func (a *Agent) pullChanges(ctx context.Context) error {
	p := &puller{Agent: a, notBefore: map[string]time.Time{}}
	for {
		changed := a.replica.changed.next()
		m, wait, found := p.chooseNode(time.Now())
		if found && wait <= 0 {
			p.pull(ctx, m)
			if ctx.Err() != nil {
				return nil
			}
			continue
		}
		if !found {
			wait = time.Hour // nothing to pull: wait for a report or a change
		}
		t := time.NewTimer(wait)
		select {
		case <-a.pullDue:
		case <-changed:
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return nil
		}
		t.Stop()
	}
}

// chooseNode returns the node to pull from and how long to wait before the pull.
func (p *puller) chooseNode(now time.Time) (m membership.Member, wait time.Duration, found bool) {
	ahead := p.ahead()
	p.updateAheadSince(ahead, now)
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

// ahead returns the nodes that reported a higher position, those of this node's
// failure domain first, otherwise in random order to spread the pulls of many
// nodes. It drops the positions of unknown, dead and left members.
func (p *puller) ahead() []membership.Member {
	if have := p.replica.published.Load(); have != nil && have.NeedsNewerBuild {
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
	slices.SortStableFunc(out, func(a, b membership.Member) int { return cmp.Compare(p.domainOrder(a), p.domainOrder(b)) })
	return out
}

// domainOrder returns a sort key that puts members of this node's failure domain
// before others.
func (p *puller) domainOrder(m membership.Member) int {
	if m.Region == p.Self.Region && m.FailureDomain == p.Self.FailureDomain {
		return 0
	}
	return 1
}

func (p *puller) updateAheadSince(ahead []membership.Member, now time.Time) {
	if len(ahead) == 0 {
		p.aheadSince = time.Time{}
	} else if p.aheadSince.IsZero() {
		p.aheadSince = now
	}
}

// pull fetches from one node the changes after this node's position.
func (p *puller) pull(ctx context.Context, m membership.Member) {
	timeout := pullTimeout
	if len(p.ahead()) > 1 {
		timeout = pullTimeoutWithAlternative
	}
	pullCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req := peer.PullRequest{AcceptsRouteChanges: true}
	if own, ok := p.Position(); ok {
		req.After, req.Full = &own, p.wantFull
	}
	answer, err := p.Peers.Pull(pullCtx, m, req)
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
		if req.Full || len(answer.Full) == 0 {
			p.peerPositions.Delete(m.ID) // its next heartbeat reports the position again
		}
		p.wantFull = true // and at once, if the answer held changes that did not fit
		return
	}
	p.wantFull = false
	p.peerPositions.Set(m.ID, answer.Position)
}

// applyAnswer applies an answer and reports whether this node's position
// advanced. An answer without a state or records changes nothing.
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
