package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// linksPerNode is how many links a node opens. Links are used both ways,
	// so the mean degree is twice this.
	linksPerNode = 4
	// crossDomainLinks of them lead to other failure domains of the region, or
	// more when the node's domain has too few members. Traffic between domains
	// costs money; one link lets others detect that a whole domain is lost.
	crossDomainLinks = 1
	// readersPerRegion is two, so that the loss of one reader delays no change.
	readersPerRegion = 2
)

// Topology holds the links of a node and the members that read the log. It is
// computed from one table and immutable.
type Topology struct {
	Neighbours []Member            // linked members of the node's region, sorted by id
	Bridges    []Member            // readers of other regions, set only for a reader
	Readers    map[string][]string // ids by region, highest score first
}

// NewTopology returns the topology of the node self among members.
func NewTopology(self Member, members []Member) Topology {
	routable := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Routable() })
	t := Topology{Neighbours: Neighbours(self, members), Readers: map[string][]string{}}
	for _, m := range routable {
		t.Readers[m.Region] = nil
	}
	for region := range t.Readers {
		t.Readers[region] = Readers(region, routable)
	}
	if t.IsReader(self) {
		t.Bridges = bridges(self, routable, t.Readers)
	}
	return t
}

// IsReader reports whether a member reads the log for its region.
func (t Topology) IsReader(m Member) bool { return slices.Contains(t.Readers[m.Region], m.ID) }

// Rank returns the index of a member among the readers of all regions, in order
// of region and score, or the number of readers when it is not one.
func (t Topology) Rank(m Member) int {
	regions := make([]string, 0, len(t.Readers))
	for r := range t.Readers {
		regions = append(regions, r)
	}
	slices.Sort(regions)
	rank := 0
	for _, r := range regions {
		for _, id := range t.Readers[r] {
			if id == m.ID {
				return rank
			}
			rank++
		}
	}
	return rank
}

func bridges(self Member, routable []Member, readers map[string][]string) []Member {
	var out []Member
	for _, m := range routable {
		if m.Region != self.Region && slices.Contains(readers[m.Region], m.ID) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// Readers returns the ids of the members of a region with the highest
// rendezvous hash, highest first. Members that have lost the source count only
// when no other is routable.
func Readers(region string, members []Member) []string {
	type ranked struct {
		id    string
		score uint64
	}
	var all []ranked
	anyHasSource := slices.ContainsFunc(members, func(m Member) bool { return m.Region == region && m.Routable() && !m.SourceLost })
	for _, m := range members {
		if m.Region == region && m.Routable() && (!m.SourceLost || !anyHasSource) {
			all = append(all, ranked{m.ID, xxhash.Sum64String("reader\x00" + region + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	var out []string
	for _, r := range all[:min(len(all), readersPerRegion)] {
		out = append(out, r.id)
	}
	return out
}

// TopRankedInDomain reports whether a member is among the n with the highest
// hash in its failure domain, so that all nodes agree on them.
func TopRankedInDomain(m Member, members []Member, n int) bool {
	score := xxhash.Sum64String("lead\x00" + m.ID)
	higher := 0
	for _, o := range members {
		if o.ID == m.ID || o.Region != m.Region || o.FailureDomain != m.FailureDomain || !disseminates(o) {
			continue
		}
		if s := xxhash.Sum64String("lead\x00" + o.ID); s > score || s == score && o.ID < m.ID {
			higher++
		}
	}
	return higher < n
}

// Neighbours returns the members of the node's region that it has a link with,
// in either direction.
func Neighbours(self Member, members []Member) []Member {
	candidates := linkCandidatesOf(self, members)
	var out []Member
	for _, m := range candidates.others {
		if candidates.opensLink(self, m) || candidates.opensLink(m, self) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// linkCandidates holds the members of a region from which the links of one
// member are chosen.
type linkCandidates struct {
	others      []Member       // without the member itself
	domainSizes map[string]int // number of members by failure domain, with the member itself
}

func linkCandidatesOf(self Member, members []Member) linkCandidates {
	c := linkCandidates{domainSizes: map[string]int{self.FailureDomain: 1}}
	for _, m := range members {
		if m.Region == self.Region && m.ID != self.ID && disseminates(m) {
			c.others = append(c.others, m)
			c.domainSizes[m.FailureDomain]++
		}
	}
	return c
}

// disseminates reports whether a member passes on changes and entries. A draining
// node does until it has left, since its calls in flight depend on it.
func disseminates(m Member) bool { return m.Routable() || m.Status == StatusDraining }

// opensLink reports whether to is among the members that from opens links to:
// those with the highest scores in its failure domain, and some of others.
// It stops once quota members score higher, so that a node computes a few hashes
// per member and not one for each pair of members.
func (c linkCandidates) opensLink(from, to Member) bool {
	sameDomain := to.FailureDomain == from.FailureDomain
	quota := c.sameDomainLinks(from)
	if !sameDomain {
		quota = linksPerNode - quota
	}
	score := pairScore(from.ID, to.ID)
	higher := 0
	for _, m := range c.others {
		if m.ID == from.ID || m.ID == to.ID || (m.FailureDomain == from.FailureDomain) != sameDomain {
			continue
		}
		if s := pairScore(from.ID, m.ID); s > score || s == score && m.ID < to.ID {
			higher++
		}
		if higher >= quota {
			return false
		}
	}
	return higher < quota
}

// sameDomainLinks returns how many links a member opens in its own failure
// domain: all but crossDomainLinks, unless its own or the other domains have
// too few members.
func (c linkCandidates) sameDomainLinks(from Member) int {
	inside := c.domainSizes[from.FailureDomain] - 1
	outside := len(c.others) - inside
	return min(inside, linksPerNode-min(outside, crossDomainLinks))
}

func pairScore(a, b string) uint64 {
	if b < a {
		a, b = b, a
	}
	// The buffer is on the stack for ids of the usual length: a topology takes
	// thousands of scores.
	var buffer [128]byte
	key := append(buffer[:0], "link\x00"...)
	key = append(key, a...)
	key = append(key, 0)
	key = append(key, b...)
	return xxhash.Sum64(key)
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }
