package quotasync

import (
	"context"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
)

const (
	// shareInterval is the time after which counts are sent that are not urgent.
	shareInterval = 800 * time.Millisecond
	// minShareGap bounds the messages between domains while an organisation sends a
	// multiple of its usual.
	minShareGap = 50 * time.Millisecond
	// shareTimeout bounds one message to a counter of another domain.
	shareTimeout = 250 * time.Millisecond
	// unreachedAfter is how long the counters of a domain may fail to answer before
	// their part of the quotas is left to them: two of them were asked. Until then
	// both sides may spend the same tokens.
	unreachedAfter = 500 * time.Millisecond
	// failedShareGap is the time between two attempts before that.
	failedShareGap = 100 * time.Millisecond
	// unreachedInterval is the time between two attempts to reach such a domain.
	unreachedInterval = time.Second
)

// runSharing tells other counters of the calls that this node counted until the
// context ends.
func (a *Agent) runSharing(ctx context.Context) {
	s := sharing{agent: a, targets: map[string]*target{}, ended: make(chan *target)}
	var timer alarm
	defer timer.stop()
	var running sync.WaitGroup
	defer running.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.sharing.later:
			timer.setWithin(shareInterval)
		case <-a.sharing.now:
			timer.setWithin(minShareGap - time.Since(s.sent))
		case t := <-s.ended:
			t.sending = false
			switch {
			case t.unreached:
				timer.setWithin(unreachedInterval)
			case t.failed():
				timer.setWithin(failedShareGap)
			case t.skipped:
				timer.setWithin(minShareGap)
			}
		case <-timer.channel():
			timer.stop()
			s.sendAll(ctx, &running)
		}
	}
}

// sharing is the state of the loop. Only its goroutine uses it.
type sharing struct {
	agent   *Agent
	targets map[string]*target
	ended   chan *target
	sent    time.Time
}

// target is a domain that is told. While sending is set, the sending goroutine owns
// the other fields but skipped.
type target struct {
	domain      string
	sending     bool
	skipped     bool // there was more to send while sending was set
	batch       batch
	failedSince time.Time // zero while the domain answers
	unreached   bool
}

func (t *target) failed() bool { return !t.failedSince.IsZero() }

// sendAll sends what each target was not told yet.
func (s *sharing) sendAll(ctx context.Context, running *sync.WaitGroup) {
	s.sent = time.Now()
	topology := s.agent.refresh(s.sent)
	for name, d := range topology.domains {
		if name == s.agent.FailureDomain && d.alive < 2 {
			continue
		}
		t, ok := s.targets[name]
		if !ok {
			t = &target{domain: name, batch: newBatch()}
			s.targets[name] = t
		}
		if t.skipped = t.sending; t.skipped {
			continue
		}
		t.sending = true
		running.Go(func() {
			s.agent.share(ctx, t, topology)
			select {
			case s.ended <- t:
			case <-ctx.Done():
			}
		})
	}
}

// share sends a domain what it was not told yet and records whether it answers.
func (a *Agent) share(ctx context.Context, t *target, topology *topology) {
	began := time.Now()
	if t.unreached { // what its nodes use is reserved for them
		a.counter.Drop(t.domain)
	}
	t.batch.next(func() []quota.Count { return a.counter.Collect(began, t.domain) })
	if len(t.batch.counts) == 0 && !t.failed() {
		return
	}
	request := peer.QuotaReport{SenderID: a.Self, Sequence: t.batch.sequence, FailureDomain: a.FailureDomain, Counts: peer.NewQuotaCounts(t.batch.counts)}
	_, err := a.askFirst(ctx, a.byAnswer(a.othersOf(topology.domains[t.domain])), request, shareTimeout, nil)
	t.batch.failed = err != nil && !t.unreached
	if err == nil {
		a.reached(t)
		return
	}
	a.Logger.Debug("quota_share_failed", "domain", t.domain, "error", err)
	if t.unreached {
		return
	}
	if !t.failed() {
		t.failedSince = began
	}
	if time.Since(t.failedSince) >= unreachedAfter {
		a.giveUp(t)
	}
}

func (a *Agent) othersOf(d domain) []membership.Member {
	var out []membership.Member
	for _, m := range d.candidates {
		if m.ID != a.Self {
			out = append(out, m)
		}
	}
	return out
}

// reached records that a domain answers.
func (a *Agent) reached(t *target) {
	t.failedSince = time.Time{}
	if !t.unreached {
		return
	}
	t.unreached = false
	a.unreached.Delete(t.domain)
	a.applyReach(time.Now(), a.topology.Load())
	a.Logger.Info("quota_domain_reached", "domain", t.domain, "share", a.counter.Share())
}

// giveUp records that a domain does not answer.
func (a *Agent) giveUp(t *target) {
	t.unreached, t.batch.failed = true, false
	a.counter.Restore(t.domain, t.batch.counts)
	if t.domain != a.FailureDomain {
		a.counter.Abandon(t.domain)
	}
	a.unreached.Set(t.domain, time.Now())
	a.applyReach(time.Now(), a.topology.Load())
	a.Logger.Warn("quota_domain_unreached", "domain", t.domain, "share", a.counter.Share())
}
