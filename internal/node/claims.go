package node

import (
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// assignEvery is how often the batchers are reviewed. They are chosen anew
	// only when the members changed, since that takes 3 ms at 870 members.
	assignEvery = time.Second
	// batcherIdle is how long a batcher that is not this node's to run goes on
	// after its last request. Starting one reads its stream from the start.
	batcherIdle = time.Minute
	// avoidFailed is how long a batcher that did not answer is passed over,
	// the time in which the members notice a death.
	avoidFailed = 5 * time.Second
	// claimLimit bounds a claim that another node sent.
	claimLimit = 5 * time.Second
)

// claimers finds the way to the batcher of each partition: on this node, or
// on the node that the members agree on. Any node may batch claims, since the
// order of the log decides.
type claimers struct {
	self  string
	log   platformlog.Log
	table *membership.Table
	pool  *peer.Pool
	// digest tells the members from those of the last review.
	digest   func() uint64
	reviewed uint64 // digest of the last review; only review uses it

	assigned atomic.Pointer[[idempotency.Partitions][]membership.Member]
	local    *shard.Map[*localBatcher] // by stream
	failed   *shard.Map[time.Time]     // by node: when it last did not answer
	start    chan *localBatcher
}

// localBatcher is a batcher that runs on this node.
type localBatcher struct {
	*idempotency.Batcher
	partition int
	used      atomic.Int64 // Unix time of the last request in ns
	stop      chan struct{}
	stopOnce  sync.Once
}

func newClaimers(self string, log platformlog.Log, table *membership.Table, pool *peer.Pool, digest func() uint64) *claimers {
	c := &claimers{
		self: self, log: log, table: table, pool: pool, digest: digest,
		local:  shard.NewMap[*localBatcher](idempotency.Partitions),
		failed: shard.NewMap[time.Time](shard.DefaultCount),
		start:  make(chan *localBatcher),
	}
	c.assign()
	return c
}

// assign chooses the batchers of every partition.
func (c *claimers) assign() {
	members := c.table.All()
	var all [idempotency.Partitions][]membership.Member
	for p := range all {
		all[p] = membership.Batchers(idempotency.Stream(p), members)
	}
	c.assigned.Store(&all)
}

// reach returns the way to the batcher of a partition.
func (c *claimers) reach(partition int) (idempotency.Claimer, error) {
	if partition < 0 || partition >= idempotency.Partitions {
		return nil, errors.Mark(errors.Newf("there is no partition %d", partition), idempotency.ErrWrongPartition)
	}
	for _, m := range c.assigned.Load()[partition] {
		if m.ID == c.self {
			break
		}
		if at, ok := c.failed.Get(m.ID); ok && time.Since(at) < avoidFailed {
			continue
		}
		return &remoteBatcher{claimers: c, member: m}, nil
	}
	return c.batcher(partition), nil
}

// batcher returns the batcher of a partition on this node and starts it when
// there is none.
func (c *claimers) batcher(partition int) *localBatcher {
	var out *localBatcher
	created := false
	c.local.Update(idempotency.Stream(partition), func(have *localBatcher, ok bool) (*localBatcher, bool) {
		if !ok {
			have = &localBatcher{
				Batcher:   idempotency.NewBatcher(idempotency.BatcherConfig{Partition: partition}, c.log),
				partition: partition, stop: make(chan struct{}),
			}
			created = true
		}
		have.used.Store(time.Now().UnixNano())
		out = have
		return have, true
	})
	if created {
		c.start <- out // taken by run, which outlives every caller
	}
	return out
}

// run runs the batchers of this node until the context ends. A node that does
// not know the members yet is nobody's choice, so the first review waits for
// ready.
func (c *claimers) run(ctx context.Context, ready <-chan struct{}) {
	var running sync.WaitGroup
	defer running.Wait()
	running.Go(func() {
		select {
		case <-ready:
			c.review(time.Now())
			every(ctx, assignEvery, c.review)
		case <-ctx.Done():
		}
	})
	for {
		select {
		case b := <-c.start:
			running.Go(func() { c.runBatcher(ctx, b) })
		case <-ctx.Done():
			c.refuseStarts()
			return
		}
	}
}

// refuseStarts lets callers that still want a batcher go on. Their claims end
// with their own time limits.
func (c *claimers) refuseStarts() {
	go func() {
		limit := time.NewTimer(claimLimit)
		defer limit.Stop()
		for {
			select {
			case <-c.start:
			case <-limit.C:
				return
			}
		}
	}()
}

func (c *claimers) runBatcher(ctx context.Context, b *localBatcher) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-b.stop:
			cancel()
		case <-ctx.Done():
		}
	}()
	_ = b.Run(ctx)
}

// review starts the batchers that are this node's to run, so that their
// streams cover keys before the first of them comes, and ends the others.
func (c *claimers) review(now time.Time) {
	if d := c.digest(); d != c.reviewed {
		c.assign()
		c.reviewed = d
	}
	for p, members := range c.assigned.Load() {
		if len(members) > 0 && members[0].ID == c.self {
			c.batcher(p)
		}
	}
	c.local.DeleteFunc(func(_ string, b *localBatcher) bool {
		if now.UnixNano()-b.used.Load() < int64(batcherIdle) {
			return false
		}
		b.stopOnce.Do(func() { close(b.stop) })
		return true
	})
	c.failed.DeleteFunc(func(_ string, at time.Time) bool { return now.Sub(at) >= avoidFailed })
}

// claimAnswer and settleAnswer are the answers of a batcher on another node.
type claimAnswer struct {
	Verdict idempotency.Verdict   `json:"verdict"`
	Error   idempotency.ErrorCode `json:"error,omitempty"`
}

type settleAnswer struct {
	Error idempotency.ErrorCode `json:"error,omitempty"`
}

// remoteBatcher reaches a batcher on another node.
type remoteBatcher struct {
	*claimers
	member membership.Member
}

// Claim implements once.Claimer.
func (r *remoteBatcher) Claim(ctx context.Context, claim idempotency.Claim) (idempotency.Verdict, error) {
	var out claimAnswer
	if err := r.ask(ctx, r.pool.Claim, claim, &out); err != nil {
		return idempotency.Verdict{}, err
	}
	if out.Error != "" {
		return idempotency.Verdict{}, errors.WithStack(out.Error.Err())
	}
	return out.Verdict, nil
}

// Resolve implements once.Claimer.
func (r *remoteBatcher) Resolve(ctx context.Context, s idempotency.Resolution) error {
	var out settleAnswer
	if err := r.ask(ctx, r.pool.Settle, s, &out); err != nil {
		return err
	}
	if out.Error != "" {
		return errors.WithStack(out.Error.Err())
	}
	return nil
}

type sendFunc func(context.Context, membership.Member, json.RawMessage) (json.RawMessage, error)

// ask sends a request. Without an answer the other node may have appended it,
// so it is undecided, and the next try goes to another batcher.
func (r *remoteBatcher) ask(ctx context.Context, send sendFunc, request, answer any) error {
	data, err := json.Marshal(request)
	if err != nil {
		return errors.Mark(errors.Wrap(err, "encode claim"), idempotency.ErrUnavailable)
	}
	raw, err := send(ctx, r.member, data)
	if err == nil {
		err = json.Unmarshal(raw, answer)
	}
	if err != nil {
		r.failed.Set(r.member.ID, time.Now())
		return errors.Mark(errors.Wrap(err, "batcher"), idempotency.ErrUndecided)
	}
	return nil
}

// serveClaim answers a claim of another node.
func (c *claimers) serveClaim(ctx context.Context, raw json.RawMessage) (json.RawMessage, error) {
	var claim idempotency.Claim
	if err := json.Unmarshal(raw, &claim); err != nil {
		return nil, errors.Wrap(err, "decode claim")
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	v, err := c.batcher(claim.Key.Partition()).Claim(ctx, claim)
	out := claimAnswer{Verdict: v}
	if err != nil {
		out.Error = idempotency.CodeOf(err)
	}
	return json.Marshal(out)
}

// serveSettle answers a settlement of another node.
func (c *claimers) serveSettle(ctx context.Context, raw json.RawMessage) (json.RawMessage, error) {
	var s idempotency.Resolution
	if err := json.Unmarshal(raw, &s); err != nil {
		return nil, errors.Wrap(err, "decode settlement")
	}
	ctx, cancel := context.WithTimeout(ctx, claimLimit)
	defer cancel()
	var out settleAnswer
	if err := c.batcher(s.Key.Partition()).Resolve(ctx, s); err != nil {
		out.Error = idempotency.CodeOf(err)
	}
	return json.Marshal(out)
}

// claimView is one batcher in the state dump.
type claimView struct {
	Stream string `json:"stream"`
	Node   string `json:"node"`
	Local  bool   `json:"local"`
}

func (c *claimers) views() []claimView {
	var out []claimView
	for p, members := range c.assigned.Load() {
		v := claimView{Stream: idempotency.Stream(p)}
		if len(members) > 0 {
			v.Node = members[0].ID
		}
		_, v.Local = c.local.Get(v.Stream)
		out = append(out, v)
	}
	return out
}
