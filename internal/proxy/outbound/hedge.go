package outbound

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// States of a hedge.
const (
	hedgeWaiting int32 = iota
	hedgeSent
	hedgeCanceled
)

// sendToServer sends the call to one server and, when that is slow and hedging
// is allowed, to a second one.
func (c *call) sendToServer(choice balance.Choice) *attemptResult {
	if delay, ok := c.hedgeAfter(); ok {
		return c.attemptWithHedge(choice, delay)
	}
	return c.attempt(c.ctx, choice, c.earlyHints.Relay)
}

// hedgeAfter returns the delay before the hedge, and false when the call is not
// hedged.
func (c *call) hedgeAfter() (time.Duration, bool) {
	if c.quarantinePermit != nil {
		return 0, false // a suspect must not crash two servers at once
	}
	if c.versions.Judged {
		return 0, false // a hedge would hide that the version is slow
	}
	if c.tries >= c.maxRetries() {
		return 0, false // the hedge would exceed the allowed number of tries
	}
	if !c.policy.Hedge || !c.idempotent || len(c.service.Endpoints) < 2 || !c.body.Complete() {
		return 0, false
	}
	delay, ok := c.proxy.cfg.Latencies.HedgeAfter(c.route.ID, time.Now())
	if fixed := time.Duration(c.policy.HedgeAfter); fixed > 0 {
		delay, ok = fixed, true
	}
	return delay, ok && delay < c.remaining()-proxy.MinAttemptTime
}

// hedge is a second attempt that starts when the first is slow.
type hedge struct {
	call        *call
	first       balance.Choice
	ctx         context.Context
	state       atomic.Int32
	won         atomic.Bool             // one of the attempts succeeded and cancels the other
	cancelFirst context.CancelCauseFunc // cancels the first attempt
	cancelHedge context.CancelCauseFunc // cancels the hedge
	result      chan *attemptResult     // buffers the one result; nil without a server or budget
}

// attemptWithHedge runs an attempt and its hedge and returns the better result.
// The other attempt is cancelled.
func (c *call) attemptWithHedge(first balance.Choice, delay time.Duration) *attemptResult {
	ctx1, cancel1 := context.WithCancelCause(c.ctx)
	ctx2, cancel2 := context.WithCancelCause(c.ctx)
	h := &hedge{call: c, first: first, ctx: ctx2, cancelFirst: cancel1, cancelHedge: cancel2, result: make(chan *attemptResult, 1)}
	timer := time.AfterFunc(delay, h.start)
	firstResult := c.attempt(ctx1, first, c.earlyHints.Relay)
	timer.Stop()
	if h.state.CompareAndSwap(hedgeWaiting, hedgeCanceled) {
		return firstResult
	}
	if firstResult.succeeded() && h.won.CompareAndSwap(false, true) {
		h.cancelHedge(proxy.ErrSuperseded)
		go func() { c.finishLoser(<-h.result) }()
		return firstResult
	}
	second := <-h.result
	return c.chooseResult(firstResult, second)
}

// start sends the hedge; it runs on the timer's goroutine.
func (h *hedge) start() {
	if !h.state.CompareAndSwap(hedgeWaiting, hedgeSent) {
		return
	}
	t := h.send()
	if t != nil && t.succeeded() && h.won.CompareAndSwap(false, true) {
		h.cancelFirst(proxy.ErrSuperseded)
	}
	h.result <- t
}

func (h *hedge) send() *attemptResult {
	c := h.call
	exclude := append([]string{h.first.Endpoint.ID}, c.exclude...)
	choice, err := c.proxy.cfg.Balancer.Pick(time.Now(), c.balanceRequest(exclude))
	if err != nil || !c.spendRetryBudget() {
		return nil
	}
	return c.attempt(h.ctx, choice, nil)
}

// chooseResult returns the result to continue with after the first attempt
// failed or was superseded. A hedge that ended counts as a try.
func (c *call) chooseResult(first, second *attemptResult) *attemptResult {
	if second == nil {
		return first
	}
	c.tries++
	if second.succeeded() {
		c.finishLoser(first)
		return second
	}
	c.exclude = append(c.exclude, second.choice.Endpoint.ID)
	c.discard(second)
	return first
}

// finishLoser closes an attempt after the other one was chosen, and reports it.
func (c *call) finishLoser(t *attemptResult) {
	if t == nil {
		return
	}
	t.elapsed = time.Since(t.started)
	if t.answer != nil {
		t.answer.Close()
	}
	c.report(t, true)
}
