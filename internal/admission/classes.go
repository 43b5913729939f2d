package admission

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// minClassSamples is the number of completed calls after which a route is
	// classified. Until then it counts as long, the safe assumption.
	minClassSamples = 8
	// maxRoutes bounds the memory for routes; calls of further ones count as long.
	maxRoutes = 4096
	// longFactor is the multiple of the typical service time above which the mean
	// makes a route long. Waiting behind calls that are only a few times longer
	// costs less than reserving slots does.
	longFactor = 5
	// sampleWeight is the weight of a new sample in a moving mean.
	sampleWeight = 1.0 / 16
	// typicalWeight is the weight of a new sample in the typical service time.
	typicalWeight = 1.0 / 256
	// maxMeanAge is how long after the last completed call a route's mean service
	// time is used to check deadlines.
	maxMeanAge = 5 * time.Second
	// demandWindow is the time constant of the measured arrival rate. Demand
	// changes within seconds.
	demandWindow = time.Second
)

// RouteStats holds the service times of a route.
type RouteStats struct {
	Samples    int           // completed calls, counted up to minClassSamples
	Mean       time.Duration // moving mean; 0 before the first sample
	LastSample time.Time     // when the last call completed
}

// expected returns the expected service time of a call, 0 when it is unknown or
// stale. A stale mean could refuse the very calls that would update it.
func (t RouteStats) expected(now time.Time) time.Duration {
	if now.Sub(t.LastSample) > maxMeanAge {
		return 0
	}
	return t.Mean
}

// ServiceTimes holds the service times of routes, without the time spent in the
// queue. It is sharded by route.
type ServiceTimes struct {
	routes *shard.Map[RouteStats]
}

// NewServiceTimes returns ServiceTimes without samples.
func NewServiceTimes() *ServiceTimes {
	return &ServiceTimes{routes: shard.NewMap[RouteStats](0)}
}

// Times returns the service times of a route.
func (s *ServiceTimes) Times(route string) RouteStats {
	t, _ := s.routes.Get(route)
	return t
}

// Observe adds the service time of one completed call.
func (s *ServiceTimes) Observe(route string, serviceTime time.Duration, now time.Time) {
	if _, known := s.routes.Get(route); !known && s.routes.Len() >= maxRoutes {
		return
	}
	s.routes.Update(route, func(t RouteStats, _ bool) (RouteStats, bool) {
		return t.add(serviceTime, now), true
	})
}

func (t RouteStats) add(serviceTime time.Duration, now time.Time) RouteStats {
	t.LastSample = now
	t.Samples = min(t.Samples+1, minClassSamples)
	weight := max(1/float64(t.Samples), sampleWeight)
	if t.Samples == minClassSamples {
		weight = sampleWeight
	}
	t.Mean += time.Duration(weight * float64(serviceTime-t.Mean))
	return t
}

// demand measures the load offered to one backend server: the arrival rate and
// the service times of completed calls, without their time in the queue.
type demand struct {
	typicalLog float64 // moving mean of the logarithm of the service time in s
	completed  int
	mean       time.Duration    // of all calls
	means      [2]time.Duration // by class
	unitTime   time.Duration    // of all calls, divided by their work
	arrivals   [2]float64       // by class, with exponential decay over demandWindow
	updated    time.Time
}

// classOf returns the class of a route. The typical service time is a geometric
// mean, on which a few long calls have little effect.
func (d *demand) classOf(t RouteStats) Class {
	if t.Samples < minClassSamples {
		return Long
	}
	if t.Mean.Seconds() > longFactor*math.Exp(d.typicalLog) {
		return Long
	}
	return Short
}

// addArrival counts the arrival of a call, admitted or not.
func (d *demand) addArrival(c Class, now time.Time) {
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

// addCompletion adds the service time of one call.
func (d *demand) addCompletion(c Class, serviceTime time.Duration, work float64) {
	d.completed++
	weight := max(1/float64(d.completed), typicalWeight)
	d.typicalLog += weight * (math.Log(serviceTime.Seconds()) - d.typicalLog)
	d.mean = movingMean(d.mean, serviceTime)
	d.means[c] = movingMean(d.means[c], serviceTime)
	d.unitTime = movingMean(d.unitTime, time.Duration(float64(serviceTime)/work))
}

func movingMean(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(sampleWeight*float64(sample-mean))
}

// requiredSlots returns the slots that a class occupies by Little's law: its
// arrival rate times its mean service time.
func (d *demand) requiredSlots(c Class, now time.Time) float64 {
	d.decay(now)
	rate := d.arrivals[c] / demandWindow.Seconds()
	return rate * d.means[c].Seconds()
}

func (d *demand) meanTime() time.Duration { return d.mean }
