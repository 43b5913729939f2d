package inbound

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
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
	_, f := c.exchange()
	assert.Assert(t, f != nil)
	assert.Equal(t, f.Outcome, proxy.OutcomeNotRun)
	assert.Equal(t, f.Reason, proxy.ReasonDeadline)
}

// TestLateMisdirectedAnswer guards against a 421 of an earlier start of the backend
// server that drops the state of the start that has reported since, and against a
// dropped state of which the next report is not told.
func TestLateMisdirectedAnswer(t *testing.T) {
	var replaced []string
	p := New(Config{
		Reported: true, Admission: admission.NewController(admission.Config{Slots: 1}),
		OnServerReplaced: func(instance string) { replaced = append(replaced, instance) },
	})
	misdirected := func(sent *ServerState) {
		c := &call{proxy: p, sentState: sent}
		f := c.shedFailure(&proxy.Answer{Response: &http.Response{StatusCode: http.StatusMisdirectedRequest}})
		assert.Equal(t, f.Outcome, proxy.OutcomeNotRun)
	}
	p.SetServerState(ServerState{Instance: "i-1"})
	first := p.serverState.Load()
	p.SetServerState(ServerState{Instance: "i-2"})
	misdirected(first)
	assert.Assert(t, p.sendRefusal(time.Now()) == nil, "the state of the new start is dropped")
	assert.Equal(t, len(replaced), 0)
	misdirected(p.serverState.Load())
	assert.Assert(t, p.sendRefusal(time.Now()) != nil, "calls go on to an address of another server")
	assert.DeepEqual(t, replaced, []string{"i-2"})
}
