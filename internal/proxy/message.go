package proxy

import (
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// MaxHeaderBytes limits the request line and headers of a call, and the status
// line and headers of an answer.
const MaxHeaderBytes = 64 << 10

// MaxBodyBytes limits the body of a call, so that one caller cannot occupy a
// slot with an endless upload.
const MaxBodyBytes = 1 << 30

// HeaderLimit returns the limit on the request line and headers of a call.
func HeaderLimit(l profile.CallLimits) int64 { return effectiveLimit(l.HeaderBytes, MaxHeaderBytes) }

// BodyLimit returns the limit on the body of a call.
func BodyLimit(l profile.CallLimits) int64 { return effectiveLimit(l.BodyBytes, MaxBodyBytes) }

// effectiveLimit returns the configured limit, capped at the built-in maximum.
func effectiveLimit(limit, maximum int64) int64 {
	if limit <= 0 {
		return maximum
	}
	return min(limit, maximum)
}

// viaName identifies the system in Via headers, which RFC 9110, 7.6.3 requires
// of gateways.
const viaName = "1.1 goldcrestshed"

// errTarget marks a request target that cannot be forwarded byte for byte.
var errTarget = errors.New("request target cannot be passed on unchanged")

// isHopHeader reports whether a header belongs to one connection (RFC 9110,
// 7.6.1).
func isHopHeader(name string) bool {
	switch name {
	case "Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
		"Te", "Trailer", "Transfer-Encoding", "Upgrade":
		return true
	}
	return false
}

// CopyEndToEnd copies the end-to-end headers of a message to dst. Value slices
// are shared and must not be changed in place.
func CopyEndToEnd(dst, src http.Header) {
	for name, values := range src {
		if !isHopHeader(name) {
			dst[name] = values
		}
	}
	for _, line := range src["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(dst, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
}

// RequestHeader returns the headers of a call for the next hop, with capacity
// for those that the proxies add.
func RequestHeader(in *http.Request) http.Header {
	out := make(http.Header, len(in.Header)+12)
	CopyEndToEnd(out, in.Header)
	if hasToken(in.Header["Te"], "trailers") {
		out["Te"] = []string{"trailers"}
	}
	out["Via"] = append(in.Header["Via"][:len(in.Header["Via"]):len(in.Header["Via"])], viaName)
	if in.ContentLength == 0 {
		delete(out, "Expect") // there is no body to ask for
	}
	if _, ok := out["User-Agent"]; !ok {
		out["User-Agent"] = nil // keeps net/http from adding its own
	}
	return out
}

// hasToken reports whether a comma-separated header holds a token.
func hasToken(lines []string, token string) bool {
	for _, line := range lines {
		for part := range strings.SplitSeq(line, ",") {
			if strings.EqualFold(strings.TrimSpace(part), token) {
				return true
			}
		}
	}
	return false
}

// targetOf returns the URL with which net/http sends the request target of in
// unchanged to an address.
func targetOf(address string, in *http.Request) (*url.URL, error) {
	raw := originForm(in)
	if !strings.HasPrefix(raw, "//") {
		return &url.URL{Scheme: "http", Host: address, Opaque: raw}, nil
	}
	// net/http takes an opaque part that begins with two slashes for an
	// authority, so such a path goes through the parsed form.
	u := &url.URL{Scheme: "http", Host: address, Path: in.URL.Path, RawPath: in.URL.RawPath, RawQuery: in.URL.RawQuery, ForceQuery: in.URL.ForceQuery}
	if u.RequestURI() != raw {
		return nil, errTarget
	}
	return u, nil
}

// HostOf returns the host that a call names, in lower case and without port.
func HostOf(in *http.Request) string { return NormalizeHost(in.Host) }

// NormalizeHost returns a host in the form in which hosts of calls and of routes
// are compared: in lower case and without port.
func NormalizeHost(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// PathOf returns the path of a call as the caller sent it, without the query.
func PathOf(in *http.Request) string {
	path, _, _ := strings.Cut(originForm(in), "?")
	return path
}

// originForm returns the request target without scheme and authority.
func originForm(in *http.Request) string {
	raw := in.RequestURI
	if strings.HasPrefix(raw, "/") || raw == "*" {
		return raw
	}
	_, rest, ok := strings.Cut(raw, "://")
	if !ok {
		return in.URL.RequestURI()
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// HTTPRefusal returns the answer to a request that exceeds a limit or uses an
// unsupported feature of HTTP, or nil.
func HTTPRefusal(in *http.Request, l profile.CallLimits) *Failure {
	switch {
	case int64(headerBytes(in)) > HeaderLimit(l):
		return NotRun(http.StatusRequestHeaderFieldsTooLarge, ReasonHeaderTooLarge, "the request line and headers exceed the limit")
	case in.ContentLength > BodyLimit(l):
		return NotRun(http.StatusRequestEntityTooLarge, ReasonBodyTooLarge, "the body exceeds the limit")
	case in.Method == http.MethodConnect:
		return NotRun(http.StatusNotImplemented, ReasonUpgradeRefused, "CONNECT is not supported")
	case in.ProtoMajor == 1 && hasToken(in.Header["Connection"], "upgrade") && !hasToken(in.Header["Upgrade"], "h2c"):
		// An h2c upgrade may be ignored and the call answered over HTTP/1.1.
		// Other protocols would change the rest of the connection.
		return NotRun(http.StatusNotImplemented, ReasonUpgradeRefused, "protocol upgrades are not supported")
	}
	return nil
}

// headerBytes returns the least number of bytes that the head of a call can have had,
// since the white space of its lines is not known any more.
func headerBytes(in *http.Request) int {
	n := len(in.Method) + len(in.RequestURI) + len(in.Proto) + len(in.Host)
	for name, values := range in.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(":\r\n")
		}
	}
	return n
}
