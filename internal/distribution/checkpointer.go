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
	// checkpointShare of the retention is the age at which a checkpoint is
	// written again. Three quarters are left for outages of the log.
	checkpointShare = 4
	// checkpointChecks is how often the age is looked at within that time.
	checkpointChecks = 8
	// checkpointRank separates the readers, so that one usually writes alone.
	checkpointRank = 5 * time.Second
	// checkpointIdle is the wait while the retention is not known.
	checkpointIdle = 10 * time.Second
)

// writeCheckpoints writes the state again before the log drops it. There is
// no leader: a reader waits by its rank and writes when nobody else did.
func (a *Agent) writeCheckpoints(ctx context.Context) error {
	for {
		wait.Until(ctx, a.unanchored, a.checkpointWait())
		if ctx.Err() != nil {
			return nil
		}
		if _, ok := a.awaitRole(ctx); !ok {
			return nil
		}
		if !a.checkpointDue(time.Now()) {
			continue
		}
		rank := time.Duration(a.topology.Load().Rank(a.Self))
		if !wait.For(ctx, rank*checkpointRank+rand.N(checkpointRank)) {
			return nil
		}
		p := a.core.published.Load()
		if !a.checkpointDue(time.Now()) {
			continue
		}
		c := profile.CheckpointOf(profile.Merge(p.Folded, p.Applied))
		if err := a.appendCheckpoint(ctx, c); err != nil {
			a.Logger.Warn("checkpoint_failed", "error", err)
		}
	}
}

func (a *Agent) checkpointWait() time.Duration {
	retention := time.Duration(a.retention.Load())
	if retention <= 0 {
		return checkpointIdle
	}
	return retention / checkpointShare / checkpointChecks
}

// checkpointDue reports whether the newest checkpoint is too old or gone, or
// lacks documents that this node applied from a log that was lost.
func (a *Agent) checkpointDue(now time.Time) bool {
	p := a.core.published.Load()
	retention := time.Duration(a.retention.Load())
	if p == nil || p.NewSchema || retention <= 0 {
		return false
	}
	gone := a.logFirst.Load() > p.Anchors
	return gone || now.Sub(p.CheckpointTime) >= retention/checkpointShare || holdsMore(p.Applied, p.Folded)
}

// holdsMore reports whether a has a document in a higher version than b.
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
		ID: uuid.NewString(), Kind: profile.RecordCheckpoint, Schema: profile.SchemaVersion,
		Author: "node " + a.Self.ID, Time: time.Now().UTC(), Checkpoint: c,
	}
	data, err := json.Marshal(rec)
	if err != nil {
		return errors.Wrap(err, "encode checkpoint")
	}
	_, err = a.Log.Append(ctx, platformlog.StreamConfig, data)
	return errors.Wrap(err, "append checkpoint")
}
