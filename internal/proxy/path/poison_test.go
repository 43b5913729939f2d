package path_test

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// TestPoisonRequestIsQuarantined guards against one request that takes server
// after server down as it is sent again, and against harmless requests that
// are refused with it.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var nodes map[string]*testNode
				spread := func(news []quarantine.Entry) {
					for _, n := range nodes {
						n.quarantine.Merge(news, time.Now())
					}
				}
				w := newTestbed(t, "abcd", nil, nil, tuning{guard: func(_ string, cfg *inbound.Config) {
					cfg.PublishQuarantine = spread
				}})
				nodes = w.nodes
				crashes := func() int64 { return 0 }
				for id := range w.nodes {
					b := standin.NewBackend(id, 18, time.Millisecond)
					b.SetFaults(standin.BackendFaults{CrashOn: "poison", CrashForMs: 500})
					ln, err := w.net.listen("backend-" + id)
					assert.NilError(t, err)
					go func() { _ = b.Serve(ctx, ln, w.net.listen) }()
					before := crashes
					crashes = func() int64 { return before() + b.Crashes() }
				}
				for range 20 {
					w.call("GET", "/harmless", "", nil)
				}
				var last told
				for range 50 {
					if method == "POST" { // each call through another node, which knows nothing yet
						w.net.kill("front")
						w.front.Quarantine = newList()
						w.serve("front", &proxy.NewServer(outbound.New(w.front)).Server)
					}
					last = w.call(method, "/poison?a=1", "", nil)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, crashes() <= 3, "%d servers crashed", crashes())
				assert.Equal(t, last.reason, proxy.ReasonQuarantined, last.body)
				assert.Equal(t, last.outcome, string(proxy.OutcomeNotRun))
				time.Sleep(time.Second)
				assert.Equal(t, w.call("GET", "/harmless", "", nil).status, 200)
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSuspectTravelsWithItsCall guards against a node that runs a suspect
// without knowing of it, a suspect that is hedged, and a suspicion that
// outlives the answer.
func TestSuspectTravelsWithItsCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := quarantine.NewFingerprint("GET", testHost, "/suspect", "", nil)
		states := make(chan quarantine.State, 10)
		var w *testbed
		w = newTestbed(t, "ab", func(id string) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				states <- w.nodes[id].quarantine.Check(fp, time.Now()).State
				time.Sleep(100 * time.Millisecond)
			})
		}, func(r *snapshot.Route) {
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		assert.Equal(t, w.call("GET", "/", "", nil).status, 200) // earns the budget of a hedge
		for len(states) > 0 {
			<-states
		}
		list := w.front.Quarantine
		list.RecordCrash("elsewhere", []quarantine.Fingerprint{fp}, time.Now())
		assert.Equal(t, w.call("GET", "/suspect", "", nil).status, 200)
		assert.Equal(t, len(states), 1)
		assert.Equal(t, <-states, quarantine.Suspect)
		assert.Equal(t, list.Check(fp, time.Now()).State, quarantine.Clear)
	})
}

// TestBalancerHearsOfLoadOnly guards against calls that are steered away from
// a server because of one request, and against a long download that counts as
// a server that has stopped answering.
func TestBalancerHearsOfLoadOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newTestbed(t, "a", counting(&ran, func(_ string, w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Second)
		}), nil)
		view := func() balance.View { return w.front.Stats.Views()[0] }
		fp := quarantine.NewFingerprint("GET", testHost, "/poison", "", nil)
		for _, server := range []string{"x", "y", "z"} {
			w.nodes["a"].quarantine.RecordCrash(server, []quarantine.Fingerprint{fp}, time.Now())
		}
		assert.Equal(t, w.call("GET", "/poison", "", nil).outcome, string(proxy.OutcomeNotRun))
		assert.Assert(t, view().AvoidUntil.IsZero())
		var done sync.WaitGroup
		done.Go(func() { w.call("GET", "/download", "", nil) })
		time.Sleep(time.Second)
		assert.Equal(t, view().InFlight, 0)
		fill(w.nodes["a"].gate)
		assert.Equal(t, w.call("GET", "/", "", nil).outcome, string(proxy.OutcomeNotRun))
		assert.Assert(t, !view().AvoidUntil.IsZero())
		done.Wait()
	})
}
