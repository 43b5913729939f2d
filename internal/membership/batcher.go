package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// batchersPerStream is two, so that claims continue at once when the first
// batcher does not answer.
const batchersPerStream = 2

// Batchers returns the members with the highest rendezvous hash for a stream
// of claims, highest first. Any member may batch, since the order of the log
// decides; a common choice keeps the number of appends low.
func Batchers(stream string, members []Member) []Member {
	score := func(m Member) uint64 { return xxhash.Sum64String("batcher\x00" + stream + "\x00" + m.ID) }
	var best []Member
	for _, m := range members {
		if !m.Routable() {
			continue
		}
		best = append(best, m)
		slices.SortFunc(best, func(a, b Member) int {
			return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a.ID, b.ID))
		})
		best = best[:min(len(best), batchersPerStream)]
	}
	return best
}
