// Package balance chooses the backend server of a call. It does no I/O and
// reads no clock.
//
// The node's own calls are the evidence: latency, calls in flight, failures.
// Load reports from other nodes lag or mislead, so they only ever scale a
// choice by a bounded factor.
//
// An attempt is one Balancer.Pick, then Stats.Begin when it is sent and one
// Stats.End when it was answered, failed or was cancelled.
package balance

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// Errors of Pick. Nothing was sent in either case.
var (
	// ErrNoEndpoint means that no backend server is left to try.
	ErrNoEndpoint = errors.New("no backend server to send the call to")
	// ErrCrossRegionSpent means that only other regions have a backend server
	// left and the bound on bytes between regions is spent.
	ErrCrossRegionSpent = errors.New("bound on bytes across regions is spent")
)

// Locality is where the choosing node stands.
type Locality struct {
	Region        string
	FailureDomain string
	// DomainRTT and RegionRTT are the round trips to another failure domain of
	// the region and to another region. Zero takes the default.
	DomainRTT time.Duration
	RegionRTT time.Duration
	// DomainByteCost and RegionByteCost are the delay that is as bad as moving
	// 1 KB to or from another failure domain of the region, and another region.
	DomainByteCost time.Duration
	RegionByteCost time.Duration
}

// Default round trips, those of the slower of the two deployments in section
// 1.5 of the design page.
const (
	defaultDomainRTT = 2 * time.Millisecond
	defaultRegionRTT = 16 * time.Millisecond
)

// Tier is the distance of a backend server from the choosing node.
type Tier int

// Tiers, nearest first.
const (
	TierDomain Tier = iota // own failure domain
	TierRegion             // other failure domains of the region
	TierAcross             // other regions
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
		return TierAcross
	case e.FailureDomain != l.FailureDomain:
		return TierRegion
	}
	return TierDomain
}

func (l Locality) rtt(t Tier) time.Duration {
	switch t {
	case TierRegion:
		return l.DomainRTT
	case TierAcross:
		return l.RegionRTT
	}
	return 0
}

// cost is the delay that is as bad as moving the bytes of a call.
func (l Locality) cost(t Tier, bytes int64) time.Duration {
	const kilobyte = 1 << 10
	per := time.Duration(0)
	switch t {
	case TierRegion:
		per = l.DomainByteCost
	case TierAcross:
		per = l.RegionByteCost
	}
	return time.Duration(float64(per) * float64(bytes) / kilobyte)
}

// Request asks for the backend server of one attempt.
type Request struct {
	Service *snapshot.Service
	// Exclude names the servers already tried, for retries and hedges.
	Exclude []string
	// Bytes is about how many bytes the call moves, 0 when unknown.
	Bytes int64
}

// Choice is the backend server that an attempt goes to.
type Choice struct {
	Endpoint *snapshot.Endpoint
	Tier     Tier
	// Expected is the expected completion time, for dumps and logs.
	Expected time.Duration
	// Probe marks the one call that decides whether an ejected server returns.
	Probe bool
}

// LoadReport is what a node says of the backend server beside it.
type LoadReport struct {
	InFlight int
	Queued   int
	Slots    int
}

// Result is what became of an attempt.
type Result struct {
	// Latency runs from Begin to the first byte of the answer or the failure.
	Latency time.Duration
	// Failed means that the server failed the call: no connection, a cut
	// connection, a time limit, or a 5xx status of the server's own.
	Failed bool
	// Shed means that the server itself refused the call. It is no failure,
	// but a server that sheds much is a worse choice.
	Shed bool
	// NotRun means that the call was refused before it ran, or not sent. Its
	// latency says nothing about the server's work.
	NotRun bool
	// Canceled means that the caller or a faster hedge ended the attempt.
	Canceled bool
	// RetryAfter steers calls away from a server that refused one. A refusal
	// because of load or drain needs one; without it the refusal counts as one
	// because of the request, unless Failed is set too.
	RetryAfter time.Duration
	// Report is the load report in the answer, if any.
	Report *LoadReport
	// Unreached is set when the node beside the server took no connection or
	// went silent on one. It stands beside Failed.
	Unreached bool
}
