package distribution

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// checkpointAgeDivisor divides the retention into the age at which a
	// checkpoint is rewritten; the other three quarters cover log outages.
	checkpointAgeDivisor = 4
	// checkpointChecksPerAge is how many times the age is checked before a
	// checkpoint reaches it.
	checkpointChecksPerAge = 8
	// checkpointRankDelay is the delay per reader rank, so that usually one reader
	// writes alone.
	checkpointRankDelay = 5 * time.Second
	// checkpointIdleInterval is the check interval while the retention is unknown.
	checkpointIdleInterval = 10 * time.Second
)

// writeCheckpoints rewrites the state before it expires from the log. There is
// no leader: a reader waits according to its rank and writes if no other
// reader has done so.
func (a *Agent) writeCheckpoints(ctx context.Context) error {
	for {
		wait.Until(ctx, a.checkpointLost, a.checkpointWait())
		if ctx.Err() != nil {
			return nil
		}
		if _, ok := a.awaitReaderRole(ctx); !ok {
			return nil
		}
		if !a.checkpointDue(time.Now()) {
			continue
		}
		rank := time.Duration(a.topology.Load().Rank(a.Self))
		if !wait.For(ctx, rank*checkpointRankDelay+rand.N(checkpointRankDelay)) {
			return nil
		}
		p := a.replica.published.Load()
		if !a.checkpointDue(time.Now()) {
			continue
		}
		c := profile.CheckpointOf(profile.Merge(p.Replicated, p.Effective))
		if err := a.appendCheckpoint(ctx, c); err != nil {
			a.Logger.Warn("checkpoint_failed", "error", err)
		}
	}
}

func (a *Agent) checkpointWait() time.Duration {
	retention := time.Duration(a.retention.Load())
	if retention <= 0 {
		return checkpointIdleInterval
	}
	return retention / checkpointAgeDivisor / checkpointChecksPerAge
}

// checkpointDue reports whether the newest checkpoint is too old or expired, or
// the log's state lacks a document or version that this node holds from a log
// that was lost.
func (a *Agent) checkpointDue(now time.Time) bool {
	p := a.replica.published.Load()
	retention := time.Duration(a.retention.Load())
	if p == nil || p.NeedsNewerBuild || retention <= 0 {
		return false
	}
	expired := a.firstRetained.Load() > p.MaxFirstOffset
	return expired || now.Sub(p.CheckpointTime) >= retention/checkpointAgeDivisor || holdsMore(p.Effective, p.Replicated)
}

// holdsMore reports whether a has a document that b lacks or has an older
// version of.
func holdsMore(a, b profile.State) bool {
	for k, e := range a.Entries {
		if have, ok := b.Entries[k]; !ok || e.Version.Compare(have.Version) > 0 {
			return true
		}
	}
	return false
}

func (a *Agent) appendCheckpoint(ctx context.Context, c *profile.Checkpoint) error {
	rec := profile.Record{
		ID: uuid.NewString(), Kind: profile.RecordCheckpoint,
		Author: "node " + a.Self.ID, Time: time.Now().UTC(), Checkpoint: c,
	}
	rec.Schema = rec.RequiredSchema()
	data, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode checkpoint")
	}
	_, err = a.Log.Append(ctx, platformlog.StreamConfig, data)
	return errors.Wrap(err, "append checkpoint")
}
