package node

import (
	"math/rand/v2"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// newCalls assembles the path of calls.
func (n *Node) newCalls() {
	n.front = proxy.NewFront(n.holder, proxy.NewLink(proxy.LinkConfig{}), pickRandom)
	n.guard = proxy.NewGuard(n.settings.BackendServer.Address, proxy.NewLink(proxy.LinkConfig{MaxConns: n.settings.BackendServer.Connections}))
}

func pickRandom(s *snapshot.Service) *snapshot.Endpoint {
	return s.Endpoints[rand.IntN(len(s.Endpoints))]
}
