package retry

import (
	"math"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Budgets limits retries and hedges to a share of the calls of each service,
// sharded by service.
//
// A call earns its share of a token and a retry or hedge costs one token, so
// that retries and hedges never exceed share x calls under any schedule, but for
// BorrowedTokens where calls differ in rank. No tokens are granted up front.
type Budgets struct {
	accounts   *shard.Map[account]
	fixedShare bool
}

// token is the cost of a retry, in millionths. In whole numbers ten shares of 0.1
// add up to exactly one token.
const token = 1_000_000

// budgetWindow is the time constant of the exponential decay of tokens above
// retainedTokens. Tokens saved before a failure add retries on top of the share,
// so the window is short compared with a failure.
const budgetWindow = 2 * time.Second

// retainedTokens is the balance that never expires, so that a service with few
// calls can retry some of them.
const retainedTokens = token

// When most calls request a retry, the whole service is failing and retries are
// useless. Then tokens above retainedTokens are dropped and calls earn none, so
// that retries stay within the share even with those sent before the failure was
// detected, and upper layers that cannot tell where the failure is do not amplify
// it.
const (
	// retryShareWeight is the weight of one call or retry request in the share of
	// retry requests among both.
	retryShareWeight = 1.0 / 32
	// maxRetryShare is exceeded when over half of the calls request one retry.
	maxRetryShare = 1.0 / 3
)

// BorrowedTokens is how many tokens calls of a high rank may borrow from the next
// ones that are earned. While tokens are scarce, calls of lower rank would otherwise
// spend each of them as soon as it is there.
const BorrowedTokens = 1

const (
	// rankWeight is the weight of one request for a retry in the mean rank.
	rankWeight = 1.0 / 32
	// rankMargin is how far above the mean rank a call must be to borrow. It covers
	// the rounding of the mean.
	rankMargin = 0.01
)

type account struct {
	tokens     float64 // in millionths of a token; negative while tokens are borrowed
	meanRank   float64 // of the recent requests for a retry
	retryShare float64 // recent share of calls to Spend among calls to AddCall and Spend
	updatedAt  time.Time
}

func (a account) failing() bool { return a.retryShare > maxRetryShare }

// NewBudgets returns Budgets in which no service has tokens.
func NewBudgets() *Budgets {
	return &Budgets{accounts: shard.NewMap[account](shard.DefaultCount)}
}

// NewFixedShareBudgets returns Budgets that grant the share even while most calls
// of a service fail. They are for systems in which all nodes use the same share.
func NewFixedShareBudgets() *Budgets {
	b := NewBudgets()
	b.fixedShare = true
	return b
}

// AddCall records a call; attempts after the first are not calls. share is the
// retry budget of the service's policy.
func (b *Budgets) AddCall(service string, share float64, now time.Time) {
	earned := math.Floor(share*token + 0.5)
	b.accounts.Update(service, func(a account, ok bool) (account, bool) {
		a = a.expire(now)
		a.retryShare -= retryShareWeight * a.retryShare
		if b.fixedShare || !a.failing() {
			a.tokens += max(earned, 0)
		}
		return a, true
	})
}

// Spend is SpendRanked for calls of equal importance.
func (b *Budgets) Spend(service string, share float64, now time.Time) bool {
	return b.SpendRanked(service, share, 0, now)
}

// SpendRanked takes the token for one retry or hedge from the budget and reports
// whether there was one. rank is the importance of the call, 0 for the most important
// ones. A share of zero disables retries and hedges immediately.
func (b *Budgets) SpendRanked(service string, share float64, rank int, now time.Time) bool {
	if share <= 0 {
		return false
	}
	spent := false
	b.accounts.Update(service, func(a account, ok bool) (account, bool) {
		a = a.expire(now)
		a.retryShare += retryShareWeight * (1 - a.retryShare)
		a.meanRank += rankWeight * (float64(rank) - a.meanRank)
		if !b.fixedShare && a.failing() {
			a.tokens = min(a.tokens, retainedTokens)
		}
		if a.tokens+a.mayBorrow(rank) >= token {
			a.tokens -= token
			spent = true
		}
		return a, true
	})
	return spent
}

// mayBorrow returns the tokens that a call of a rank may borrow, in millionths.
func (a account) mayBorrow(rank int) float64 {
	if float64(rank) < a.meanRank-rankMargin {
		return BorrowedTokens * token
	}
	return 0
}

// Available returns the number of tokens of a service, negative while tokens are
// borrowed.
func (b *Budgets) Available(service string, now time.Time) float64 {
	a, _ := b.accounts.Get(service)
	return a.expire(now).tokens / token
}

// Prune drops the accounts of services that were not called for the given time.
func (b *Budgets) Prune(now time.Time, unused time.Duration) int {
	return b.accounts.DeleteFunc(func(_ string, a account) bool { return now.Sub(a.updatedAt) > unused })
}

// expire decays the tokens above retainedTokens by the time since the last update.
func (a account) expire(now time.Time) account {
	elapsed := now.Sub(a.updatedAt)
	if elapsed <= 0 {
		return a
	}
	if extra := a.tokens - retainedTokens; extra > 0 {
		a.tokens = retainedTokens + extra*math.Exp(-float64(elapsed)/float64(budgetWindow))
	}
	a.updatedAt = now
	return a
}
