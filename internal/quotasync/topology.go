package quotasync

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

const (
	// maxCandidates is how many nodes of a domain may be asked to count. More would
	// let a node that is cut off find itself among them.
	maxCandidates = 3
	// topologyAge is how long the candidates are used before the member table is
	// read again.
	topologyAge = 500 * time.Millisecond
	// lostShare is the part of the equal share of a dead member that stays reserved:
	// the member may be cut off and use it, see quota.Limiter.
	lostShare = 0.5
)

// topology is who counts, as the member table shows it.
type topology struct {
	at      time.Time
	members int // all that share the quotas, dead ones included
	domains map[string]domain
}

// domain is one failure domain.
type domain struct {
	members    int
	alive      int
	weight     float64 // part of the quotas that belongs to the domain
	candidates []membership.Member
	ranks      []uint64 // of the candidates, descending
}

// rank puts a member among the candidates if it is one of the first.
func (d *domain) rank(m membership.Member) {
	r := rankOf(m.ID)
	i := 0
	for i < len(d.ranks) && d.ranks[i] >= r {
		i++
	}
	if i == maxCandidates {
		return
	}
	d.ranks, d.candidates = slices.Insert(d.ranks, i, r), slices.Insert(d.candidates, i, m)
	if len(d.ranks) > maxCandidates {
		d.ranks, d.candidates = d.ranks[:maxCandidates], d.candidates[:maxCandidates]
	}
}

// newTopology ranks the candidates of each domain by the hash of their ids, so that
// all nodes choose the same ones and a node that starts again is chosen again.
// A member that was declared dead keeps a share, since it may be cut off; one that
// left does not.
func newTopology(now time.Time, members []membership.Member) *topology {
	t := &topology{at: now, domains: map[string]domain{}}
	for _, m := range members {
		if m.Status == membership.StatusLeft || m.ServerLeaving {
			continue
		}
		t.members++
		d := t.domains[m.FailureDomain]
		d.members++
		d.weight++
		if m.Status == membership.StatusDead {
			d.weight -= lostShare
		} else {
			d.alive++
		}
		if m.Routable() {
			d.rank(m)
		}
		t.domains[m.FailureDomain] = d
	}
	for name, d := range t.domains {
		d.weight /= float64(t.members)
		t.domains[name] = d
	}
	return t
}

func rankOf(id string) uint64 { return xxhash.Sum64String("quota\x00" + id) }
