package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against large answers that fill the link of an instance whose slots are
// free, so that all its calls, short ones too, are late.
func TestLargeAnswersWaitForTheLink(t *testing.T) {
	const size = 100_000
	link := NewLink(1_000_000 / linkShare) // ten large answers a second
	ctrl := NewController(Config{Slots: 100, Queue: 100, Link: link})
	large := Request{Route: "large", Bytes: size, Objective: after(time.Second), Deadline: after(3 * time.Second)}
	admitted := 0
	for range 20 {
		if _, v := acquire(ctrl, 0, large); v == Admitted {
			admitted++
		}
	}
	assert.Equal(t, admitted, 6, "half of the objective, and the one that is being sent")
	_, d := ctrl.Acquire(epoch, large)
	assert.Equal(t, d.Reason, ReasonLinkBusy)
	assert.Equal(t, d.RetryAfter, 600*ms)
	_, v := acquire(ctrl, 0, Request{Route: "short", Bytes: 1000})
	assert.Equal(t, v, Admitted)
	waits := large
	waits.MaxWait = 100 * ms
	_, v = acquire(ctrl, 400*ms, waits)
	assert.Equal(t, v, Refused)
	_, v = acquire(ctrl, 500*ms, waits)
	assert.Equal(t, v, Admitted, "the link has drained")
}

// Guards against a link that counts answers that are never sent.
func TestUnsentAnswersLeaveTheLink(t *testing.T) {
	link := NewLink(1_000_000 / linkShare)
	ctrl := NewController(Config{Slots: 1, Queue: 10, Link: link})
	acquire(ctrl, 0, Request{})
	gaveUp, _ := acquire(ctrl, 0, Request{Bytes: 100_000, Deadline: after(time.Minute)})
	shed, _ := acquire(ctrl, 0, Request{Bytes: 100_000, Deadline: after(time.Minute)})
	assert.Equal(t, link.Wait(epoch), 200*ms)
	gaveUp.Release(epoch, 0, false)
	assert.Equal(t, link.Wait(epoch), 100*ms)
	ctrl.Tick(after(2 * time.Minute))
	assert.Equal(t, verdictOf(shed), Refused)
	assert.Equal(t, link.Wait(after(2*time.Minute)), time.Duration(0))
	assert.Equal(t, (*Link)(nil).Wait(epoch), time.Duration(0))
}
