package rollout

import (
	"slices"
	"time"
)

const (
	// moveStep is the time for each share of moveShares, about twice the time in
	// which callers' nodes learn of it and servers report.
	moveStep = 400 * time.Millisecond
	// refuseAfter is the time with a share of 1 after which the servers that are
	// replaced refuse calls from nodes that have not learned of it.
	refuseAfter = moveStep
	// maxDrain is how long calls on the replaced servers may take to end, as a share
	// of the duration; they are cut off by the completion.
	maxDrain = 0.2
	// latestCompletion is the share of the duration after which a good version is
	// completed although calls run on replaced servers.
	latestCompletion = 0.93
)

// moveShares are the shares of a version that was found good.
var moveShares = []float64{0.3, 0.6, 1}

// refusesOthers reports whether the replaced servers take no new calls.
func (m *Machine) refusesOthers(now time.Time) bool {
	switch m.state.Phase {
	case Completed:
		return true
	case Moving:
		return m.state.Share >= 1 && now.Sub(m.movingSince) >= time.Duration(len(moveShares)-1)*moveStep+refuseAfter
	}
	return false
}

// move raises the share in steps and reports whether all calls have moved.
func (m *Machine) move(now time.Time) bool {
	if m.countTargets() == 0 {
		// They left before the move was complete.
		m.state.Phase, m.state.Share, m.firstTarget = Observing, 0, time.Time{}
		return false
	}
	since := now.Sub(m.movingSince)
	m.state.Share = moveShares[min(int(since/moveStep), len(moveShares)-1)]
	m.state.Replaced = m.replaced()
	if !m.refusesOthers(now) || !m.quorate {
		return false
	}
	drained := since >= time.Duration(len(moveShares))*moveStep+time.Duration(maxDrain*float64(m.state.Duration()))
	return m.othersIdle() || drained || m.passedShare(now, latestCompletion)
}

// replaced returns the versions that stop with the completion.
func (m *Machine) replaced() []string {
	var out []string
	for _, v := range m.members {
		if v.Version != m.state.Target && !slices.Contains(out, v.Version) {
			out = append(out, v.Version)
		}
	}
	slices.Sort(out)
	return out
}

// othersIdle reports whether no replaced server runs a call or gets a new one.
func (m *Machine) othersIdle() bool {
	for _, v := range m.members {
		if v.Version == m.state.Target {
			continue
		}
		if k := m.servers[v.Node]; k == nil || !k.Refuses || k.Running > 0 {
			return false
		}
	}
	return true
}
