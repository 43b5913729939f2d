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

// ringSize is how many records a node keeps for neighbours that are a little
// behind. It is half of a day's changes at the design size.
const ringSize = 256

// record is one record of the config stream.
type record struct {
	Offset int64
	Data   []byte
}

// published is what other goroutines see of the fold. It is immutable.
type published struct {
	Folded         profile.State // equal on all nodes at one position
	Applied        profile.State // Folded joined with what was applied before
	TipID          string        // id of the last record folded, "" when unreadable
	CheckpointTime time.Time     // of the newest checkpoint folded
	Anchors        int64         // highest first retained offset at which that checkpoint holds the state
	Whole          bool          // the source keeps whole configurations
	NewSchema      bool          // the next record needs a newer build
	Ring           []record      // records after RingFrom, in order
	RingFrom       int64
}

func (p *published) position() profile.Position { return p.Folded.Position }

// delta returns the records after a position, or false when the ring does not
// reach back to it.
func (p *published) delta(from profile.Position) ([]record, bool) {
	if from.Epoch != p.position().Epoch || from.Offset < p.RingFrom {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(p.Ring, from.Offset+1, func(r record, offset int64) int {
		return int(r.Offset - offset)
	})
	return p.Ring[i:], true
}

// update is one input of the core: either a full state or the records that
// follow a position without a gap.
type update struct {
	full    *peer.FullState
	from    profile.Position
	records []record
	done    chan struct{}
}

// core owns the fold. One goroutine applies updates; all others read the
// published value.
type core struct {
	in        chan update
	published atomic.Pointer[published]
	advanced  *notice // raised when the published value changed
	logger    *slog.Logger
	fold      *profile.StateMachine // owned by run
}

func newCore(logger *slog.Logger) *core {
	return &core{in: make(chan update), advanced: newNotice(), logger: logger}
}

func (c *core) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case u := <-c.in:
			if next := c.apply(u); next != nil {
				c.published.Store(next)
				c.advanced.raise()
			}
			close(u.done)
		}
	}
}

// submit hands an update to the core and waits until it has been applied.
func (c *core) submit(ctx context.Context, u update) {
	u.done = make(chan struct{})
	select {
	case c.in <- u:
	case <-ctx.Done():
		return
	}
	select {
	case <-u.done:
	case <-ctx.Done():
	}
}

// apply returns the next value to publish, or nil when nothing changed.
func (c *core) apply(u update) *published {
	have := c.published.Load()
	if u.full != nil {
		return c.adopt(have, u.full)
	}
	if have == nil || u.from.Epoch != have.position().Epoch || u.from.Offset > have.position().Offset {
		return nil // there would be a gap
	}
	return c.foldOn(have, u.records)
}

// adopt takes over a full state that is newer than the one held.
func (c *core) adopt(have *published, full *peer.FullState) *published {
	checkpoint := full.Checkpoint
	older := profile.State{}
	if have != nil {
		older = have.Applied
	}
	checkpoint, err := checkpoint.Complete(older)
	if err != nil {
		c.logger.Warn("state_incomplete", "error", err)
		return nil
	}
	s := stateOf(checkpoint)
	if have != nil && s.Position.Compare(have.position()) <= 0 {
		return nil // a node that is behind never moves another back
	}
	c.fold = profile.NewStateMachineFrom(s)
	next := &published{Folded: s, Applied: s, TipID: full.LastRecordID, CheckpointTime: full.CheckpointTime, Anchors: full.MaxFirstOffset, RingFrom: s.Position.Offset}
	next.Whole = checkpoint.Whole
	if checkpoint.Whole {
		if err := s.CarryOver(older); err != nil {
			c.logger.Error("state_refused", "position", s.Position.String(), "error", err)
			return nil
		}
		return next
	}
	if have != nil {
		next.Applied = profile.Join(s, have.Applied)
	}
	return next
}

func (c *core) foldOn(have *published, records []record) *published {
	next := *have
	for _, r := range records {
		v := c.fold.Apply(r.Offset, r.Data)
		if v.Outcome == profile.OutcomeOutOfOrder {
			continue // came by another way already
		}
		if v.Outcome == profile.OutcomeNewSchema {
			c.logger.Error("record_needs_newer_build", "offset", r.Offset)
			next.NewSchema = true
			break
		}
		next.note(r)
	}
	if c.fold.State().Position == have.position() && next.NewSchema == have.NewSchema {
		return nil
	}
	next.Folded = c.fold.State()
	next.Applied = profile.Join(next.Folded, have.Applied)
	return &next
}

// note keeps a folded record. The ring is copied on growth and never changed
// in place, since published values share it.
func (p *published) note(r record) {
	head := headOf(r.Data)
	p.TipID = head.ID
	if head.Kind == profile.RecordCheckpoint || head.Kind == profile.RecordGenesis {
		p.CheckpointTime = head.Time
		p.Anchors = head.anchors()
	}
	p.Ring = append(slices.Clip(p.Ring), r)
	if over := len(p.Ring) - ringSize; over > 0 {
		p.RingFrom = p.Ring[over-1].Offset
		p.Ring = p.Ring[over:]
	}
}

// recordHead is the part of a record that does not depend on its schema.
type recordHead struct {
	ID   string             `json:"id"`
	Kind profile.RecordKind `json:"kind"`
	Time time.Time          `json:"time"`

	Checkpoint *struct {
		Through int64 `json:"through"`
	} `json:"checkpoint"`
}

// anchors returns the highest first retained offset at which a genesis record
// or checkpoint leaves no gap.
func (h recordHead) anchors() int64 {
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
	c := profile.CheckpointOf(p.Folded)
	c.Whole = p.Whole
	return peer.FullState{Checkpoint: c, LastRecordID: p.TipID, CheckpointTime: p.CheckpointTime, MaxFirstOffset: p.Anchors}
}
