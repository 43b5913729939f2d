package snapshot

import (
	"net/url"
	"slices"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// callPath is the path of a call in the forms that routes are compared with.
type callPath struct {
	raw     string // as the caller sent it
	decoded string // percent-decoded, except for slashes
}

// newCallPath returns the forms of a path that was sent, without its query.
func newCallPath(raw string) callPath {
	return callPath{raw: raw, decoded: decodeSegments(raw)}
}

// decodeSegments decodes each segment of a path. An encoded slash stays encoded,
// since it does not separate segments (RFC 3986, 2.2).
func decodeSegments(raw string) string {
	if !strings.Contains(raw, "%") {
		return raw
	}
	segments := strings.Split(raw, "/")
	for i, segment := range segments {
		if decoded, err := url.PathUnescape(segment); err == nil {
			segments[i] = strings.ReplaceAll(decoded, "/", "%2F")
		}
	}
	return strings.Join(segments, "/")
}

// matches reports whether a call matches the route's methods and path prefix.
// The host is not compared.
func (r *Route) matches(method string, path callPath) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if r.PathMatch == profile.MatchLiteral {
		return strings.HasPrefix(path.raw, r.PathPrefix)
	}
	return hasSegmentPrefix(path.decoded, r.PathPrefix)
}

// hasSegmentPrefix compares whole segments: /a matches /a and /a/b but not /ab.
func hasSegmentPrefix(path, prefix string) bool {
	prefix = strings.TrimSuffix(prefix, "/")
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
