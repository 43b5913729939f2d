package node

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/shard"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
)

const (
	// maxRouteLabels bounds the routes that metrics name. A configuration may
	// have thousands, and each takes a histogram.
	maxRouteLabels = 32
	otherRoutes    = "other" // the label of all routes beyond them
	noRoute        = "none"  // the label of calls that match no route
)

// callSecondsBuckets span a cached read to a long download.
var callSecondsBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// callMetrics counts the calls of one side by route, outcome and reason. The
// counters are kept, since looking one up by its labels costs more than the
// rest of a call's bookkeeping.
type callMetrics struct {
	scope    tally.Scope
	routes   atomic.Int32
	labels   *shard.Map[string]          // by id of the route
	counters *shard.Map[tally.Counter]   // by label, outcome and reason
	seconds  *shard.Map[tally.Histogram] // by label
}

func newCallMetrics(scope tally.Scope, side string) *callMetrics {
	return &callMetrics{
		scope:    scope.Tagged(map[string]string{"side": side}),
		labels:   shard.NewMap[string](shard.DefaultCount),
		counters: shard.NewMap[tally.Counter](shard.DefaultCount),
		seconds:  shard.NewMap[tally.Histogram](shard.DefaultCount),
	}
}

// record counts one call.
func (m *callMetrics) record(o proxy.Observation) {
	outcome := string(o.Outcome)
	if outcome == "" {
		outcome = "cut"
	}
	route := m.label(o.Route)
	m.counter(route, outcome, o.Reason).Inc(1)
	m.histogram(route).RecordDuration(o.Elapsed)
}

// label returns the name of a route in metrics.
func (m *callMetrics) label(route string) string {
	if route == "" {
		return noRoute
	}
	if label, ok := m.labels.Get(route); ok {
		return label
	}
	if m.routes.Load() >= maxRouteLabels {
		return otherRoutes
	}
	var label string
	m.labels.Update(route, func(have string, ok bool) (string, bool) {
		switch {
		case ok:
			label = have
		case m.routes.Add(1) <= maxRouteLabels:
			label = route
		default:
			label = otherRoutes
		}
		return label, true
	})
	return label
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
