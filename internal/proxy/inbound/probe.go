package inbound

import (
	"context"
	"time"
)

// Probe looks whether the backend server takes connections and reports it,
// with whether that changed. Only the connection counts, since health
// endpoints lag or mislead. A server that comes back starts cold.
func (g *Proxy) Probe(ctx context.Context) (up, changed bool) {
	up = !g.cfg.Link.Refuses(ctx, g.cfg.Address)
	changed = g.down.CompareAndSwap(up, !up)
	if changed && up {
		g.cfg.Gate.ServerStarted(time.Now())
	}
	return up, changed
}
