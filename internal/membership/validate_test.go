package membership

import (
	"math"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOddEntriesAreRefused guards against an entry of another writer that routes
// calls to an address without a server, or that no real entry can supersede.
func TestOddEntriesAreRefused(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	good := Member{
		ID: "n", Incarnation: now.UnixNano(), Sequence: 3, Service: "s", Region: "r", FailureDomain: "d",
		PeerAddress: "10.0.0.1:7620", InboundAddress: "10.0.0.1:8300", Slots: 9, Status: StatusAlive,
	}
	assert.NilError(t, good.Validate(now))
	skewed := good
	skewed.Incarnation = now.Add(time.Minute).UnixNano()
	assert.NilError(t, skewed.Validate(now), "clocks of instances differ")
	for _, c := range []struct {
		name   string
		change func(*Member)
	}{
		{"no id", func(m *Member) { m.ID = "" }},
		{"long id", func(m *Member) { m.ID = strings.Repeat("x", 64<<10) }},
		{"long service", func(m *Member) { m.Service = strings.Repeat("x", 64<<10) }},
		{"unknown status", func(m *Member) { m.Status = "sleeping" }},
		{"no status", func(m *Member) { m.Status = "" }},
		{"incarnation far in the future", func(m *Member) { m.Incarnation = math.MaxInt64 }},
		{"negative incarnation", func(m *Member) { m.Incarnation = -1 }},
		{"server start far in the future", func(m *Member) { m.ServerStartNs = math.MaxInt64 }},
		{"last sequence number", func(m *Member) { m.Sequence = math.MaxUint64 }},
		{"negative slots", func(m *Member) { m.Slots = -1 }},
		{"huge slots", func(m *Member) { m.Slots = math.MaxInt64 }},
		{"port 0", func(m *Member) { m.PeerAddress = "10.0.0.1:0" }},
		{"port 70000", func(m *Member) { m.InboundAddress = "10.0.0.1:70000" }},
		{"negative port", func(m *Member) { m.InboundAddress = "10.0.0.1:-1" }},
		{"port name", func(m *Member) { m.InboundAddress = "10.0.0.1:http" }},
		{"two ports", func(m *Member) { m.InboundAddress = "10.0.0.1:1:2" }},
	} {
		m := good
		c.change(&m)
		assert.Assert(t, m.Validate(now) != nil, c.name)
	}
}

// TestRefuteNearLimits guards against a refutation whose number wraps around, so
// that the node stays dead for all others.
func TestRefuteNearLimits(t *testing.T) {
	self := Member{ID: "n", Incarnation: 7, Sequence: 1, Status: StatusAlive}
	for _, received := range []Member{
		{ID: "n", Incarnation: 7, Sequence: math.MaxUint64, Status: StatusDead},
		{ID: "n", Incarnation: 7, Sequence: math.MaxUint64 - 1, Status: StatusDead},
		{ID: "n", Incarnation: 8, Sequence: 0, Status: StatusDead},
	} {
		refuted, ok := Refute(self, received)
		assert.Assert(t, ok && refuted.Newer(received), "%+v", refuted)
	}
}
