package outbound

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// DryRunCall describes a call for a dry run. Its caller is named by an
// organisation or by the fingerprint of a key, so that no key has to be sent.
type DryRunCall struct {
	Method, Host, Path string
	Organisation       string // by name; "" for none
	KeyFingerprint     string // see profile.KeyHash.Fingerprint; "" for none
}

// DryRun says where a call would go now and why.
type DryRun struct {
	Generation   uint64                `json:"generation"`
	Position     *profile.Position     `json:"position,omitempty"` // of the configuration; absent when a newer one was installed meanwhile
	ConfigAgeMs  *int64                `json:"configAgeMs,omitempty"`
	Route        string                `json:"route,omitempty"`
	Public       bool                  `json:"public"`
	Key          KeyOutcome            `json:"key,omitempty"` // absent where there are no organisations
	Organisation *profile.Organisation `json:"-"`
	Quota        *DryRunQuota          `json:"quota,omitempty"` // absent without an organisation that has one
	Rank         int                   `json:"rank"`
	Idempotent   bool                  `json:"idempotent"`
	TimeoutMs    int64                 `json:"timeoutMs,omitempty"`
	ObjectiveMs  int64                 `json:"objectiveMs,omitempty"`
	Status       int                   `json:"status,omitempty"` // of the refusal that the call would get
	Reason       string                `json:"reason,omitempty"`
	Services     []DryRunService       `json:"services"`
}

// DryRunQuota is the quota of the call's organisation as this node sees it.
type DryRunQuota struct {
	RatePerSecond float64 `json:"ratePerSecond"`
	Burst         float64 `json:"burst"`
	// Fraction of the organisation's calls that this node admits at present; absent
	// while no counter answers, and the node uses a part of its equal share.
	Fraction *float64 `json:"fraction,omitempty"`
	Admitted bool     `json:"admitted"` // whether the quota admits the call
	// AwaitsAnswer means that the call would wait for a counter first; Admitted is
	// what holds without its answer.
	AwaitsAnswer bool  `json:"awaitsAnswer,omitempty"`
	RetryAfterMs int64 `json:"retryAfterMs,omitempty"` // of the refusal
}

// DryRunService is a service that may run the call.
type DryRunService struct {
	Service     string            `json:"service"`
	Share       float64           `json:"share"`            // of the route's calls
	Choice      string            `json:"choice,omitempty"` // server that one choice took just now
	Reason      string            `json:"reason,omitempty"` // why no server can be chosen
	RetriesLeft float64           `json:"retriesLeft"`      // in the retry budget of the service
	Candidates  []DryRunCandidate `json:"candidates"`
}

// DryRunCandidate is a server of a service, nearest and fastest first.
type DryRunCandidate struct {
	Server     string           `json:"server"`
	Domain     string           `json:"failureDomain"`
	Tier       string           `json:"tier"`
	Standing   balance.Standing `json:"standing"`
	ForMs      int64            `json:"forMs,omitempty"` // how much longer it is avoided or ejected
	ExpectedMs float64          `json:"expectedMs"`
	InFlight   int              `json:"inFlight"` // calls of this node
	Occupancy  float64          `json:"occupancy,omitempty"`
	Weight     float64          `json:"weight"`
}

// DryRun decides a call as ServeHTTP would now. It sends, counts and logs nothing.
func (p *Proxy) DryRun(now time.Time, call DryRunCall) DryRun {
	m := p.cfg.Snapshots.Lookup(proxy.NormalizeHost(call.Host), call.Method, call.Path)
	out := DryRun{Generation: m.Generation, Services: []DryRunService{}}
	if latest := p.cfg.Snapshots.Latest(); latest != nil && latest.Generation == m.Generation {
		out.Position = &latest.Position
	}
	if p.cfg.ConfigAge != nil {
		if age, known := p.cfg.ConfigAge(); known {
			ms := age.Milliseconds()
			out.ConfigAgeMs = &ms
		}
	}
	d, refusal := decide(m, call.caller)
	if d.route != nil {
		out.describe(&d, call.Method)
	}
	if overQuota := out.previewQuota(&p.cfg, &d); refusal == nil {
		refusal = overQuota
	}
	if refusal != nil {
		out.Status, out.Reason = p.statusOf(refusal), refusal.Reason
		return out
	}
	for _, part := range partsOf(d.route) {
		out.Services = append(out.Services, p.dryRunService(now, &d, part))
	}
	return out
}

// caller returns the organisation that the call names. A fingerprint stands for
// all keys that begin with it; there are too few keys for two of them.
func (c DryRunCall) caller(all *snapshot.Organisations) (o *profile.Organisation, fingerprint string, carriesKey bool) {
	if c.Organisation != "" {
		return all.Named(c.Organisation), "", true
	}
	if c.KeyFingerprint == "" {
		return nil, "", false
	}
	for _, o := range all.All() {
		for _, h := range o.KeyHashes {
			if h.Fingerprint() == c.KeyFingerprint && all.Identify(h) != nil {
				return o, "", true
			}
		}
	}
	return nil, c.KeyFingerprint, true
}

func (out *DryRun) describe(d *destination, method string) {
	out.Route, out.Public, out.Key, out.Organisation = d.route.ID, d.route.Public, d.key, d.organisation
	out.Rank, out.Idempotent = d.rank, d.route.IsIdempotent(method)
	out.ObjectiveMs = time.Duration(d.route.LatencyObjective).Milliseconds()
	out.TimeoutMs = configuredTimeout(d.route).Milliseconds()
}

// previewQuota describes the quota of the call, also of one that is refused before the
// quota is asked, and returns the refusal if there is no room.
func (out *DryRun) previewQuota(cfg *Config, d *destination) *proxy.Failure {
	limit, limited := cfg.quotaOf(d.organisation)
	if !limited {
		return nil
	}
	p := cfg.Quotas.Preview(d.organisation.Name, limit)
	out.Quota = &DryRunQuota{
		RatePerSecond: limit.RatePerSecond, Burst: limit.Burst, Admitted: p.Allowed,
		AwaitsAnswer: p.AwaitsAnswer, RetryAfterMs: p.RetryAfter.Milliseconds(),
	}
	if !p.Alone {
		out.Quota.Fraction = &p.Fraction
	}
	if p.Allowed {
		return nil
	}
	return quotaRefusal(p.Decision)
}

// statusOf returns the status with which callers get a failure.
func (p *Proxy) statusOf(f *proxy.Failure) int {
	if f.Status >= http.StatusInternalServerError && p.cfg.Dialect.RefusalStatus != 0 {
		return p.cfg.Dialect.RefusalStatus
	}
	return f.Status
}

// partsOf returns the services of a route with their weights.
func partsOf(r *snapshot.Route) []snapshot.Part {
	if len(r.Parts) == 0 {
		return []snapshot.Part{{Service: r.Service, Weight: 1}}
	}
	return r.Parts
}

func (p *Proxy) dryRunService(now time.Time, d *destination, part snapshot.Part) DryRunService {
	total := 0
	for _, other := range partsOf(d.route) {
		total += other.Weight
	}
	out := DryRunService{
		Service: part.Service.Name, Share: float64(part.Weight) / float64(max(total, 1)), Candidates: []DryRunCandidate{},
		RetriesLeft: p.cfg.Budgets.Available(part.Service.Name, now),
	}
	r := balance.Request{Service: part.Service, Rank: d.rank, Objective: time.Duration(d.route.LatencyObjective)}
	if p.cfg.CallSizes != nil {
		r.Bytes = p.cfg.CallSizes.Mean(d.route.ID)
	}
	if p.cfg.CallTimes != nil {
		r.Work = p.cfg.CallTimes.Work(d.route.ID)
	}
	candidates, choice, err := p.cfg.Balancer.Explain(now, r)
	switch {
	case err != nil:
		out.Reason = noServerReason(err)
	default:
		out.Choice = choice.Endpoint.ID
	}
	for _, c := range candidates {
		out.Candidates = append(out.Candidates, dryRunCandidate(now, c))
	}
	return out
}

func dryRunCandidate(now time.Time, c balance.Candidate) DryRunCandidate {
	out := DryRunCandidate{
		Server: c.Endpoint.ID, Domain: c.Endpoint.FailureDomain, Tier: c.Tier.String(), Standing: c.Standing,
		ExpectedMs: float64(c.Expected) / float64(time.Millisecond), InFlight: c.InFlight, Occupancy: c.Occupancy, Weight: c.Weight,
	}
	if !c.Until.IsZero() {
		out.ForMs = max(c.Until.Sub(now), 0).Milliseconds()
	}
	return out
}

// noServerReason returns the reason for which no server could be chosen.
func noServerReason(err error) string {
	if errors.Is(err, balance.ErrCrossRegionLimit) {
		return proxy.ReasonCrossRegionBudget
	}
	return proxy.ReasonNoBackend
}
