package quarantine

import "time"

// Admission is the decision whether a request may be sent or run now.
type Admission string

// Admissions of a request.
const (
	Admitted Admission = "admitted"
	// Refused means that the fingerprint is in quarantine.
	Refused Admission = "refused"
	// Busy means that a suspect has to wait: this node is sending it already, or
	// its server is running a suspect. The request was not run and may be retried.
	Busy Admission = "busy"
)

// Permit is held while a request is in flight. Release must be called when the
// request has ended.
type Permit struct {
	release func()
}

// Release lets the next suspect be admitted. Further calls have no effect.
func (p *Permit) Release() {
	if p == nil || p.release == nil {
		return
	}
	release := p.release
	p.release = nil
	release()
}

// AdmitSend decides at the outbound proxy whether a request may be sent. One call
// of a node at a time may send a suspect, so that it can crash only one server at
// a time. The Permit is nil unless the request is admitted.
func (l *List) AdmitSend(fp Fingerprint, now time.Time) (*Permit, Admission) {
	admission := Admitted
	acquired := false
	l.records.Update(fp.String(), func(r record, ok bool) (record, bool) {
		switch r.entry.state(now, l.cfg.Expiry) {
		case Quarantined:
			admission = Refused
		case Suspect:
			if r.sending {
				admission = Busy
				break
			}
			r.sending = true
			acquired = true
		}
		return r, ok
	})
	return newPermit(admission, acquired, func() { l.endSend(fp) }), admission
}

func (l *List) endSend(fp Fingerprint) {
	l.records.Update(fp.String(), func(r record, ok bool) (record, bool) {
		r.sending = false
		return r, ok
	})
}

// AdmitRun decides at the inbound proxy of a server whether the server may run a
// request. A server runs one suspect at a time, so that a crash
// distinguishes between suspects.
func (l *List) AdmitRun(fp Fingerprint, server string, now time.Time) (*Permit, Admission) {
	switch l.Check(fp, now).State {
	case Quarantined:
		return nil, Refused
	case Clear:
		return &Permit{}, Admitted
	}
	acquired := false
	l.runningSuspects.Update(server, func(running Fingerprint, ok bool) (Fingerprint, bool) {
		if ok {
			return running, true
		}
		acquired = true
		return fp, true
	})
	if !acquired {
		return nil, Busy
	}
	return newPermit(Admitted, true, func() { l.runningSuspects.Delete(server) }), Admitted
}

func newPermit(a Admission, acquired bool, release func()) *Permit {
	switch {
	case a != Admitted:
		return nil
	case !acquired:
		return &Permit{}
	}
	return &Permit{release: release}
}
