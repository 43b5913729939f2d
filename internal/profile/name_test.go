package profile

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestNames guards against a name outside the convention in a document that an
// operator writes, and against a document in force that is refused for its names:
// those of a platform's configuration follow other conventions.
func TestNames(t *testing.T) {
	for _, tt := range []struct {
		name             string
		written, inForce bool
	}{
		{"offers-2", true, true},
		{strings.Repeat("n", 64), true, true},
		{"offers_v2", false, true},
		{"Offers", false, true},
		{strings.Repeat("n", 65), false, true},
		{"é/ %", false, true},
		{strings.Repeat("n", 1025), false, false},
		{"", false, false},
	} {
		text := fmt.Appendf(nil, `{"kind":"profile","name":%q,"routes":[{"name":%[1]q,"service":%[1]q}]}`, tt.name)
		_, found := ParseFile("file", text)
		assert.Equal(t, len(found) == 0, tt.written, "%q: %v", tt.name, found)
		_, err := Entry{Key: Key{Kind: KindProfile, Name: tt.name}, Document: text}.Parse()
		assert.Equal(t, err == nil, tt.inForce, "%q: %v", tt.name, err)
	}
}
