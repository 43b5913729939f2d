package outbound

import (
	"net/http"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// KeyOutcome is what the key of a call led to.
type KeyOutcome string

// Outcomes of the identification of a call.
const (
	KeyNotNeeded KeyOutcome = ""        // there are no organisations
	KeyKnown     KeyOutcome = "known"   // an organisation holds the key
	KeyUnknown   KeyOutcome = "unknown" // no organisation holds the key; refused
	KeyMissing   KeyOutcome = "missing" // no key on a route that is not public; refused
	KeyPublic    KeyOutcome = "public"  // no key on a public route
)

// KeyOutcomes lists the outcomes that are counted.
var KeyOutcomes = []KeyOutcome{KeyKnown, KeyUnknown, KeyMissing, KeyPublic}

// destination is what one generation decides about a call.
type destination struct {
	route        *snapshot.Route
	organisation *profile.Organisation // that makes the call; nil for none
	hidesKey     bool                  // Authorization is not sent on
	key          KeyOutcome
	fingerprint  string // of an unknown key
	rank         int    // see profile.CallRank
}

// resolve finds the route and the organisation of a call, or the reason to refuse
// it.
func (p *Proxy) resolve(r *http.Request) (destination, *proxy.Failure) {
	m := p.cfg.Snapshots.Lookup(proxy.HostOf(r), r.Method, proxy.PathOf(r))
	return decide(m, func(all *snapshot.Organisations) (*profile.Organisation, string, bool) {
		hash, carriesKey := proxy.KeyOf(r.Header)
		if !carriesKey {
			return nil, "", false
		}
		return all.Identify(hash), hash.Fingerprint(), true
	})
}

// callerFinder returns which of the organisations makes a call, nil if none holds
// its key, the fingerprint of that key, and whether the call carries one at all.
type callerFinder func(*snapshot.Organisations) (o *profile.Organisation, fingerprint string, carriesKey bool)

// decide returns what a generation decides about a call.
func decide(m snapshot.Match, caller callerFinder) (destination, *proxy.Failure) {
	switch {
	case m.Generation == 0:
		return destination{}, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNotReady, "the node has no configuration yet").WithRetryAfter(notReadyRetryAfter)
	case m.Route == nil:
		return destination{}, proxy.NotRun(http.StatusNotFound, proxy.ReasonNoRoute, "no route matches")
	}
	d := identify(m, caller)
	switch {
	case d.key == KeyUnknown:
		return d, proxy.NotRun(http.StatusUnauthorized, proxy.ReasonUnknownKey, "no organisation holds the key")
	case d.key == KeyMissing:
		return d, proxy.NotRun(http.StatusUnauthorized, proxy.ReasonMissingKey, "the route is not public and the call carries no key")
	case m.HeldBack:
		return d, proxy.NotRun(http.StatusServiceUnavailable, proxy.ReasonNoBackend, "the service has no backend server")
	}
	return d, nil
}

// identify decides which organisation makes a call, by the organisations of the
// generation that also decided the route. An unknown key is refused on public
// routes too, since no call may run under a key that nobody holds.
func identify(m snapshot.Match, caller callerFinder) destination {
	d := destination{route: m.Route, rank: m.Route.Rank}
	if m.Organisations == nil {
		return d
	}
	d.hidesKey = true
	organisation, fingerprint, carriesKey := caller(m.Organisations)
	switch {
	case organisation != nil:
		d.organisation, d.key = organisation, KeyKnown
	case carriesKey:
		d.key, d.fingerprint = KeyUnknown, fingerprint
	case m.Route.Public:
		d.key = KeyPublic
	default:
		d.key = KeyMissing
	}
	d.rank = profile.CallRank(d.organisation, m.Route.Rank)
	return d
}
