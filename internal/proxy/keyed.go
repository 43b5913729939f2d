package proxy

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/once"
)

// serveOnce runs a call with a key at most once. The claim comes before the
// slot, so that a refusal speaks for every sending of the call: nobody ran it.
func (v *visit) serveOnce() {
	if v.guard.cfg.Once == nil {
		v.fail(onceRefused(once.ReasonLogUnavailable))
		return
	}
	now := time.Now()
	rule := once.KeyRule{Any: v.rule == anyKeys, Retention: v.guard.cfg.Retention()}
	key, refusal := once.ParseKey(v.r.Header.Get(HeaderKey), rule, now)
	if refusal != nil {
		v.fail(notRun(http.StatusBadRequest, string(refusal.Reason), refusal.Message))
		return
	}
	if f := v.takeBody(); f != nil {
		v.fail(f)
		return
	}
	ctx, cancel := context.WithDeadline(v.ctx, v.deadline)
	defer cancel()
	v.key = key
	claim := v.r.Header.Get(HeaderHeld)
	if claim != "" && v.guard.cfg.Once.Surrender(ctx, key, claim) {
		v.fail(notRun(http.StatusServiceUnavailable, ReasonReleased, "the claim on the idempotency key was given up"))
		return
	}
	v.follow(ctx, v.guard.cfg.Once.Begin(ctx, key, now))
}

// follow carries out the decision on a keyed call.
func (v *visit) follow(ctx context.Context, d once.Decision) {
	switch d.Kind {
	case once.KindRun:
		v.runClaim(d.Run)
	case once.KindJoined:
		v.join(ctx, d.Run)
	case once.KindElsewhere:
		v.sendToHolder(ctx, d)
	case once.KindRan:
		v.fail(ranBefore(d.Status, d.Reason))
	case once.KindRefused:
		v.fail(onceRefused(d.Reason))
	default:
		v.fail(onceUnknown(d.Reason))
	}
}

// logRetryAfter is the time after which the log is worth another try.
const logRetryAfter = time.Second

func onceRefused(reason once.Reason) *Failure {
	return notRun(http.StatusServiceUnavailable, string(reason), "the call was not run under its idempotency key").later(logRetryAfter)
}

func onceUnknown(reason once.Reason) *Failure {
	return unknown(http.StatusBadGateway, string(reason), "the call may have run under its idempotency key")
}

func ranBefore(status int, reason once.Reason) *Failure {
	return &Failure{
		Status: http.StatusConflict, Outcome: OutcomeRan, Reason: string(reason), RanStatus: status,
		Message: "the call ran under its idempotency key and its answer is gone",
	}
}

// runClaim runs a call whose claim was won. It goes on when the caller leaves,
// since the outcome is kept for repeats.
func (v *visit) runClaim(run *once.Run) {
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
func (v *visit) release(run *once.Run, f *Failure) {
	v.guard.cfg.Once.Release(run, once.Reason(f.Reason), time.Now())
	v.fail(f)
}

func (v *visit) settleFailure(run *once.Run, err *sendError) {
	f := v.failureOf(err)
	if f.Outcome == OutcomeNotRun {
		v.release(run, f)
		return
	}
	v.guard.cfg.Once.Finish(run, once.Answer{Outcome: once.OutcomeUnknown, Reason: once.ReasonConnectionLost}, time.Now())
	v.fail(f)
}

// relayKept passes the answer on and keeps it for repeats of the call.
func (v *visit) relayKept(run *once.Run, p *place, a *answer) {
	kept := &keptAnswer{from: a.Body}
	a.Body = kept
	_, err := v.relay(a)
	if errors.Is(err, errCaller) {
		kept.drain()
	}
	v.guard.cfg.Once.Finish(run, kept.answer(a), time.Now())
	p.leave(err == nil && a.StatusCode < http.StatusInternalServerError)
	if err != nil {
		abort(v.w, v.r)
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
	k.large = k.large || k.kept.Len()+n > once.MaxAnswerBytes
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
	piece := make([]byte, pieceBytes)
	for !k.large {
		if _, err := k.Read(piece); err != nil {
			return
		}
	}
}

// answer returns what is kept for repeats. Without the whole body they are
// only told that the call ran.
func (k *keptAnswer) answer(a *answer) once.Answer {
	out := once.Answer{Outcome: once.OutcomeRan, Status: a.StatusCode, Whole: k.whole && !k.large}
	if !out.Whole {
		out.Reason = once.ReasonAnswerNotKept
		return out
	}
	out.Header = make(http.Header, len(a.Header))
	copyEndToEnd(out.Header, a.Header)
	for _, name := range internalHeaders {
		delete(out.Header, name)
	}
	out.Body = k.kept.Bytes()
	return out
}

// join gives the answer of a run that is under way or over.
func (v *visit) join(ctx context.Context, run *once.Run) {
	select {
	case <-run.Done():
		v.giveKept(run.Answer())
	case <-ctx.Done():
		v.fail(unknown(http.StatusGatewayTimeout, ReasonDeadline, "the call still runs"))
	}
}

func (v *visit) giveKept(a once.Answer) {
	switch {
	case a.Outcome == once.OutcomeNotRun:
		v.fail(onceRefused(a.Reason))
		return
	case a.Outcome != once.OutcomeRan:
		v.fail(onceUnknown(a.Reason))
		return
	case !a.Whole:
		v.fail(ranBefore(a.Status, once.ReasonAnswerNotKept))
		return
	}
	h := v.w.Header()
	copyEndToEnd(h, a.Header)
	v.tag(h)
	h[HeaderOutcome] = []string{string(OutcomeRan)}
	v.w.WriteHeader(a.Status)
	_, _ = v.w.Write(a.Body)
}

// maxHandovers bounds the claims that this node makes anew after the holder
// of a key gave its claim up.
const maxHandovers = 3

// sendToHolder sends the call on to the node that holds its key, which gives
// the answer of its run. When that node did not run it, the key is claimed
// here; when it is gone, the log's word is all that is left.
func (v *visit) sendToHolder(ctx context.Context, d once.Decision) {
	address, ok := v.guard.cfg.GuardOf(d.Holder)
	if !ok || v.r.Header.Get(HeaderHeld) != "" {
		v.follow(ctx, d.WithoutHolder())
		return
	}
	a, ok := v.askHolder(address, d.Claim)
	if !ok {
		v.follow(ctx, d.WithoutHolder())
		return
	}
	if Outcome(a.Header.Get(HeaderOutcome)) == OutcomeNotRun && v.handovers < maxHandovers {
		a.Close()
		v.handovers++
		v.follow(ctx, v.guard.cfg.Once.Begin(ctx, v.key, time.Now()))
		return
	}
	defer a.Close()
	hops := answerHops(a.Header)
	v.tag(a.Header)
	a.Header[HeaderAnswerHops] = []string{strconv.Itoa(hops + 1)}
	if _, err := relay(v.w, v.r, a); err != nil {
		abort(v.w, v.r)
	}
}

func (v *visit) askHolder(address, claim string) (*answer, bool) {
	for _, fresh := range []bool{false, true} {
		left := time.Until(v.deadline)
		if left < leastAttempt || !v.body.resendable() {
			return nil, false
		}
		header := requestHeader(v.r)
		mark := strconv.FormatUint(rand.Uint64(), 36)
		header[HeaderHeld] = []string{claim}
		header[HeaderCall] = []string{mark}
		header[HeaderDeadlineMs] = []string{formatDeadline(left)}
		a, err := v.guard.cfg.Peers.send(v.ctx, sending{address: address, in: v.r, header: header, body: v.body, wait: left, fresh: fresh})
		switch {
		case err == nil && a.Header.Get(HeaderCall) == mark:
			v.early.stop()
			return a, true
		case err == nil:
			a.Close()
		case err.canceled:
			return nil, false
		}
	}
	return nil, false
}
