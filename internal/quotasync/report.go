package quotasync

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
)

const (
	// askTimeout bounds one report. It is several times the delay of a busy node.
	askTimeout = 400 * time.Millisecond
	// silentPeriod is how long a node that did not answer is asked last. The member
	// table shows a dead node only after 4 to 5 s.
	silentPeriod = 2 * time.Second
	// firstInterval is the time to the first report of a node's calls, before a
	// counter has named one.
	firstInterval = 400 * time.Millisecond
	// minReportGap and failedReportGap are the least times between two reports.
	minReportGap    = 3 * time.Millisecond
	failedReportGap = 100 * time.Millisecond
	// maxFailedReportGap bounds the backoff while no counter answers.
	maxFailedReportGap = 2 * time.Second
)

var errNoCounter = errors.New("no node counts for the failure domain")

// runReports reports the calls of this node until the context ends. It waits
// without a timer while there is nothing to report.
func (a *Agent) runReports(ctx context.Context) {
	var timer alarm
	defer timer.stop()
	a.refresh(time.Now())
	r := reporter{agent: a, interval: firstInterval, gap: minReportGap, batch: newBatch()}
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.reports.later:
			timer.setWithin(r.interval)
		case <-a.reports.now:
			timer.setWithin(r.gap - time.Since(r.sent))
		case <-timer.channel():
			timer.stop()
			if r.report(ctx) {
				timer.setWithin(max(r.interval, r.gap))
			}
		}
	}
}

// reporter is the state of the report loop.
type reporter struct {
	agent    *Agent
	interval time.Duration // of reports that are not urgent
	gap      time.Duration
	sent     time.Time
	batch    batch
}

// batch is a report that is sent until it is answered.
type batch struct {
	counts   []quota.Count
	sequence uint32
	failed   bool // was sent and not answered
}

func newBatch() batch { return batch{sequence: rand.Uint32()} }

// next puts new counts into the batch, unless it has to be sent again.
func (b *batch) next(collect func() []quota.Count) {
	if b.failed {
		return
	}
	b.counts = collect()
	b.sequence++
}

// report sends one report and tells whether another one is due without a call.
func (r *reporter) report(ctx context.Context) (again bool) {
	a := r.agent
	repeated := r.batch.failed // then later calls still wait to be reported
	r.batch.next(func() []quota.Count { return a.Limiter.Collect(time.Now()) })
	if asked := a.asked.Swap(false); len(r.batch.counts) == 0 && !asked && a.Limiter.InTouch() && !a.Limiter.Restricted() {
		return false
	}
	defer a.endReport()
	answer, err := a.ask(ctx, r.batch)
	r.sent, r.batch.failed = time.Now(), err != nil
	if err != nil {
		a.Limiter.Fail()
		a.Logger.Debug("quota_report_failed", "error", err)
		r.gap = min(max(2*r.gap, failedReportGap), maxFailedReportGap)
		return true
	}
	a.Limiter.Confirm(r.sent, r.batch.counts, answer)
	a.logLimited(r.sent)
	r.gap = minReportGap
	if answer.Interval > 0 {
		r.interval = answer.Interval
	}
	return repeated || a.Limiter.Restricted()
}

// ask reports counts to the counter of this node's failure domain.
func (a *Agent) ask(ctx context.Context, b batch) (quota.Answer, error) {
	t := a.refresh(time.Now())
	request := peer.QuotaReport{SenderID: a.Self, Sequence: b.sequence, Counts: peer.NewQuotaCounts(b.counts)}
	candidates := t.domains[a.FailureDomain].candidates
	answer, err := a.askFirst(ctx, a.byAnswer(candidates), request, askTimeout, func() (peer.QuotaAnswer, error) {
		if candidates[0].ID != a.Self && a.sinceContact(time.Now()) > standInContactAge {
			return peer.QuotaAnswer{}, errNoCounter
		}
		local, attention := a.counter.Report(time.Now(), b.counts)
		a.sharing.send(attention)
		return peer.NewQuotaAnswer(local), nil
	})
	return answer.Decoded(), err
}

// standInContactAge is how lately a node must have been in contact with another
// one to count in place of a node that does not answer. A node that is cut off
// alone would otherwise count for itself.
const standInContactAge = time.Second

// maxAsked is how many candidates are asked for one message.
const maxAsked = 2

// askFirst sends a message to the first candidate that answers. local takes the
// place of the exchange with this node itself.
func (a *Agent) askFirst(ctx context.Context, candidates []membership.Member, request peer.QuotaReport, timeout time.Duration, local func() (peer.QuotaAnswer, error)) (peer.QuotaAnswer, error) {
	err := errNoCounter
	for _, m := range candidates[:min(len(candidates), maxAsked)] {
		if m.ID == a.Self {
			return local()
		}
		var answer peer.QuotaAnswer
		if answer, err = a.send(ctx, m, request, timeout); err == nil {
			return answer, nil
		}
	}
	return peer.QuotaAnswer{}, err
}

func (a *Agent) send(ctx context.Context, m membership.Member, request peer.QuotaReport, timeout time.Duration) (peer.QuotaAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answer, err := a.Peers.Quota(ctx, m, request)
	now := time.Now()
	if err != nil {
		a.silent.Set(m.ID, now.Add(silentPeriod))
		return answer, err
	}
	a.silent.Delete(m.ID)
	a.contact.Store(now.UnixNano())
	return answer, nil
}

// byAnswer returns the candidates with those last that did not answer lately.
func (a *Agent) byAnswer(candidates []membership.Member) []membership.Member {
	now := time.Now()
	out := slices.Clone(candidates)
	slices.SortStableFunc(out, func(x, y membership.Member) int {
		return a.silentRank(x.ID, now) - a.silentRank(y.ID, now)
	})
	return out
}

func (a *Agent) silentRank(id string, now time.Time) int {
	if until, ok := a.silent.Get(id); ok && now.Before(until) {
		return 1
	}
	return 0
}
