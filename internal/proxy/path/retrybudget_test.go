package path_test

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// TestRetriesOfBothHopsStayWithinOneBudget guards against retries of the callers'
// node and resends of the server's node that each keep their own limit and together
// send a failing service more than a fifth of its calls again.
func TestRetriesOfBothHopsStayWithinOneBudget(t *testing.T) {
	const (
		calls       = 4000
		lostShare   = 0.5 // of the answers, each with its connection
		maxRepeated = 0.2 // of the calls
		callers     = 8
		retryBudget = 0.15 // of the service's policy
	)
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		random := rand.New(rand.NewPCG(1, 2))
		lost := func() bool {
			mu.Lock()
			defer mu.Unlock()
			return random.Float64() < lostShare
		}
		var arrivals atomic.Int64
		tb := newTestbed(t, "abc", countCalls(&arrivals, func(id string, w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Millisecond)
			if lost() {
				abortAnswer(id, w, r)
			}
			answerWithID(id, w, r)
		}), func(r *snapshot.Route) { r.Service.Policy.RetryBudget = retryBudget }, configHooks{outbound: func(cfg *outbound.Config) {
			cfg.Budgets = retry.NewFixedShareBudgets()
		}})
		for _, n := range tb.nodes {
			n.inbound.SetRetryBudget(retryBudget)
		}
		var done sync.WaitGroup
		for range callers {
			done.Go(func() {
				for range calls / callers {
					tb.call("GET", "/", "", nil)
				}
			})
		}
		done.Wait()
		repeated := float64(arrivals.Load()-calls) / calls
		assert.Assert(t, repeated <= maxRepeated, "%.3f of the calls were sent again", repeated)
		assert.Assert(t, repeated > 0.1, "only %.3f of the calls were sent again", repeated)
	})
}
