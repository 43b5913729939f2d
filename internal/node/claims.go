package node

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/once"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// claimers holds the node's own batchers. Any node may batch claims, since
// the order of the log decides. A batcher starts with its first claim.
type claimers struct {
	log    platformlog.Log
	wanted chan int // partitions whose batcher is to be started

	mu       sync.Mutex
	batchers [once.Partitions]*once.Batcher // guarded by mu
}

func newClaimers(log platformlog.Log) *claimers {
	return &claimers{log: log, wanted: make(chan int, once.Partitions)}
}

// reach returns the way to the batcher of a partition.
func (c *claimers) reach(partition int) (once.Claimer, error) {
	if partition < 0 || partition >= once.Partitions {
		return nil, errors.Mark(errors.Newf("there is no partition %d", partition), once.ErrWrongPartition)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.batchers[partition] == nil {
		c.batchers[partition] = once.NewBatcher(once.BatcherConfig{Partition: partition}, c.log)
		c.wanted <- partition // has room for every partition
	}
	return c.batchers[partition], nil
}

// run starts batchers as they are wanted and waits for their end.
func (c *claimers) run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case p := <-c.wanted:
			b := c.batcher(p)
			running.Go(func() { _ = b.Run(ctx) })
		case <-ctx.Done():
			return
		}
	}
}

func (c *claimers) batcher(partition int) *once.Batcher {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.batchers[partition]
}
