package inbound

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// TestCallsRefusedAfterShutdownGrace guards against calls, among them calls that
// waited for a slot, that reach a backend server more than 2 s after it
// announced its shutdown.
func TestCallsRefusedAfterShutdownGrace(t *testing.T) {
	p := New(Config{Reported: true})
	now := time.Now()
	assert.Assert(t, p.sendRefusal(now) != nil, "the server has not reported")
	p.SetServerState(ServerState{Instance: "i-1"})
	assert.Assert(t, p.sendRefusal(now) == nil)
	p.SetServerState(ServerState{Instance: "i-1", ShutdownAnnounced: now})
	assert.Assert(t, p.arrivalRefusal(now) != nil, "new calls are refused at once")
	assert.Assert(t, p.sendRefusal(now.Add(shutdownGrace)) == nil, "calls that wait for a slot are still sent during the grace period")
	assert.Assert(t, p.sendRefusal(now.Add(shutdownGrace+time.Millisecond)) != nil)
}

// TestExpiredCallIsNotSent guards against a process that was paused between the
// grant of a slot and the sending, and then sends a call that its caller has
// given up.
func TestExpiredCallIsNotSent(t *testing.T) {
	client := proxy.NewClient(proxy.ClientConfig{Dial: func(context.Context, string, string) (net.Conn, error) {
		t.Error("the call was sent")
		return nil, net.ErrClosed
	}})
	p := New(Config{Backend: client})
	c := &call{
		proxy: p, ctx: t.Context(), r: httptest.NewRequest("POST", "/", nil), earlyHints: &proxy.EarlyHints{},
		deadline: time.Now().Add(-time.Millisecond),
	}
	_, err := c.exchange()
	assert.Assert(t, err != nil && !err.Sent)
	f := c.failureOf(err)
	assert.Equal(t, f.Outcome, proxy.OutcomeNotRun)
	assert.Equal(t, f.Reason, proxy.ReasonDeadline)
}
