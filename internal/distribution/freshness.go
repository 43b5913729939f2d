package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// A node that reaches the log or source must hold a new configuration within
// Config.ApplyWithin, whichever other nodes are lost. So it does not wait until
// the loss of its readers is detected: a node that has had no proof for some time
// that its configuration is the newest one reads the log or source itself. A
// proof is the end of such a read, and is passed on from node to node with its
// age. The intervals are percentages of ApplyWithin; the longest path, a check
// that is due for a node other than a reader plus its timeout, stays below 100.
const (
	// readerCheckPercent is the age of the proof at which the first reader reads
	// again, and readerRankPercent what is added for each rank below it, so that
	// mostly one reader of the system does.
	readerCheckPercent = 30
	readerRankPercent  = 5
	maxReaderRank      = 3
	// nodeCheckPercent is the age at which a node that is not a reader reads, plus
	// a random part, in which the first of them passes its proof on to the others.
	nodeCheckPercent  = 45
	nodeJitterPercent = 15
	// checkTimeoutPercent is the timeout of one read.
	checkTimeoutPercent = 25
	// proofStepPercent is how much newer a proof must be to be passed on.
	proofStepPercent = 10
)

const (
	// defaultApplyWithin is the bound at the size that the system is designed for.
	defaultApplyWithin = 5 * time.Second
	// failedChecksPerSecond is how often all nodes together repeat failed checks
	// while the log or source does not answer. Each check may transfer a complete
	// configuration over a link that is slow because of the others.
	failedChecksPerSecond = 5
)

func (a *Agent) percentOfBound(percent int) time.Duration {
	return a.ApplyWithin * time.Duration(percent) / 100
}

// maxProofAge is the age up to which a configuration counts as the newest one.
func (a *Agent) maxProofAge() time.Duration {
	return a.percentOfBound(nodeCheckPercent + nodeJitterPercent)
}

// freshnessChecker is the state of checkFreshness.
type freshnessChecker struct {
	*Agent
	startedAt time.Time
	notBefore time.Time // earliest time of the next read
	jitter    int       // random part of the limit until the next read, in percent of the bound
	failures  int       // consecutive failed reads
	alone     bool      // the node is no reader and reads itself
	lastRead  time.Time // when the last read ended, while alone
}

// checkFreshness reads the log or source whenever the newest proof is too old.
func (a *Agent) checkFreshness(ctx context.Context) error {
	select {
	case <-a.readyDone:
	case <-ctx.Done():
		return nil
	}
	c := &freshnessChecker{Agent: a, startedAt: time.Now()}
	for {
		c.jitter = rand.IntN(nodeJitterPercent + 1)
		if !c.awaitDue(ctx) {
			return nil
		}
		c.check(ctx)
	}
}

// awaitDue waits until a read is due. It returns false if the context has ended.
func (c *freshnessChecker) awaitDue(ctx context.Context) bool {
	for {
		left := time.Until(c.due())
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !wait.For(ctx, left) {
			return false
		}
	}
}

// due returns when the node has to read the log or source, unless it gets a
// newer proof before.
func (c *freshnessChecker) due() time.Time {
	proof := c.startedAt
	if v := c.verified.Load(); v != nil && v.at.After(proof) {
		proof = v.at
	}
	if c.alone && proof.After(c.lastRead) {
		c.alone = false
		c.Logger.Info("readers_regained")
	}
	due := proof.Add(c.limit())
	if due.Before(c.notBefore) {
		return c.notBefore
	}
	return due
}

// limit returns the age of the newest proof at which the node reads.
func (c *freshnessChecker) limit() time.Duration {
	t := c.topology.Load()
	if t.IsReader(c.Self) {
		return c.percentOfBound(readerCheckPercent + readerRankPercent*min(t.Rank(c.Self), maxReaderRank))
	}
	return c.percentOfBound(nodeCheckPercent + c.jitter)
}

func (c *freshnessChecker) check(ctx context.Context) {
	if !c.topology.Load().IsReader(c.Self) && !c.alone {
		age, _ := c.ConfigAge()
		c.alone = true
		c.Logger.Warn("readers_silent", "config_age_ms", age.Milliseconds())
	}
	readCtx, cancel := context.WithTimeout(ctx, c.percentOfBound(checkTimeoutPercent))
	defer cancel()
	err := c.readNewest(readCtx)
	c.lastRead = time.Now()
	if err != nil {
		c.failures++
		c.logFirstFailure("freshness_check_failed", c.failures, err)
		c.notBefore = c.lastRead.Add(c.retryDelay())
		return
	}
	c.failures = 0
	// A read proves nothing if its configuration was refused.
	c.notBefore = c.lastRead.Add(c.percentOfBound(readerCheckPercent))
}

// retryDelay returns the delay after a failed check. It is random up to a limit at
// which all nodes together send about failedChecksPerSecond, but on a node that no
// other could tell of a successful check up to the delay of a first check.
func (c *freshnessChecker) retryDelay() time.Duration {
	limit := c.percentOfBound(nodeCheckPercent)
	if !c.isolated.Load() {
		limit = max(limit, time.Duration(c.Table.CountCallable())*time.Second/failedChecksPerSecond)
	}
	return c.percentOfBound(proofStepPercent) + rand.N(limit)
}

// proofTime returns the time for which a long poll shows what the newest position
// is. An answer may be handled late, after a pause of the process, so only the
// time that the poll has lasted for certain counts.
func proofTime(sent time.Time, poll time.Duration, empty bool) time.Time {
	if !empty {
		return sent
	}
	if end := time.Now(); end.Before(sent.Add(poll)) {
		return end
	}
	return sent.Add(poll)
}

// readNewest reads what follows the node's position, without waiting for it.
func (a *Agent) readNewest(ctx context.Context) error {
	if a.Source != nil {
		return a.readSource(ctx, 0)
	}
	return a.readLogEnd(ctx)
}

// errTipNotFound is returned if the log does not hold the node's last record. It
// was replaced or has dropped the record; its readers recover from that.
var errTipNotFound = errors.New("the log does not hold the last applied record")

// readLogEnd reads the log from the last applied record on and applies those
// after it.
func (a *Agent) readLogEnd(ctx context.Context) error {
	p := a.replica.published.Load()
	if p == nil || p.NeedsNewerBuild {
		return nil
	}
	sent := time.Now()
	b, err := a.Log.Read(ctx, platformlog.StreamConfig, p.position().Offset, readBatch, 0)
	if err != nil {
		return errors.Wrap(err, "read the end of the log")
	}
	if len(b.Entries) == 0 || headOf(b.Entries[0].Data).ID != p.LastRecordID {
		return errTipNotFound
	}
	a.submitRecords(ctx, p, b.Entries[1:])
	a.recordLogEnd(b.Entries, sent)
	return nil
}
