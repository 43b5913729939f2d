package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testMembers(n int) []Member {
	var out []Member
	for i := range n {
		out = append(out, Member{ID: fmt.Sprintf("n%03d", i), Region: fmt.Sprintf("r%d", i%2), Incarnation: 1, Status: StatusAlive})
	}
	return out
}

// TestLinksAreMutualAndConnected guards against nodes that no change reaches
// because only one side knows a link or because a region is not connected.
func TestLinksAreMutualAndConnected(t *testing.T) {
	for _, n := range []int{2, 3, 8, 30, 200, 870} {
		members := testMembers(n)
		links, sum := map[string][]Member{}, 0
		for _, m := range members {
			links[m.ID] = Neighbours(m, members)
			sum += len(links[m.ID])
		}
		for _, m := range members {
			assert.Assert(t, len(links[m.ID]) >= min(linksPerNode, n/2-1), "%d nodes: %s has %d links", n, m.ID, len(links[m.ID]))
			for _, o := range links[m.ID] {
				assert.Equal(t, o.Region, m.Region)
				assert.Assert(t, contains(links[o.ID], m.ID), "%s does not know its link to %s", o.ID, m.ID)
			}
		}
		assert.Assert(t, float64(sum)/float64(n) <= 2*linksPerNode)
		assert.Equal(t, countReachable(members[0], links), (n+1)/2)
	}
}

// TestLinksPreferOwnFailureDomain guards against costly traffic between failure
// domains, against domains that no change reaches, and against members without
// a neighbour in another domain to detect the loss of their own.
func TestLinksPreferOwnFailureDomain(t *testing.T) {
	for _, size := range []int{2, 3, 15, 170} { // members of a failure domain
		var members []Member
		for i := range 3 * size {
			members = append(members, Member{ID: fmt.Sprintf("n%03d", i), Region: "r", FailureDomain: fmt.Sprint("d", i%3), Status: StatusAlive})
		}
		links, crossing, sum := map[string][]Member{}, 0, 0
		for _, m := range members {
			links[m.ID] = Neighbours(m, members)
			sum += len(links[m.ID])
			outside := 0
			for _, o := range links[m.ID] {
				assert.Assert(t, contains(Neighbours(o, members), m.ID), "%s does not know its link to %s", o.ID, m.ID)
				if o.FailureDomain != m.FailureDomain {
					outside++
				}
			}
			assert.Assert(t, outside > 0, "%s has no neighbour in another domain", m.ID)
			crossing += outside
		}
		assert.Equal(t, countReachable(members[0], links), len(members))
		if size > linksPerNode {
			assert.Assert(t, float64(crossing) <= 0.3*float64(sum), "%d of %d links cross domains", crossing, sum)
		}
	}
}

// TestLostFailureDomainConfirmedDead guards against members of a lost failure
// domain that stay alive in the table because most of their neighbours were lost
// with them and cannot report them.
func TestLostFailureDomainConfirmedDead(t *testing.T) {
	table, d := NewTable(), NewDetector()
	var lost []Member
	for _, id := range []string{"x", "y", "z"} {
		lost = append(lost, Member{ID: id, Incarnation: 1, Status: StatusAlive})
	}
	table.Merge(lost)
	for _, m := range lost { // each has one neighbour outside the domain
		d.AddSuspicion(Suspicion{ID: m.ID, Incarnation: 1, By: "far-" + m.ID}, m, testStart)
	}
	neighboursOf := func(m Member) []Member { return append([]Member{{ID: "far-" + m.ID}}, lost...) }
	assert.Equal(t, len(d.ConfirmDead(table, neighboursOf, testStart.Add(refutationPeriod))), len(lost))
}

func contains(members []Member, id string) bool {
	for _, m := range members {
		if m.ID == id {
			return true
		}
	}
	return false
}

func countReachable(from Member, links map[string][]Member) int {
	seen, queue := map[string]bool{from.ID: true}, []Member{from}
	for len(queue) > 0 {
		for _, m := range links[queue[0].ID] {
			if !seen[m.ID] {
				seen[m.ID] = true
				queue = append(queue, m)
			}
		}
		queue = queue[1:]
	}
	return len(seen)
}

// TestReadersStableOnMembershipChange guards against a change of many readers
// when a single member joins or drains.
func TestReadersStableOnMembershipChange(t *testing.T) {
	members := testMembers(40)
	before := NewTopology(members[0], members)
	drained := before.Readers["r0"][0]
	for i := range members {
		if members[i].ID == drained {
			members[i].Status = StatusDraining
		}
	}
	after := NewTopology(members[0], members)
	assert.Equal(t, len(after.Readers["r0"]), readersPerRegion)
	assert.Equal(t, after.Readers["r0"][0], before.Readers["r0"][1])
	assert.DeepEqual(t, Readers("r0", members), after.Readers["r0"])
	assert.DeepEqual(t, after.Readers["r1"], before.Readers["r1"])
	for _, m := range members {
		topology := NewTopology(m, members)
		assert.Equal(t, len(topology.Bridges) > 0, topology.IsReader(m))
	}
}

// TestDeathConfirmation guards against a member that is declared dead too
// early, too late, or after it refuted the suspicion.
func TestDeathConfirmation(t *testing.T) {
	type report struct {
		by string
		at time.Duration
	}
	for _, c := range []struct {
		name       string
		suspicions []report
		neighbours int
		refuted    bool
		deadAt     time.Duration // 0: not within a minute
	}{
		{name: "two neighbours", suspicions: []report{{"a", 0}, {"b", 0}}, neighbours: 8, deadAt: time.Second},
		{name: "one neighbour twice", suspicions: []report{{"a", 0}, {"a", time.Second}}, neighbours: 8, deadAt: 10 * time.Second},
		{name: "lone suspicion", suspicions: []report{{"a", 0}}, neighbours: 8, deadAt: 10 * time.Second},
		{name: "few neighbours", suspicions: []report{{"a", 0}}, neighbours: 2, deadAt: time.Second},
		{name: "late second suspicion", suspicions: []report{{"a", 0}, {"b", 5 * time.Second}}, neighbours: 8, deadAt: 5 * time.Second},
		{name: "refuted", suspicions: []report{{"a", 0}, {"b", 0}}, neighbours: 8, refuted: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, d := NewTable(), NewDetector()
			m := Member{ID: "x", Incarnation: 1, Sequence: 4, Status: StatusAlive}
			table.Merge([]Member{m})
			var deadAt time.Duration
			for at := time.Duration(0); at <= time.Minute && deadAt == 0; at += time.Second / 2 {
				for _, s := range c.suspicions {
					if s.at == at {
						d.AddSuspicion(Suspicion{ID: "x", Incarnation: 1, Sequence: 4, By: s.by}, m, testStart.Add(at))
					}
				}
				if c.refuted {
					self, ok := Refute(m, Member{ID: "x", Incarnation: 1, Sequence: 4, Status: StatusDead})
					assert.Assert(t, ok)
					table.Merge([]Member{self})
				}
				if len(d.ConfirmDead(table, func(Member) []Member { return make([]Member, c.neighbours) }, testStart.Add(at))) > 0 {
					deadAt = at
				}
			}
			assert.Equal(t, deadAt, c.deadAt)
		})
	}
}

// TestSilentNeighbours guards against a new neighbour that is reported as silent
// before HeartbeatTimeout.
func TestSilentNeighbours(t *testing.T) {
	d, m := NewDetector(), []Member{{ID: "x"}}
	assert.Equal(t, len(d.Silent(m, testStart)), 0)
	assert.Equal(t, len(d.Silent(m, testStart.Add(HeartbeatTimeout-1))), 0)
	assert.Equal(t, len(d.Silent(m, testStart.Add(HeartbeatTimeout))), 1)
	d.RecordContact("x", testStart.Add(HeartbeatTimeout))
	assert.Equal(t, len(d.Silent(m, testStart.Add(HeartbeatTimeout+time.Second))), 0)
	d.Retain(nil)
	assert.Equal(t, len(d.Silent(m, testStart.Add(time.Hour))), 0)
}

// TestCompactRetention guards against dead entries that are kept forever, or
// dropped so early that a delayed message brings them back.
func TestCompactRetention(t *testing.T) {
	table := NewTable()
	m := Member{ID: "x", Incarnation: 1, Status: StatusDead}
	table.Merge([]Member{m, {ID: "y", Incarnation: 1, Status: StatusAlive}})
	assert.Equal(t, table.Compact(testStart), 0)
	assert.Equal(t, table.Compact(testStart.Add(departedRetention-1)), 0)
	m.Incarnation, m.Status = 2, StatusAlive
	table.Merge([]Member{m}) // the member returned, so its retention starts afresh
	assert.Equal(t, table.Compact(testStart.Add(departedRetention)), 0)
	m.Status = StatusLeft
	table.Merge([]Member{m})
	assert.Equal(t, table.Compact(testStart.Add(departedRetention)), 0)
	assert.Equal(t, table.Compact(testStart.Add(2*departedRetention)), 1)
	assert.Equal(t, len(table.All()), 1)
}

// TestMergeOrderIndependent guards against tables that diverge when entries
// arrive in different orders: each order must give the same table and digest,
// and an older entry must not replace a newer one.
func TestMergeOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entry := rapid.Custom(func(t *rapid.T) Member {
			return Member{
				ID:          rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"),
				Incarnation: rapid.Int64Range(1, 3).Draw(t, "incarnation"),
				Sequence:    rapid.Uint64Range(0, 2).Draw(t, "sequence"),
				Status:      rapid.SampledFrom([]Status{StatusAlive, StatusSuspect, StatusDraining, StatusLeft, StatusDead}).Draw(t, "status"),
			}
		})
		entries := rapid.SliceOfN(entry, 1, 12).Draw(t, "entries")
		one, other := NewTable(), NewTable()
		one.Merge(entries)
		for _, e := range rapid.Permutation(entries).Draw(t, "order") {
			before, had := other.Get(e.ID)
			other.Merge([]Member{e})
			after, _ := other.Get(e.ID)
			assert.Assert(t, !had || !before.Newer(after))
		}
		assert.DeepEqual(t, one.All(), other.All())
		assert.Equal(t, one.Digest(), other.Digest())
	})
}
