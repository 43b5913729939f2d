package snapshot

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// TestPathMatch guards against a route that takes calls of another one: by
// comparing decoded characters where it should compare those sent, or the
// reverse, and by taking an encoded slash for the end of a segment.
func TestPathMatch(t *testing.T) {
	for _, tt := range []struct {
		prefix, path      string
		segments, literal bool
	}{
		{"/", "/", true, true},
		{"/a", "/a", true, true},
		{"/a/", "/a", true, false},
		{"/a", "/a/b", true, true},
		{"/a", "/ab", false, true},
		{"/a/", "/a%2Fb", false, false},
		{"/a/", "/a%2fb", false, false},
		{"/a/", "/%61/b", true, false},
		{"/a b/", "/a%20b/c", true, false},
		{"/a%20b/", "/a%20b/c", false, true},
		{"/a/", "/A/b", false, false},
		{"/a/", "//a/b", false, false},
		{"/a/", "/a/../c", true, true},
	} {
		for match, want := range map[string]bool{"": tt.segments, profile.MatchSegments: tt.segments, profile.MatchLiteral: tt.literal} {
			r := &Route{Route: profile.Route{PathPrefix: tt.prefix, PathMatch: match}}
			assert.Equal(t, r.matches("GET", newCallPath(tt.path)), want, "prefix %s, path %s, match %q", tt.prefix, tt.path, match)
		}
	}
}
