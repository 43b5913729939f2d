package inbound

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// serveKeyed runs a call with an idempotency key at most once. It claims the key
// before it acquires a slot, so that a refusal holds for every transmission of
// the call: no node ran it.
func (c *call) serveKeyed() {
	if c.proxy.cfg.Coordinator == nil {
		c.fail(keyedNotRun(idempotency.ReasonLogUnavailable))
		return
	}
	now := time.Now()
	rule := idempotency.KeyRule{AnyFormat: c.keyFormat == proxy.AnyKeys, Retention: c.proxy.cfg.Retention()}
	key, refusal := idempotency.ParseKey(c.r.Header.Get(proxy.HeaderInternalKey), rule, now)
	if refusal != nil {
		c.fail(proxy.NotRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message))
		return
	}
	if f := c.readPrefix(); f != nil {
		c.fail(f)
		return
	}
	ctx, cancel := context.WithDeadline(c.ctx, c.deadline)
	defer cancel()
	c.key = key
	claim := c.r.Header.Get(proxy.HeaderClaim)
	if claim != "" && c.proxy.cfg.Coordinator.ReleaseAbandoned(ctx, key, claim) {
		c.fail(proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonClaimReleased, "the claim on the idempotency key was released"))
		return
	}
	c.handleDecision(ctx, c.proxy.cfg.Coordinator.Begin(ctx, key, now))
}

// handleDecision carries out the decision on a call with a key.
func (c *call) handleDecision(ctx context.Context, d idempotency.Decision) {
	switch d.Kind {
	case idempotency.KindRun:
		c.runClaim(d.Run)
	case idempotency.KindJoined:
		c.join(ctx, d.Run)
	case idempotency.KindForward:
		c.forwardToHolder(ctx, d)
	case idempotency.KindRan:
		c.fail(keyedRan(d.Status, d.Reason))
	case idempotency.KindRefused:
		c.fail(keyedNotRun(d.Reason))
	default:
		c.fail(keyedUnknown(d.Reason))
	}
}

// logRetryAfter is the retry-after for calls refused because of the log.
const logRetryAfter = time.Second

func keyedNotRun(reason idempotency.Reason) *proxy.Failure {
	return proxy.NotRun(http.StatusServiceUnavailable, string(reason), "the call was not run under its idempotency key").WithRetryAfter(logRetryAfter)
}

func keyedUnknown(reason idempotency.Reason) *proxy.Failure {
	return proxy.Unknown(http.StatusBadGateway, string(reason), "the call may have run under its idempotency key")
}

func keyedRan(status int, reason idempotency.Reason) *proxy.Failure {
	return &proxy.Failure{
		Status: http.StatusConflict, Outcome: proxy.OutcomeRan, Reason: string(reason), RanStatus: status,
		Message: "the call ran under its idempotency key but its answer is no longer available",
	}
}

// runClaim runs a call whose claim this node holds. It continues when the caller
// disconnects, since the outcome is kept for repeats.
func (c *call) runClaim(run *idempotency.Run) {
	c.ctx = context.WithoutCancel(c.ctx)
	if f := c.proxy.arrivalRefusal(c.started); f != nil {
		c.releaseClaim(run, f)
		return
	}
	s, f := c.admit()
	if f != nil {
		c.releaseClaim(run, f)
		return
	}
	defer s.release(false) // also when the handler panics
	a, f := c.exchange()
	if f != nil {
		s.release(false)
		c.resolveFailure(run, f)
		return
	}
	defer a.Close()
	c.relayAndKeep(run, s, a)
}

// releaseClaim ends the claim of a call that the backend server did not run.
func (c *call) releaseClaim(run *idempotency.Run, f *proxy.Failure) {
	c.proxy.cfg.Coordinator.Release(run, idempotency.Reason(f.Reason), time.Now())
	c.fail(f)
}

func (c *call) resolveFailure(run *idempotency.Run, f *proxy.Failure) {
	if f.Outcome == proxy.OutcomeNotRun {
		c.releaseClaim(run, f)
		return
	}
	c.proxy.cfg.Coordinator.Finish(run, idempotency.Answer{Outcome: idempotency.OutcomeUnknown, Reason: idempotency.ReasonConnectionLost}, time.Now())
	c.fail(f)
}

// relayAndKeep relays the answer and keeps it for repeats of the call.
func (c *call) relayAndKeep(run *idempotency.Run, s *slot, a *proxy.Answer) {
	recorder := &answerRecorder{source: a.Body}
	a.Body = recorder
	_, err := c.relay(a)
	if errors.Is(err, proxy.ErrCallerWrite) {
		recorder.drain()
	}
	c.proxy.cfg.Coordinator.Finish(run, recorder.answer(a), time.Now())
	s.release(err == nil && a.StatusCode < http.StatusInternalServerError)
	if err != nil {
		proxy.Abort(c.w, c.r)
	}
}

// answerRecorder copies a body while it is read, up to
// idempotency.MaxAnswerBytes.
type answerRecorder struct {
	source   io.ReadCloser
	kept     bytes.Buffer
	tooLarge bool
	complete bool // read to io.EOF
}

// Read implements io.Reader.
func (r *answerRecorder) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.tooLarge = r.tooLarge || r.kept.Len()+n > idempotency.MaxAnswerBytes
	if !r.tooLarge {
		r.kept.Write(p[:n])
	}
	r.complete = err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (r *answerRecorder) Close() error { return r.source.Close() }

// drain reads the rest of a body that the caller no longer accepts.
func (r *answerRecorder) drain() {
	buf := make([]byte, proxy.CopyBufferBytes)
	for !r.tooLarge {
		if _, err := r.Read(buf); err != nil {
			return
		}
	}
}

// answer returns the answer to keep for repeats. Without the complete body it
// only says that the call ran.
func (r *answerRecorder) answer(a *proxy.Answer) idempotency.Answer {
	out := idempotency.Answer{Outcome: idempotency.OutcomeRan, Status: a.StatusCode, BodyComplete: r.complete && !r.tooLarge}
	if !out.BodyComplete {
		out.Reason = idempotency.ReasonAnswerNotKept
		return out
	}
	out.Header = make(http.Header, len(a.Header))
	proxy.CopyEndToEnd(out.Header, a.Header)
	for _, name := range proxy.InternalAnswerHeaders {
		delete(out.Header, name)
	}
	out.Body = r.kept.Bytes()
	return out
}

// join waits for a run of the same call and answers with its result.
func (c *call) join(ctx context.Context, run *idempotency.Run) {
	select {
	case <-run.Done():
		c.respondKept(run.Answer())
	case <-ctx.Done():
		c.fail(proxy.Unknown(http.StatusGatewayTimeout, proxy.ReasonDeadline, "the call is still running"))
	}
}

func (c *call) respondKept(a idempotency.Answer) {
	switch {
	case a.Outcome == idempotency.OutcomeNotRun:
		c.fail(keyedNotRun(a.Reason))
		return
	case a.Outcome != idempotency.OutcomeRan:
		c.fail(keyedUnknown(a.Reason))
		return
	case !a.BodyComplete:
		c.fail(keyedRan(a.Status, idempotency.ReasonAnswerNotKept))
		return
	}
	h := c.w.Header()
	proxy.CopyEndToEnd(h, a.Header)
	c.setNodeHeaders(h)
	h[proxy.HeaderOutcome] = []string{string(proxy.OutcomeRan)}
	c.w.WriteHeader(a.Status)
	_, _ = c.w.Write(a.Body)
}

// maxReclaims limits the new claims of this node after the holder of a key
// released its claim.
const maxReclaims = 3

// forwardToHolder forwards the call to the holder of its key, which answers with
// the result of its run. If the holder did not run it, the key is claimed here,
// at most maxReclaims times; if the holder cannot be reached or the call was
// already forwarded, the state in the log decides.
func (c *call) forwardToHolder(ctx context.Context, d idempotency.Decision) {
	address, ok := c.proxy.cfg.InboundAddressOf(d.Holder)
	if !ok || c.r.Header.Get(proxy.HeaderClaim) != "" {
		c.handleDecision(ctx, d.WithoutHolder())
		return
	}
	a, ok := c.sendToPeer(address, d.Claim)
	if !ok {
		c.handleDecision(ctx, d.WithoutHolder())
		return
	}
	if proxy.Outcome(a.Header.Get(proxy.HeaderOutcome)) == proxy.OutcomeNotRun && c.reclaims < maxReclaims {
		a.Close()
		c.reclaims++
		c.handleDecision(ctx, c.proxy.cfg.Coordinator.Begin(ctx, c.key, time.Now()))
		return
	}
	defer a.Close()
	hops := proxy.AnswerHopsOf(a.Header)
	c.setNodeHeaders(a.Header)
	a.Header[proxy.HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	if _, err := proxy.Relay(c.w, c.r, a); err != nil {
		proxy.Abort(c.w, c.r)
	}
}

func (c *call) sendToPeer(address, claim string) (*proxy.Answer, bool) {
	for _, fresh := range []bool{false, true} {
		left := time.Until(c.deadline)
		if left < proxy.MinAttemptTime || !c.body.Resendable() {
			return nil, false
		}
		header := proxy.RequestHeader(c.r)
		exchangeID := proxy.NewExchangeID()
		header[proxy.HeaderClaim] = []string{claim}
		header[proxy.HeaderExchangeID] = []string{exchangeID}
		header[proxy.HeaderDeadlineMs] = []string{proxy.FormatRemainingTime(left)}
		a, err := c.proxy.cfg.Peers.Send(c.ctx, proxy.Transmission{Address: address, Request: c.r, Header: header, Body: c.body, Wait: left, Fresh: fresh})
		switch {
		case err == nil && a.Header.Get(proxy.HeaderExchangeID) == exchangeID:
			c.earlyHints.Stop()
			return a, true
		case err == nil:
			a.Close()
		case err.Canceled:
			return nil, false
		}
	}
	return nil, false
}
