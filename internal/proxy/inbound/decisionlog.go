package inbound

import (
	"log/slog"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// logRefusal writes the line for a call that the guard does not pass on, with
// what decided it. That a caller left is for the front to tell: the guard sees
// the same for each attempt that another one has beaten.
func (v *visit) logRefusal(f *proxy.Failure) {
	g := v.guard
	if f.Reason == proxy.ReasonCanceled || !g.cfg.Logger.Enabled(v.ctx, slog.LevelInfo) {
		return
	}
	load := g.cfg.Gate.Report(time.Now())
	id := ""
	if g.cfg.Dialect.CallID != "" {
		id = v.r.Header.Get(g.cfg.Dialect.CallID)
	}
	g.cfg.Logger.LogAttrs(v.ctx, slog.LevelInfo, "call_turned_away",
		slog.String("call", id), slog.String("route", v.r.Header.Get(proxy.HeaderRoute)), slog.String("reason", f.Reason),
		slog.String("outcome", string(f.Outcome)), slog.Int("in_use", load.InUse), slog.Int("queued", load.Queued), slog.Int("slots", load.Slots),
		slog.Int64("wait_ms", load.Wait.Milliseconds()), slog.Int64("left_ms", time.Until(v.deadline).Milliseconds()),
		slog.Int64("patience_ms", proxy.PatienceOf(v.r.Header).Milliseconds()), slog.Int64("elapsed_ms", time.Since(v.begun).Milliseconds()))
}
