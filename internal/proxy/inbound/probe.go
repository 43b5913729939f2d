package inbound

import (
	"context"
	"time"
)

// Probe checks whether the backend server accepts connections, and whether that
// changed. Health endpoints are not used, since they may lag or be wrong. A
// server that accepts connections again goes through a cold start.
func (p *Proxy) Probe(ctx context.Context) (up, changed bool) {
	up = !p.cfg.Backend.Refuses(ctx, p.cfg.Address)
	changed = p.backendDown.CompareAndSwap(up, !up)
	if changed && up {
		p.cfg.Admission.ServerStarted(time.Now())
	}
	return up, changed
}
