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
	readBatch = 256              // records
	readWait  = 10 * time.Second // long poll
	// recoverDelay gives the newest state time to reach this reader before it
	// opens an epoch.
	recoverDelay = 2 * time.Second
	// recoverRankDelay is the delay per reader rank. It is longer than an append
	// usually takes, so that usually one reader opens the epoch.
	recoverRankDelay = time.Second
	// recoverInterval is the minimum time between two epochs opened by one reader.
	recoverInterval = 30 * time.Second
)

// reader reads the config stream while the node is a reader of its region. Only
// one goroutine uses it.
type reader struct {
	*Agent
	logID         string
	verify        bool // the next read checks that the log was not replaced
	epochOpenedAt time.Time
}

// readConfig reads the config stream while the node is a reader.
func (a *Agent) readConfig(ctx context.Context) error {
	r := &reader{Agent: a, verify: true}
	attempt := 0
	for {
		waited, ok := a.awaitReaderRole(ctx)
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

// awaitReaderRole waits until the node is a reader. It reports whether it had to
// wait; ok is false when the context has ended.
func (a *Agent) awaitReaderRole(ctx context.Context) (waited, ok bool) {
	select {
	case <-a.peersSearched:
	case <-ctx.Done():
		return false, false
	}
	for {
		changed := a.topologyChanged.next()
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
		r.setFirstRetained(b.First)
	case errors.As(err, &out):
		r.setFirstRetained(out.First)
	}
	return b, err
}

// setFirstRetained records the first retained offset. The log may drop records
// before the end of its stated retention, and the newest checkpoint with them.
func (r *reader) setFirstRetained(first int64) {
	r.firstRetained.Store(first)
	if p := r.replica.published.Load(); p != nil && first > p.MaxFirstOffset {
		wake(r.checkpointLost)
	}
}

// step makes one read and submits the records to the replica.
func (r *reader) step(ctx context.Context) error {
	p := r.replica.published.Load()
	if p == nil {
		return r.loadLog(ctx)
	}
	if p.NeedsNewerBuild {
		wait.Until(ctx, r.replica.changed.next(), readWait)
		return nil
	}
	if r.verify && p.LastRecordID != "" {
		return r.verifyTip(ctx, p)
	}
	r.verify = false
	sent := time.Now()
	b, err := r.read(ctx, p.position().Offset+1, readWait)
	if err != nil {
		return r.handleReadError(ctx, p, err)
	}
	if r.logID != "" && b.LogID != r.logID {
		r.verify = true // only the content shows whether the log was replaced
	}
	r.logID = b.LogID
	if !r.verify {
		r.submitRecords(ctx, p, b.Entries)
		r.recordLogEnd(b.Entries, proofTime(sent, readWait, len(b.Entries) == 0))
	}
	return nil
}

// verifyTip rereads the last applied record and submits those after it. If there
// is no record or another id at its offset, the log was replaced.
func (r *reader) verifyTip(ctx context.Context, p *published) error {
	b, err := r.read(ctx, p.position().Offset, 0)
	if err != nil {
		return r.handleReadError(ctx, p, err)
	}
	r.verify, r.logID = false, b.LogID
	if len(b.Entries) == 0 || headOf(b.Entries[0].Data).ID != p.LastRecordID {
		return r.recoverPosition(ctx, p)
	}
	r.submitRecords(ctx, p, b.Entries)
	return nil
}

// submitRecords submits the records that follow a published position.
func (a *Agent) submitRecords(ctx context.Context, p *published, entries []platformlog.Entry) {
	if len(entries) == 0 {
		return
	}
	u := update{from: p.position()}
	for _, e := range entries {
		u.records = append(u.records, record{Offset: e.Offset, Data: e.Data})
	}
	a.replica.submit(ctx, u)
}

// recordLogEnd records that the node's position is the end of the log, unless
// there may be records after the ones that were read.
func (a *Agent) recordLogEnd(read []platformlog.Entry, at time.Time) {
	if p, ok := a.Position(); ok && len(read) < readBatch {
		a.recordSourcePosition(p, at)
	}
}

// handleReadError handles a read that failed with *RangeError, and returns other
// errors.
func (r *reader) handleReadError(ctx context.Context, p *published, err error) error {
	var out *platformlog.RangeError
	if !errors.As(err, &out) {
		return err
	}
	next := p.position().Offset + 1
	if out.First <= next && next <= out.Next {
		r.verify = false // only the record to check has expired; no record was missed
		return nil
	}
	r.Logger.Warn("log_range", "from", out.From, "first", out.First, "next", out.Next)
	return r.recoverPosition(ctx, p)
}

// scan is the outcome of reading the log from its first retained record.
type scan struct {
	machine   *profile.StateMachine
	published published // last record, checkpoint and ring of the records read
}

// scanLog applies the log from its first retained record to its end.
func (r *reader) scanLog(ctx context.Context) (*scan, error) {
	first, err := r.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	s := &scan{machine: profile.NewStateMachine(first)}
	for {
		b, err := r.read(ctx, s.machine.Next(), 0)
		if err != nil {
			return nil, err
		}
		r.logID = b.LogID
		if s.apply(b.Entries) || len(b.Entries) == 0 {
			return s, nil
		}
	}
}

// apply applies records and reports whether one needs a newer build.
func (s *scan) apply(entries []platformlog.Entry) bool {
	for _, e := range entries {
		if s.machine.Apply(e.Offset, e.Data).Outcome == profile.OutcomeNeedsNewerBuild {
			return true
		}
		s.published.recordApplied(record{Offset: e.Offset, Data: e.Data})
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

// loadLog loads the state of the log on a node that has none. If the log has
// none either, it waits for the next record or for a neighbour's state.
func (r *reader) loadLog(ctx context.Context) error {
	s, err := r.scanLog(ctx)
	if err != nil {
		return err
	}
	if s.machine.Anchored() {
		r.submitScan(ctx, s)
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	changed := r.replica.changed.next()
	r.tasks.Go(func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	})
	_, err = r.read(ctx, s.machine.Next(), readWait)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

func (r *reader) submitScan(ctx context.Context, s *scan) {
	s.published.Replicated = s.machine.State()
	full := fullOf(&s.published)
	r.replica.submit(ctx, update{full: &full})
}

// recoverPosition finds a new position for a node whose last record the log no
// longer holds: that of the log's state if it is newer than the node's, else one
// in a new epoch.
func (r *reader) recoverPosition(ctx context.Context, p *published) error {
	if done, err := r.adoptNewerLog(ctx); done || err != nil {
		return err
	}
	delay := recoverDelay + time.Duration(r.topology.Load().Rank(r.Self))*recoverRankDelay + rand.N(recoverRankDelay)
	delay = max(delay, time.Until(r.epochOpenedAt.Add(recoverInterval)))
	r.Logger.Warn("log_lost", "position", p.position().String(), "wait", delay)
	if !wait.For(ctx, delay) {
		return nil
	}
	if own, _ := r.Position(); own != p.position() {
		r.verify = true // a neighbour sent a state that may be in the log
		return nil
	}
	if done, err := r.adoptNewerLog(ctx); done || err != nil {
		return err
	}
	r.epochOpenedAt = time.Now()
	return r.openEpoch(ctx, p)
}

// adoptNewerLog adopts the log's state if it is newer than the node's.
func (r *reader) adoptNewerLog(ctx context.Context) (bool, error) {
	s, err := r.scanLog(ctx)
	if err != nil {
		return false, err
	}
	own, _ := r.Position()
	if !s.machine.Anchored() || s.machine.State().Position.Compare(own) <= 0 {
		return false, nil
	}
	r.submitScan(ctx, s)
	return true, nil
}

// openEpoch writes the state from before the loss to the log. If two readers do
// so, their checkpoints have the same epoch and are merged. A state received
// from a neighbour meanwhile may already be of the next epoch and must not open
// another.
func (r *reader) openEpoch(ctx context.Context, p *published) error {
	if own, _ := r.Position(); own != p.position() {
		r.verify = true
		return nil
	}
	c := profile.CheckpointOf(p.Effective)
	c.Epoch++
	c.Through = profile.NoOffset
	r.Logger.Warn("era_opened", "era", c.Epoch)
	return r.appendCheckpoint(ctx, c)
}
