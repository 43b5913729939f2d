package node

import (
	"context"
	"time"
)

// probeLimit bounds one look at the backend server beside the node.
const probeLimit = time.Second

// probeBackend looks at the backend server regularly, so that its end and its
// return are noticed without calls.
func (n *Node) probeBackend(ctx context.Context) {
	every(ctx, n.settings.BackendServer.ProbeEvery.D(), func(time.Time) {
		limited, cancel := context.WithTimeout(ctx, probeLimit)
		defer cancel()
		up, changed := n.guard.Probe(limited)
		n.backendUp.Store(up)
		switch {
		case changed && up:
			n.logger.Info("backend_up", "address", n.settings.BackendServer.Address)
		case changed:
			n.logger.Warn("backend_down", "address", n.settings.BackendServer.Address)
		}
	})
}
