// Package quotasync exchanges the counts of internal/quota between nodes. Nodes
// report to the counter of their failure domain; counters tell each other. Nothing
// is sent while no organisation with a quota calls.
package quotasync

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Peers sends reports to other nodes.
type Peers interface {
	Quota(ctx context.Context, m membership.Member, r peer.QuotaReport) (peer.QuotaAnswer, error)
}

// Config holds the dependencies of an Agent.
type Config struct {
	Self          string
	FailureDomain string
	Members       func() []membership.Member
	LimitOf       func(organisation string) (quota.Limit, bool) // in the configuration in force
	Peers         Peers
	Bounds        quota.Bounds
	Logger        *slog.Logger
}

// Agent runs the exchange of one node.
type Agent struct {
	Config
	Limiter *quota.Limiter
	counter *quota.Counter

	reports  signals // from the limiter
	sharing  signals // from the counter
	topology atomic.Pointer[topology]
	// asked is set when a call waits for an answer, so that a report is sent even if
	// there is nothing to report. reportEnded is closed and replaced after each one.
	asked       atomic.Bool
	reportEnded atomic.Pointer[chan struct{}]
	contact     atomic.Int64 // Unix time in ns of the last message from or answer of another node
	// silent holds the time until which a node that did not answer is asked last.
	silent *shard.Map[time.Time]
	// unreached holds the domains whose counters do not answer.
	unreached *shard.Map[time.Time]
	limited   *shard.Map[limitedState]
	received  *shard.Map[uint32] // sequence of the last report, by sender and kind
}

// signals wakes a loop. Senders do not block.
type signals struct {
	later, now chan struct{}
}

func newSignals() signals {
	return signals{later: make(chan struct{}, 1), now: make(chan struct{}, 1)}
}

func (s signals) send(a quota.Attention) {
	target := s.later
	switch a {
	case quota.AttentionNone:
		return
	case quota.AttentionNow:
		target = s.now
	}
	select {
	case target <- struct{}{}:
	default:
	}
}

// New returns an Agent.
func New(cfg Config) *Agent {
	a := &Agent{
		Config: cfg, reports: newSignals(), sharing: newSignals(), counter: quota.NewCounter(cfg.Bounds),
		silent: shard.NewMap[time.Time](1), unreached: shard.NewMap[time.Time](1), limited: shard.NewMap[limitedState](0), received: shard.NewMap[uint32](0),
	}
	ended := make(chan struct{})
	a.reportEnded.Store(&ended)
	a.Limiter = quota.NewLimiter(cfg.Self, cfg.Bounds, a.reports.send)
	return a
}

// Run runs the loops until the context ends.
func (a *Agent) Run(ctx context.Context) {
	var running sync.WaitGroup
	running.Go(func() { a.runReports(ctx) })
	running.Go(func() { a.runSharing(ctx) })
	running.Wait()
}

// Enable asks a counter for the restrictions in force if none has answered yet, so
// that the first calls of organisations are not decided without one. It is called
// when the configuration has a quota.
func (a *Agent) Enable() {
	if !a.Limiter.InTouch() {
		a.reports.send(quota.AttentionNow)
	}
}

// maxWait bounds the time that a call waits for the answer of a counter. It is many
// round trips between regions, and short beside what callers notice.
const maxWait = 100 * time.Millisecond

// Take decides on one call of an organisation. It waits for a counter if what the
// node knows does not suffice.
func (a *Agent) Take(ctx context.Context, organisation string, limit quota.Limit) quota.Decision {
	if !a.Limiter.NeedsAnswer(time.Now(), organisation, limit) || a.waitForAnswer(ctx) {
		return a.Limiter.Take(time.Now(), organisation, limit)
	}
	return a.Limiter.TakeUnanswered(time.Now(), organisation, limit)
}

// Preview returns what Take would decide on a call now. It waits for nothing, counts
// nothing and sends no message.
func (a *Agent) Preview(organisation string, limit quota.Limit) quota.Preview {
	return a.Limiter.Preview(time.Now(), organisation, limit)
}

// GiveBack returns the token of a call that no backend server ran.
func (a *Agent) GiveBack(organisation string) { a.Limiter.GiveBack(organisation) }

// waitForAnswer asks a counter and reports whether a report ended in time.
func (a *Agent) waitForAnswer(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	ended := a.reportEnded.Load()
	a.asked.Store(true)
	a.reports.send(quota.AttentionNow)
	select {
	case <-*ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// endReport wakes the calls that wait for an answer.
func (a *Agent) endReport() {
	next := make(chan struct{})
	close(*a.reportEnded.Swap(&next))
}

// errUnreached refuses counts of a domain that this node takes to be out of reach:
// a part of the quotas is left to it, and its calls must not count twice. It then
// does the same.
var errUnreached = errors.New("the failure domain is taken to be out of reach")

// Quota handles a report of another node.
func (a *Agent) Quota(_ context.Context, r peer.QuotaReport) (peer.QuotaAnswer, error) {
	now := time.Now()
	a.contact.Store(now.UnixNano())
	a.refresh(now)
	if _, unreached := a.unreached.Get(r.FailureDomain); unreached && r.FailureDomain != a.FailureDomain {
		a.sharing.send(quota.AttentionNow) // it may be in reach again
		if len(r.Counts) > 0 {
			return peer.QuotaAnswer{}, errUnreached
		}
	}
	if a.isRepeat(r) {
		r.Counts = nil
	}
	if r.FailureDomain == "" {
		answer, attention := a.counter.Report(now, r.Decoded(a.LimitOf))
		a.sharing.send(attention)
		return peer.NewQuotaAnswer(answer), nil
	}
	if r.FailureDomain != a.FailureDomain {
		// The node that counts when this one fails then knows as much.
		a.sharing.send(a.counter.Merge(now, r.Decoded(a.LimitOf), a.FailureDomain))
		return peer.QuotaAnswer{}, nil
	}
	a.counter.Merge(now, r.Decoded(a.LimitOf))
	return peer.QuotaAnswer{}, nil
}

// isRepeat reports whether a report was received before: its sender did not get the
// answer.
func (a *Agent) isRepeat(r peer.QuotaReport) (repeat bool) {
	a.received.Update(r.SenderID+"\x00"+r.FailureDomain, func(last uint32, ok bool) (uint32, bool) {
		repeat = ok && last == r.Sequence
		return r.Sequence, true
	})
	return repeat
}

// refresh returns the topology and applies it to limiter and counter.
func (a *Agent) refresh(now time.Time) *topology {
	t := a.topology.Load()
	if t != nil && now.Sub(t.at) < topologyAge {
		return t
	}
	t = newTopology(now, a.Members())
	a.topology.Store(t)
	if t.members == 0 {
		return t // the node is not in its own table yet
	}
	a.Limiter.SetMembers(t.members)
	a.applyReach(now, t)
	return t
}

// contactAge is how long a message of another node shows that this one is not cut
// off alone.
const contactAge = 3 * time.Second

// applyReach sets whom the counter tells and what it may hand out.
func (a *Agent) applyReach(now time.Time, t *topology) {
	targets := make([]string, 0, len(t.domains))
	own := t.domains[a.FailureDomain]
	share := own.weight
	for name, d := range t.domains {
		if name == a.FailureDomain && d.alive < 2 {
			continue
		}
		targets = append(targets, name)
		if _, unreached := a.unreached.Get(name); !unreached && name != a.FailureDomain && d.alive > 0 {
			share += d.weight
		}
	}
	if a.cutOffAlone(now, t) {
		share = lostShare / float64(t.members)
	}
	a.counter.SetTargets(targets)
	a.counter.SetShare(min(share, 1))
}

// cutOffAlone reports whether the node is not alone and no other node was heard of,
// although it was tried.
func (a *Agent) cutOffAlone(now time.Time, t *topology) bool {
	if a.sinceContact(now) < contactAge || t.members < 2 {
		return false
	}
	for name, d := range t.domains {
		_, unreached := a.unreached.Get(name)
		if hasOther := d.alive > 1 || name != a.FailureDomain && d.alive > 0; hasOther && !unreached {
			return false
		}
	}
	return true
}

func (a *Agent) sinceContact(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, a.contact.Load()))
}

// Dump is the state of the exchange for the state dump.
type Dump struct {
	InTouch  bool                `json:"inTouch"` // a counter answered the last report
	Members  int                 `json:"members"`
	Share    float64             `json:"share"` // of the quotas that this node's counter may hand out
	Accounts []quota.AccountView `json:"accounts"`
	Tallies  []quota.TallyView   `json:"tallies"` // of the counter on this node
}

// Dump returns the state of the exchange.
func (a *Agent) Dump() any {
	d := Dump{
		InTouch: a.Limiter.InTouch(), Share: a.counter.Share(),
		Accounts: a.Limiter.Accounts(), Tallies: a.counter.Tallies(time.Now()),
	}
	if t := a.topology.Load(); t != nil {
		d.Members = t.members
	}
	return d
}
