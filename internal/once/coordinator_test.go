package once

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
)

// cluster is one partition's log, its batchers and some nodes in a bubble.
type cluster struct {
	t        *testing.T
	ctx      context.Context
	log      *fakeLog
	batchers []*Batcher
	stops    []context.CancelFunc
}

// inCluster runs a test in virtual time with one batcher.
func inCluster(t *testing.T, fn func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := &cluster{t: t, ctx: ctx, log: newFakeLog()}
		c.startBatcher()
		time.Sleep(time.Second)
		fn(c)
		cancel()
		time.Sleep(time.Hour)
		synctest.Wait()
	})
}

// key returns a fresh key of the cluster's partition.
func (c *cluster) key() Key {
	for {
		id, err := uuid.NewV7()
		assert.NilError(c.t, err)
		k := Key{Text: id.String(), Time: time.Now()}
		if k.Partition() == testPartition {
			return k
		}
	}
}

const testPartition = 3

func (c *cluster) startBatcher() int {
	b := NewBatcher(BatcherConfig{Partition: testPartition}, c.log)
	ctx, stop := context.WithCancel(c.ctx)
	go func() { _ = b.Run(ctx) }()
	c.batchers, c.stops = append(c.batchers, b), append(c.stops, stop)
	return len(c.batchers) - 1
}

// node starts a node that reaches the given batcher.
func (c *cluster) node(name string, batcher int) *Coordinator {
	n := NewCoordinator(CoordinatorConfig{
		Self:  Holder{Node: name, Incarnation: time.Now().UnixNano()},
		Reach: func(int) (Claimer, error) { return c.batchers[batcher], nil },
	})
	go func() { _ = n.Run(c.ctx) }()
	return n
}

// begin decides a call with a time limit.
func (c *cluster) begin(n *Coordinator, k Key, limit time.Duration) Decision {
	ctx, cancel := context.WithTimeout(c.ctx, limit)
	defer cancel()
	return n.Begin(ctx, k, time.Now())
}

func TestFirstCallRunsAndRepeatsDoNot(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b, k := c.node("a", 0), c.node("b", 0), c.key()
		first := c.begin(a, k, time.Second)
		assert.Equal(t, first.Kind, KindRun)
		assert.Equal(t, c.begin(a, k, time.Second).Kind, KindJoined)
		d := c.begin(b, k, time.Second)
		assert.Equal(t, d.Kind, KindElsewhere)
		assert.Equal(t, d.Holder.Node, "a")
		a.Finish(first.Run, Answer{Outcome: OutcomeRan, Status: 201, Body: []byte("x"), Whole: true}, time.Now())
		time.Sleep(time.Second)
		assert.Equal(t, string(c.begin(a, k, time.Second).Run.Wait(c.ctx).Body), "x")
		d = c.begin(b, k, time.Second).WithoutHolder()
		assert.Equal(t, d.Kind, KindRan)
		assert.Equal(t, d.Status, 201)
	})
}

// Guards against a second run of a key whose claim went away with the log.
func TestRestartedLogDoesNotOpenOldKeys(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b, k := c.node("a", 0), c.node("b", 0), c.key()
		assert.Equal(t, c.begin(a, k, time.Second).Kind, KindRun)
		c.log.reset()
		time.Sleep(time.Second)
		d := c.begin(b, k, time.Second)
		assert.Equal(t, d.Kind, KindUnknown)
		time.Sleep(time.Second)
		assert.Equal(t, c.begin(b, c.key(), time.Second).Kind, KindRun)
	})
}
