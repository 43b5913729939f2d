package distribution

import (
	"context"
	"sync/atomic"
)

// Era numbers the histories of the platform's store. It rises when the store comes
// back from a copy that lacks its last records: their offsets are then given out
// again. A store that names none is in era 0.
type Era uint64

// Cursor is a place in a stream of the store. An offset means something only in
// the era in which it was given out. The zero value starts with the newest records.
type Cursor struct {
	Known  bool // false in the zero value
	Era    Era
	Offset int64 // to read next
}

// Resumes reports whether a read in an era may continue at the cursor, and whether
// an answer of that era to a read at the cursor may be used. In a later era, other
// records may stand before the offset.
func (c Cursor) Resumes(e Era) bool { return c.Known && c.Era == e }

// Later returns the later of two cursors. One of a later era always is.
func (c Cursor) Later(o Cursor) Cursor {
	switch {
	case !c.Known || o.Known && o.Era > c.Era:
		return o
	case !o.Known || o.Era < c.Era || o.Offset < c.Offset:
		return c
	}
	return o
}

// eraState is what Eras knows.
type eraState struct {
	era      Era
	restores int64 // how often a known era rose since the start
}

// Eras tracks the newest era of the store that the node knows of, from answers of
// the store and from other nodes. All streams of the store share one, so that an
// answer on any of them makes every stream start again.
type Eras struct {
	state   atomic.Pointer[eraState] // nil until an era is known
	changed *broadcast               // notified when the era rises
}

// NewEras returns an Eras that knows no era.
func NewEras() *Eras { return &Eras{changed: newBroadcast()} }

// Observe records the era of an answer of the store. It returns false for an
// answer of an earlier era, which arrived late and must not be used.
func (e *Eras) Observe(era Era) bool {
	for {
		have := e.state.Load()
		if have != nil && era <= have.era {
			return era == have.era
		}
		next := &eraState{era: era}
		if have != nil {
			next.restores = have.restores + 1
		}
		if !e.state.CompareAndSwap(have, next) {
			continue
		}
		if have != nil {
			e.changed.notify()
		}
		return true
	}
}

// observePeer records the era that another node reported, 0 if it knows none.
func (e *Eras) observePeer(era Era) {
	if era > 0 {
		e.Observe(era)
	}
}

// Current returns the newest known era, 0 if none is known.
func (e *Eras) Current() Era {
	if s := e.state.Load(); s != nil {
		return s.era
	}
	return 0
}

// Restores returns how often the era rose since the start. The first era that is
// known does not count: nothing was read or written before.
func (e *Eras) Restores() int64 {
	if s := e.state.Load(); s != nil {
		return s.restores
	}
	return 0
}

// Changed returns a channel that is closed when the era next rises. What was read
// from the store, written to it or is a condition of a write belongs to the era in
// which it was, and has to be read or written again.
func (e *Eras) Changed() <-chan struct{} { return e.changed.next() }

// inOneEra calls read, whose context ends when the era rises. It calls it again if
// it failed and the era had risen: a long poll of the earlier era may wait for an
// offset that the store does not have any more, and its failure is no outage.
func (e *Eras) inOneEra(ctx context.Context, read func(ctx context.Context, again bool) error) error {
	for again := false; ; again = true {
		changed, restores := e.Changed(), e.Restores()
		eraCtx, cancel := context.WithCancel(ctx)
		go func() {
			select {
			case <-changed:
				cancel()
			case <-eraCtx.Done():
			}
		}()
		err := read(eraCtx, again)
		cancel()
		if err == nil || ctx.Err() != nil || e.Restores() == restores {
			return err
		}
	}
}
