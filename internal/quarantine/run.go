package quarantine

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Admission tells whether a request may be sent or run now.
type Admission string

// Admissions of a request.
const (
	Admitted Admission = "admitted"
	// Refused means that the fingerprint is in quarantine.
	Refused Admission = "refused"
	// Busy means that a suspect has to wait: it or, on a server, another
	// suspect runs already. The request was not run and may come again.
	Busy Admission = "busy"
)

// Pass is held while a request is out. Release must be called once it ended.
type Pass struct {
	release func()
}

// Release lets the next suspect go. Further calls have no effect.
func (p *Pass) Release() {
	if p == nil || p.release == nil {
		return
	}
	release := p.release
	p.release = nil
	release()
}

// Send admits a request at the node that routes it. A suspect is sent by one
// call at a time, so that it endangers one server at a time. The Pass is nil
// unless the request is admitted.
func (l *List) Send(fp Fingerprint, now time.Time) (*Pass, Admission) {
	answer := Admitted
	claimed := false
	l.records.Update(fp.String(), func(r record, ok bool) (record, bool) {
		switch r.entry.state(now, l.cfg.Expiry) {
		case Quarantined:
			answer = Refused
		case Suspect:
			if r.sent {
				answer = Busy
				break
			}
			r.sent = true
			claimed = true
		}
		return r, ok
	})
	return newPass(answer, claimed, func() { l.unsend(fp) }), answer
}

func (l *List) unsend(fp Fingerprint) {
	l.records.Update(fp.String(), func(r record, ok bool) (record, bool) {
		r.sent = false
		return r, ok
	})
}

// Run admits a request at the node that guards a server. A server runs one
// suspect at a time: when it crashes, the requests that were suspects before
// are told apart from each other.
func (l *List) Run(fp Fingerprint, server string, now time.Time) (*Pass, Admission) {
	switch l.Check(fp, now).State {
	case Quarantined:
		return nil, Refused
	case Clear:
		return &Pass{}, Admitted
	}
	claimed := false
	l.solo.Update(server, func(have Fingerprint, ok bool) (Fingerprint, bool) {
		if ok {
			return have, true
		}
		claimed = true
		return fp, true
	})
	if !claimed {
		return nil, Busy
	}
	return newPass(Admitted, true, func() { l.solo.Delete(server) }), Admitted
}

func newPass(a Admission, claimed bool, release func()) *Pass {
	switch {
	case a != Admitted:
		return nil
	case !claimed:
		return &Pass{}
	}
	return &Pass{release: release}
}

// InFlight counts the requests that run on each backend server, sharded by
// server. It answers which requests a crash makes suspect.
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
