package node

import (
	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// newIdentificationCounter returns a function that counts the calls by what their
// key led to.
func newIdentificationCounter(scope tally.Scope) func(outbound.KeyOutcome) {
	counters := map[outbound.KeyOutcome]tally.Counter{} // not changed after this function returns
	for _, outcome := range outbound.KeyOutcomes {
		counters[outcome] = scope.Tagged(map[string]string{"key": string(outcome)}).Counter(telemetry.MetricIdentified)
	}
	return func(outcome outbound.KeyOutcome) {
		if c, ok := counters[outcome]; ok {
			c.Inc(1)
		}
	}
}

// organisationView is an organisation as shown in the state dump. Keys are shown
// as the first digits of their hashes.
type organisationView struct {
	Name            string   `json:"name"`
	KeyFingerprints []string `json:"keyFingerprints"`
	Rank            int      `json:"rank"`
	RatePerSecond   float64  `json:"ratePerSecond"`
	Burst           float64  `json:"burst"`
}

// organisationsView returns the organisations that calls are identified by.
func (n *Node) organisationsView() []organisationView {
	snap := n.snapshots.Latest()
	if snap == nil {
		return nil
	}
	out := []organisationView{}
	for _, o := range snap.Organisations.All() {
		out = append(out, *newOrganisationView(o))
	}
	return out
}

func newOrganisationView(o *profile.Organisation) *organisationView {
	v := &organisationView{Name: o.Name, KeyFingerprints: []string{}, Rank: o.Rank, RatePerSecond: o.RatePerSecond, Burst: o.Burst}
	for _, h := range o.KeyHashes {
		v.KeyFingerprints = append(v.KeyFingerprints, h.Fingerprint())
	}
	return v
}
