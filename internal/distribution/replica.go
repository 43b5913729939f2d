package distribution

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// ringSize is how many records a node keeps for neighbours that lag slightly
// behind, half of a day's changes at the size the system is designed for.
const ringSize = 256

// record is one record of the config stream.
type record struct {
	Offset int64
	Data   []byte
}

// published is the immutable view of the state for other goroutines.
type published struct {
	Replicated      profile.State // state of the log or source; equal on all nodes at one position
	Effective       profile.State // state in effect: Replicated merged with what was in effect before
	LastRecordID    string        // id of the last applied record, "" if unreadable
	CheckpointTime  time.Time     // of the newest applied checkpoint
	MaxFirstOffset  int64         // highest first retained offset of the log at which that checkpoint still gives the full state
	FromSource      bool          // the state came from a Source
	NeedsNewerBuild bool          // the next record needs a newer build
	Ring            []record      // records after RingStart, in order
	RingStart       int64
}

func (p *published) position() profile.Position { return p.Replicated.Position }

// delta returns the records after a position, or false if the ring does not
// reach back to it.
func (p *published) delta(from profile.Position) ([]record, bool) {
	if from.Epoch != p.position().Epoch || from.Offset < p.RingStart {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(p.Ring, from.Offset+1, func(r record, offset int64) int {
		return int(r.Offset - offset)
	})
	return p.Ring[i:], true
}

// update is one input of the replica: either a full state or the records that
// follow a position without a gap.
type update struct {
	full    *peer.FullState
	from    profile.Position
	records []record
	done    chan struct{}
}

// replica owns the node's copy of the replicated state. The run loop applies
// updates; other goroutines read the published value.
type replica struct {
	updates   chan update
	published atomic.Pointer[published]
	changed   *broadcast // notified when the published value changes
	logger    *slog.Logger
	machine   *profile.StateMachine // owned by run
}

func newReplica(logger *slog.Logger) *replica {
	return &replica{updates: make(chan update), changed: newBroadcast(), logger: logger}
}

func (r *replica) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-r.updates:
			if next := r.apply(u); next != nil {
				r.published.Store(next)
				r.changed.notify()
			}
			close(u.done)
		}
	}
}

// submit passes an update to run and waits until it has been applied.
func (r *replica) submit(ctx context.Context, u update) {
	u.done = make(chan struct{})
	select {
	case r.updates <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.done:
	case <-ctx.Done():
	}
}

// apply returns the next value to publish, or nil if nothing changed.
func (r *replica) apply(u update) *published {
	have := r.published.Load()
	if u.full != nil {
		return r.applyFull(have, u.full)
	}
	if have == nil || u.from.Epoch != have.position().Epoch || u.from.Offset > have.position().Offset {
		return nil // applying them would leave a gap
	}
	return r.applyRecords(have, u.records)
}

// applyFull replaces the state with a full state if that is newer.
func (r *replica) applyFull(have *published, full *peer.FullState) *published {
	checkpoint := full.Checkpoint
	older := profile.State{}
	if have != nil {
		older = have.Effective
	}
	checkpoint, err := checkpoint.Complete(older)
	if err != nil {
		r.logger.Warn("state_incomplete", "error", err)
		return nil
	}
	s := stateOf(checkpoint)
	if have != nil && s.Position.Compare(have.position()) <= 0 {
		return nil // a node that lags behind must not move this one back
	}
	next := &published{Replicated: s, Effective: s, LastRecordID: full.LastRecordID, CheckpointTime: full.CheckpointTime, MaxFirstOffset: full.MaxFirstOffset, RingStart: s.Position.Offset}
	next.FromSource = checkpoint.FromSource
	if checkpoint.FromSource {
		if err := s.CarryOver(older); err != nil {
			r.logger.Error("state_refused", "position", s.Position.String(), "error", err)
			return nil
		}
		r.machine = profile.NewStateMachineFrom(s)
		return next
	}
	r.machine = profile.NewStateMachineFrom(s)
	if have != nil {
		next.Effective = profile.Merge(s, have.Effective)
	}
	return next
}

func (r *replica) applyRecords(have *published, records []record) *published {
	next := *have
	for _, rec := range records {
		v := r.machine.Apply(rec.Offset, rec.Data)
		if v.Outcome == profile.OutcomeOutOfOrder {
			continue // already received from another node
		}
		if v.Outcome == profile.OutcomeNeedsNewerBuild {
			r.logger.Error("record_needs_newer_build", "offset", rec.Offset)
			next.NeedsNewerBuild = true
			break
		}
		next.recordApplied(rec)
	}
	if r.machine.State().Position == have.position() && next.NeedsNewerBuild == have.NeedsNewerBuild {
		return nil
	}
	next.Replicated = r.machine.State()
	next.Effective = profile.Merge(next.Replicated, have.Effective)
	return &next
}

// recordApplied updates the view for an applied record. The ring is copied on
// growth and never changed in place, since published values share it.
func (p *published) recordApplied(r record) {
	head := headOf(r.Data)
	p.LastRecordID = head.ID
	if head.Kind == profile.RecordCheckpoint || head.Kind == profile.RecordGenesis {
		p.CheckpointTime = head.Time
		p.MaxFirstOffset = head.maxFirstOffset()
	}
	p.Ring = append(slices.Clip(p.Ring), r)
	if over := len(p.Ring) - ringSize; over > 0 {
		p.RingStart = p.Ring[over-1].Offset
		p.Ring = p.Ring[over:]
	}
}

// recordHead holds the fields of a record that do not depend on its schema.
type recordHead struct {
	ID   string             `json:"id"`
	Kind profile.RecordKind `json:"kind"`
	Time time.Time          `json:"time"`

	Checkpoint *struct {
		Through int64 `json:"through"`
	} `json:"checkpoint"`
}

// maxFirstOffset returns the highest first retained offset of the log at which a
// genesis record or checkpoint leaves no gap.
func (h recordHead) maxFirstOffset() int64 {
	if h.Checkpoint == nil {
		return 0
	}
	return h.Checkpoint.Through + 1
}

func headOf(data []byte) recordHead {
	var h recordHead
	if json.Unmarshal(data, &h) != nil {
		return recordHead{}
	}
	return h
}

func stateOf(c *profile.Checkpoint) profile.State {
	s := profile.State{
		Position: profile.Position{Epoch: c.Epoch, Offset: c.Through},
		Entries:  make(map[profile.Key]profile.Entry, len(c.Entries)),
		Refused:  c.Refused, Recent: c.Recent, Limits: c.Limits,
	}
	for _, e := range c.Entries {
		s.Entries[e.Key] = e
	}
	return s
}

func fullOf(p *published) peer.FullState {
	c := profile.CheckpointOf(p.Replicated)
	c.FromSource = p.FromSource
	return peer.FullState{Checkpoint: c, LastRecordID: p.LastRecordID, CheckpointTime: p.CheckpointTime, MaxFirstOffset: p.MaxFirstOffset}
}
