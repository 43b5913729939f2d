package rollout

import (
	"math"
	"time"
)

// latencyBuckets is the number of buckets of a latency histogram. Bucket i holds
// the latencies from 2^(i/2) ms on, so that the last one begins at 46 s.
const latencyBuckets = 32

// RouteCounts counts the answers of servers on one route.
type RouteCounts struct {
	Runs   int `json:"runs"`
	Failed int `json:"failed,omitempty"`
	// Latency counts the answers by bucket, without those of a server that had
	// just started: all servers are slow then.
	Latency []int `json:"latency,omitempty"`
}

// Answer is one answer of a backend server.
type Answer struct {
	Route   string
	Latency time.Duration
	Failed  bool
	// Canceled means that the caller left first; the latency is a lower bound.
	Canceled bool
	Warm     bool // the server's cold start is over
	// Busy means that most slots of the server were in use when the call began.
	Busy bool
}

// busyShare is the share of the slots in use from which a server counts as busy.
const busyShare = 0.7

func bucketOf(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), latencyBuckets-1)
}

func (c RouteCounts) with(a Answer) RouteCounts {
	if !a.Canceled {
		c.Runs++
	}
	if a.Failed {
		c.Failed++
	}
	if !a.Warm {
		return c
	}
	bucket := bucketOf(a.Latency)
	// Copied, since a report may be encoded at the same time.
	latency := make([]int, max(len(c.Latency), bucket+1))
	copy(latency, c.Latency)
	latency[bucket]++
	c.Latency = latency
	return c
}

func (c RouteCounts) plus(o RouteCounts) RouteCounts {
	sum := RouteCounts{Runs: c.Runs + o.Runs, Failed: c.Failed + o.Failed}
	sum.Latency = make([]int, max(len(c.Latency), len(o.Latency)))
	for i, n := range c.Latency {
		sum.Latency[i] += n
	}
	for i, n := range o.Latency {
		sum.Latency[i] += n
	}
	return sum
}

// timed returns the number of answers in the histogram.
func (c RouteCounts) timed() int { return c.from(0) }

// from returns the number of answers in a bucket and those above it.
func (c RouteCounts) from(bucket int) int {
	n := 0
	for i := bucket; i < len(c.Latency); i++ {
		n += c.Latency[i]
	}
	return n
}

// medianBucket returns the bucket of the median latency.
func (c RouteCounts) medianBucket() int {
	left := (c.timed() + 1) / 2
	for i, n := range c.Latency {
		if left -= n; left <= 0 {
			return i
		}
	}
	return 0
}

// Evidence is what the answers of a version's servers tell, by route.
type Evidence struct {
	All  map[string]RouteCounts
	Busy map[string]RouteCounts // see Report.Busy
}

func (e *Evidence) add(r Report) {
	if e.All == nil {
		e.All, e.Busy = map[string]RouteCounts{}, map[string]RouteCounts{}
	}
	for route, c := range r.Routes {
		e.All[route] = e.All[route].plus(c)
	}
	for route, c := range r.Busy {
		e.Busy[route] = e.Busy[route].plus(c)
	}
}
