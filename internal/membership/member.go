// Package membership holds the member table, failure detection and the choice
// of links between nodes. It does no I/O and reads no clock;
// internal/distribution runs the loops.
package membership

import "cmp"

// Status is the state of a member.
type Status string

// Member states in order of precedence: at the same incarnation and sequence
// the later one wins.
const (
	StatusAlive    Status = "alive"
	StatusSuspect  Status = "suspect"
	StatusDraining Status = "draining"
	StatusLeft     Status = "left"
	StatusDead     Status = "dead"
)

var statusRank = map[Status]int{StatusAlive: 0, StatusSuspect: 1, StatusDraining: 2, StatusLeft: 3, StatusDead: 4}

// Member is one node and its backend server.
type Member struct {
	ID             string `json:"id"`
	Incarnation    int64  `json:"incarnation"` // start time of the process in ns, so that a restart is newer
	Sequence       uint64 `json:"sequence"`    // incremented by the member itself on each change of its entry and to refute
	Service        string `json:"service"`
	Region         string `json:"region"`
	FailureDomain  string `json:"failureDomain"`
	PeerAddress    string `json:"peerAddress"`  // inner protocol
	InboundAddress string `json:"guardAddress"` // HTTP from other nodes
	Slots          int    `json:"slots"`
	Status         Status `json:"status"`

	// Set only where backend servers report their state to their node.
	ServerID      string `json:"serverId,omitempty"`     // id of the running backend server process
	ServerStartNs int64  `json:"serverBorn,omitempty"`   // its start time, Unix time in ns
	ServerReport  int64  `json:"serverReport,omitempty"` // sequence number of the newest report
	Version       string `json:"version,omitempty"`      // of its software
	// ServerLeaving is set after the backend server has reported that it shuts
	// down. Status does not show this: a node may also drain while its server
	// keeps running.
	ServerLeaving bool `json:"serverLeaving,omitempty"`
	// SourceLost is set while the member cannot reach the configuration source.
	// It is then a reader only if all routable members of its region have lost
	// the source.
	SourceLost bool `json:"sourceLost,omitempty"`
}

// Newer reports whether m supersedes o.
func (m Member) Newer(o Member) bool {
	if c := cmp.Compare(m.Incarnation, o.Incarnation); c != 0 {
		return c > 0
	}
	if c := cmp.Compare(m.Sequence, o.Sequence); c != 0 {
		return c > 0
	}
	return statusRank[m.Status] > statusRank[o.Status]
}

// Routable reports whether new calls may be sent to the member.
func (m Member) Routable() bool {
	return m.Status == StatusAlive || m.Status == StatusSuspect
}
