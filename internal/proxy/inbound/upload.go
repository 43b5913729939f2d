package inbound

import (
	"net/http"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// receiveBody receives the body of a call whose outbound proxy sends it on demand,
// before the call takes a slot. A call that would be refused a slot is refused
// first, so that its body uses no link. The ticket is nil for a call whose body is
// streamed; otherwise it must be released when the call has ended.
func (c *call) receiveBody() (*admission.ReceptionTicket, *proxy.Failure) {
	if !proxy.BodyOnDemand(c.r.Header) || c.body == nil {
		return nil, nil
	}
	now := time.Now()
	if d, refused := c.proxy.cfg.Admission.Check(now, c.slotRequest()); refused {
		return nil, admissionFailure(d)
	}
	receptions := c.proxy.cfg.Receptions
	if c.r.ContentLength <= 0 || !receptions.Accepts(c.r.ContentLength) {
		return nil, nil
	}
	ticket, d := receptions.Acquire(now, admission.ReceptionRequest{
		Bytes: c.r.ContentLength, Rank: proxy.RankOf(c.r.Header), Deadline: c.deadline, MaxWait: proxy.MaxSlotWaitOf(c.r.Header),
	})
	if d.Verdict == admission.Refused {
		return nil, admissionFailure(d)
	}
	if f := c.awaitReception(ticket); f != nil {
		ticket.Release(time.Now())
		return nil, f
	}
	err := c.body.ReceiveWhole(c.rc, c.deadline)
	ticket.Complete(time.Now())
	if err != nil {
		ticket.Release(time.Now())
		return nil, proxy.FailureOf(&proxy.SendError{Cause: err}, c.body)
	}
	c.received = true
	return ticket, nil
}

// awaitReception waits until the body may be received.
func (c *call) awaitReception(ticket *admission.ReceptionTicket) *proxy.Failure {
	deadline := time.NewTimer(time.Until(c.deadline))
	defer deadline.Stop()
	tick := time.NewTicker(admission.ReceptionTick)
	defer tick.Stop()
	for {
		select {
		case <-ticket.Ready():
			return nil
		case now := <-tick.C:
			c.proxy.cfg.Receptions.Tick(now)
		case <-deadline.C:
			return admissionFailure(admission.Decision{Reason: admission.ReasonDeadline})
		case <-c.ctx.Done():
			return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonCanceled, "the caller has left")
		}
	}
}
