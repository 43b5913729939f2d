package outbound

import (
	"net/http"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/quota"
)

// takeQuota counts the call towards the quota of its organisation, or returns the
// refusal if there is no room. Attempts of this node for the call do not count
// again.
func (c *call) takeQuota() *proxy.Failure {
	cfg := &c.proxy.cfg
	limit, limited := cfg.quotaOf(c.organisation)
	if !limited {
		return nil
	}
	decision := cfg.Quotas.Take(c.ctx, c.organisation.Name, limit)
	if cfg.OnQuota != nil {
		cfg.OnQuota(c.organisation.Name, decision.Allowed)
	}
	if !decision.Allowed {
		return quotaRefusal(decision)
	}
	c.quotaTaken = true
	return nil
}

// quotaOf returns the quota of an organisation, and whether it has one that this node
// keeps.
func (cfg *Config) quotaOf(o *profile.Organisation) (quota.Limit, bool) {
	if cfg.Quotas == nil || o == nil || o.RatePerSecond <= 0 {
		return quota.Limit{}, false
	}
	return quota.Limit{RatePerSecond: o.RatePerSecond, Burst: o.Burst}, true
}

func quotaRefusal(d quota.Decision) *proxy.Failure {
	return proxy.NotRun(http.StatusTooManyRequests, proxy.ReasonQuota, "the organisation has used up its quota").WithRetryAfter(d.RetryAfter)
}

// giveBackQuota gives the token of a call back that no backend server ran.
func (c *call) giveBackQuota() {
	if c.quotaTaken && !c.quotaSpent {
		c.proxy.cfg.Quotas.GiveBack(c.organisation.Name)
	}
}
