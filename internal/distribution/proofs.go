package distribution

import (
	"context"
	"math"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// proofRelayJitter is the time in which a node collects proofs before it passes
// the newest one on, to those neighbours that have not sent it.
const proofRelayJitter = 20 * time.Millisecond

// sourceView records that a position was the newest of the log or source at some
// time, and the proof by which other nodes are told of it.
type sourceView struct {
	position profile.Position
	at       time.Time
	proof    peer.Proof
}

// newerThan reports whether a view replaces another one. A higher position
// always does, regardless of its age.
func (v sourceView) newerThan(have *sourceView) bool {
	if have == nil {
		return true
	}
	if c := v.position.Compare(have.position); c != 0 {
		return c > 0
	}
	return v.at.After(have.at)
}

// recordSourcePosition records what the node itself found to be the newest
// position of the log or source, with a proof of its own.
func (a *Agent) recordSourcePosition(p profile.Position, at time.Time) {
	proof := peer.Proof{Origin: a.Self.ID, Incarnation: a.Self.Incarnation, Sequence: a.proofSequence.Add(1)}
	a.recordView(&sourceView{position: p, at: at, proof: proof})
}

// recordProof records a proof that another node passed on, unless the node has
// seen it or a later one of its origin.
func (a *Agent) recordProof(from string, p profile.Position, proof peer.Proof) {
	_, known := a.Table.Get(proof.Origin)
	age, ok := ageOf(proof.AgeMs)
	if !known || !ok || proof.Origin == a.Self.ID {
		return
	}
	at := time.Now().Add(-age)
	a.peerProofs.Set(from, at)
	unseen := false
	a.seenProofs.Update(proof.Origin, func(last peer.Proof, ok bool) (peer.Proof, bool) {
		if unseen = !ok || proof.NewerThan(last); unseen {
			return proof, true
		}
		return last, true
	})
	if unseen {
		a.recordView(&sourceView{position: p, at: at, proof: proof})
	}
}

func (a *Agent) recordView(next *sourceView) {
	for have := a.newestSource.Load(); next.newerThan(have); have = a.newestSource.Load() {
		if a.newestSource.CompareAndSwap(have, next) {
			break
		}
	}
	a.updateVerified()
}

// updateVerified records that the node's configuration is the newest one known
// of the log or source, if it is.
func (a *Agent) updateVerified() {
	view := a.newestSource.Load()
	own, held := a.Position()
	if view == nil || !held || own.Compare(view.position) < 0 {
		return
	}
	for {
		have := a.verified.Load()
		if have != nil && !view.at.After(have.at) {
			return
		}
		if a.verified.CompareAndSwap(have, view) {
			wake(a.proofDue)
			return
		}
	}
}

// pruneProofs drops what is known of proofs of nodes that are no members any more.
func (a *Agent) pruneProofs() {
	members := map[string]bool{}
	for _, m := range a.Table.All() {
		members[m.ID] = true
	}
	a.seenProofs.DeleteFunc(func(id string, _ peer.Proof) bool { return !members[id] })
	a.peerProofs.DeleteFunc(func(id string, _ time.Time) bool { return !members[id] })
}

// ConfigAge returns how long ago the node last knew that its configuration was
// the newest one of the log or source. It returns false if it never knew.
func (a *Agent) ConfigAge() (time.Duration, bool) {
	v := a.verified.Load()
	if v == nil {
		return 0, false
	}
	return time.Since(v.at), true
}

// recordSourceAge records the source age that a node reported with a position, in
// the answer to a request sent at a time.
func (a *Agent) recordSourceAge(p profile.Position, ageMs *int64, sent time.Time) {
	if ageMs == nil {
		return
	}
	if age, ok := ageOf(*ageMs); ok {
		a.recordSourcePosition(p, sent.Add(-age))
	}
}

// ageOf converts an age that another node has sent. It returns false for one that
// is negative or so high that it would overflow.
func ageOf(ms int64) (time.Duration, bool) {
	if ms < 0 || ms > math.MaxInt64/int64(time.Millisecond) {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, true
}

// sourceAge returns how long ago a position was the newest of the log or source,
// in ms, or nil if that is not known.
func (a *Agent) sourceAge(p profile.Position) *int64 {
	proof := a.proofOf(p)
	if proof == nil {
		return nil
	}
	return &proof.AgeMs
}

// proofOf returns the newest proof that a position is the newest one, or nil.
func (a *Agent) proofOf(p profile.Position) *peer.Proof {
	view := a.newestSource.Load()
	if view == nil || p.Compare(view.position) < 0 {
		return nil
	}
	proof := view.proof
	// Rounding up keeps a proof from getting younger on its way.
	proof.AgeMs = time.Since(view.at).Milliseconds() + 1
	return &proof
}

// relayProofs passes each newer proof on to the linked nodes. A position that a
// node has reached is announced at once; this shows those that have reached it
// too that there is no newer one.
func (a *Agent) relayProofs(ctx context.Context) error {
	var relayed time.Time
	for {
		select {
		case <-a.proofDue:
		case <-ctx.Done():
			return nil
		}
		if !wait.For(ctx, rand.N(proofRelayJitter)) {
			return nil
		}
		v := a.verified.Load()
		if v.at.Sub(relayed) < a.percentOfBound(proofStepPercent) {
			continue
		}
		relayed = v.at
		a.relayProof(ctx, v.at)
	}
}

// relayProof announces the node's position with its proof to the linked nodes
// that have not sent one as new.
func (a *Agent) relayProof(ctx context.Context, at time.Time) {
	position, held := a.Position()
	if !held {
		return
	}
	step := a.percentOfBound(proofStepPercent)
	for _, m := range a.LinkedNodes() {
		if have, ok := a.peerProofs.Get(m.ID); ok && at.Sub(have) < step {
			continue
		}
		a.startUnlessRunning("proof", m.ID, func() { a.sendAnnouncement(ctx, m, position) })
	}
}
