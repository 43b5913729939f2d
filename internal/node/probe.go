package node

import (
	"context"
	"time"
)

// probeTimeout bounds one probe. The backend server runs on the same instance.
const probeTimeout = time.Second

// probeBackend probes the backend server periodically, so that the node detects
// its failure and its recovery without calls.
func (n *Node) probeBackend(ctx context.Context) {
	runEvery(ctx, n.settings.BackendServer.ProbeEvery.D(), func(time.Time) {
		limited, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()
		up, changed := n.inbound.Probe(limited)
		n.backendUp.Store(up)
		switch {
		case changed && up:
			n.logger.Info("backend_up", "address", n.settings.BackendServer.Address)
		case changed:
			n.logger.Warn("backend_down", "address", n.settings.BackendServer.Address)
		}
	})
}
