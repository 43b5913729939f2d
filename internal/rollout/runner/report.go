package runner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
)

// candidates returns the members that may coordinate the orders of a service, the
// first choice first. One that cannot reach the store could record nothing.
func (r *Runner) candidates(service string) []membership.Member {
	type ranked struct {
		membership.Member
		score uint64
	}
	var all []ranked
	for _, m := range r.Members() {
		if m.Routable() && !m.SourceLost {
			all = append(all, ranked{m, xxhash.Sum64String("rollout\x00" + service + "\x00" + m.ID)})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.ID, b.ID))
	})
	out := make([]membership.Member, 0, maxCandidates)
	for _, m := range all[:min(len(all), maxCandidates)] {
		out = append(out, m.Member)
	}
	return out
}

// maxCandidates is how many members a server's node asks in turn while none
// coordinates the order.
const maxCandidates = 3

// reportIfDue reports on the node's backend server to the coordinator of its
// service's order.
func (r *Runner) reportIfDue(now time.Time) {
	if now.Before(r.reportDue) || r.reporting.Load() {
		return
	}
	report, interval, ok := r.Server.Report(now)
	if !ok {
		return
	}
	to, ok := r.coordinator(now)
	if !ok {
		return
	}
	r.reportDue = now.Add(interval)
	if !r.reporting.CompareAndSwap(false, true) {
		return
	}
	r.tasks.Go(func() {
		defer r.reporting.Store(false)
		r.report(to, report)
	})
}

// coordinator returns the member that coordinates the order of the node's service. If
// none is known to, it is a candidate; two failures move on to the next one, since
// the first may be dead for seconds before the member table shows it.
func (r *Runner) coordinator(now time.Time) (membership.Member, bool) {
	candidates := r.candidates(r.Service)
	state, age, _ := r.Gate.Get(r.Service, now)
	if state.Term > 0 && age < silenceBeforeTakeover && r.reportFailed.Load() == 0 {
		for _, m := range r.Members() {
			if m.ID == state.Node {
				return m, true
			}
		}
	}
	if len(candidates) == 0 {
		return membership.Member{}, false
	}
	return candidates[int(r.reportFailed.Load())/2%len(candidates)], true
}

func (r *Runner) report(to membership.Member, report rollout.Report) {
	sent := time.Now()
	grant := rollout.Grant{}
	var err error
	if to.ID == r.Self.ID {
		grant = r.HandleReport(report)
	} else {
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		defer cancel()
		grant, err = r.Peers.RolloutReport(ctx, to, report)
	}
	if err != nil || !grant.Known {
		r.reportFailed.Add(1)
		return
	}
	r.reportFailed.Store(0)
	if grant.State.Validate() != nil {
		return
	}
	r.apply(grant.State, to.ID)
	r.Server.SetGrant(grant, sent)
}

// HandleReport handles the report of a server's node. A node that does not coordinate
// the order begins to if no other does.
func (r *Runner) HandleReport(report rollout.Report) rollout.Grant {
	now := time.Now()
	if c, ok := r.coordinations.Get(report.Service); ok {
		if g := c.report(report, now); g.Known {
			return g
		}
	}
	if report.Node != r.Self.ID { // a node that is cut off asks only itself
		r.asked.Set(report.Service, now)
		select {
		case r.changed <- struct{}{}:
		default:
		}
	}
	state, _, ok := r.Gate.Get(report.Service, now)
	if ok && state.Recorded && state.Number == report.Number {
		return rollout.Grant{Known: true, Term: state.Term, Limit: finalLimit(state), Refuse: state.Phase == rollout.Completed, State: state}
	}
	return rollout.Grant{}
}

func finalLimit(s rollout.State) int64 {
	if s.Phase == rollout.Completed {
		return rollout.Unlimited
	}
	return 0
}
