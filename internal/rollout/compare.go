package rollout

import (
	"maps"
	"math"
	"slices"
)

// Judgement is the result of a comparison of two versions.
type Judgement struct {
	Bad    bool
	Reason string // "failures" or "latency"
	Route  string // empty means all routes together
	Busy   bool   // only answers of busy servers were compared
	// Answers and BadOnes are those of the target version, and Expected the highest
	// share of bad ones that the other version explains.
	Answers  int
	BadOnes  int
	Expected float64
}

// Reasons of a judgement.
const (
	ReasonFailures = "failures"
	ReasonLatency  = "latency"
)

// Strictness is how sure a comparison must be that a version is bad: bad answers
// as many as chance gives with a lower probability, and at least a number of them.
type Strictness struct {
	Chance float64
	MinBad int
	Margin float64 // part of the margins that is granted
}

// Strictness of the comparisons of an order.
var (
	// whileObserving is for counts that are compared several times a second and by
	// route, of a version whose exposure is bounded.
	whileObserving = Strictness{Chance: 2e-4, MinBad: 3, Margin: 1}
	// beforeMove is for the one comparison before a version gets all calls. To roll
	// back a good version costs the operator a second order; to move calls to a bad
	// one costs answers.
	beforeMove = Strictness{Chance: 0.02, MinBad: 2, Margin: 0.5}
	// whileMoving is for a version whose exposure grows by the full rate of calls.
	whileMoving = Strictness{Chance: 2e-3, MinBad: 3, Margin: 1}
)

const (
	// toleratedGrowth and the margins bound how much worse than the other version
	// a good one may look: its servers are other ones, colder, and loaded on purpose.
	toleratedGrowth = 1.5
	failureMargin   = 0.02
	slowMargin      = 0.08
	// priorAnswers is how many good answers, and priorBad how many bad ones, the
	// other version counts beside its own. They matter while it has few.
	priorAnswers = 20
	priorBad     = 1
	// slowBuckets is how many buckets above the median of the other version an
	// answer counts as slow: 4 times as long. Servers of one version differ by up
	// to twice, and some slow down when they are nearly full.
	slowBuckets = 4
	// slowBusyBuckets is the same for busy servers: 8 times as long.
	slowBusyBuckets = 6
	// minTimed is the least number of answers of the other version that tells its
	// median.
	minTimed = 10
)

// Compare judges the target version of a rollout by its answers and those that the
// other version gave meanwhile, on each route and on all together. A route may be
// the only one that fails, and all together show what is too rare on each.
func Compare(other, target Evidence, s Strictness) Judgement {
	all := s.compareRoutes(other.All, target.All, slowBuckets)
	if all.Bad {
		return all
	}
	// The other version may never be busy; it then counts as it is.
	busy := other.Busy
	if runsOf(busy) < minTimed {
		busy = other.All
	}
	if j := s.compareRoutes(busy, target.Busy, slowBusyBuckets); j.Bad {
		j.Busy = true
		return j
	}
	return all
}

func runsOf(routes map[string]RouteCounts) int {
	n := 0
	for _, c := range routes {
		n += c.Runs
	}
	return n
}

func (s Strictness) compareRoutes(other, target map[string]RouteCounts, slowBuckets int) Judgement {
	var otherAll RouteCounts
	for _, c := range other {
		otherAll = otherAll.plus(c)
	}
	var sumOther, sumTarget tally
	for _, route := range slices.Sorted(maps.Keys(target)) {
		o, t := tallies(other[route], target[route], slowBuckets)
		sumOther, sumTarget = sumOther.plus(o), sumTarget.plus(t)
		if o.answers < minTimed {
			o.answers, o.failed = otherAll.Runs, otherAll.Failed
		}
		if j := s.compareTallies(o, t); j.Bad {
			j.Route = route
			return j
		}
	}
	sumOther.answers, sumOther.failed = otherAll.Runs, otherAll.Failed
	return s.compareTallies(sumOther, sumTarget)
}

// tally is the part of the counts of one or all routes that is compared.
type tally struct {
	answers, failed int
	timed, slow     int // answers in the histogram, and those that were slow
}

func (t tally) plus(o tally) tally {
	return tally{t.answers + o.answers, t.failed + o.failed, t.timed + o.timed, t.slow + o.slow}
}

// tallies returns what is compared of both versions on one route. What is slow there
// follows from the median of the other version; without one, no times are compared.
func tallies(other, target RouteCounts, slowBuckets int) (o, t tally) {
	o, t = tally{answers: other.Runs, failed: other.Failed}, tally{answers: target.Runs, failed: target.Failed}
	if other.timed() < minTimed {
		return o, t
	}
	slow := other.medianBucket() + slowBuckets
	o.timed, o.slow = other.timed(), other.from(slow)
	t.timed, t.slow = target.timed(), target.from(slow)
	return o, t
}

func (s Strictness) compareTallies(other, target tally) Judgement {
	j := s.judge(target.answers, target.failed, other.answers, other.failed, failureMargin)
	j.Reason = ReasonFailures
	if j.Bad || target.timed == 0 {
		return j
	}
	l := s.judge(target.timed, target.slow, other.timed, other.slow, slowMargin)
	l.Reason = ReasonLatency
	return l
}

// judge reports whether a number of bad answers is more than a good version would
// give by chance.
func (s Strictness) judge(answers, bad, otherAnswers, otherBad int, margin float64) Judgement {
	share := float64(otherBad+priorBad) / float64(otherAnswers+priorAnswers)
	j := Judgement{Answers: answers, BadOnes: bad, Expected: min(toleratedGrowth*share+s.Margin*margin, 1)}
	j.Bad = bad >= s.MinBad && float64(bad) > float64(answers)*j.Expected && binomialTail(answers, bad, j.Expected) < s.Chance
	return j
}

// binomialTail returns the probability of at least k successes in n trials, each
// with probability p.
func binomialTail(n, k int, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	if k > n || p <= 0 {
		return 0
	}
	logFactorial := func(x int) float64 { v, _ := math.Lgamma(float64(x + 1)); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		term := math.Exp(logFactorial(n) - logFactorial(i) - logFactorial(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
		sum += term
		if float64(i) > float64(n)*p && term < sum*1e-9 {
			break // the remaining terms fall faster than geometrically
		}
	}
	return min(sum, 1)
}
