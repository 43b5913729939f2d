package distribution

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
)

// TestProofAgesOnItsWay guards against a proof that is passed around between slow
// nodes and counts as newer each time, so that no node reads the log or source.
func TestProofAgesOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newTestAgent(t)
		a.Table.Merge([]membership.Member{{ID: "reader", Incarnation: 5}})
		held, _ := a.Position()
		age := func() time.Duration {
			age, known := a.ConfigAge()
			assert.Assert(t, known)
			return age.Truncate(time.Millisecond)
		}
		proof := peer.Proof{Origin: "reader", Incarnation: 5, Sequence: 7, AgeMs: 10}
		a.recordProof("n1", held, proof)
		assert.Equal(t, age(), 10*time.Millisecond)
		time.Sleep(time.Second)
		for _, c := range []struct {
			name  string
			proof peer.Proof
			want  time.Duration
		}{
			{"the same proof, late on another path", proof, 1010 * time.Millisecond},
			{"an earlier proof", peer.Proof{Origin: "reader", Incarnation: 5, Sequence: 6, AgeMs: 10}, 1010 * time.Millisecond},
			{"a proof of an earlier start", peer.Proof{Origin: "reader", Incarnation: 4, Sequence: 9, AgeMs: 10}, 1010 * time.Millisecond},
			{"a proof of this node", peer.Proof{Origin: a.Self.ID, Sequence: 9, AgeMs: 10}, 1010 * time.Millisecond},
			{"a proof of an unknown node", peer.Proof{Origin: "other", Sequence: 9, AgeMs: 10}, 1010 * time.Millisecond},
			{"a proof from the future", peer.Proof{Origin: "reader", Incarnation: 5, Sequence: 8, AgeMs: -10}, 1010 * time.Millisecond},
			{"a proof whose age overflows", peer.Proof{Origin: "reader", Incarnation: 5, Sequence: 8, AgeMs: math.MaxInt64}, 1010 * time.Millisecond},
			{"the next proof", peer.Proof{Origin: "reader", Incarnation: 5, Sequence: 8, AgeMs: 10}, 10 * time.Millisecond},
		} {
			a.recordProof("n2", held, c.proof)
			assert.Equal(t, age(), c.want, c.name)
		}
		at := a.newestSource.Load().at
		a.recordSourceAge(held, new(int64), at.Add(-time.Second))
		assert.Equal(t, age(), 10*time.Millisecond, "the time of a request that was sent earlier")
		overflow := int64(math.MaxInt64)
		a.recordSourceAge(held, &overflow, time.Now())
		assert.Equal(t, age(), 10*time.Millisecond, "an age that overflows")
	})
}
