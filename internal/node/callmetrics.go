package node

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

const (
	// maxRouteLabels bounds the routes that have a route tag of their own. A
	// configuration may have thousands of routes, and each tag takes a histogram.
	maxRouteLabels  = 32
	otherRouteLabel = "other" // value for all routes beyond the bound
	noRouteLabel    = "none"  // value for calls that match no route
)

// callSecondsBuckets range from 1 ms, a cached read, to 33 s, a long download.
var callSecondsBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// callMetrics counts the calls of one proxy by route, outcome and reason. It
// caches the counters, since a lookup by tags in the scope costs more than the
// rest of the accounting for a call.
type callMetrics struct {
	scope    tally.Scope
	labels   *boundedLabels              // by route id
	counters *shard.Map[tally.Counter]   // by label, outcome and reason
	seconds  *shard.Map[tally.Histogram] // by label
}

func newCallMetrics(scope tally.Scope, side string) *callMetrics {
	return &callMetrics{
		scope:    scope.Tagged(map[string]string{"side": side}),
		labels:   newBoundedLabels(maxRouteLabels, otherRouteLabel),
		counters: shard.NewMap[tally.Counter](shard.DefaultCount),
		seconds:  shard.NewMap[tally.Histogram](shard.DefaultCount),
	}
}

// record counts one call and its duration.
func (m *callMetrics) record(o proxy.Observation) {
	outcome := string(o.Outcome)
	if outcome == "" {
		outcome = "cut"
	}
	route := m.label(o.Route)
	m.counter(route, outcome, o.Reason).Inc(1)
	m.histogram(route).RecordDuration(o.Elapsed)
}

// label returns the value of the route tag for a route.
func (m *callMetrics) label(route string) string {
	if route == "" {
		return noRouteLabel
	}
	return m.labels.of(route)
}

func (m *callMetrics) counter(route, outcome, reason string) tally.Counter {
	key := route + "\x00" + outcome + "\x00" + reason
	if c, ok := m.counters.Get(key); ok {
		return c
	}
	c := m.scope.Tagged(map[string]string{"route": route, "outcome": outcome, "reason": reason}).Counter(telemetry.MetricCalls)
	m.counters.Set(key, c)
	return c
}

func (m *callMetrics) histogram(route string) tally.Histogram {
	if h, ok := m.seconds.Get(route); ok {
		return h
	}
	h := m.scope.Tagged(map[string]string{"route": route}).Histogram(telemetry.MetricCallSeconds, callSecondsBuckets)
	m.seconds.Set(route, h)
	return h
}
