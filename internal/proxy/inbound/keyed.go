package inbound

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// serveOnce runs a call with a key at most once. The claim comes before the
// slot, so that a refusal speaks for every sending of the call: nobody ran it.
func (v *visit) serveOnce() {
	if v.guard.cfg.Once == nil {
		v.fail(onceRefused(idempotency.ReasonLogUnavailable))
		return
	}
	now := time.Now()
	rule := idempotency.KeyRule{AnyFormat: v.rule == proxy.AnyKeys, Retention: v.guard.cfg.Retention()}
	key, refusal := idempotency.ParseKey(v.r.Header.Get(proxy.HeaderKey), rule, now)
	if refusal != nil {
		v.fail(proxy.NotRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message))
		return
	}
	if f := v.takeBody(); f != nil {
		v.fail(f)
		return
	}
	ctx, cancel := context.WithDeadline(v.ctx, v.deadline)
	defer cancel()
	v.key = key
	claim := v.r.Header.Get(proxy.HeaderHeld)
	if claim != "" && v.guard.cfg.Once.ReleaseAbandoned(ctx, key, claim) {
		v.fail(proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonReleased, "the claim on the idempotency key was given up"))
		return
	}
	v.follow(ctx, v.guard.cfg.Once.Begin(ctx, key, now))
}

// follow carries out the decision on a keyed call.
func (v *visit) follow(ctx context.Context, d idempotency.Decision) {
	switch d.Kind {
	case idempotency.KindRun:
		v.runClaim(d.Run)
	case idempotency.KindJoined:
		v.join(ctx, d.Run)
	case idempotency.KindForward:
		v.sendToHolder(ctx, d)
	case idempotency.KindRan:
		v.fail(ranBefore(d.Status, d.Reason))
	case idempotency.KindRefused:
		v.fail(onceRefused(d.Reason))
	default:
		v.fail(onceUnknown(d.Reason))
	}
}

// logRetryAfter is the time after which the log is worth another try.
const logRetryAfter = time.Second

func onceRefused(reason idempotency.Reason) *proxy.Failure {
	return proxy.NotRun(http.StatusServiceUnavailable, string(reason), "the call was not run under its idempotency key").Later(logRetryAfter)
}

func onceUnknown(reason idempotency.Reason) *proxy.Failure {
	return proxy.Unknown(http.StatusBadGateway, string(reason), "the call may have run under its idempotency key")
}

func ranBefore(status int, reason idempotency.Reason) *proxy.Failure {
	return &proxy.Failure{
		Status: http.StatusConflict, Outcome: proxy.OutcomeRan, Reason: string(reason), RanStatus: status,
		Message: "the call ran under its idempotency key and its answer is gone",
	}
}

// runClaim runs a call whose claim was won. It goes on when the caller leaves,
// since the outcome is kept for repeats.
func (v *visit) runClaim(run *idempotency.Run) {
	v.ctx = context.WithoutCancel(v.ctx)
	if f := v.guard.closed(time.Now()); f != nil {
		v.release(run, f)
		return
	}
	p, f := v.admit()
	if f != nil {
		v.release(run, f)
		return
	}
	a, err := v.exchange()
	if err != nil {
		p.leave(false)
		v.settleFailure(run, err)
		return
	}
	defer a.Close()
	v.relayKept(run, p, a)
}

// release gives a claim back whose call was not sent to the backend server.
func (v *visit) release(run *idempotency.Run, f *proxy.Failure) {
	v.guard.cfg.Once.Release(run, idempotency.Reason(f.Reason), time.Now())
	v.fail(f)
}

func (v *visit) settleFailure(run *idempotency.Run, err *proxy.SendError) {
	f := v.failureOf(err)
	if f.Outcome == proxy.OutcomeNotRun {
		v.release(run, f)
		return
	}
	v.guard.cfg.Once.Finish(run, idempotency.Answer{Outcome: idempotency.OutcomeUnknown, Reason: idempotency.ReasonConnectionLost}, time.Now())
	v.fail(f)
}

// relayKept passes the answer on and keeps it for repeats of the call.
func (v *visit) relayKept(run *idempotency.Run, p *place, a *proxy.Answer) {
	kept := &keptAnswer{from: a.Body}
	a.Body = kept
	_, err := v.relay(a)
	if errors.Is(err, proxy.ErrCaller) {
		kept.drain()
	}
	v.guard.cfg.Once.Finish(run, kept.answer(a), time.Now())
	p.leave(err == nil && a.StatusCode < http.StatusInternalServerError)
	if err != nil {
		proxy.Abort(v.w, v.r)
	}
}

// keptAnswer copies a body while it is read, up to once.MaxAnswerBytes.
type keptAnswer struct {
	from  io.ReadCloser
	kept  bytes.Buffer
	large bool
	whole bool // read to its proper end
}

// Read implements io.Reader.
func (k *keptAnswer) Read(p []byte) (int, error) {
	n, err := k.from.Read(p)
	k.large = k.large || k.kept.Len()+n > idempotency.MaxAnswerBytes
	if !k.large {
		k.kept.Write(p[:n])
	}
	k.whole = err == io.EOF
	return n, err
}

// Close implements io.Closer.
func (k *keptAnswer) Close() error { return k.from.Close() }

// drain reads the rest of a body that the caller does not take.
func (k *keptAnswer) drain() {
	piece := make([]byte, proxy.PieceBytes)
	for !k.large {
		if _, err := k.Read(piece); err != nil {
			return
		}
	}
}

// answer returns what is kept for repeats. Without the whole body they are
// only told that the call ran.
func (k *keptAnswer) answer(a *proxy.Answer) idempotency.Answer {
	out := idempotency.Answer{Outcome: idempotency.OutcomeRan, Status: a.StatusCode, Whole: k.whole && !k.large}
	if !out.Whole {
		out.Reason = idempotency.ReasonAnswerNotKept
		return out
	}
	out.Header = make(http.Header, len(a.Header))
	proxy.CopyEndToEnd(out.Header, a.Header)
	for _, name := range proxy.InternalHeaders {
		delete(out.Header, name)
	}
	out.Body = k.kept.Bytes()
	return out
}

// join gives the answer of a run that is under way or over.
func (v *visit) join(ctx context.Context, run *idempotency.Run) {
	select {
	case <-run.Done():
		v.giveKept(run.Answer())
	case <-ctx.Done():
		v.fail(proxy.Unknown(http.StatusGatewayTimeout, proxy.ReasonDeadline, "the call still runs"))
	}
}

func (v *visit) giveKept(a idempotency.Answer) {
	switch {
	case a.Outcome == idempotency.OutcomeNotRun:
		v.fail(onceRefused(a.Reason))
		return
	case a.Outcome != idempotency.OutcomeRan:
		v.fail(onceUnknown(a.Reason))
		return
	case !a.Whole:
		v.fail(ranBefore(a.Status, idempotency.ReasonAnswerNotKept))
		return
	}
	h := v.w.Header()
	proxy.CopyEndToEnd(h, a.Header)
	v.tag(h)
	h[proxy.HeaderOutcome] = []string{string(proxy.OutcomeRan)}
	v.w.WriteHeader(a.Status)
	_, _ = v.w.Write(a.Body)
}

// maxHandovers bounds the claims that this node makes anew after the holder
// of a key gave its claim up.
const maxHandovers = 3

// sendToHolder sends the call on to the node that holds its key, which gives
// the answer of its run. When that node did not run it, the key is claimed
// here; when it is gone, the log's word is all that is left.
func (v *visit) sendToHolder(ctx context.Context, d idempotency.Decision) {
	address, ok := v.guard.cfg.GuardOf(d.Holder)
	if !ok || v.r.Header.Get(proxy.HeaderHeld) != "" {
		v.follow(ctx, d.WithoutHolder())
		return
	}
	a, ok := v.askHolder(address, d.Claim)
	if !ok {
		v.follow(ctx, d.WithoutHolder())
		return
	}
	if proxy.Outcome(a.Header.Get(proxy.HeaderOutcome)) == proxy.OutcomeNotRun && v.handovers < maxHandovers {
		a.Close()
		v.handovers++
		v.follow(ctx, v.guard.cfg.Once.Begin(ctx, v.key, time.Now()))
		return
	}
	defer a.Close()
	hops := proxy.AnswerHops(a.Header)
	v.tag(a.Header)
	a.Header[proxy.HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	if _, err := proxy.Relay(v.w, v.r, a); err != nil {
		proxy.Abort(v.w, v.r)
	}
}

func (v *visit) askHolder(address, claim string) (*proxy.Answer, bool) {
	for _, fresh := range []bool{false, true} {
		left := time.Until(v.deadline)
		if left < proxy.LeastAttempt || !v.body.Resendable() {
			return nil, false
		}
		header := proxy.RequestHeader(v.r)
		mark := strconv.FormatUint(rand.Uint64(), 36)
		header[proxy.HeaderHeld] = []string{claim}
		header[proxy.HeaderCall] = []string{mark}
		header[proxy.HeaderDeadlineMs] = []string{proxy.FormatDeadline(left)}
		a, err := v.guard.cfg.Peers.Send(v.ctx, proxy.Sending{Address: address, Request: v.r, Header: header, Body: v.body, Wait: left, Fresh: fresh})
		switch {
		case err == nil && a.Header.Get(proxy.HeaderCall) == mark:
			v.early.Stop()
			return a, true
		case err == nil:
			a.Close()
		case err.Canceled:
			return nil, false
		}
	}
	return nil, false
}
