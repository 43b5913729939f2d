package inbound

import (
	"log/slog"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// logFailure logs a call that this node answers with a failure, and the load at
// that time. A caller that disconnected is logged by the outbound proxy: here it
// looks the same as an attempt that was cancelled after another one answered.
func (c *call) logFailure(f *proxy.Failure) {
	p := c.proxy
	if f.Reason == proxy.ReasonCanceled || !p.cfg.Logger.Enabled(c.ctx, slog.LevelInfo) {
		return
	}
	load := p.cfg.Admission.Report(time.Now())
	p.cfg.Logger.LogAttrs(c.ctx, slog.LevelInfo, "call_turned_away",
		slog.String("call", c.callID()), slog.String("route", proxy.RouteOf(c.r.Header)), slog.String("organisation", proxy.OrganisationOf(c.r.Header)), slog.String("reason", f.Reason),
		slog.String("outcome", string(f.Outcome)), slog.Int("in_use", load.InUse), slog.Int("queued", load.Queued), slog.Int("slots", load.Slots), slog.Float64("limit", load.Limit),
		slog.Int64("wait_ms", load.Wait.Milliseconds()), slog.Int64("left_ms", time.Until(c.deadline).Milliseconds()),
		slog.Int64("patience_ms", proxy.MaxSlotWaitOf(c.r.Header).Milliseconds()), slog.Int64("elapsed_ms", time.Since(c.started).Milliseconds()))
}
