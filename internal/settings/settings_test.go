package settings

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// TestFindingsAreReportedTogether guards against validation that stops at the
// first problem or reports a wrong position. Run with -update after an intended
// change.
func TestFindingsAreReportedTogether(t *testing.T) {
	data, err := os.ReadFile("testdata/bad.json")
	assert.NilError(t, err)
	_, found := Parse("bad.json", data)
	golden.Assert(t, found.Error()+"\n", "bad.golden")
}

const minimalSettings = `{
	"node": {"id": "n1", "service": "vitrine", "region": "gaucho", "failureDomain": "poa-a"},
	"listen": {"calls": "10.0.0.7:0", "guard": "10.0.0.7:0", "peer": "10.0.0.7:0"},
	"backendServer": {"address": "127.0.0.1:8080"}, "log": {"address": "127.0.0.1:7100"}, /* no more */
}`

// TestDefaultsFillAbsentFields guards against fields that are absent in the file and
// do not get their documented defaults.
func TestDefaultsFillAbsentFields(t *testing.T) {
	s, found := Parse("small.json", []byte(minimalSettings))
	assert.NilError(t, found.Err())
	assert.Equal(t, s.BackendServer.Slots, 18)
	assert.Equal(t, s.BackendServer.Connections, 110)
	assert.Equal(t, s.Logging.Level, "info")
	assert.Equal(t, s.Listen.Admin, "127.0.0.1:0", "the admin address binds to loopback by default")
}

// TestAnnouncedAddressesAreReachable guards against a node that announces an
// unspecified address, to which no other node can connect.
func TestAnnouncedAddressesAreReachable(t *testing.T) {
	for _, field := range []string{"guard", "peer"} {
		for _, address := range []string{"0.0.0.0:0", "[::]:0"} {
			text := strings.Replace(minimalSettings, `"`+field+`": "10.0.0.7:0"`, `"`+field+`": "`+address+`"`, 1)
			_, found := Parse("small.json", []byte(text))
			assert.Equal(t, len(found), 1, "%s %s: %v", field, address, found)
			assert.Equal(t, found[0].Path, "listen."+field)
		}
	}
}

// TestSyntaxErrorHasPosition guards against a syntax error without line and
// column.
func TestSyntaxErrorHasPosition(t *testing.T) {
	_, found := Parse("cut.json", []byte("{\n  \"node\": {,}\n}"))
	assert.Equal(t, len(found), 1)
	assert.Equal(t, found[0].Line, 2)
	assert.Assert(t, found[0].Column > 0)
}

// FuzzParse guards against input that makes Parse panic, and against findings
// without a problem text.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimalSettings))
	f.Add([]byte(`[]`))
	f.Add([]byte(`{"node": null, "peers": {"seeds": {}}, "drain": []}`))
	f.Add([]byte(`{"node": {"id": "n1"}, "node": 3, "": 1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, found := Parse("fuzz.json", data)
		checkTexts(t, found)
	})
}

func checkTexts(t *testing.T, found finding.List) {
	for _, f := range found {
		assert.Assert(t, f.Problem != "")
	}
}
