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
	// farLinks of them lead to other failure domains of the region where the
	// own one has members enough. Bytes between domains are paid for, and the
	// nodes of a domain that is lost are found missing from outside it.
	farLinks = 1
	// readersPerRegion is two, so that the death of one delays no change.
	readersPerRegion = 2
	// fewNeighbours is the number of neighbours below which one suspicion
	// decides, since a second one may never come.
	fewNeighbours = 3
)

// Topology is a node's place among the members: whom it links to and which
// members read the log. It is computed from one table and never changed.
type Topology struct {
	Neighbours []Member            // in the own region, in the order of ids
	Bridges    []Member            // readers of other regions, set only for a reader
	Readers    map[string][]string // ids by region, highest rank first
}

// NewTopology returns the topology of the node self among members.
func NewTopology(self Member, members []Member) Topology {
	live := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !m.Routable() })
	t := Topology{Neighbours: Neighbours(self, members), Readers: map[string][]string{}}
	for _, m := range live {
		t.Readers[m.Region] = nil
	}
	for region := range t.Readers {
		t.Readers[region] = Readers(region, live)
	}
	if t.IsReader(self) {
		t.Bridges = bridges(self, live, t.Readers)
	}
	return t
}

// IsReader reports whether a member reads the log for its region.
func (t Topology) IsReader(m Member) bool { return slices.Contains(t.Readers[m.Region], m.ID) }

// Rank returns the place of a member among the readers of all regions, and
// their number when it is none of them.
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

func bridges(self Member, live []Member, readers map[string][]string) []Member {
	var out []Member
	for _, m := range live {
		if m.Region != self.Region && slices.Contains(readers[m.Region], m.ID) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// Readers returns the members of a region with the highest rendezvous hash.
func Readers(region string, members []Member) []string {
	type ranked struct {
		id    string
		score uint64
	}
	var all []ranked
	reaching := slices.ContainsFunc(members, func(m Member) bool { return m.Region == region && m.Routable() && !m.SourceLost })
	for _, m := range members {
		if m.Region == region && m.Routable() && (!m.SourceLost || !reaching) {
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

// Leads reports whether a member is among the first n of its failure domain,
// in an order that all nodes agree on.
func Leads(m Member, members []Member, n int) bool {
	score := xxhash.Sum64String("lead\x00" + m.ID)
	better := 0
	for _, o := range members {
		if o.ID == m.ID || o.Region != m.Region || o.FailureDomain != m.FailureDomain || !linked(o) {
			continue
		}
		if s := xxhash.Sum64String("lead\x00" + o.ID); s > score || s == score && o.ID < m.ID {
			better++
		}
	}
	return better < n
}

// Neighbours returns the members of the own region that the node has a link
// with: those that it chose and those that chose it.
func Neighbours(self Member, members []Member) []Member {
	r := regionOf(self, members)
	var out []Member
	for _, m := range r.others {
		if r.chooses(self, m) || r.chooses(m, self) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, byID)
	return out
}

// region is what the links of one member are chosen from.
type region struct {
	others   []Member       // all but the member itself
	inDomain map[string]int // members by failure domain, the member itself included
}

func regionOf(self Member, members []Member) region {
	r := region{inDomain: map[string]int{self.FailureDomain: 1}}
	for _, m := range members {
		if m.Region == self.Region && m.ID != self.ID && linked(m) {
			r.others = append(r.others, m)
			r.inDomain[m.FailureDomain]++
		}
	}
	return r
}

// linked reports whether a member takes part in dissemination. A draining
// node does until it leaves, since its calls in flight still need it.
func linked(m Member) bool { return m.Routable() || m.Status == StatusDraining }

// chooses reports whether to is among the members that from opens links to:
// those of the own failure domain with the highest scores, and some of others.
// It stops once as many better ones are found, so that the links of a node cost
// some hashes a member and not one for each pair of members.
func (r region) chooses(from, to Member) bool {
	near := to.FailureDomain == from.FailureDomain
	quota := r.nearLinks(from)
	if !near {
		quota = linksPerNode - quota
	}
	score := pairScore(from.ID, to.ID)
	better := 0
	for _, m := range r.others {
		if m.ID == from.ID || m.ID == to.ID || (m.FailureDomain == from.FailureDomain) != near {
			continue
		}
		if s := pairScore(from.ID, m.ID); s > score || s == score && m.ID < to.ID {
			better++
		}
		if better >= quota {
			return false
		}
	}
	return better < quota
}

// nearLinks returns how many links a member opens in its own failure domain:
// all but farLinks, unless one of the two sides has too few members.
func (r region) nearLinks(from Member) int {
	near := r.inDomain[from.FailureDomain] - 1
	far := len(r.others) - near
	return min(near, linksPerNode-min(far, farLinks))
}

func pairScore(a, b string) uint64 {
	if b < a {
		a, b = b, a
	}
	return xxhash.Sum64String("link\x00" + a + "\x00" + b)
}

func byID(a, b Member) int { return cmp.Compare(a.ID, b.ID) }
