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

// claimTestbed adds a log and a coordinator for each node to a testbed.
type claimTestbed struct {
	*testbed
	log   *standin.Log
	stop  context.CancelFunc
	mu    sync.Mutex
	alive map[string]context.CancelFunc // ends the claims of a node
}

// nodeClaims is what one node claims keys with.
type nodeClaims struct {
	batcher     *idempotency.Batcher
	coordinator *idempotency.Coordinator
}

func newClaimTestbed(t *testing.T, ids string, handler func(string) http.Handler) *claimTestbed {
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	w := &claimTestbed{stop: stop, alive: map[string]context.CancelFunc{}}
	claims := map[string]*nodeClaims{}
	w.testbed = newTestbed(t, ids, handler, nil, tuning{guard: func(id string, cfg *inbound.Config) {
		claims[id] = &nodeClaims{}
		cfg.Coordinator = idempotency.NewCoordinator(idempotency.CoordinatorConfig{
			Self:       idempotency.Holder{Node: id, Incarnation: 1},
			ClaimerFor: func(int) (idempotency.Claimer, error) { return claims[id].batcher, nil },
		})
		claims[id].coordinator = cfg.Coordinator
		cfg.InboundAddressOf = w.guardOf
	}})
	w.log = standin.NewLog(time.Hour, time.Now)
	w.serve("log", &http.Server{Handler: w.log.Handler()})
	tr := &http.Transport{DialContext: w.net.dial}
	t.Cleanup(tr.CloseIdleConnections)
	log := platformlog.NewClient("log", tr)
	for id, c := range claims {
		nodeCtx, kill := context.WithCancel(ctx)
		w.alive[id] = kill
		c.batcher = idempotency.NewBatcher(idempotency.BatcherConfig{Partition: testPartition}, log)
		go func() { _ = c.batcher.Run(nodeCtx) }()
		go func() { _ = c.coordinator.Run(nodeCtx) }()
	}
	time.Sleep(time.Minute) // the streams' first records are older than the keys
	return w
}

func (w *claimTestbed) guardOf(h idempotency.Holder) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return "guard-" + h.Node, w.alive[h.Node] != nil
}

func (w *claimTestbed) killNode(id string) {
	w.mu.Lock()
	w.alive[id]()
	delete(w.alive, id)
	w.mu.Unlock()
	w.net.kill("guard-" + id)
}

// testPartition is the partition of every key of these tests.
const testPartition = 0

// newKey returns a key made at the bubble's time.
func newKey() string {
	for {
		if key := randomKey(); (idempotency.Key{Text: key}).Partition() == testPartition {
			return key
		}
	}
}

func randomKey() string {
	id := uuid.New()
	ms := time.Now().UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6] = 0x70 | id[6]&0x0f
	return id.String()
}

func (w *claimTestbed) book(key string) told {
	return w.call("POST", "/book", "deposit", func(r *http.Request) { r.Header.Set(proxy.HeaderIdempotencyKey, key) })
}

// TestP6RunsAtMostOnce guards against a second run of a keyed call, under
// every fault that makes a caller send it again.
func TestP6RunsAtMostOnce(t *testing.T) {
	slow := func(id string, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(300 * time.Millisecond)
		w.Header().Set("X-Booking", "7")
		w.WriteHeader(http.StatusCreated)
		_, _ = io.WriteString(w, "booked on "+id)
	}
	tests := []struct {
		name    string
		handler func(string, http.ResponseWriter, *http.Request)
		between func(w *claimTestbed, first told) // between the first sending and the repeats
		first   string                            // status and outcome
		repeat  string
		ran     int64
	}{
		{"repeats", slow, nil, "201 ran ", "201 ran ", 1},
		{"answer lost", dropCall, nil, "502 unknown connection_cut", "502 unknown connection_lost", 1},
		{"holder dead after its outcome", slow, func(w *claimTestbed, first told) {
			time.Sleep(time.Second) // the outcome gets to the log
			w.killNode(first.body[len(first.body)-1:])
		}, "201 ran ", "409 ran answer_not_kept", 1},
		{"holder dead before its outcome", slow, func(w *claimTestbed, first told) {
			w.killNode(first.body[len(first.body)-1:])
			synctest.Wait() // its last requests have met the log that is down
			w.log.SetFaults(standin.LogFaults{})
		}, "201 ran ", "502 unknown holder_gone", 1},
		{"log down", slow, func(w *claimTestbed, _ told) { w.log.SetFaults(standin.LogFaults{Down: true}) }, "201 ran ", "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				w := newClaimTestbed(t, "abc", counting(&ran, tt.handler))
				key := newKey()
				if tt.name == "holder dead before its outcome" {
					go func() {
						time.Sleep(200 * time.Millisecond) // the claim is in the log by then
						w.log.SetFaults(standin.LogFaults{Down: true})
					}()
				}
				first := w.book(key)
				assert.Equal(t, summary(first), tt.first, first.body)
				if tt.between != nil {
					tt.between(w, first)
				}
				for range 6 {
					got := w.book(key)
					if tt.repeat != "" {
						assert.Equal(t, summary(got), tt.repeat, got.body)
					}
					if got.status == http.StatusCreated {
						assert.Equal(t, got.body, first.body)
					}
				}
				assert.Equal(t, ran.Load(), tt.ran)
				w.stop()
			})
		})
	}
}

func summary(t told) string { return fmt.Sprintf("%d %s %s", t.status, t.outcome, t.reason) }

// TestP6ConcurrentRepeats guards against a second run when repeats cross on
// different nodes while the first still runs and its caller has left.
func TestP6ConcurrentRepeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newClaimTestbed(t, "abc", counting(&ran, func(id string, w http.ResponseWriter, _ *http.Request) {
			time.Sleep(500 * time.Millisecond)
			_, _ = io.WriteString(w, "booked on "+id)
		}))
		key := newKey()
		var all sync.WaitGroup
		answers := make(chan told, 30)
		for i := range 30 {
			all.Go(func() {
				time.Sleep(time.Duration(i) * 10 * time.Millisecond)
				answers <- w.call("POST", "/book", "deposit", func(r *http.Request) {
					r.Header.Set(proxy.HeaderIdempotencyKey, key)
					if i == 0 {
						ctx, cancel := context.WithTimeout(r.Context(), 300*time.Millisecond)
						t.Cleanup(cancel)
						*r = *r.WithContext(ctx)
					}
				})
			})
		}
		all.Wait()
		close(answers)
		bodies := map[string]int{}
		for a := range answers {
			bodies[summary(a)+a.body]++
		}
		assert.Equal(t, ran.Load(), int64(1), "%v", bodies)
		assert.Equal(t, len(bodies), 2, "one caller left, the others got one answer: %v", bodies)
		w.stop()
	})
}

// TestP6ShedCallMayComeAgain guards against a key that is burnt by a refusal,
// and against a refusal that speaks of a call that ran.
func TestP6ShedCallMayComeAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newClaimTestbed(t, "a", counting(&ran, answerID))
		key := newKey()
		w.net.kill("backend-a")
		got := w.book(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun), got.body)
		w.serve("backend-a", &http.Server{Handler: counting(&ran, answerID)("a")})
		time.Sleep(time.Second)
		got = w.book(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeRan), got.body)
		w.nodes["a"].guard.Drain()
		got = w.book(key)
		assert.Equal(t, got.outcome, string(proxy.OutcomeRan), "a repeat at a node that drains: %s", got.body)
		assert.Equal(t, ran.Load(), int64(1))
		w.stop()
	})
}
