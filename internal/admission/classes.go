package admission

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// learnRuns is the number of completed calls after which the class of a
	// route is known. Before that it counts as long, the safe assumption.
	learnRuns = 8
	// maxRoutes bounds the memory for routes; later ones stay unknown.
	maxRoutes = 4096
	// longFactor is how far the mean of a long route lies above the typical
	// call. Blocking by work only a few times longer costs less than keeping
	// slots free does.
	longFactor = 5
	// sampleWeight is the weight of a new sample in moving means.
	sampleWeight = 1.0 / 16
	// typicalWeight is the weight of a new sample in the typical time.
	typicalWeight = 1.0 / 256
	// expectedFor is how long a route's mean time counts against a deadline
	// after the last call that completed.
	expectedFor = 5 * time.Second
	// demandWindow is the time constant of the measured rate. Demand swings
	// within seconds.
	demandWindow = time.Second
)

// RouteTimes is what is known of a route's service times.
type RouteTimes struct {
	Runs int           // completed calls, counted up to those needed
	Mean time.Duration // moving mean; 0 while unknown
	Last time.Time     // when the last call completed
}

// expected returns the time that a call takes, 0 when it is not known or no
// longer fresh. A stale mean would refuse the very calls that could renew it.
func (t RouteTimes) expected(now time.Time) time.Duration {
	if now.Sub(t.Last) > expectedFor {
		return 0
	}
	return t.Mean
}

// Classes holds the service times of routes, without time in the queue. It is
// sharded by route.
type Classes struct {
	routes *shard.Map[RouteTimes]
}

// NewClasses returns Classes that know no route.
func NewClasses() *Classes {
	return &Classes{routes: shard.NewMap[RouteTimes](0)}
}

// Times returns what is known of a route.
func (c *Classes) Times(route string) RouteTimes {
	t, _ := c.routes.Get(route)
	return t
}

// Observe adds the service time of one completed call.
func (c *Classes) Observe(route string, served time.Duration, now time.Time) {
	if _, known := c.routes.Get(route); !known && c.routes.Len() >= maxRoutes {
		return
	}
	c.routes.Update(route, func(t RouteTimes, _ bool) (RouteTimes, bool) {
		return t.add(served, now), true
	})
}

func (t RouteTimes) add(served time.Duration, now time.Time) RouteTimes {
	t.Last = now
	t.Runs = min(t.Runs+1, learnRuns)
	weight := max(1/float64(t.Runs), sampleWeight)
	if t.Runs == learnRuns {
		weight = sampleWeight
	}
	t.Mean += time.Duration(weight * float64(served-t.Mean))
	return t
}

// demand is the load of one backend server, measured without contention:
// arrivals and the times that completed calls took.
type demand struct {
	typicalLog float64 // moving mean of the logarithm of service times in s
	completed  int
	mean       time.Duration    // of all calls
	means      [2]time.Duration // by class
	arrivals   [2]float64       // by class, decaying over demandWindow
	updated    time.Time
}

// classOf returns the class of a route. The typical time is a geometric mean,
// which a few long calls hardly move.
func (d *demand) classOf(t RouteTimes) Class {
	if t.Runs < learnRuns {
		return Long
	}
	if t.Mean.Seconds() > longFactor*math.Exp(d.typicalLog) {
		return Long
	}
	return Short
}

// arrive counts the arrival of a call, admitted or not.
func (d *demand) arrive(c Class, now time.Time) {
	d.decay(now)
	d.arrivals[c]++
}

func (d *demand) decay(now time.Time) {
	if age := now.Sub(d.updated); age > 0 {
		factor := math.Exp(-float64(age) / float64(demandWindow))
		d.arrivals[Short] *= factor
		d.arrivals[Long] *= factor
		d.updated = now
	}
}

// complete adds the service time of one call.
func (d *demand) complete(c Class, served time.Duration) {
	d.completed++
	weight := max(1/float64(d.completed), typicalWeight)
	d.typicalLog += weight * (math.Log(served.Seconds()) - d.typicalLog)
	d.mean = movingMean(d.mean, served)
	d.means[c] = movingMean(d.means[c], served)
}

func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// slots returns the slots that a class occupies by rate times mean time.
func (d *demand) slots(c Class, now time.Time) float64 {
	d.decay(now)
	rate := d.arrivals[c] / demandWindow.Seconds()
	return rate * d.means[c].Seconds()
}

func (d *demand) meanTime() time.Duration { return d.mean }
