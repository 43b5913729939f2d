package membership

import (
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxIDBytes bounds the length of names in an entry; the names of services may
	// be as long in a configuration in force.
	maxIDBytes = 1024
	// maxSlots bounds the slots of one backend server.
	maxSlots = 1 << 16
	// maxClockAhead is how far an incarnation, which is a start time, may lie in
	// the future. Clocks of instances differ by seconds; an incarnation years
	// ahead would keep the real node from ever being newer.
	maxClockAhead = 24 * time.Hour
)

// Validate reports why an entry cannot be from a node. Entries come from other
// nodes and from storage that others may write to.
func (m Member) Validate(now time.Time) error {
	if m.ID == "" {
		return errors.New("the entry has no id")
	}
	for _, name := range []string{m.ID, m.Service, m.Region, m.FailureDomain, m.ServerID, m.Version} {
		if len(name) > maxIDBytes {
			return errors.Newf("a name of %d bytes is too long", len(name))
		}
	}
	latest := now.Add(maxClockAhead).UnixNano()
	switch _, known := statusRank[m.Status]; {
	case !known:
		return errors.Newf("unknown status %q", m.Status)
	case m.Incarnation < 0 || m.Incarnation > latest:
		return errors.Newf("the incarnation %d is out of range", m.Incarnation)
	case m.ServerStartNs < 0 || m.ServerStartNs > latest:
		return errors.Newf("the server's start %d is out of range", m.ServerStartNs)
	case m.Sequence == math.MaxUint64:
		return errors.New("the sequence number leaves no room for a newer entry")
	case m.Slots < 0 || m.Slots > maxSlots:
		return errors.Newf("%d slots are out of range", m.Slots)
	}
	return errors.CombineErrors(validateAddress(m.PeerAddress), validateAddress(m.InboundAddress))
}

// validateAddress checks the port of an address. One without a port may name a
// node of a network within one process; one that is empty belongs to a node that
// has left.
func validateAddress(address string) error {
	if !strings.Contains(address, ":") {
		return nil
	}
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return errors.Wrap(err, "address")
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 {
		return errors.Newf("the port of address %q is out of range", address)
	}
	return nil
}
