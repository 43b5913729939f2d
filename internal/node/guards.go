package node

import (
	"context"
	"math"
	"time"

	"golang.org/x/sys/unix"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// guards bound what the connections of both hops hold together.
type guards struct {
	plan            memory.Plan
	caller, inbound *proxy.Guard
}

// newGuards derives the bounds from the limits of the process.
func (n *Node) newGuards() {
	plan := memory.NewPlan(n.settings.Platform.MemoryLimitMB, descriptorLimit(n.settings.Platform.DescriptorLimit), n.settings.BackendServer.Connections)
	n.guards = guards{
		plan:    plan,
		caller:  proxy.NewGuard(plan.CallerHeads, plan.CallerBuffers, plan.CallerConns),
		inbound: proxy.NewGuard(plan.InboundHeads, plan.InboundBuffers, plan.InboundConns),
	}
}

// descriptorLimit returns the lower of the configured limit, if it is set, and that
// of the operating system.
func descriptorLimit(configured int) int {
	limit := math.MaxInt32
	var system unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &system) == nil && system.Cur < math.MaxInt32 {
		limit = int(system.Cur)
	}
	if configured > 0 {
		limit = min(limit, configured)
	}
	return limit
}

// guardReportInterval bounds the lines about what the guards turned away.
const guardReportInterval = 10 * time.Second

// reportGuards logs what the guards turned away, at most one line per hop in
// guardReportInterval, until the context ends.
func (n *Node) reportGuards(ctx context.Context) {
	hops := []struct {
		name  string
		guard *proxy.Guard
		last  int64
	}{{name: "caller", guard: n.guards.caller}, {name: "inbound", guard: n.guards.inbound}}
	runEvery(ctx, guardReportInterval, func(time.Time) {
		for i := range hops {
			h := &hops[i]
			v := h.guard.View()
			if turned := v.Turned(); turned > h.last {
				n.logger.Warn("connections_turned_away", "hop", h.name, "since_last", turned-h.last,
					"long_heads", v.LongHeads, "refused_heads", v.RefusedHeads, "closed_conns", v.ClosedConns, "refused_conns", v.RefusedConns, "conns", v.Conns)
				h.last = turned
			}
		}
	})
}
