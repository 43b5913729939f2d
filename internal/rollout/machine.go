package rollout

import (
	"math"
	"slices"
	"time"
)

const (
	// A version is observed for observeAfterStart from when its first server is
	// known, so that one that fails some seconds after its start is found out before
	// it gets a larger share; but for at least minObserve and at most maxObserve of
	// the duration, since a good version should be completed well before its end.
	observeAfterStart = 5500 * time.Millisecond
	minObserve        = 0.5
	maxObserve        = 0.7
	// minAnswers is how many answers a version must have given to be found good. After
	// lateObserve of the duration, fewer do for a service that gets fewer than
	// rareCalls a second: no exposure within the bounds would give them.
	minAnswers  = 20
	lateObserve = 0.8
	rareCalls   = 10
	// reportAge is the age of the last report up to which a server gets grants.
	reportAge = GrantLease
)

// MemberView is a backend server of the order's service as the coordinator's member
// table shows it.
type MemberView struct {
	Node    string
	Version string
	Slots   int
}

// Machine decides about one order on its coordinator. It is not safe for
// concurrent use.
type Machine struct {
	bounds Bounds
	state  State

	started     time.Time // of the order
	firstTarget time.Time // when a server of the target version was first known
	movingSince time.Time
	pulses      int       // begun; see setObservedShare
	pulseUntil  time.Time // end of the last one
	moved       bool      // all calls have moved
	quorate     bool      // see hearsMost
	carried     Progress  // of the coordinators before
	reserved    int64     // calls that the progress record covers
	allowed     int64     // calls that the target version may get by now
	servers     map[string]*known
	rate        rateMeter
	judgement   Judgement
	publishedAt time.Time
	published   State
	members     []MemberView
}

// NewMachine returns the machine of a coordinator. before is the progress record of
// an earlier one, zero for none, and have the newest state known. It decides nothing
// before Begin.
func NewMachine(b Bounds, have State, before Progress, now time.Time) *Machine {
	m := &Machine{bounds: b, state: NewState(have.Order), started: now, servers: map[string]*known{}}
	if have.Final() {
		m.state.Phase, m.state.Replaced = have.Phase, have.Replaced
	}
	m.state.Found, m.state.Earlier = have.Found, have.Earlier
	if have.Records(before.Number) {
		m.carried = before
		absent := time.Duration(now.UnixMilli()-before.WallMs) * time.Millisecond
		m.started = now.Add(-time.Duration(before.ElapsedMs)*time.Millisecond - min(max(absent, 0), maxAbsence))
	}
	m.reserved = m.carried.Exposed
	return m
}

// Begin sets the term of the coordinator and its node.
func (m *Machine) Begin(term int64, node string) { m.state.Term, m.state.Node = term, node }

// Report handles the report of a server and returns the grant.
func (m *Machine) Report(r Report, now time.Time) Grant {
	k := m.servers[r.Node]
	if k == nil {
		k = &known{}
		if m.carried.Number != 0 {
			k.base = r.Runs
		}
		m.servers[r.Node] = k
	}
	k.accept(r, now)
	g := Grant{Known: true, Term: m.state.Term, State: m.state, LeaseMs: m.bounds.Lease().Milliseconds()}
	if r.Version == m.state.Target {
		g.Limit = m.extend(k)
	} else {
		g.Refuse = m.refusesOthers(now)
	}
	return g
}

// judge compares the versions and rolls back a bad one. The move does not end the
// comparison: a version may fail only when it gets many calls. It reports whether
// the version is bad.
func (m *Machine) judge(s Strictness) bool {
	if m.state.Final() {
		return false
	}
	var other, target Evidence
	for _, k := range m.servers {
		if k.Version == m.state.Target {
			target.add(k.Report)
		} else {
			other.add(k.Report)
		}
	}
	if m.judgement = Compare(other, target, s); m.judgement.Bad {
		m.state.Phase, m.state.Share, m.state.Servers = RolledBack, 0, nil
	}
	return m.judgement.Bad
}

// extend returns the limit of a target server, raised by as much as it is expected
// to get until its next reports and the exposure has room for.
func (m *Machine) extend(k *known) int64 {
	switch m.state.Phase {
	case Moving, Completed:
		return Unlimited
	case RolledBack:
		return 0
	}
	if m.state.Share == 0 || !m.quorate || !m.state.receives(k.Node) {
		return max(k.limit, k.Runs)
	}
	want := k.Runs + m.chunk()
	if room := m.room(); want > max(k.limit, k.Runs) {
		k.limit = max(k.limit, k.Runs) + min(want-max(k.limit, k.Runs), max(room, 0))
	}
	return max(k.limit, k.Runs)
}

// chunk is how many calls a target server may get beyond those that it reported: twice
// what it is expected to get between two reports.
func (m *Machine) chunk() int64 {
	receivers := max(len(m.state.Servers), 1)
	if len(m.state.Servers) == 0 {
		receivers = max(m.countTargets(), 1)
	}
	expected := m.rate.rate * m.state.Share / float64(receivers) * TargetReportInterval.Seconds()
	return 2 + int64(2*expected)
}

// room returns how many calls may still be granted.
func (m *Machine) room() int64 { return min(m.allowed, m.reserved) - m.exposed() }

// exposed returns the calls that the target version may have got.
func (m *Machine) exposed() int64 {
	sum := int64(0)
	for _, k := range m.servers {
		if k.Version == m.state.Target {
			sum += k.granted()
		}
	}
	return m.carried.Exposed + sum
}

// seen returns the calls that reached the service since the order.
func (m *Machine) seen() int64 {
	sum := int64(0)
	for _, k := range m.servers {
		sum += k.passed()
	}
	return m.carried.Seen + sum
}

func (m *Machine) countTargets() int {
	n := 0
	for _, v := range m.members {
		if v.Version == m.state.Target {
			n++
		}
	}
	return n
}

// Step advances the machine and reports whether its state has to be published.
func (m *Machine) Step(now time.Time, members []MemberView) (publish bool) {
	m.members = members
	m.rate.update(now, m.seen())
	if m.firstTarget.IsZero() && m.countTargets() > 0 {
		m.firstTarget = now
	}
	if m.state.Phase == Moving {
		m.judge(whileMoving)
	} else {
		m.judge(whileObserving)
	}
	m.quorate = m.hearsMost(now)
	m.allowed = m.bounds.allowance(m.seen(), m.rate.rate, m.state.Duration()-m.elapsed(now))
	switch m.state.Phase {
	case Observing:
		m.observe(now)
	case Moving:
		m.moved = m.move(now)
	}
	return m.due(now)
}

// hearsMost reports whether more than half of the service's servers report. A
// coordinator that is cut off must not decide: it has no other version to compare
// with, and the nodes that it does not reach go on using the replaced servers.
func (m *Machine) hearsMost(now time.Time) bool {
	n := 0
	for _, v := range m.members {
		if k := m.servers[v.Node]; k != nil && now.Sub(k.at) <= reportAge {
			n++
		}
	}
	return 2*n > len(m.members)
}

// Quorate reports whether the coordinator hears most servers.
func (m *Machine) Quorate() bool { return m.quorate }

// End returns the final phase that has to be recorded, or "". A completion is
// recorded before it is published, since the replaced servers stop with it.
func (m *Machine) End() Phase {
	switch {
	case m.state.Recorded:
		return ""
	case m.state.Phase == RolledBack:
		return RolledBack
	case m.state.Phase == Moving && m.moved:
		return Completed
	}
	return ""
}

// due reports whether the state has to be published, and numbers it.
func (m *Machine) due(now time.Time) bool {
	changed := m.state.Phase != m.published.Phase || m.shareChanged() || !slices.Equal(m.state.Servers, m.published.Servers) || m.state.Recorded != m.published.Recorded
	if !changed && now.Sub(m.publishedAt) < PublishInterval {
		return false
	}
	m.state.Sequence++
	m.published, m.publishedAt = m.state, now
	return true
}

// shareChanged reports whether the share differs so much from the published one that it
// cannot wait for the next state. It follows the rate of calls all the time.
func (m *Machine) shareChanged() bool {
	const step = 0.2
	return math.Abs(m.state.Share-m.published.Share) > step*m.published.Share
}

func (m *Machine) elapsed(now time.Time) time.Duration { return now.Sub(m.started) }

// passed reports whether a share of the order's duration has passed.
func (m *Machine) passedShare(now time.Time, share float64) bool {
	return m.elapsed(now) >= time.Duration(share*float64(m.state.Duration()))
}

// observe sets the share while the version is judged, and begins the move when it
// was found good.
func (m *Machine) observe(now time.Time) {
	if m.firstTarget.IsZero() {
		return
	}
	if !m.quorate {
		m.state.Share, m.state.Servers = 0, nil
		return
	}
	m.setObservedShare(now)
	if !m.passedShare(now, minObserve) || now.Sub(m.firstTarget) < observeAfterStart && !m.passedShare(now, maxObserve) {
		return
	}
	if m.targetAnswers() < minAnswers && !m.isRare(now) || m.countTargets() == 0 {
		return
	}
	if m.judge(beforeMove) {
		return
	}
	m.state.Phase, m.movingSince = Moving, now
	m.state.Share, m.state.Servers = moveShares[0], nil
}

// isRare reports whether the service gets too few calls for a judgement in time.
func (m *Machine) isRare(now time.Time) bool {
	return m.passedShare(now, lateObserve) && float64(m.seen()) < rareCalls*m.elapsed(now).Seconds()
}

func (m *Machine) targetAnswers() int {
	n := 0
	for _, k := range m.servers {
		if k.Version == m.state.Target {
			for _, c := range k.Routes {
				n += c.Runs
			}
		}
	}
	return n
}

// Recorded tells the machine that the operator's status record holds a final phase,
// perhaps from another coordinator.
func (m *Machine) Recorded(p Phase) {
	m.state.Phase, m.state.Recorded = p, true
	m.state.Share, m.state.Servers = 0, nil
	if p == Completed {
		m.state.Share = 1
	}
}

// State returns the present state.
func (m *Machine) State() State { return m.state }
