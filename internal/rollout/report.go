package rollout

import "time"

// Report is what the node of a backend server tells the coordinator of an order
// about that server, in totals since it learned of the order.
type Report struct {
	Service string                 `json:"service"`
	Number  int64                  `json:"number"` // of the order
	Node    string                 `json:"node"`
	Start   int64                  `json:"start"` // of the node, so that totals that begin anew are told apart
	Version string                 `json:"version"`
	Slots   int                    `json:"slots"`
	Runs    int64                  `json:"runs"`    // calls passed to the server
	Running int                    `json:"running"` // of these, not ended
	Refuses bool                   `json:"refuses"` // the node passes no call to a server that is replaced
	Routes  map[string]RouteCounts `json:"routes"`
	// Busy holds the part of Routes from when the server was busy. It is compared on
	// its own, since idle servers hide a version that fails only under load.
	Busy map[string]RouteCounts `json:"busy,omitempty"`
}

// Grant is the coordinator's answer to a Report. It holds for a short time, so that
// a server whose node loses the coordinator gets no more calls.
type Grant struct {
	Known bool  `json:"known"` // the node that answers coordinates the order
	Term  int64 `json:"term"`
	// Limit is the total of Report.Runs that a server of the target version may
	// reach.
	Limit int64 `json:"limit"`
	// Refuse asks the node of a server that is replaced to pass it no more calls.
	Refuse bool  `json:"refuse"`
	State  State `json:"state"`
	// LeaseMs is how long the grant holds, from when the report was sent.
	LeaseMs int64 `json:"leaseMs"`
}

// Unlimited is the limit of a version that was found good.
const Unlimited = int64(1) << 62

const (
	// GrantLease is the longest time for which a grant holds: six reports of a target
	// server, and over two messages of half a second each.
	GrantLease = 1250 * time.Millisecond
	// TargetReportInterval is the time between reports of a server of the target
	// version, and of all servers while calls move.
	TargetReportInterval = 200 * time.Millisecond
	// OtherReportInterval is that of the other servers, which may be hundreds.
	OtherReportInterval = 500 * time.Millisecond
)
