package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var epoch = time.Unix(1_700_000_000, 0)

func TestGateAdmitsQueuesAndRefuses(t *testing.T) {
	g := NewGate(Config{Slots: 1, Queue: 1})
	first, d := g.Enter(epoch, Request{Route: "a", Deadline: epoch.Add(time.Second)})
	assert.Equal(t, d.Verdict, Admitted)
	second, d := g.Enter(epoch, Request{Route: "a", Deadline: epoch.Add(time.Second)})
	assert.Equal(t, d.Verdict, Queued)
	_, d = g.Enter(epoch, Request{Route: "a", Deadline: epoch.Add(time.Second)})
	assert.Equal(t, d.Verdict, Refused)
	assert.Equal(t, d.Reason, ReasonOverloaded)
	first.Leave(epoch, time.Millisecond, true)
	assert.Equal(t, (<-second.Ready()).Verdict, Admitted)
	g.Drain()
	_, d = g.Enter(epoch, Request{Route: "a"})
	assert.Equal(t, d.Reason, ReasonDraining)
}
