package path_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// claimTestbed is a testbed with a platform log, and a batcher and a coordinator
// of claims for each node.
type claimTestbed struct {
	*testbed
	log       *standin.Log
	stop      context.CancelFunc
	mu        sync.Mutex
	liveNodes map[string]context.CancelFunc // guarded by mu; by node id; stops the node's batcher and coordinator
}

type nodeClaims struct {
	batcher     *idempotency.Batcher
	coordinator *idempotency.Coordinator
}

func newClaimTestbed(t *testing.T, ids string, handler func(string) http.Handler, edits ...func(*inbound.Config)) *claimTestbed {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	tb := &claimTestbed{stop: stop, liveNodes: map[string]context.CancelFunc{}}
	claims := map[string]*nodeClaims{}
	tb.testbed = newTestbed(t, ids, handler, nil, configHooks{inbound: func(id string, cfg *inbound.Config) {
		claims[id] = &nodeClaims{}
		cfg.Coordinator = idempotency.NewCoordinator(idempotency.CoordinatorConfig{
			Self:       idempotency.Holder{Node: id, Incarnation: 1},
			ClaimerFor: func(int) (idempotency.Claimer, error) { return claims[id].batcher, nil },
		})
		claims[id].coordinator = cfg.Coordinator
		cfg.InboundAddressOf = tb.inboundAddressOf
		for _, edit := range edits {
			edit(cfg)
		}
	}})
	tb.log = standin.NewLog(time.Hour, time.Now)
	tb.serve("log", &http.Server{Handler: tb.log.Handler()})
	tr := &http.Transport{DialContext: tb.net.dial}
	t.Cleanup(tr.CloseIdleConnections)
	log := platformlog.NewClient("log", tr)
	for id, c := range claims {
		nodeCtx, stopNode := context.WithCancel(ctx)
		tb.liveNodes[id] = stopNode
		c.batcher = idempotency.NewBatcher(idempotency.BatcherConfig{Partition: testPartition}, log)
		go func() { _ = c.batcher.Run(nodeCtx) }()
		go func() { _ = c.coordinator.Run(nodeCtx) }()
	}
	time.Sleep(time.Minute) // the first records of the claim streams must be older than the keys
	return tb
}

func (tb *claimTestbed) inboundAddressOf(h idempotency.Holder) (string, bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return "inbound-" + h.Node, tb.liveNodes[h.Node] != nil
}

func (tb *claimTestbed) killNode(id string) {
	tb.mu.Lock()
	tb.liveNodes[id]()
	delete(tb.liveNodes, id)
	tb.mu.Unlock()
	tb.net.kill("inbound-" + id)
}

// testPartition is the partition of every key of these tests.
const testPartition = 0

// newIdempotencyKey returns a key of testPartition with the current time of the
// synctest bubble.
func newIdempotencyKey() string {
	for {
		if key := newUUIDv7(); (idempotency.Key{Text: key}).Partition() == testPartition {
			return key
		}
	}
}

func newUUIDv7() string {
	id := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

func (tb *claimTestbed) callWithKey(key string) callResult {
	return tb.call("POST", "/book", "deposit", func(r *http.Request) { r.Header.Set(proxy.HeaderIdempotencyKey, key) })
}

// TestKeyedCallRunsAtMostOnce guards against a second run of a call with an
// idempotency key after any fault that makes its caller repeat it.
func TestKeyedCallRunsAtMostOnce(t *testing.T) {
	slow := func(id string, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.Header().Set("X-Booking", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked on "+id)
	}
	tests := []struct {
		name       string
		handler    func(string, http.ResponseWriter, *http.Request)
		afterFirst func(tb *claimTestbed, first callResult) // runs between the first call and its repeats
		wantFirst  string                                   // status, outcome and reason
		wantRepeat string                                   // the same; empty if repeats may differ
		wantRuns   int64
	}{
		{"repeats", slow, nil, "201 ran ", "201 ran ", 1},
		{"answer lost", abortAnswer, nil, "502 unknown connection_cut", "502 unknown connection_lost", 1},
		{"holder dies after it recorded the outcome", slow, func(tb *claimTestbed, first callResult) {
			time.Sleep(time.Second) // the outcome reaches the log
			tb.killNode(first.body[len(first.body)-1:])
		}, "201 ran ", "409 ran answer_not_kept", 1},
		{"holder dies before it records the outcome", slow, func(tb *claimTestbed, first callResult) {
			tb.killNode(first.body[len(first.body)-1:])
			synctest.Wait() // its last requests fail while the log is down
			tb.log.SetFaults(standin.LogFaults{})
		}, "201 ran ", "502 unknown holder_gone", 1},
		{"log down", slow, func(tb *claimTestbed, _ callResult) { tb.log.SetFaults(standin.LogFaults{Down: true}) }, "201 ran ", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				tb := newClaimTestbed(t, "abc", countCalls(&ran, tt.handler))
				key := newIdempotencyKey()
				if tt.name == "holder dies before it records the outcome" {
					go func() {
						time.Sleep(200 * time.Millisecond) // the claim is in the log, the outcome is not
						tb.log.SetFaults(standin.LogFaults{Down: true})
					}()
				}
				first := tb.callWithKey(key)
				assert.Equal(t, summary(first), tt.wantFirst, first.body)
				if tt.afterFirst != nil {
					tt.afterFirst(tb, first)
				}
				for range 6 {
					got := tb.callWithKey(key)
					if tt.wantRepeat != "" {
						assert.Equal(t, summary(got), tt.wantRepeat, got.body)
					}
					if got.status == http.StatusCreated {
						assert.Equal(t, got.body, first.body)
					}
				}
				assert.Equal(t, ran.Load(), tt.wantRuns)
				tb.stop()
			})
		})
	}
}

func summary(r callResult) string { return fmt.Sprintf("%d %s %s", r.status, r.outcome, r.reason) }

// TestConcurrentKeyedCallsRunOnce guards against a second run when repeats arrive
// at different nodes while the first call still runs and its caller has
// disconnected.
func TestConcurrentKeyedCallsRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newClaimTestbed(t, "abc", countCalls(&ran, func(id string, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(w, "booked on "+id)
		}))
		key := newIdempotencyKey()
		var callers sync.WaitGroup
		results := make(chan callResult, 30)
		for i := range 30 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				results <- tb.call("POST", "/book", "deposit", func(r *http.Request) {
					r.Header.Set(proxy.HeaderIdempotencyKey, key)
					if i == 0 {
						ctx, cancel := context.WithTimeout(r.Context(), 300*time.Millisecond)
						t.Cleanup(cancel)
						*r = *r.WithContext(ctx)
					}
				})
			})
		}
		callers.Wait()
		close(results)
		counts := map[string]int{}
		for result := range results {
			counts[summary(result)+result.body]++
		}
		assert.Equal(t, ran.Load(), int64(1), "%v", counts)
		assert.Equal(t, len(counts), 2, "want one cancelled call and the same answer for all others: %v", counts)
		tb.stop()
	})
}

// TestRefusedKeyedCallMayBeRetried guards against a refusal after which the key
// cannot be used again, and against the outcome not-run from a draining node for
// a call that ran before.
func TestRefusedKeyedCallMayBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newClaimTestbed(t, "a", countCalls(&ran, answerWithID))
		key := newIdempotencyKey()
		tb.net.kill("backend-a")
		got := tb.callWithKey(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun), got.body)
		tb.serve("backend-a", &http.Server{Handler: countCalls(&ran, answerWithID)("a")})
		time.Sleep(time.Second)
		got = tb.callWithKey(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeRan), got.body)
		tb.nodes["a"].inbound.Drain()
		got = tb.callWithKey(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeRan), "repeat at a draining node: %s", got.body)
		assert.Equal(t, ran.Load(), int64(1))
		tb.stop()
	})
}

// TestShedKeyedCallMayBeRetried guards against a keyed call that its backend
// server did not run and whose key says that it ran.
func TestShedKeyedCallMayBeRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int64
		dialect := proxy.Dialect{NotExecuted: "X-Not-Executed"}
		tb := newClaimTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 1 {
					w.Header().Set(dialect.NotExecuted, "full")
					w.WriteHeader(http.StatusServiceUnavailable)
					return
				}
				_, _ = io.WriteString(w, "booked")
			})
		}, func(cfg *inbound.Config) { cfg.Dialect = dialect })
		defer tb.stop()
		key := newIdempotencyKey()
		for range 2 { // the first is sent again by the outbound proxy, the second gets the kept answer
			got := tb.callWithKey(key)
			assert.Equal(t, got.status, http.StatusOK, got.body)
			assert.Equal(t, got.body, "booked")
		}
		assert.Equal(t, calls.Load(), int64(2))
	})
}
