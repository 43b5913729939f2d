package peer

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quota"
)

// QuotaReport holds the calls of organisations since the last report to the same
// node.
type QuotaReport struct {
	SenderID string `json:"from"`
	// Sequence differs from that of the report before. A report that is sent again
	// because no answer came has the same one, and is counted once.
	Sequence uint32 `json:"seq"`
	// FailureDomain is set by a counter: the counts are those of the nodes of that
	// domain, or of others that the counter was told of.
	FailureDomain string `json:"domain,omitempty"`
	// Counts holds the calls by organisation. The limits are not sent: they are in
	// the configuration, and these messages cross regions.
	Counts map[string]QuotaCount `json:"counts,omitempty"`
}

// QuotaCount is the number of calls asked for and admitted, as an array.
type QuotaCount [2]int64

// QuotaAnswer is the wire form of quota.Answer.
type QuotaAnswer struct {
	Fractions  map[string]float64 `json:"fractions,omitempty"` // of calls to admit, by organisation
	IntervalMs int64              `json:"intervalMs,omitempty"`
}

// NewQuotaCounts returns the wire form of counts.
func NewQuotaCounts(counts []quota.Count) map[string]QuotaCount {
	out := make(map[string]QuotaCount, len(counts))
	for _, c := range counts {
		out[c.Organisation] = QuotaCount{c.Asked, c.Admitted}
	}
	return out
}

// Decoded returns the counts of a report with the limits that this node knows. It
// leaves out organisations without a limit and counts that no node sends.
func (r QuotaReport) Decoded(limitOf func(organisation string) (quota.Limit, bool)) []quota.Count {
	out := make([]quota.Count, 0, len(r.Counts))
	for organisation, c := range r.Counts {
		limit, ok := limitOf(organisation)
		if !ok || c[0] < 0 {
			continue
		}
		out = append(out, quota.Count{Organisation: organisation, Limit: limit, Asked: c[0], Admitted: c[1]})
	}
	return out
}

// NewQuotaAnswer returns the wire form of an answer.
func NewQuotaAnswer(a quota.Answer) QuotaAnswer {
	out := QuotaAnswer{IntervalMs: a.Interval.Milliseconds()}
	if len(a.Restrictions) > 0 {
		out.Fractions = make(map[string]float64, len(a.Restrictions))
	}
	for _, r := range a.Restrictions {
		out.Fractions[r.Organisation] = math.Round(r.Fraction*fractionSteps) / fractionSteps
	}
	return out
}

// fractionSteps is how finely fractions are sent.
const fractionSteps = 1e4

// Decoded returns the answer with fractions and interval in their ranges.
func (a QuotaAnswer) Decoded() quota.Answer {
	out := quota.Answer{Interval: time.Duration(a.IntervalMs) * time.Millisecond}
	for organisation, fraction := range a.Fractions {
		out.Restrictions = append(out.Restrictions, quota.Restriction{Organisation: organisation, Fraction: min(max(fraction, 0), 1)})
	}
	return out
}
