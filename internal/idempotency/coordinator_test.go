package idempotency

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against repeats that run, or that do not get the first call's answer.
func TestFirstCallRunsAndRepeatsDoNot(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, b, k := c.node("a", 0), c.node("b", 0), c.key()
		first := a.begin(k, time.Second)
		assert.Equal(t, first.Kind, KindRun)
		assert.Equal(t, a.begin(k, time.Second).Kind, KindJoined)
		d := b.begin(k, time.Second)
		assert.Equal(t, d.Kind, KindForward)
		assert.Equal(t, d.Holder.Node, "a")
		a.Finish(first.Run, Answer{Outcome: OutcomeRan, Status: 201, Body: []byte("x"), BodyComplete: true}, time.Now())
		time.Sleep(time.Second)
		assert.Equal(t, string(a.begin(k, time.Second).Run.Wait(c.ctx).Body), "x")
		d = b.begin(k, time.Second).WithoutHolder()
		assert.Equal(t, d.Kind, KindRan)
		assert.Equal(t, d.Status, 201)
	})
}

// Guards against outcomes that a graceful shutdown loses: Flush returns only
// when they are in the log, or fails.
func TestFlushWaitsForOutcomes(t *testing.T) {
	inCluster(t, func(c *cluster) {
		a, k := c.node("a", 0), c.key()
		c.log.set(func(l *fakeLog) { l.slow = 100 * time.Millisecond })
		assert.Equal(t, c.call(a, k, time.Second).wait(), OutcomeRan)
		assert.NilError(t, a.Flush(c.ctx))
		a.kill()
		assert.Equal(t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeRan)
		c.log.set(func(l *fakeLog) { l.down = true })
		b := c.node("b", 0)
		b.Release(&Run{Key: k, ClaimID: "x", done: make(chan struct{})}, ReasonReleased, time.Now())
		ctx, cancel := context.WithTimeout(c.ctx, time.Minute)
		defer cancel()
		assert.ErrorIs(t, b.Flush(ctx), context.DeadlineExceeded)
	})
}

// Each case injects one fault during calls with one key. Guards against a second
// run of the key, and against a key that cannot run after a call that did not.
func TestKeyRunsOnceDespiteFaults(t *testing.T) {
	cases := []struct {
		name string
		runs int
		play func(c *cluster, k Key)
	}{
		{"resent through the same node while in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			first, second := c.call(a, k, time.Second), c.call(a, k, time.Second)
			assert.Equal(c.t, first.wait(), OutcomeRan)
			assert.Equal(c.t, second.wait(), OutcomeRan)
		}},
		{"resent through another node while in flight", 1, func(c *cluster, k Key) {
			first := c.call(c.node("a", 0), k, time.Second)
			time.Sleep(60 * time.Millisecond)
			second := c.call(c.node("b", 0), k, time.Second)
			assert.Equal(c.t, first.wait(), OutcomeRan)
			assert.Equal(c.t, second.wait(), OutcomeRan)
		}},
		{"holder dies in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.call(a, k, time.Second)
			time.Sleep(60 * time.Millisecond)
			a.kill()
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeUnknown)
		}},
		{"holder restarts in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.call(a, k, time.Second)
			time.Sleep(60 * time.Millisecond)
			a.kill()
			assert.Equal(c.t, c.node("a", 0).begin(k, time.Second).Kind, KindUnknown)
		}},
		{"holder dies after its outcome is in the log", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeRan)
			time.Sleep(time.Second)
			a.kill()
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeRan)
		}},
		{"backend server dies in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			a.backendDead = true
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeUnknown)
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeUnknown)
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeUnknown)
		}},
		{"holder no longer keeps an unknown outcome", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			a.backendDead = true
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeUnknown)
			time.Sleep(AnswerRetention + time.Second)
			a.Tick(time.Now())
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeUnknown)
		}},
		{"claim given up, then its holder dies", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.slow = 2 * time.Second })
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeNotRun)
			time.Sleep(10 * time.Second)
			a.kill()
			assert.Equal(c.t, c.call(c.node("b", 0), k, 10*time.Second).wait(), OutcomeRan)
		}},
		{"call shed after its claim", 1, func(c *cluster, k Key) {
			a, b := c.node("a", 0), c.node("b", 0)
			a.sheds = true
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeNotRun)
			time.Sleep(200 * time.Millisecond)
			assert.Equal(c.t, c.call(b, k, time.Second).wait(), OutcomeRan)
		}},
		{"log down", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.down = true })
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeNotRun)
			c.log.set(func(l *fakeLog) { l.down = false })
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeRan)
		}},
		{"log slower than the call's deadline, resent through the same node", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.slow = 2 * time.Second })
			assert.Equal(c.t, c.call(a, k, 500*time.Millisecond).wait(), OutcomeNotRun)
			c.log.set(func(l *fakeLog) { l.slow = 0 })
			assert.Equal(c.t, c.call(a, k, 10*time.Second).wait(), OutcomeRan)
		}},
		{"answer of the log lost", 1, func(c *cluster, k Key) {
			c.log.set(func(l *fakeLog) { l.answersToLose = 1 })
			assert.Equal(c.t, c.call(c.node("a", 0), k, time.Second).wait(), OutcomeRan)
		}},
		{"claim reaches the log after it was given up", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.answersToLose, l.late = 1, 3*time.Second })
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeNotRun)
			time.Sleep(10 * time.Second)
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeRan)
		}},
		{"release reaches the log before its claim", 1, func(c *cluster, k Key) {
			c.startBatcher()
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.answersToLose, l.late = 1, 8*time.Second })
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeNotRun)
			time.Sleep(4 * time.Second)
			assert.Equal(c.t, c.call(c.node("b", 1), k, time.Second).wait(), OutcomeRan)
			time.Sleep(10 * time.Second)
			assert.Equal(c.t, c.call(c.node("d", 1), k, time.Second).wait(), OutcomeRan)
		}},
		{"answer of the batcher lost", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			a.answersToLose = 2
			assert.Equal(c.t, c.call(a, k, time.Second).wait(), OutcomeRan)
		}},
		{"holder suspended after it won, resumes later", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			a.pause(time.Minute)
			first := c.call(a, k, time.Second)
			time.Sleep(100 * time.Millisecond)
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeUnknown)
			assert.Equal(c.t, first.wait(), OutcomeNotRun)
			assert.Equal(c.t, c.call(c.node("d", 0), k, time.Second).wait(), OutcomeRan)
		}},
		{"two batchers at once", 1, func(c *cluster, k Key) {
			c.startBatcher()
			first, second := c.call(c.node("a", 0), k, time.Second), c.call(c.node("b", 1), k, time.Second)
			assert.Equal(c.t, first.wait(), OutcomeRan)
			assert.Equal(c.t, second.wait(), OutcomeRan)
		}},
		{"batcher killed between append and answer", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.log.set(func(l *fakeLog) { l.slow = 100 * time.Millisecond })
			first := c.call(a, k, 2*time.Second)
			time.Sleep(150 * time.Millisecond)
			c.stops[0]()
			a.useBatcher(c.startBatcher())
			assert.Equal(c.t, first.wait(), OutcomeRan)
		}},
		{"log and holder restarted in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.call(a, k, time.Second)
			time.Sleep(60 * time.Millisecond)
			a.kill()
			c.log.reset()
			c.startBatcher()
			time.Sleep(2 * time.Second)
			assert.Equal(c.t, c.call(c.node("b", 1), k, time.Second).wait(), OutcomeUnknown)
			assert.Equal(c.t, c.call(c.node("d", 0), c.key(), time.Second).wait(), OutcomeRan)
		}},
		{"log restarted in flight", 1, func(c *cluster, k Key) {
			a := c.node("a", 0)
			c.call(a, k, time.Second)
			time.Sleep(60 * time.Millisecond)
			c.log.reset()
			assert.Equal(c.t, c.call(c.node("b", 0), k, time.Second).wait(), OutcomeUnknown)
			time.Sleep(2 * time.Second) // the holder's outcome reaches the new log
			c.startBatcher()
			assert.Equal(c.t, c.call(c.node("b", 1), k, time.Second).wait(), OutcomeRan)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			inCluster(t, func(c *cluster) {
				k := c.key()
				tc.play(c, k)
				time.Sleep(2 * time.Minute)
				synctest.Wait()
				assert.Equal(t, c.runs[k.Text], tc.runs)
			})
		})
	}
}
