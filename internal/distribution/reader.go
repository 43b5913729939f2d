package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	readBatch = 256
	readWait  = 10 * time.Second // long poll
	// recoverWait is left to the newest state to reach this reader, and to
	// readers of lower rank to write, before it opens an era.
	recoverWait = 2 * time.Second
	// recoverRank separates the readers' attempts by more than one append.
	recoverRank = time.Second
	// recoverAgain separates the attempts of one reader.
	recoverAgain = 30 * time.Second
)

// reader follows the config stream while the node is a reader of its region.
// One goroutine owns it.
type reader struct {
	*Agent
	epoch  string
	verify bool // the next read checks that the log is the one that was folded
	opened time.Time
}

// readConfig follows the config stream while the node has the role.
func (a *Agent) readConfig(ctx context.Context) error {
	r := &reader{Agent: a, verify: true}
	attempt := 0
	for {
		waited, ok := a.awaitRole(ctx)
		if !ok {
			return nil
		}
		r.verify = r.verify || waited
		err := r.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			attempt = 0
			continue
		}
		a.Logger.Warn("log_read_failed", "stream", platformlog.StreamConfig, "error", err)
		r.verify = true
		attempt++
		if !wait.For(ctx, wait.FullJitter(attempt)) {
			return nil
		}
	}
}

// awaitRole waits until the node is a reader. It reports whether it had to
// wait, and false as ok when the context ended.
func (a *Agent) awaitRole(ctx context.Context) (waited, ok bool) {
	select {
	case <-a.found:
	case <-ctx.Done():
		return false, false
	}
	for {
		changed := a.roles.next()
		if a.isReader() {
			return waited, ctx.Err() == nil
		}
		waited = true
		select {
		case <-changed:
		case <-ctx.Done():
			return waited, false
		}
	}
}

func (r *reader) read(ctx context.Context, from int64, wait time.Duration) (platformlog.Batch, error) {
	b, err := r.Log.Read(ctx, platformlog.StreamConfig, from, readBatch, wait)
	if err == nil && b.Retention > 0 {
		r.retention.Store(int64(b.Retention))
	}
	var out *platformlog.RangeError
	switch {
	case err == nil:
		r.noteFirst(b.First)
	case errors.As(err, &out):
		r.noteFirst(out.First)
	}
	return b, err
}

// noteFirst notes the first retained offset. Records may go before the time
// that the service promised, and the newest checkpoint with them.
func (r *reader) noteFirst(first int64) {
	r.logFirst.Store(first)
	if p := r.core.published.Load(); p != nil && first > p.Anchors {
		wake(r.unanchored)
	}
}

// step makes one read and hands what it brought to the core.
func (r *reader) step(ctx context.Context) error {
	p := r.core.published.Load()
	if p == nil {
		return r.anchor(ctx)
	}
	if p.NewSchema {
		wait.Until(ctx, r.core.advanced.next(), readWait)
		return nil
	}
	if r.verify && p.TipID != "" {
		return r.check(ctx, p)
	}
	r.verify = false
	b, err := r.read(ctx, p.position().Offset+1, readWait)
	if err != nil {
		return r.outside(ctx, p, err)
	}
	if r.epoch != "" && b.LogID != r.epoch {
		r.verify = true // only the content tells whether the log is another one
	}
	r.epoch = b.LogID
	if !r.verify {
		r.submit(ctx, p, b.Entries)
	}
	return nil
}

// check reads the last record that was folded again. Another id at its
// offset means that the log was replaced.
func (r *reader) check(ctx context.Context, p *published) error {
	b, err := r.read(ctx, p.position().Offset, 0)
	if err != nil {
		return r.outside(ctx, p, err)
	}
	r.verify, r.epoch = false, b.LogID
	if len(b.Entries) == 0 || headOf(b.Entries[0].Data).ID != p.TipID {
		return r.recover(ctx, p)
	}
	r.submit(ctx, p, b.Entries)
	return nil
}

func (r *reader) submit(ctx context.Context, p *published, entries []platformlog.Entry) {
	if len(entries) == 0 {
		return
	}
	u := update{from: p.position()}
	for _, e := range entries {
		u.records = append(u.records, record{Offset: e.Offset, Data: e.Data})
	}
	r.core.submit(ctx, u)
}

// outside handles a read that failed.
func (r *reader) outside(ctx context.Context, p *published, err error) error {
	var out *platformlog.RangeError
	if !errors.As(err, &out) {
		return err
	}
	next := p.position().Offset + 1
	if out.First <= next && next <= out.Next {
		r.verify = false // only the record to check is expired; nothing was missed
		return nil
	}
	r.Logger.Warn("log_range", "from", out.From, "first", out.First, "next", out.Next)
	return r.recover(ctx, p)
}

// scan is the outcome of reading the log from its first retained record.
type scan struct {
	fold *profile.StateMachine
	seen published // what the records told beside the state
}

// scanLog folds the log from its first retained record to its end.
func (r *reader) scanLog(ctx context.Context) (*scan, error) {
	first, err := r.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	s := &scan{fold: profile.NewStateMachine(first)}
	for {
		b, err := r.read(ctx, s.fold.Next(), 0)
		if err != nil {
			return nil, err
		}
		r.epoch = b.LogID
		if s.take(b.Entries) || len(b.Entries) == 0 {
			return s, nil
		}
	}
}

// take folds records and reports whether one needs a newer build.
func (s *scan) take(entries []platformlog.Entry) bool {
	for _, e := range entries {
		if s.fold.Apply(e.Offset, e.Data).Outcome == profile.OutcomeNewSchema {
			return true
		}
		s.seen.note(record{Offset: e.Offset, Data: e.Data})
	}
	return false
}

func (r *reader) firstOffset(ctx context.Context) (int64, error) {
	b, err := r.read(ctx, 0, 0)
	var out *platformlog.RangeError
	if errors.As(err, &out) {
		return out.First, nil
	}
	return b.First, err
}

// anchor gives a node without a state the state of the log. When the log has
// none it waits for the next record, or for a neighbour's state.
func (r *reader) anchor(ctx context.Context) error {
	s, err := r.scanLog(ctx)
	if err != nil {
		return err
	}
	if s.fold.Anchored() {
		r.adopt(ctx, s)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	advanced := r.core.advanced.next()
	r.tasks.run(func() {
		select {
		case <-advanced:
			cancel()
		case <-ctx.Done():
		}
	})
	_, err = r.read(ctx, s.fold.Next(), readWait)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (r *reader) adopt(ctx context.Context, s *scan) {
	s.seen.Folded = s.fold.State()
	full := fullOf(&s.seen)
	r.core.submit(ctx, update{full: &full})
}

// recover gives the node a place in a log that does not hold its last record
// any more: behind the newest checkpoint when there is one, else in a new era.
func (r *reader) recover(ctx context.Context, p *published) error {
	if done, err := r.follow(ctx); done || err != nil {
		return err
	}
	delay := recoverWait + time.Duration(r.topology.Load().Rank(r.Self))*recoverRank + rand.N(recoverRank)
	delay = max(delay, time.Until(r.opened.Add(recoverAgain)))
	r.Logger.Warn("log_lost", "position", p.position().String(), "wait", delay)
	if !wait.For(ctx, delay) {
		return nil
	}
	if own, _ := r.Position(); own != p.position() {
		r.verify = true // a neighbour brought a state that may stand in the log
		return nil
	}
	if done, err := r.follow(ctx); done || err != nil {
		return err
	}
	r.opened = time.Now()
	return r.openEra(ctx, p)
}

// follow adopts the log's state when it is newer than the own one.
func (r *reader) follow(ctx context.Context) (bool, error) {
	s, err := r.scanLog(ctx)
	if err != nil {
		return false, err
	}
	own, _ := r.Position()
	if !s.fold.Anchored() || s.fold.State().Position.Compare(own) <= 0 {
		return false, nil
	}
	r.adopt(ctx, s)
	return true, nil
}

// openEra writes the state from before the loss into the log. Two readers may
// do so; the checkpoints are of one era and join. A state that a neighbour has
// brought meanwhile may already be of the next era and must not open another.
func (r *reader) openEra(ctx context.Context, p *published) error {
	if own, _ := r.Position(); own != p.position() {
		r.verify = true
		return nil
	}
	c := profile.CheckpointOf(p.Applied)
	c.Epoch++
	c.Through = profile.NoOffset
	r.Logger.Warn("era_opened", "era", c.Epoch)
	return r.appendCheckpoint(ctx, c)
}
