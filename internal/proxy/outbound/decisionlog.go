package outbound

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
)

// refuse answers a call that is not sent and logs the reason.
func (p *Proxy) refuse(w http.ResponseWriter, r *http.Request, refusal *proxy.Failure, d *destination) {
	route := ""
	if d.route != nil {
		route = d.route.ID
	}
	attrs := []slog.Attr{
		slog.String("call", p.callID(r)), slog.String("route", route), slog.String("host", r.Host), slog.String("path", r.URL.Path),
		slog.Uint64("generation", p.cfg.Snapshots.Published()), slog.Int("status", refusal.Status),
		slog.String("reason", refusal.Reason), slog.Int64("retry_after_ms", refusal.RetryAfter.Milliseconds()),
	}
	attrs = append(attrs, d.organisationAttrs()...)
	switch refusal.Reason {
	case proxy.ReasonNoRoute, proxy.ReasonUnknownKey:
		attrs = append(attrs, p.configAgeAttrs()...)
	}
	p.cfg.Logger.LogAttrs(r.Context(), slog.LevelInfo, "call_refused", attrs...)
	refusal.Write(w, &p.cfg.Dialect)
}

// organisationAttrs names the organisation of a call, or the unknown key by its
// fingerprint. Keys are not logged.
func (d *destination) organisationAttrs() []slog.Attr {
	switch {
	case d.organisation != nil:
		return []slog.Attr{slog.String("organisation", d.organisation.Name)}
	case d.fingerprint != "":
		return []slog.Attr{slog.String("key_fingerprint", d.fingerprint)}
	}
	return nil
}

// configAgeAttrs returns the age of the configuration that decided a call: a
// route or key may be missing because the node has not got a newer configuration yet.
func (p *Proxy) configAgeAttrs() []slog.Attr {
	if p.cfg.ConfigAge == nil {
		return nil
	}
	age, known := p.cfg.ConfigAge()
	if !known {
		return nil
	}
	return []slog.Attr{slog.Int64("config_age_ms", age.Milliseconds())}
}

// callID returns the id that the caller gave the call, if the dialect has one.
func (p *Proxy) callID(r *http.Request) string {
	if p.cfg.Dialect.CallID == "" {
		return ""
	}
	return r.Header.Get(p.cfg.Dialect.CallID)
}

// logFailedCall logs a call that ended without a complete answer of a backend
// server. Successes are counted but not logged.
func (c *call) logFailedCall(failure *proxy.Failure, relayErr error) {
	log := c.proxy.cfg.Logger
	attrs := append(c.logAttrs(), slog.Int("tries", c.tries), slog.Int("refusals", c.refusals),
		slog.Int64("elapsed_ms", time.Since(c.started).Milliseconds()), slog.Int64("left_ms", c.remaining().Milliseconds()))
	switch {
	case relayErr != nil:
		log.LogAttrs(c.ctx, slog.LevelWarn, "call_cut", append(attrs, slog.Any("error", relayErr))...)
	case failure.Reason == proxy.ReasonCanceled:
		log.LogAttrs(c.ctx, slog.LevelInfo, "call_abandoned", append(attrs, failureAttrs(failure)...)...)
	case failure.Outcome == proxy.OutcomeNotRun:
		log.LogAttrs(c.ctx, slog.LevelInfo, "call_refused", append(attrs, failureAttrs(failure)...)...)
	default:
		log.LogAttrs(c.ctx, slog.LevelWarn, "call_failed", append(attrs, failureAttrs(failure)...)...)
	}
}

func failureAttrs(f *proxy.Failure) []slog.Attr {
	return []slog.Attr{
		slog.Int("status", f.Status), slog.String("reason", f.Reason), slog.String("message", f.Message),
		slog.Int64("retry_after_ms", f.RetryAfter.Milliseconds()),
	}
}

func (c *call) logAttrs() []slog.Attr {
	return append([]slog.Attr{
		slog.String("call", c.proxy.callID(c.r)), slog.String("route", c.route.ID), slog.String("service", c.service.Name),
		slog.Uint64("generation", c.proxy.cfg.Snapshots.Published()),
	}, c.organisationAttrs()...)
}

// logAttempt logs an attempt that did not succeed.
func (c *call) logAttempt(t *attemptResult, d retry.Decision) {
	log := c.proxy.cfg.Logger
	if t.succeeded() || !log.Enabled(context.Background(), slog.LevelInfo) {
		return
	}
	attrs := append(c.logAttrs(), slog.String("server", t.choice.Endpoint.ID), slog.String("outcome", string(t.outcome())),
		slog.String("reason", t.reason()), slog.Int("status", t.status()), slog.Int64("elapsed_ms", t.elapsed.Milliseconds()),
		slog.String("rule", d.Rule), slog.String("verdict", string(d.Verdict)))
	if t.err != nil {
		attrs = append(attrs, slog.Any("error", t.err.Cause), slog.Bool("sent", t.err.Sent), slog.Bool("reused", t.err.Reused))
	}
	log.LogAttrs(c.ctx, slog.LevelInfo, "attempt_failed", attrs...)
}
