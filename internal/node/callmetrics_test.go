package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

// TestCallMetricsLimitRouteLabels guards against metrics that do not show which
// route's calls fail, and against a time series for each of thousands of routes.
func TestCallMetricsLimitRouteLabels(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newCallMetrics(scope, "front")
	const extra = 5
	for i := range maxRouteLabels + extra {
		for range 2 {
			m.record(proxy.Observation{Route: fmt.Sprint("shop/r", i), Outcome: proxy.OutcomeNotRun, Reason: proxy.ReasonOverloaded, Elapsed: time.Millisecond})
		}
	}
	m.record(proxy.Observation{Outcome: proxy.OutcomeNotRun, Reason: proxy.ReasonNoRoute})
	m.record(proxy.Observation{Route: "shop/r0"})
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		assert.Equal(t, c.Name(), telemetry.MetricCalls)
		assert.Equal(t, c.Tags()["side"], "front")
		counts[c.Tags()["route"]+" "+c.Tags()["outcome"]+" "+c.Tags()["reason"]] += c.Value()
	}
	assert.Equal(t, counts["shop/r0 not-run overloaded"], int64(2))
	assert.Equal(t, counts["shop/r0 cut "], int64(1))
	assert.Equal(t, counts[otherRouteLabel+" not-run overloaded"], int64(2*extra))
	assert.Equal(t, counts[noRouteLabel+" not-run no_route"], int64(1))
	assert.Equal(t, len(scope.Snapshot().Histograms()), maxRouteLabels+2)
}
