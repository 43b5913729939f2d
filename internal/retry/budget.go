package retry

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Budgets bounds retries and hedges to a share of the calls of each service,
// sharded by service.
//
// A call earns its share of a token and a retry or hedge costs one, so that
// spending never passes share x calls, whatever the schedule. Nothing is
// granted up front.
type Budgets struct {
	accounts *shard.Map[account]
	steady   bool
}

// token is one retry in millionths. Whole numbers keep ten shares of 0.1
// equal to one token.
const token = 1_000_000

// budgetWindow is the time constant in which unspent tokens above
// quietTokens expire. What is saved up at the start of a failure is sent on
// top of the share, so the window is short against the length of a failure.
const budgetWindow = 2 * time.Second

// quietTokens never expires, so that a service with few calls gets to retry
// some of them.
const quietTokens = token

// When most calls ask for a retry, the whole service fails and retries are of
// no use. Then saved tokens are dropped and calls earn none, so that the calls
// sent stay under the share even with what was spent before it was noticed,
// and layers above that cannot see where the failure is do not multiply it.
const (
	// asksSmoothed is the weight of one call or request in the share of
	// requests among both.
	asksSmoothed = 1.0 / 32
	// mostAsk is reached when over half of the calls ask for one retry.
	mostAsk = 1.0 / 3
)

type account struct {
	tokens float64 // in millionths of a retry
	asks   float64 // recent share of requests to Spend among calls and requests
	at     time.Time
}

func (a account) failing() bool { return a.asks > mostAsk }

// NewBudgets returns Budgets in which no service has earned a retry.
func NewBudgets() *Budgets {
	return &Budgets{accounts: shard.NewMap[account](shard.DefaultCount)}
}

// NewSteadyBudgets returns Budgets that grant the share while a service fails
// too. They are for nodes that share one agreed bound on retries.
func NewSteadyBudgets() *Budgets {
	b := NewBudgets()
	b.steady = true
	return b
}

// Call records that a call was asked for. Attempts after the first are not
// calls. share is that of the service's policy.
func (b *Budgets) Call(service string, share float64, now time.Time) {
	earned := math.Floor(share*token + 0.5)
	b.accounts.Update(service, func(a account, ok bool) (account, bool) {
		a = a.expire(now)
		a.asks -= asksSmoothed * a.asks
		if b.steady || !a.failing() {
			a.tokens += max(earned, 0)
		}
		return a, true
	})
}

// Spend takes one retry or hedge out of the budget and reports whether there
// was one. A share of zero switches retries and hedges off at once.
func (b *Budgets) Spend(service string, share float64, now time.Time) bool {
	if share <= 0 {
		return false
	}
	spent := false
	b.accounts.Update(service, func(a account, ok bool) (account, bool) {
		a = a.expire(now)
		a.asks += asksSmoothed * (1 - a.asks)
		if !b.steady && a.failing() {
			a.tokens = min(a.tokens, quietTokens)
		}
		if a.tokens >= token {
			a.tokens -= token
			spent = true
		}
		return a, true
	})
	return spent
}

// Available returns the number of retries that a service has left, for dumps
// and tests.
func (b *Budgets) Available(service string, now time.Time) float64 {
	a, _ := b.accounts.Get(service)
	return a.expire(now).tokens / token
}

// Prune drops the accounts of services that were not called for the given
// time.
func (b *Budgets) Prune(now time.Time, unused time.Duration) int {
	return b.accounts.DeleteFunc(func(_ string, a account) bool { return now.Sub(a.at) > unused })
}

func (a account) expire(now time.Time) account {
	passed := now.Sub(a.at)
	if passed <= 0 {
		return a
	}
	if extra := a.tokens - quietTokens; extra > 0 {
		a.tokens = quietTokens + extra*math.Exp(-float64(passed)/float64(budgetWindow))
	}
	a.at = now
	return a
}
