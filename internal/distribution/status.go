package distribution

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

const (
	// maxStatusRequests is how many members of a domain one node asks at the same
	// time.
	maxStatusRequests = 64
	// statusNodeTimeout is the timeout for the status of one node,
	// statusDomainTimeout that for a member that asks its whole failure domain.
	statusNodeTimeout   = time.Second
	statusDomainTimeout = 3 * time.Second
	// statusDomainAttempts is how many members of a failure domain are tried, one
	// after the other, to collect its status.
	statusDomainAttempts = 2
)

// Status returns the status of this node, its failure domain or all nodes.
func (a *Agent) Status(ctx context.Context, r peer.StatusRequest) (peer.StatusResponse, error) {
	var rows []peer.StatusRow
	switch r.Scope {
	case peer.ScopeAll:
		rows = a.statusAll(ctx)
	case peer.ScopeFailureDomain:
		rows = a.statusOfDomain(ctx, a.listedMembers(a.Self.FailureDomain))
	default:
		rows = []peer.StatusRow{a.StatusRow()}
	}
	slices.SortFunc(rows, func(x, y peer.StatusRow) int { return cmp.Compare(x.ID, y.ID) })
	return peer.StatusResponse{Rows: rows}, nil
}

// StatusRow returns this node's status.
func (a *Agent) StatusRow() peer.StatusRow {
	self := a.self()
	row := rowOf(self)
	row.Generation = a.Snapshots.Published()
	row.Draining = self.Status == membership.StatusDraining
	row.Ready = a.Ready() && !row.Draining
	if p := a.replica.published.Load(); p != nil {
		position := p.position()
		row.Position, row.NeedsNewerBuild = &position, p.NeedsNewerBuild
		if n := len(p.Replicated.Refused); n > 0 {
			row.Refused = &p.Replicated.Refused[n-1]
		}
	}
	return row
}

func rowOf(m membership.Member) peer.StatusRow {
	return peer.StatusRow{ID: m.ID, Service: m.Service, Region: m.Region, FailureDomain: m.FailureDomain}
}

// listedMembers returns the members of a failure domain, or of all if it is "",
// that have not left. Dead members are included, so that operators see them.
func (a *Agent) listedMembers(domain string) []membership.Member {
	return slices.DeleteFunc(a.Table.All(), func(m membership.Member) bool {
		return m.Status == membership.StatusLeft || domain != "" && m.FailureDomain != domain
	})
}

// statusAll asks one member per failure domain for the status of its domain.
func (a *Agent) statusAll(ctx context.Context) []peer.StatusRow {
	byDomain := map[string][]membership.Member{}
	for _, m := range a.listedMembers("") {
		byDomain[m.FailureDomain] = append(byDomain[m.FailureDomain], m)
	}
	var wg sync.WaitGroup
	answers := make(chan []peer.StatusRow, len(byDomain))
	for domain, members := range byDomain {
		wg.Go(func() {
			if domain == a.Self.FailureDomain {
				answers <- a.statusOfDomain(ctx, members)
				return
			}
			answers <- a.askDomain(ctx, members)
		})
	}
	wg.Wait()
	close(answers)
	var rows []peer.StatusRow
	for r := range answers {
		rows = append(rows, r...)
	}
	return rows
}

// askDomain asks a member for the status of its whole domain and adds rows for
// members missing from the answer. If no member answers, each is asked directly.
func (a *Agent) askDomain(ctx context.Context, members []membership.Member) []peer.StatusRow {
	ask := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.Status == membership.StatusDead })
	rand.Shuffle(len(ask), func(i, j int) { ask[i], ask[j] = ask[j], ask[i] })
	for _, m := range ask[:min(len(ask), statusDomainAttempts)] {
		askCtx, cancel := context.WithTimeout(ctx, statusDomainTimeout)
		answer, err := a.Peers.Status(askCtx, m, peer.StatusRequest{Scope: peer.ScopeFailureDomain})
		cancel()
		if err == nil {
			return withMissing(answer.Rows, members)
		}
	}
	return a.statusOfDomain(ctx, members)
}

func withMissing(rows []peer.StatusRow, members []membership.Member) []peer.StatusRow {
	for _, m := range members {
		if !slices.ContainsFunc(rows, func(r peer.StatusRow) bool { return r.ID == m.ID }) {
			row := rowOf(m)
			row.Error = "not known to the member that was asked"
			rows = append(rows, row)
		}
	}
	return rows
}

// statusOfDomain asks every member directly, maxStatusRequests at a time.
func (a *Agent) statusOfDomain(ctx context.Context, members []membership.Member) []peer.StatusRow {
	rows := make([]peer.StatusRow, len(members))
	slots := make(chan struct{}, maxStatusRequests)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			rows[i] = a.askStatus(ctx, m)
		})
	}
	wg.Wait()
	return rows
}

func (a *Agent) askStatus(ctx context.Context, m membership.Member) peer.StatusRow {
	if m.ID == a.Self.ID {
		return a.StatusRow()
	}
	ctx, cancel := context.WithTimeout(ctx, statusNodeTimeout)
	defer cancel()
	answer, err := a.Peers.Status(ctx, m, peer.StatusRequest{Scope: peer.ScopeSelf})
	if err != nil || len(answer.Rows) != 1 {
		row := rowOf(m)
		row.Error = "no answer"
		if err != nil {
			row.Error = err.Error()
		}
		return row
	}
	return answer.Rows[0]
}
