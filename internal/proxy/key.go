package proxy

import (
	"net/http"
	"strings"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// HeaderAuthorization carries the key of an organisation from callers. Where the
// configuration holds organisations, it goes no further than their node.
const HeaderAuthorization = "Authorization"

// keyScheme is the scheme of keys in HeaderAuthorization (RFC 6750, 2.1).
const keyScheme = "Bearer"

// KeyOf returns the hash of the key that a call carries, and false if it carries
// none: Authorization is missing, repeated, or of another scheme.
func KeyOf(h http.Header) (profile.KeyHash, bool) {
	values := h[HeaderAuthorization]
	if len(values) != 1 {
		return profile.KeyHash{}, false
	}
	scheme, key, ok := strings.Cut(values[0], " ")
	if !ok || !strings.EqualFold(scheme, keyScheme) {
		return profile.KeyHash{}, false
	}
	key = strings.Trim(key, " ")
	return profile.HashKey(key), key != ""
}

// SetOrganisation sets the header with the calling organisation for a backend
// server. A name that is no header value is sent percent-encoded, as FormatName
// does.
func SetOrganisation(h http.Header, d *Dialect, name string) {
	delete(h, HeaderOrganisation)
	delete(h, d.OrganisationName())
	if name == "" {
		return
	}
	if !isHeaderValue(name) {
		name = FormatName(name)
	}
	h[d.OrganisationName()] = []string{name}
}

// isHeaderValue reports whether a text arrives unchanged as the value of a header.
func isHeaderValue(text string) bool {
	for i := range len(text) {
		if text[i] < ' ' && text[i] != '\t' || text[i] == 0x7f {
			return false
		}
	}
	return strings.Trim(text, " \t") == text
}
