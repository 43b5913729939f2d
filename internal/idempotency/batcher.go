package idempotency

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// minAppendInterval limits a batcher to 20 appends per second, so that 16
	// partitions stay within the log's capacity.
	minAppendInterval = 50 * time.Millisecond
	// undecidedTimeout is how long an appended request may wait until it is read
	// from the stream. An append without an answer may never get there.
	undecidedTimeout = 5 * time.Second
	// maintenanceRetryInterval is the wait after a failed catch-up or keep-alive
	// append.
	maintenanceRetryInterval = time.Second
	// defaultQueueSize bounds the claims and resolutions that wait for an append.
	defaultQueueSize = 1024
	// maxBatchSize bounds the claims and resolutions of one record, which take
	// up to about 300 KB.
	maxBatchSize = 1024
	// keepAlivesPerRetention is how many empty records per retention an idle
	// stream gets, since a stream whose records all expired covers no keys.
	keepAlivesPerRetention = 8
)

// BatcherConfig configures a Batcher.
type BatcherConfig struct {
	Partition int
	Queue     int              // capacity; 0 means defaultQueueSize
	Now       func() time.Time // nil means time.Now
	NewID     func() string    // nil means random UUIDs
}

// Batcher appends claims and resolutions of one partition to its stream in
// batches and reads back their order in the log. Any number of batchers may
// serve a partition concurrently.
type Batcher struct {
	cfg      BatcherConfig
	log      platformlog.Log
	requests chan *request

	// Only the goroutine of Run uses the fields below.
	reader     *reader
	pending    map[string][]*request // appended, by lookupKey
	lastAppend time.Time
}

// request is a claim or a resolution in progress; the other field is nil.
type request struct {
	ctx        context.Context
	claim      *Claim
	resolution *Resolution
	result     chan result // buffered, for a single result
	appendedAt time.Time
}

type result struct {
	verdict Verdict
	err     error
}

func (r *request) finish(v Verdict, err error) {
	select {
	case r.result <- result{v, err}:
	default: // already finished
	}
}

// NewBatcher returns a Batcher. It serves requests while Run runs.
func NewBatcher(cfg BatcherConfig, log platformlog.Log) *Batcher {
	if cfg.Queue <= 0 {
		cfg.Queue = defaultQueueSize
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	b := &Batcher{
		cfg:      cfg,
		log:      log,
		requests: make(chan *request, cfg.Queue),
		pending:  make(map[string][]*request),
	}
	b.reader = newReader(cfg.Partition, log, b.completeApplied)
	return b
}

// Claim implements Claimer. A claim that was decided before is not appended again;
// its verdict has the key's current state.
func (b *Batcher) Claim(ctx context.Context, c Claim) (Verdict, error) {
	if c.Key.Partition() != b.cfg.Partition {
		return Verdict{}, errors.WithStack(ErrWrongPartition)
	}
	return b.submit(&request{ctx: ctx, claim: &c, result: make(chan result, 1)})
}

// Resolve implements Claimer. It returns nil when the resolution is in the log.
func (b *Batcher) Resolve(ctx context.Context, r Resolution) error {
	if r.Key.Partition() != b.cfg.Partition {
		return errors.WithStack(ErrWrongPartition)
	}
	_, err := b.submit(&request{ctx: ctx, resolution: &r, result: make(chan result, 1)})
	return err
}

func (b *Batcher) submit(r *request) (Verdict, error) {
	select {
	case b.requests <- r:
	default:
		return Verdict{}, errors.WithStack(ErrBusy)
	}
	select {
	case out := <-r.result:
		return out.verdict, out.err
	case <-r.ctx.Done():
		return Verdict{}, errors.Wrap(ErrUndecided, r.ctx.Err().Error())
	}
}

// Run serves the partition until ctx ends.
func (b *Batcher) Run(ctx context.Context) error {
	b.ensureCovered(ctx)
	for {
		first := b.nextRequest(ctx)
		if ctx.Err() != nil {
			b.shutdown()
			return nil
		}
		if first == nil {
			b.maintain(ctx)
			continue
		}
		if !wait.For(ctx, b.lastAppend.Add(minAppendInterval).Sub(b.cfg.Now())) {
			first.finish(Verdict{}, errors.WithStack(ErrUnavailable))
			b.shutdown()
			return nil
		}
		b.process(ctx, b.collect(first))
	}
}

// nextRequest returns the next request, or nil if maintain is due or ctx has
// ended.
func (b *Batcher) nextRequest(ctx context.Context) *request {
	timer := time.NewTimer(b.idleTimeout())
	defer timer.Stop()
	select {
	case r := <-b.requests:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

func (b *Batcher) idleTimeout() time.Duration {
	switch {
	case len(b.pending) > 0:
		return minAppendInterval
	case !b.ready():
		return maintenanceRetryInterval
	}
	age := b.cfg.Now().Sub(b.reader.state.logTime)
	return max(b.reader.state.retention/keepAlivesPerRetention-age, maintenanceRetryInterval)
}

// maintain polls the stream for pending requests. Without any it ensures that
// the stream covers new keys.
func (b *Batcher) maintain(ctx context.Context) {
	if len(b.pending) > 0 {
		b.pollPending(ctx)
		return
	}
	b.ensureCovered(ctx)
}

// ensureCovered catches up and appends an empty record if the newest one is
// old, since keys that are older than the first record are not covered. A
// failure is retried by the next call.
func (b *Batcher) ensureCovered(ctx context.Context) {
	if err := b.reader.catchUp(ctx); err != nil {
		return
	}
	state := b.reader.state
	if state.hasRecords && b.cfg.Now().Sub(state.logTime) < state.retention/keepAlivesPerRetention {
		return
	}
	if b.append(ctx, Record{ID: b.cfg.NewID()}) == nil {
		_ = b.reader.catchUp(ctx)
	}
}

// collect adds the queued requests to a batch.
func (b *Batcher) collect(first *request) []*request {
	batch := []*request{first}
	for len(batch) < maxBatchSize {
		select {
		case r := <-b.requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// process answers a batch from the state and appends the rest to the log.
func (b *Batcher) process(ctx context.Context, batch []*request) {
	if !b.ready() {
		b.ensureCovered(ctx)
	}
	if !b.ready() {
		finishAll(batch, ErrUnavailable)
		return
	}
	if b.anyKnown(batch) {
		_ = b.reader.catchUp(ctx) // the holder may have released it through another batcher
	}
	batch = b.answerFromState(batch)
	if len(batch) == 0 {
		return
	}
	err := b.append(ctx, b.record(batch))
	if errors.Is(err, platformlog.ErrNotApplied) {
		finishAll(batch, ErrUnavailable)
		return
	}
	b.track(batch, err == nil)
	b.pollPending(ctx)
}

// ready reports whether the stream was read and has a first record, from whose
// time on it covers keys.
func (b *Batcher) ready() bool {
	return b.reader.started && b.reader.state.hasRecords
}

// anyKnown reports whether the state has a verdict on a claim of the batch, as for
// a key that is held.
func (b *Batcher) anyKnown(batch []*request) bool {
	for _, r := range batch {
		if r.claim == nil {
			continue
		}
		if _, known := b.reader.state.Lookup(*r.claim); known {
			return true
		}
	}
	return false
}

// answerFromState answers the claims that need no record and returns the other
// requests. Requests whose contexts ended are dropped, so that their claims
// cannot win.
func (b *Batcher) answerFromState(batch []*request) []*request {
	var rest []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			continue
		}
		if r.claim != nil {
			if v, known := b.reader.state.Lookup(*r.claim); known {
				r.finish(v, nil)
				continue
			}
		}
		rest = append(rest, r)
	}
	return rest
}

func (b *Batcher) record(batch []*request) Record {
	rec := Record{ID: b.cfg.NewID()}
	for _, r := range batch {
		if r.claim != nil {
			rec.Claims = append(rec.Claims, *r.claim)
			continue
		}
		rec.Resolutions = append(rec.Resolutions, *r.resolution)
	}
	return rec
}

func (b *Batcher) append(ctx context.Context, rec Record) error {
	data, err := encode(rec)
	if err != nil {
		return errors.Mark(err, platformlog.ErrNotApplied)
	}
	b.lastAppend = b.cfg.Now()
	_, err = b.log.Append(ctx, b.reader.stream, data)
	return err
}

// track keeps appended requests pending until they are read from the stream. A
// resolution whose append succeeded is finished at once.
func (b *Batcher) track(batch []*request, applied bool) {
	now := b.cfg.Now()
	for _, r := range batch {
		if r.resolution != nil && applied {
			r.finish(Verdict{}, nil)
			continue
		}
		r.appendedAt = now
		b.pending[r.lookupKey()] = append(b.pending[r.lookupKey()], r)
	}
}

// lookupKey returns the key of a request in Batcher.pending.
func (r *request) lookupKey() string {
	if r.claim != nil {
		return "claim " + r.claim.ID
	}
	return "resolve " + r.resolution.ClaimID
}

// pollPending catches up and fails the pending requests that timed out or whose
// contexts ended.
func (b *Batcher) pollPending(ctx context.Context) {
	_ = b.reader.catchUp(ctx) // retried while requests are pending
	now := b.cfg.Now()
	for id, requests := range b.pending {
		rest := requests[:0]
		for _, r := range requests {
			if r.ctx.Err() == nil && now.Sub(r.appendedAt) <= undecidedTimeout {
				rest = append(rest, r)
				continue
			}
			r.finish(Verdict{}, errors.WithStack(ErrUndecided))
		}
		b.pending[id] = rest
		if len(rest) == 0 {
			delete(b.pending, id)
		}
	}
}

// completeApplied finishes the pending requests of an applied record.
func (b *Batcher) completeApplied(rec Record, verdicts []Verdict) {
	for i, c := range rec.Claims {
		b.complete("claim "+c.ID, verdicts[i])
	}
	for _, r := range rec.Resolutions {
		b.complete("resolve "+r.ClaimID, Verdict{})
	}
}

func (b *Batcher) complete(id string, v Verdict) {
	for _, r := range b.pending[id] {
		r.finish(v, nil)
	}
	delete(b.pending, id)
}

// shutdown fails all pending and queued requests.
func (b *Batcher) shutdown() {
	for id, requests := range b.pending {
		finishAll(requests, ErrUndecided)
		delete(b.pending, id)
	}
	for {
		select {
		case r := <-b.requests:
			r.finish(Verdict{}, errors.WithStack(ErrUnavailable))
		default:
			return
		}
	}
}

func finishAll(batch []*request, err error) {
	for _, r := range batch {
		r.finish(Verdict{}, errors.WithStack(err))
	}
}
