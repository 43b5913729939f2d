package quarantine

import "github.com/goldcrestshed/goldcrestshed/internal/shard"

// InFlight counts the requests in flight on each backend server, sharded by
// server, to determine which requests become suspect when a server crashes.
type InFlight struct {
	servers *shard.Map[map[Fingerprint]int]
}

// NewInFlight returns an InFlight without requests.
func NewInFlight() *InFlight {
	return &InFlight{servers: shard.NewMap[map[Fingerprint]int](shard.DefaultCount)}
}

// Add records that a request was sent to a server.
func (f *InFlight) Add(server string, fp Fingerprint) {
	f.servers.Update(server, func(m map[Fingerprint]int, ok bool) (map[Fingerprint]int, bool) {
		if !ok {
			m = make(map[Fingerprint]int)
		}
		m[fp]++
		return m, true
	})
}

// Remove records that a request has ended.
func (f *InFlight) Remove(server string, fp Fingerprint) {
	f.servers.Update(server, func(m map[Fingerprint]int, ok bool) (map[Fingerprint]int, bool) {
		if m[fp] <= 1 {
			delete(m, fp)
			return m, len(m) > 0
		}
		m[fp]--
		return m, true
	})
}

// On returns the fingerprints in flight on a server.
func (f *InFlight) On(server string) []Fingerprint {
	var out []Fingerprint
	f.servers.Update(server, func(m map[Fingerprint]int, ok bool) (map[Fingerprint]int, bool) {
		for fp := range m {
			out = append(out, fp)
		}
		return m, ok
	})
	return out
}
