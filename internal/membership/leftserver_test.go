package membership

import (
	"testing"

	"gotest.tools/v3/assert"
)

func serverEntry(incarnation, startNs int64, serverID string, leaving bool) Member {
	m := Member{ID: "n", Incarnation: incarnation, Service: "s", Status: StatusAlive, ServerID: serverID, ServerStartNs: startNs, ServerLeaving: leaving}
	if leaving {
		m.Status = StatusDraining
	}
	return m
}

// TestDepartureOutlivesTheEntryThatSaysSo guards against a node that sends calls to
// a server that has left, because the server's node has restarted and announces it
// as running, and against one that sends none to a later start.
func TestDepartureOutlivesTheEntryThatSaysSo(t *testing.T) {
	leaving := serverEntry(1, 10, "i", true)
	for _, tt := range []struct {
		name     string
		received []Member
		callable bool
		hidden   bool // the departure is to be told to others
	}{
		{"a running server", []Member{serverEntry(1, 10, "i", false)}, true, false},
		{"it leaves", []Member{leaving}, false, false},
		{"the node restarts", []Member{leaving, serverEntry(2, 0, "", false)}, true, true},
		{"the node restarts and believes an old report", []Member{leaving, serverEntry(2, 10, "i", false)}, false, true},
		{"the departure arrives after the entry of the restarted node", []Member{serverEntry(2, 10, "i", false), leaving}, false, true},
		{"the restarted node knows", []Member{leaving, serverEntry(2, 10, "i", true)}, false, false},
		{"a later start under the same id", []Member{leaving, serverEntry(2, 11, "i", false)}, true, false},
		{"a later start under another id", []Member{leaving, serverEntry(1, 11, "j", false)}, true, false},
		{"a departure from before the start", []Member{serverEntry(2, 11, "i", false), leaving}, true, false},
		{"the later start leaves too", []Member{leaving, serverEntry(2, 11, "i", true), serverEntry(3, 11, "i", false)}, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			for i, m := range tt.received {
				m.Sequence = uint64(i)
				table.RecordLeftServers([]Member{m})
				table.Merge([]Member{m})
			}
			assert.Equal(t, len(table.Callable()) == 1, tt.callable)
			assert.Equal(t, table.CountCallable() == 1, tt.callable)
			assert.Equal(t, len(table.LeftServers()) == 1, tt.hidden)
		})
	}
}
