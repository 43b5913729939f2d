package node

import (
	"cmp"
	"context"
	"slices"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
	"github.com/goldcrestshed/goldcrestshed/internal/quotasync"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

func (n *Node) newQuotas(self membership.Member) *quotasync.Agent {
	s := n.settings.Quotas
	return quotasync.New(quotasync.Config{
		Self: self.ID, FailureDomain: self.FailureDomain, Members: n.members.All, LimitOf: n.quotaOf, Peers: n.peers.pool,
		Bounds: quota.Bounds{Window: s.Window.D(), Overage: s.Overage, Slack: s.Slack}, Logger: n.logger,
	})
}

// quotaOf returns the quota of an organisation in the configuration in force.
func (n *Node) quotaOf(organisation string) (quota.Limit, bool) {
	snap := n.snapshots.Latest()
	if snap == nil {
		return quota.Limit{}, false
	}
	all := snap.Organisations.All()
	i, ok := slices.BinarySearchFunc(all, organisation, func(o *profile.Organisation, name string) int { return cmp.Compare(o.Name, name) })
	if !ok || !hasQuota(all[i]) {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: all[i].RatePerSecond, Burst: all[i].Burst}, true
}

// enableQuotas brings the node in touch with a counter once a configuration has a
// quota.
func (n *Node) enableQuotas(ctx context.Context) {
	for {
		_, _, next := n.agent.InstalledPosition()
		if snap := n.snapshots.Latest(); snap != nil && slices.ContainsFunc(snap.Organisations.All(), hasQuota) {
			n.callPath.quotas.Enable()
		}
		select {
		case <-next:
		case <-ctx.Done():
			return
		}
	}
}

func hasQuota(o *profile.Organisation) bool { return o.RatePerSecond > 0 }

const (
	// maxOrganisationLabels bounds the organisations that have a tag of their own.
	maxOrganisationLabels  = 100
	otherOrganisationLabel = "other" // value for all organisations beyond the bound
)

// quotaMetrics counts calls by organisation and decision. It caches the counters
// like callMetrics.
type quotaMetrics struct {
	scope    tally.Scope
	labels   *boundedLabels
	counters *shard.Map[tally.Counter] // by label and decision
}

func newQuotaMetrics(scope tally.Scope) *quotaMetrics {
	return &quotaMetrics{
		scope: scope, labels: newBoundedLabels(maxOrganisationLabels, otherOrganisationLabel),
		counters: shard.NewMap[tally.Counter](shard.DefaultCount),
	}
}

// record counts one decision.
func (m *quotaMetrics) record(organisation string, allowed bool) {
	decision := "refused"
	if allowed {
		decision = "allowed"
	}
	label := m.labels.of(organisation)
	key := label + "\x00" + decision
	c, ok := m.counters.Get(key)
	if !ok {
		c = m.scope.Tagged(map[string]string{"organisation": label, "decision": decision}).Counter(telemetry.MetricQuotaCalls)
		m.counters.Set(key, c)
	}
	c.Inc(1)
}
