package inbound

import (
	"net/http"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
)

// versionHeldRetryAfter is how long callers' nodes avoid a server that gets no more
// calls under a rollout: about as long as they take to learn of its new share.
const versionHeldRetryAfter = 200 * time.Millisecond

func versionHeldFailure() *proxy.Failure {
	return proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonVersionHeld, "the version of the backend server gets no more calls for now").WithRetryAfter(versionHeldRetryAfter)
}

// beginForVersion counts a call against what the version of the backend server may
// get, or refuses it. A call that it lets pass needs endForVersion.
func (c *call) beginForVersion() *proxy.Failure {
	v := c.proxy.cfg.Version
	if v == nil {
		return nil
	}
	var ok bool
	if c.serverBusy, ok = v.Begin(time.Now()); !ok {
		return versionHeldFailure()
	}
	return nil
}

func (c *call) endForVersion() {
	if v := c.proxy.cfg.Version; v != nil {
		v.End()
	}
}

// countForVersion counts the answer of the backend server for the comparison of
// versions. A call that the server did not run says nothing about its version.
func (c *call) countForVersion(a *proxy.Answer, f *proxy.Failure, latency time.Duration) {
	v := c.proxy.cfg.Version
	if v == nil || f != nil && f.Outcome == proxy.OutcomeNotRun {
		return
	}
	answer := rollout.Answer{Route: proxy.RouteOf(c.r.Header), Latency: latency, Busy: c.serverBusy}
	if f != nil {
		answer.Canceled = c.ctx.Err() != nil
		answer.Failed = !answer.Canceled
	} else {
		answer.Failed = a.StatusCode >= http.StatusInternalServerError
	}
	v.Observe(time.Now(), answer)
}
