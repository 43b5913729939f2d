package rollout

import "time"

// Progress is what survives the coordinators of an order. It is recorded before
// the calls that it covers are granted.
type Progress struct {
	Service   string `json:"service"`
	Number    int64  `json:"number"`
	Node      string `json:"node"`
	ElapsedMs int64  `json:"elapsedMs"` // since the order
	WallMs    int64  `json:"wallMs"`    // Unix time of the record
	Exposed   int64  `json:"exposed"`   // calls that the target version may have got
	Seen      int64  `json:"seen"`      // calls that reached the service
}

// maxAbsence bounds the time that counts as passed between two coordinators, since
// clocks may jump.
const maxAbsence = time.Minute

// Reserve returns the progress to record before more calls are granted, and whether
// it is needed now.
func (m *Machine) Reserve(now time.Time, node string) (Progress, bool) {
	ahead := reserveAhead + int64(m.rate.rate*max(m.state.Share, m.nextPulseShare())*reserveSpan.Seconds())
	want := min(m.allowed, m.exposed()+ahead)
	p := Progress{
		Service: m.state.Service, Number: m.state.Number, Node: node,
		ElapsedMs: m.elapsed(now).Milliseconds(), WallMs: now.UnixMilli(), Exposed: max(want, m.reserved), Seen: m.seen(),
	}
	needed := m.state.Phase == Observing && m.state.Share > 0 && m.reserved-m.exposed() <= ahead/2 && want > m.reserved
	return p, needed
}

const (
	// reserveSpan is the time for which calls are reserved at once, at the rate of a
	// pulse, which would pass before the record is written; reserveAhead is their
	// least number.
	reserveSpan  = time.Second
	reserveAhead = 10
)

// Reserved tells the machine that a progress record was written.
func (m *Machine) Reserved(p Progress) { m.reserved = max(m.reserved, p.Exposed) }

// Inputs are the figures behind a decision, for the log.
type Inputs struct {
	Elapsed      time.Duration
	Judgement    Judgement
	Exposed      int64
	Allowed      int64
	Seen         int64
	Rate         float64
	Targets      int
	TargetAnswer int
}

// Inputs returns the figures behind the present state.
func (m *Machine) Inputs(now time.Time) Inputs {
	return Inputs{
		Elapsed: m.elapsed(now), Judgement: m.judgement, Exposed: m.exposed(), Allowed: m.allowed, Seen: m.seen(),
		Rate: m.rate.rate, Targets: m.countTargets(), TargetAnswer: m.targetAnswers(),
	}
}
