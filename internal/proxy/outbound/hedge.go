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
	hedgeOff
)

// try sends the call to one server and, when that is slow and the call may
// run twice, to a second one.
func (c *call) try(choice balance.Choice) *tried {
	if delay, ok := c.hedgeAfter(); ok {
		return c.hedged(choice, delay)
	}
	return c.attempt(c.ctx, choice, c.early.Pass)
}

// hedgeAfter returns the time after which a second server is tried, and false
// when none is.
func (c *call) hedgeAfter() (time.Duration, bool) {
	if c.pass != nil {
		return 0, false // a suspect must not endanger two servers at once
	}
	if c.tries >= c.maxRetries() {
		return 0, false // the hedge would be one server more than the call may be sent to
	}
	if !c.policy.Hedge || !c.idempotent || len(c.service.Endpoints) < 2 || !c.body.Complete() {
		return 0, false
	}
	delay, ok := c.front.cfg.Latencies.HedgeAfter(c.route.ID, time.Now())
	if fixed := time.Duration(c.policy.HedgeAfter); fixed > 0 {
		delay, ok = fixed, true
	}
	return delay, ok && delay < c.remaining()-proxy.LeastAttempt
}

// hedge is a second attempt that starts when the first is slow.
type hedge struct {
	call    *call
	first   balance.Choice
	ctx     context.Context
	state   atomic.Int32
	decided atomic.Bool             // one of the attempts has won
	lose    context.CancelCauseFunc // cancels the first attempt
	stop    context.CancelCauseFunc // cancels the hedge
	result  chan *tried             // holds at most the one result; nil when there was no server or budget
}

// hedged runs an attempt and its hedge and returns the better one. The other
// is cancelled.
func (c *call) hedged(first balance.Choice, delay time.Duration) *tried {
	ctx1, cancel1 := context.WithCancelCause(c.ctx)
	ctx2, cancel2 := context.WithCancelCause(c.ctx)
	h := &hedge{call: c, first: first, ctx: ctx2, lose: cancel1, stop: cancel2, result: make(chan *tried, 1)}
	timer := time.AfterFunc(delay, h.start)
	one := c.attempt(ctx1, first, c.early.Pass)
	timer.Stop()
	if h.state.CompareAndSwap(hedgeWaiting, hedgeOff) {
		return one
	}
	if one.good() && h.decided.CompareAndSwap(false, true) {
		h.stop(proxy.ErrLost)
		go func() { c.lost(<-h.result) }()
		return one
	}
	two := <-h.result
	return c.better(one, two)
}

// start runs on the timer's goroutine.
func (h *hedge) start() {
	if !h.state.CompareAndSwap(hedgeWaiting, hedgeSent) {
		return
	}
	t := h.send()
	if t != nil && t.good() && h.decided.CompareAndSwap(false, true) {
		h.lose(proxy.ErrLost)
	}
	h.result <- t
}

func (h *hedge) send() *tried {
	c := h.call
	exclude := append([]string{h.first.Endpoint.ID}, c.exclude...)
	choice, err := c.front.cfg.Balancer.Pick(time.Now(), balance.Request{Service: c.service, Exclude: exclude})
	if err != nil || !c.spend() {
		return nil
	}
	return c.attempt(h.ctx, choice, nil)
}

// better returns the attempt to go on with after the first one failed or lost.
func (c *call) better(one, two *tried) *tried {
	if two == nil {
		return one
	}
	c.tries++
	if two.good() {
		c.lost(one)
		return two
	}
	c.exclude = append(c.exclude, two.choice.Endpoint.ID)
	c.drop(two)
	return one
}

// lost ends an attempt that another one has beaten.
func (c *call) lost(t *tried) {
	if t == nil {
		return
	}
	t.elapsed = time.Since(t.begun)
	if t.answer != nil {
		t.answer.Close()
	}
	c.finish(t, true)
}
