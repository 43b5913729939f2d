// Package balance chooses the backend server of a call. It does no I/O and
// reads no clock.
//
// The choice rests on the node's own calls: latency, calls in flight and
// failures. Load reports from other nodes may be stale or wrong, so unless
// Config.ExactReports is set they scale the expected latency by a bounded
// factor only.
//
// An attempt is one Balancer.Pick, then Stats.Begin when it is sent and one
// Stats.End when it was answered, failed or was cancelled.
package balance

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Errors of Pick. Nothing was sent in either case.
var (
	// ErrNoEndpoint means that the service has no backend server that is neither
	// excluded nor ejected.
	ErrNoEndpoint = errors.New("no backend server to send the call to")
	// ErrCrossRegionLimit means that only other regions have a backend server
	// to try and the limit on cross-region bytes is reached.
	ErrCrossRegionLimit = errors.New("limit on cross-region bytes is reached")
)

// Locality is the place of the calling node, and the cost of reaching other
// places.
type Locality struct {
	Region        string
	FailureDomain string
	// DomainRTT and RegionRTT are the round trips to another failure domain of
	// the region and to another region. Zero takes the default.
	DomainRTT time.Duration
	RegionRTT time.Duration
	// DomainByteCost and RegionByteCost express the cost of moving 1 KB to or
	// from another failure domain of the region, and another region, as latency.
	DomainByteCost time.Duration
	RegionByteCost time.Duration
}

// Default round trips: those of the slower of the two deployments in section
// 1.5 of the design page.
const (
	defaultDomainRTT = 2 * time.Millisecond
	defaultRegionRTT = 16 * time.Millisecond
)

// Tier is the distance of a backend server from the calling node.
type Tier int

// Tiers, nearest first.
const (
	TierDomain      Tier = iota // failure domain of the calling node
	TierRegion                  // other failure domains of the region
	TierCrossRegion             // other regions
	tierCount
)

// String returns the name of the tier.
func (t Tier) String() string {
	return [...]string{"domain", "region", "across"}[t]
}

// TierOf returns the distance of an endpoint.
func (l Locality) TierOf(e *snapshot.Endpoint) Tier {
	switch {
	case e.Region != l.Region:
		return TierCrossRegion
	case e.FailureDomain != l.FailureDomain:
		return TierRegion
	}
	return TierDomain
}

func (l Locality) rtt(t Tier) time.Duration {
	switch t {
	case TierRegion:
		return l.DomainRTT
	case TierCrossRegion:
		return l.RegionRTT
	}
	return 0
}

// cost returns the cost of moving the bytes of a call, expressed as latency.
func (l Locality) cost(t Tier, bytes int64) time.Duration {
	const kilobyte = 1 << 10
	per := time.Duration(0)
	switch t {
	case TierRegion:
		per = l.DomainByteCost
	case TierCrossRegion:
		per = l.RegionByteCost
	}
	return time.Duration(float64(per) * float64(bytes) / kilobyte)
}

// Request asks for the backend server of one attempt.
type Request struct {
	Service *snapshot.Service
	// Exclude names the servers already tried, for retries and hedges.
	Exclude []string
	// Bytes is the estimated size of the request and the answer, 0 when unknown.
	Bytes int64
	// Work is as in Result.
	Work float64
	// Rank is the rank of the call's route; 0 is the most important one.
	Rank int
	// Objective is the time left in which the answer should arrive; 0 sets none.
	Objective time.Duration
	// Accepts restricts the choice to some servers, such as those of a version; nil
	// accepts all.
	Accepts func(*snapshot.Endpoint) bool
}

// Choice is the backend server that an attempt goes to.
type Choice struct {
	Endpoint *snapshot.Endpoint
	Tier     Tier
	// Expected is the expected completion time; 0 for a probe.
	Expected time.Duration
	// Avoided means that all servers have refused calls like this one lately, or
	// cannot be reached.
	Avoided bool
	// Slowness is the latency of the server in relation to the mean of the
	// service's servers; 0 for a probe.
	Slowness float64
	// Probe marks the one call that decides whether an ejected server is
	// readmitted.
	Probe bool
}

// LoadReport is the load of a backend server as reported by its node or itself;
// see Config.ExactReports.
type LoadReport struct {
	InUse  int
	Queued int
	Slots  int
	// UnitTime is the mean service time of a call of work 1 on the server, from all
	// calls that its node sent to it lately; 0 when it is not known.
	UnitTime time.Duration
}

// Refusal says what a server that refused a call lacks.
type Refusal int

// Refusals.
const (
	RefusedAll  Refusal = iota // it takes no calls at present
	RefusedRank                // it has no slot for calls of this rank and lower ones
	RefusedLink                // it has no room on its link for large answers of this rank and lower ones
)

// LargeCallBytes is the size from which a call counts as large.
const LargeCallBytes = admission.LargeAnswerBytes

// Result is the outcome of an attempt.
type Result struct {
	// Latency runs from Begin to the first byte of the answer or the failure.
	Latency time.Duration
	// Failed means that the server failed the call: no connection, a cut
	// connection, a time limit, or a 5xx status from the server itself.
	Failed bool
	// Shed means that the server itself refused the call. It is no failure,
	// but it raises the expected latency of the server.
	Shed bool
	// NotRun means that the call was refused before it ran, or not sent. Its
	// latency says nothing about the server's work.
	NotRun bool
	// Canceled means that the attempt was cancelled by the caller or because the
	// other attempt of a hedged call was faster.
	Canceled bool
	// RetryAfter is how long a server that refused a call is avoided. A
	// refusal because of load or drain must set it: without it, and unless Failed
	// is set too, the refusal is attributed to the request.
	RetryAfter time.Duration
	// Refused says which other calls RetryAfter applies to.
	Refused Refusal
	// Report is the load report in the answer, if any.
	Report *LoadReport
	// Rank is as in Request.
	Rank int
	// Work is the time that the call takes in relation to the mean call of the node
	// on the same server; 0 counts as 1. Begin must have got the same.
	Work float64
	// Unreachable means that the server's node accepted no connection or stopped
	// responding on one. It is set in addition to Failed.
	Unreachable bool
}
