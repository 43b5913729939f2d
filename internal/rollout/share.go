package rollout

import (
	"cmp"
	"slices"
	"time"
)

const (
	// Calls to a version that is judged alternate between few to all of its servers
	// and, for pulseLength, as many to one as it has slots, since a version may fail
	// only under load.
	pulseLength = 800 * time.Millisecond
	// The last pulse begins lastPulse before the end of the observation and spends what
	// is left, until lastAnswers before it, when answers have to be known.
	lastPulse   = 1800 * time.Millisecond
	lastAnswers = 500 * time.Millisecond
	// tricklePart is the part of the exposure that is spent outside the pulses.
	tricklePart = 0.2
	// maxObservedShare bounds the share in a pulse, which fills a server of a small
	// service.
	maxObservedShare = 0.8
	// pulseOverload is the load of a server in a pulse in relation to its slots.
	pulseOverload = 1.3
	minShare      = 0.01
)

// setObservedShare sets the share and the servers that get it while the version is
// judged, such that the exposure lasts until the end of the observation.
func (m *Machine) setObservedShare(now time.Time) {
	targets := m.freshTargets(now)
	switch {
	case len(targets) == 0 || m.rate.rate <= 0:
		// The first calls go to the servers before the rate is known.
		m.state.Share, m.state.Servers = minShare, nil
	case m.allowed <= m.exposed():
		m.state.Share, m.state.Servers = 0, nil
	case now.Before(m.pulseUntil):
	case m.pulseDue(now, targets):
		server := targets[m.pulses%len(targets)]
		m.pulses++
		m.pulseUntil = now.Add(pulseLength)
		if last := m.observationEnd().Add(-lastAnswers); last.Sub(now) < 2*pulseLength && last.After(m.pulseUntil) {
			m.pulseUntil = last
		}
		m.state.Servers, m.state.Share = []string{server.Node}, m.fillingShare(server)
	default:
		span := m.observationEnd().Sub(m.firstTarget).Seconds()
		m.state.Servers, m.state.Share = nil, clampShare(tricklePart*float64(m.allowed)/max(span, 1)/m.rate.rate)
	}
}

// pulseDue reports whether the exposure has room for a pulse: as much as it grows by
// over the observation, or what is left before its end.
func (m *Machine) pulseDue(now time.Time, targets []MemberView) bool {
	cost := m.rate.rate * m.fillingShare(targets[m.pulses%len(targets)]) * pulseLength.Seconds()
	end := m.observationEnd()
	progress := now.Sub(m.firstTarget).Seconds() / max(end.Sub(m.firstTarget).Seconds(), 1)
	room := float64(m.allowed)*min(progress, 1) - float64(m.exposed())
	last := end.Sub(now) <= lastPulse && m.pulseUntil.Before(end.Add(-lastPulse))
	return room >= cost || last
}

// nextPulseShare is the share of the next pulse.
func (m *Machine) nextPulseShare() float64 {
	for _, v := range m.members {
		if v.Version == m.state.Target {
			return m.fillingShare(v)
		}
	}
	return 0
}

// fillingShare is the share of the calls that fills the slots of one server.
func (m *Machine) fillingShare(server MemberView) float64 {
	running := 0
	for _, k := range m.servers {
		running += k.Running
	}
	return clampShare(pulseOverload * float64(server.Slots) / float64(max(running, 1)))
}

// clampShare rounds a share, so that it does not change with each report, and bounds
// it.
func clampShare(share float64) float64 {
	share = float64(int(share*100)) / 100
	return min(max(share, minShare), maxObservedShare)
}

// observationEnd returns when the version will have been observed for long enough.
func (m *Machine) observationEnd() time.Time {
	d := float64(m.state.Duration())
	end := m.firstTarget.Add(observeAfterStart)
	earliest, latest := m.started.Add(time.Duration(minObserve*d)), m.started.Add(time.Duration(maxObserve*d))
	if end.Before(earliest) {
		return earliest
	}
	if end.After(latest) {
		return latest
	}
	return end
}

// freshTargets returns the servers of the target version that report, sorted by
// node.
func (m *Machine) freshTargets(now time.Time) []MemberView {
	var out []MemberView
	for _, v := range m.members {
		if k := m.servers[v.Node]; v.Version == m.state.Target && k != nil && now.Sub(k.at) <= reportAge {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b MemberView) int { return cmp.Compare(a.Node, b.Node) })
	return out
}
