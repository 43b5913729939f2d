package quota

import (
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// isolatedShare is the part of its equal share of a quota that a node uses
	// while it reaches no counter. The counters learn of the lost node seconds
	// later, so two halves must fit in the room above the quota.
	isolatedShare = 0.5
	// minUnconfirmed is the least number of calls of an organisation that a node
	// admits before a counter has confirmed them. Small organisations would
	// otherwise be refused on a node that gets two calls at once.
	minUnconfirmed = 4
	// unconfirmedRetryAfter is the retry-after when a counter has to confirm calls
	// first: a few round trips between nodes.
	unconfirmedRetryAfter = 50 * time.Millisecond
	// maxAnswerAge is how old the answer of a counter may be, see NeedsAnswer. It is
	// longer than the time between two reports of a node with steady calls.
	maxAnswerAge  = time.Second
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// unknownMembers stands for the number of nodes before it is known, so that a
	// node that has just started uses next to nothing of a quota.
	unknownMembers = 1000
	// idleAccountAge is how long an account without calls is kept.
	idleAccountAge = time.Minute
)

// Limiter decides on the calls that enter one node. Accounts are sharded by
// organisation.
type Limiter struct {
	self     string
	bounds   Bounds
	accounts *shard.Map[account]
	members  atomic.Int64 // nodes among which an unreachable counter's quota is split
	inTouch  atomic.Bool  // a counter answered the last report
	limited  atomic.Bool  // a restriction is in force
	answered atomic.Int64 // Unix time in ns of the last answer; 0 before the first one
	notify   func(Attention)
	notified atomic.Bool // of AttentionLater since the last Collect
}

// account is the state of one organisation on this node.
type account struct {
	limit      Limit
	asked      int64 // not reported yet
	admitted   int64 // not reported yet
	sent       int64 // admitted, reported and not confirmed yet
	restricted bool
	fraction   float64 // of calls to admit while restricted
	credit     float64 // fractions of admitted calls that add up to whole ones
	isolated   bucket  // used while no counter answers
	used       time.Time
	allowed    uint64 // since the start
	refused    uint64 // since the start
}

// NewLimiter returns the limiter of a node. It calls notify, outside of locks,
// when counts are to be reported; notify must not block.
func NewLimiter(self string, bounds Bounds, notify func(Attention)) *Limiter {
	l := &Limiter{self: self, bounds: bounds, accounts: shard.NewMap[account](shard.DefaultCount), notify: notify}
	l.members.Store(unknownMembers)
	return l
}

// SetMembers sets the number of nodes, in touch or not, that share the quotas.
func (l *Limiter) SetMembers(n int) { l.members.Store(int64(max(n, 1))) }

// Take decides on one call of an organisation.
func (l *Limiter) Take(now time.Time, organisation string, limit Limit) Decision {
	if limit.RatePerSecond <= 0 {
		return Decision{Allowed: true}
	}
	var d Decision
	var attention Attention
	l.accounts.Update(organisation, func(a account, _ bool) (account, bool) {
		a.limit, a.used = limit, now
		d, attention = l.take(&a, organisation, now)
		a.count(d)
		return a, true
	})
	// The loop is woken once for each report and not for each call.
	if attention == AttentionNow || l.notified.CompareAndSwap(false, true) {
		l.notify(attention)
	}
	return d
}

// take decides on one call by what the node knows.
func (l *Limiter) take(a *account, organisation string, now time.Time) (Decision, Attention) {
	if l.inTouch.Load() {
		return l.takeCounted(a)
	}
	return l.takeIsolated(a, organisation, now), AttentionNow
}

// Preview is what Take or TakeUnanswered would decide on one call.
type Preview struct {
	Decision
	// Fraction is the fraction of the organisation's calls that the counter has this
	// node admit, 1 without a restriction.
	Fraction float64
	// Alone means that no counter answers, so that the node uses a part of its equal
	// share of the quota and Fraction says nothing.
	Alone bool
	// AwaitsAnswer means that the call would wait for the answer of a counter first.
	// The decision is the one without it.
	AwaitsAnswer bool
}

// Preview returns what would be decided on a call now. It decides on a copy of the
// account, and counts, changes and reports nothing.
func (l *Limiter) Preview(now time.Time, organisation string, limit Limit) Preview {
	if limit.RatePerSecond <= 0 {
		return Preview{Decision: Decision{Allowed: true}, Fraction: 1}
	}
	a, _ := l.accounts.Get(organisation)
	a.limit = limit
	p := Preview{Fraction: a.admittedFraction(), Alone: !l.inTouch.Load(), AwaitsAnswer: l.NeedsAnswer(now, organisation, limit)}
	if p.AwaitsAnswer {
		p.Decision = l.takeIsolated(&a, organisation, now)
	} else {
		p.Decision, _ = l.take(&a, organisation, now)
	}
	return p
}

// admittedFraction returns the fraction of calls that the counter allows.
func (a *account) admittedFraction() float64 {
	if a.restricted {
		return a.fraction
	}
	return 1
}

func (a *account) count(d Decision) {
	if d.Allowed {
		a.allowed++
	} else {
		a.refused++
	}
}

// TakeUnanswered decides on one call without what a counter said before, after
// NeedsAnswer was true and no answer came.
func (l *Limiter) TakeUnanswered(now time.Time, organisation string, limit Limit) Decision {
	var d Decision
	l.accounts.Update(organisation, func(a account, _ bool) (account, bool) {
		a.limit, a.used = limit, now
		d = l.takeIsolated(&a, organisation, now)
		a.count(d)
		return a, true
	})
	return d
}

// NeedsAnswer reports whether a call should wait for the answer of a counter: none
// has answered since the start, or too many calls are unconfirmed, or the last
// answer is old and the node's share of the quota is less than one call. Without
// the last rule each of many nodes with few calls would admit one that the counter
// would restrict.
func (l *Limiter) NeedsAnswer(now time.Time, organisation string, limit Limit) bool {
	if limit.RatePerSecond <= 0 {
		return false
	}
	answered := l.answered.Load()
	if !l.inTouch.Load() {
		return answered == 0
	}
	if l.share(limit) < 1 && now.Sub(time.Unix(0, answered)) > maxAnswerAge {
		return true
	}
	a, _ := l.accounts.Get(organisation)
	return float64(a.sent+a.admitted) >= l.maxUnconfirmed(limit)
}

// GiveBack returns the token of an admitted call that reached no backend server.
func (l *Limiter) GiveBack(organisation string) {
	l.accounts.Update(organisation, func(a account, ok bool) (account, bool) {
		if ok && l.inTouch.Load() {
			a.admitted--
		}
		return a, ok
	})
}

// takeCounted decides while a counter answers: everything is admitted until the
// counter restricts the organisation, as long as it confirms the calls.
func (l *Limiter) takeCounted(a *account) (Decision, Attention) {
	a.asked++
	limit := l.maxUnconfirmed(a.limit)
	unconfirmed := float64(a.sent + a.admitted)
	attention := AttentionLater
	if unconfirmed+1 >= limit/2 {
		attention = AttentionNow
	}
	if unconfirmed >= limit {
		return Decision{RetryAfter: unconfirmedRetryAfter}, AttentionNow
	}
	if a.restricted && !a.takeFraction() {
		return Decision{RetryAfter: retryAfter(a.fraction)}, attention
	}
	a.admitted++
	return Decision{Allowed: true}, attention
}

// maxUnconfirmed returns the number of calls that the node admits before they are
// confirmed: a share of half of the room, since all nodes may use theirs at once when
// the burst is spent.
func (l *Limiter) maxUnconfirmed(limit Limit) float64 {
	return max(minUnconfirmed, math.Floor(l.bounds.room(limit)/2/float64(l.members.Load())))
}

func (l *Limiter) share(limit Limit) float64 {
	return (limit.Burst + l.bounds.room(limit)/2) / float64(l.members.Load())
}

// takeFraction admits the restricted fraction of calls at even distances.
func (a *account) takeFraction() bool {
	a.credit += a.fraction
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}

// retryAfter returns the time in which one call out of the restricted fraction
// becomes due if demand stays as it is, in units of the counter's horizon.
func retryAfter(fraction float64) time.Duration {
	if fraction <= 0 {
		return maxRetryAfter
	}
	wait := time.Duration((1/fraction - 1) * float64(levelHorizon))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// takeIsolated decides while no counter answers: the node uses part of its equal
// share.
func (l *Limiter) takeIsolated(a *account, organisation string, now time.Time) Decision {
	share := isolatedShare / float64(l.members.Load())
	rate := a.limit.RatePerSecond * share
	if a.isolated.take(now, rate, l.isolatedBurst(a.limit, organisation, share)) {
		return Decision{Allowed: true}
	}
	wait := time.Duration(float64(time.Second) / rate)
	return Decision{RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
}

// isolatedBurst returns this node's whole number of calls out of the burst and
// the slack. The fraction that is left is one call on the nodes that a hash
// selects, since a node cannot admit part of a call.
func (l *Limiter) isolatedBurst(limit Limit, organisation string, share float64) float64 {
	whole, fraction := math.Modf((limit.Burst + l.bounds.Slack) * share)
	hash := xxhash.Sum64String(organisation + "\x00" + l.self)
	if float64(hash)/math.MaxUint64 < fraction {
		whole++
	}
	return whole
}

// bucket is a token bucket.
type bucket struct {
	tokens float64
	at     time.Time // zero before the first call, when the bucket is full
}

func (b *bucket) take(now time.Time, rate, burst float64) bool {
	if b.at.IsZero() {
		b.tokens, b.at = burst, now
	}
	// With a capacity below one call the bucket would never admit any.
	b.tokens = min(b.tokens+rate*max(now.Sub(b.at).Seconds(), 0), max(burst, 1))
	b.at = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Collect returns what is to be reported and keeps it as unconfirmed until
// Confirm is called with it. Only one report may be under way.
func (l *Limiter) Collect(now time.Time) []Count {
	l.notified.Store(false)
	var out []Count
	l.accounts.UpdateAll(func(organisation string, a account) (account, bool) {
		if a.asked == 0 && a.admitted == 0 {
			return a, a.restricted || a.sent != 0 || now.Sub(a.used) < idleAccountAge
		}
		out = append(out, Count{Organisation: organisation, Limit: a.limit, Asked: a.asked, Admitted: a.admitted})
		a.sent += a.admitted
		a.asked, a.admitted = 0, 0
		return a, true
	})
	return out
}

// Confirm applies the answer to a report.
func (l *Limiter) Confirm(now time.Time, reported []Count, answer Answer) {
	for _, c := range reported {
		l.accounts.Update(c.Organisation, func(a account, ok bool) (account, bool) {
			a.sent -= c.Admitted
			return a, ok
		})
	}
	l.inTouch.Store(true)
	l.answered.Store(now.UnixNano())
	if wasLimited := l.limited.Swap(len(answer.Restrictions) > 0); !wasLimited && len(answer.Restrictions) == 0 {
		return
	}
	fractions := make(map[string]float64, len(answer.Restrictions))
	for _, r := range answer.Restrictions {
		fractions[r.Organisation] = r.Fraction
		l.accounts.Update(r.Organisation, func(a account, _ bool) (account, bool) {
			if !a.restricted {
				// A random start keeps nodes with few calls each from all admitting
				// their first one, or none.
				a.credit = rand.Float64()
			}
			a.restricted, a.fraction = true, r.Fraction
			return a, true
		})
	}
	l.accounts.UpdateAll(func(organisation string, a account) (account, bool) {
		_, a.restricted = fractions[organisation]
		return a, true
	})
}

// Fail records that no counter answered a report. Its counts stay unconfirmed and
// are to be reported again as they are.
func (l *Limiter) Fail() { l.inTouch.Store(false) }

// Restricted reports whether a restriction is in force, which the node has to
// keep up to date.
func (l *Limiter) Restricted() bool { return l.limited.Load() }

// InTouch reports whether a counter answered the last report.
func (l *Limiter) InTouch() bool { return l.inTouch.Load() }

// AccountView is the state of one organisation on this node, for the state dump
// and metrics.
type AccountView struct {
	Organisation string  `json:"organisation"`
	Allowed      uint64  `json:"allowed"`
	Refused      uint64  `json:"refused"`
	Unconfirmed  int64   `json:"unconfirmed"`
	Fraction     float64 `json:"fraction"` // of calls admitted
}

// Accounts returns the state of every organisation with calls lately.
func (l *Limiter) Accounts() []AccountView {
	var out []AccountView
	l.accounts.Range(func(organisation string, a account) bool {
		v := AccountView{Organisation: organisation, Allowed: a.allowed, Refused: a.refused, Unconfirmed: a.sent + a.admitted, Fraction: a.admittedFraction()}
		out = append(out, v)
		return true
	})
	return out
}
