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
	// appendEvery is the least time between two appends of one partition:
	// 20 a second, so that 16 partitions stay within the log's capacity.
	appendEvery = 50 * time.Millisecond
	// undecidedAfter is how long an append without an answer is looked for.
	undecidedAfter = 5 * time.Second
	// retryOpen is the wait after a failed read or append of the loop's own.
	retryOpen = time.Second
	// defaultQueue bounds the claims and settlements that wait for an append.
	defaultQueue = 1024
	// maxBatch bounds the claims and settlements of one record to about 300 KB.
	maxBatch = 1024
	// keepAliveParts is how many records per retention keep the stream from
	// running empty, since an empty stream covers no keys.
	keepAliveParts = 8
)

// BatcherConfig sets up a Batcher.
type BatcherConfig struct {
	Partition int
	Queue     int              // 0 stands for a default
	Now       func() time.Time // nil stands for time.Now
	NewID     func() string    // nil stands for random UUIDs
}

// Batcher appends claims and settlements of one partition to its stream and
// reads back the order that the log gave them. Any number of batchers may
// serve a partition at once.
type Batcher struct {
	cfg      BatcherConfig
	log      platformlog.Log
	requests chan *request

	// The rest belongs to the goroutine of Run.
	reader     *reader
	waiting    map[string][]*request // appended, by id of the claim
	lastAppend time.Time
}

// request is one claim or settlement on its way.
type request struct {
	ctx    context.Context
	claim  *Claim
	settle *Resolution
	result chan result // holds at most the one result
	since  time.Time   // when it was appended
}

type result struct {
	verdict Verdict
	err     error
}

func (r *request) finish(v Verdict, err error) {
	select {
	case r.result <- result{v, err}:
	default: // decided before
	}
}

// NewBatcher returns a Batcher; it works while Run runs.
func NewBatcher(cfg BatcherConfig, log platformlog.Log) *Batcher {
	if cfg.Queue <= 0 {
		cfg.Queue = defaultQueue
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
		waiting:  make(map[string][]*request),
	}
	b.reader = newReader(cfg.Partition, log, b.decide)
	return b
}

// Claim implements Claimer. A claim that was decided before gets the same
// verdict again.
func (b *Batcher) Claim(ctx context.Context, c Claim) (Verdict, error) {
	if c.Key.Partition() != b.cfg.Partition {
		return Verdict{}, errors.WithStack(ErrWrongPartition)
	}
	return b.submit(&request{ctx: ctx, claim: &c, result: make(chan result, 1)})
}

// Resolve implements Claimer. It returns nil when the settlement is in the log.
func (b *Batcher) Resolve(ctx context.Context, s Resolution) error {
	if s.Key.Partition() != b.cfg.Partition {
		return errors.WithStack(ErrWrongPartition)
	}
	_, err := b.submit(&request{ctx: ctx, settle: &s, result: make(chan result, 1)})
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
	b.open(ctx)
	for {
		first := b.await(ctx)
		if ctx.Err() != nil {
			b.stop()
			return nil
		}
		if first == nil {
			b.idle(ctx)
			continue
		}
		if !wait.For(ctx, b.lastAppend.Add(appendEvery).Sub(b.cfg.Now())) {
			first.finish(Verdict{}, errors.WithStack(ErrUnavailable))
			b.stop()
			return nil
		}
		b.serve(ctx, b.collect(first))
	}
}

// await returns the next request, or nil when there is something else to do:
// to look for appended requests or to keep the stream open.
func (b *Batcher) await(ctx context.Context) *request {
	timer := time.NewTimer(b.idleFor())
	defer timer.Stop()
	select {
	case r := <-b.requests:
		return r
	case <-timer.C:
	case <-ctx.Done():
	}
	return nil
}

func (b *Batcher) idleFor() time.Duration {
	switch {
	case len(b.waiting) > 0:
		return appendEvery
	case !b.ready():
		return retryOpen
	}
	age := b.cfg.Now().Sub(b.reader.fold.now)
	return max(b.reader.fold.retention/keepAliveParts-age, retryOpen)
}

// idle looks for the outcome of appended requests, and appends an empty record
// when the newest one is old.
func (b *Batcher) idle(ctx context.Context) {
	if len(b.waiting) > 0 {
		b.look(ctx)
		return
	}
	b.open(ctx)
}

// open catches up and makes sure that the stream has a recent record: keys
// from before its first record are not covered. A failure is met again by the
// next try.
func (b *Batcher) open(ctx context.Context) {
	if err := b.reader.catchUp(ctx); err != nil {
		return
	}
	f := b.reader.fold
	if f.begun && b.cfg.Now().Sub(f.now) < f.retention/keepAliveParts {
		return
	}
	if b.append(ctx, Record{ID: b.cfg.NewID()}) == nil {
		_ = b.reader.catchUp(ctx)
	}
}

// collect adds the requests that wait by now.
func (b *Batcher) collect(first *request) []*request {
	batch := []*request{first}
	for len(batch) < maxBatch {
		select {
		case r := <-b.requests:
			batch = append(batch, r)
		default:
			return batch
		}
	}
	return batch
}

// serve decides a batch: what the fold knows at once, the rest by an append.
func (b *Batcher) serve(ctx context.Context, batch []*request) {
	if !b.ready() {
		b.open(ctx)
	}
	if !b.ready() {
		finishAll(batch, ErrUnavailable)
		return
	}
	if b.anyHeld(batch) {
		_ = b.reader.catchUp(ctx) // the holder may have released it through another batcher
	}
	batch = b.answerKnown(batch)
	if len(batch) == 0 {
		return
	}
	err := b.append(ctx, b.record(batch))
	if errors.Is(err, platformlog.ErrNotApplied) {
		finishAll(batch, ErrUnavailable)
		return
	}
	b.track(batch, err == nil)
	b.look(ctx)
}

// ready reports whether the fold covers the stream from a first record on.
func (b *Batcher) ready() bool {
	return b.reader.started && b.reader.fold.begun
}

// anyHeld reports whether a claim of the batch is for a key that is claimed.
func (b *Batcher) anyHeld(batch []*request) bool {
	for _, r := range batch {
		if r.claim == nil {
			continue
		}
		if _, known := b.reader.fold.Lookup(*r.claim); known {
			return true
		}
	}
	return false
}

// answerKnown answers what needs no record and returns the others. Requests
// whose callers have gone are dropped, so that they win nothing.
func (b *Batcher) answerKnown(batch []*request) []*request {
	var rest []*request
	for _, r := range batch {
		if r.ctx.Err() != nil {
			continue
		}
		if r.claim != nil {
			if v, known := b.reader.fold.Lookup(*r.claim); known {
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
		rec.Settlements = append(rec.Settlements, *r.settle)
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

// track remembers appended requests until the log shows them. A settlement in
// the log needs nothing more.
func (b *Batcher) track(batch []*request, applied bool) {
	now := b.cfg.Now()
	for _, r := range batch {
		if r.settle != nil && applied {
			r.finish(Verdict{}, nil)
			continue
		}
		r.since = now
		b.waiting[r.id()] = append(b.waiting[r.id()], r)
	}
}

// id returns what a request is looked up by.
func (r *request) id() string {
	if r.claim != nil {
		return "claim " + r.claim.ID
	}
	return "settle " + r.settle.ClaimID
}

// look reads on and gives up requests that have been looked for too long.
func (b *Batcher) look(ctx context.Context) {
	_ = b.reader.catchUp(ctx) // tried again while requests wait
	now := b.cfg.Now()
	for id, requests := range b.waiting {
		rest := requests[:0]
		for _, r := range requests {
			if r.ctx.Err() == nil && now.Sub(r.since) <= undecidedAfter {
				rest = append(rest, r)
				continue
			}
			r.finish(Verdict{}, errors.WithStack(ErrUndecided))
		}
		b.waiting[id] = rest
		if len(rest) == 0 {
			delete(b.waiting, id)
		}
	}
}

// decide answers the requests that a folded record holds.
func (b *Batcher) decide(rec Record, verdicts []Verdict) {
	for i, c := range rec.Claims {
		b.answer("claim "+c.ID, verdicts[i])
	}
	for _, s := range rec.Settlements {
		b.answer("settle "+s.ClaimID, Verdict{})
	}
}

func (b *Batcher) answer(id string, v Verdict) {
	for _, r := range b.waiting[id] {
		r.finish(v, nil)
	}
	delete(b.waiting, id)
}

// stop tells what waits that nothing more will be decided here.
func (b *Batcher) stop() {
	for id, requests := range b.waiting {
		finishAll(requests, ErrUndecided)
		delete(b.waiting, id)
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
