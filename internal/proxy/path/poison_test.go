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

// TestPoisonRequestIsQuarantined guards against a request that crashes one server
// after another as it is retried, and against harmless requests that are refused
// because of it.
func TestPoisonRequestIsQuarantined(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, stop := context.WithCancel(t.Context())
				var nodes map[string]*testNode
				publish := func(entries []quarantine.Entry) {
					for _, n := range nodes {
						n.quarantine.Merge(entries, time.Now())
					}
				}
				tb := newTestbed(t, "abcd", nil, nil, configHooks{inbound: func(_ string, cfg *inbound.Config) {
					cfg.PublishQuarantine = publish
				}})
				nodes = tb.nodes
				crashes := func() int64 { return 0 }
				for id := range tb.nodes {
					b := standin.NewBackend(id, 18, time.Millisecond)
					b.SetFaults(standin.BackendFaults{CrashOn: "poison", CrashForMs: 500})
					ln, err := tb.net.listen("backend-" + id)
					assert.NilError(t, err)
					go func() { _ = b.Serve(ctx, ln, tb.net.listen) }()
					before := crashes
					crashes = func() int64 { return before() + b.Crashes() }
				}
				for range 20 {
					tb.call("GET", "/harmless", "", nil)
				}
				var last callResult
				for range 50 {
					if method == "POST" { // a new outbound proxy for each call, with an empty quarantine list
						tb.net.kill("outbound")
						tb.outboundConfig.Quarantine = newQuarantineList()
						tb.serve("outbound", &proxy.NewServer(outbound.New(tb.outboundConfig)).Server)
					}
					last = tb.call(method, "/poison?a=1", "", nil)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, crashes() <= 3, "%d servers crashed", crashes())
				assert.Equal(t, last.reason, proxy.ReasonQuarantined, last.body)
				assert.Equal(t, last.outcome, string(proxy.OutcomeNotRun))
				time.Sleep(time.Second)
				assert.Equal(t, tb.call("GET", "/harmless", "", nil).status, 200)
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}

// TestSuspectStateIsSentWithCall guards against a node that runs a suspect
// request without its quarantine entry, a suspect request that is hedged, and an
// entry that is not cleared by a successful answer.
func TestSuspectStateIsSentWithCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fp := quarantine.NewFingerprint("GET", testHost, "/suspect", "", nil)
		states := make(chan quarantine.State, 10)
		var tb *testbed
		tb = newTestbed(t, "ab", func(id string) http.Handler {
			return http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
				states <- tb.nodes[id].quarantine.Check(fp, time.Now()).State
				time.Sleep(100 * time.Millisecond)
			})
		}, func(r *snapshot.Route) {
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		assert.Equal(t, tb.call("GET", "/", "", nil).status, 200) // fills the budget for one hedge
		for len(states) > 0 {
			<-states
		}
		list := tb.outboundConfig.Quarantine
		list.RecordCrash("elsewhere", []quarantine.Fingerprint{fp}, time.Now())
		assert.Equal(t, tb.call("GET", "/suspect", "", nil).status, 200)
		assert.Equal(t, len(states), 1)
		assert.Equal(t, <-states, quarantine.Suspect)
		assert.Equal(t, list.Check(fp, time.Now()).State, quarantine.Clear)
	})
}

// TestOnlyLoadAffectsBalancer guards against a balancer that avoids a server
// because one request was quarantined, and against a long download that counts
// as a call waiting for its answer.
func TestOnlyLoadAffectsBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newTestbed(t, "a", countCalls(&ran, func(_ string, w http.ResponseWriter, r *http.Request) {
			_ = http.NewResponseController(w).Flush()
			time.Sleep(10 * time.Second)
		}), nil)
		view := func() balance.View { return tb.outboundConfig.Stats.Views()[0] }
		fp := quarantine.NewFingerprint("GET", testHost, "/poison", "", nil)
		for _, server := range []string{"x", "y", "z"} {
			tb.nodes["a"].quarantine.RecordCrash(server, []quarantine.Fingerprint{fp}, time.Now())
		}
		assert.Equal(t, tb.call("GET", "/poison", "", nil).outcome, string(proxy.OutcomeNotRun))
		assert.Assert(t, view().AvoidUntil.IsZero())
		var done sync.WaitGroup
		done.Go(func() { tb.call("GET", "/download", "", nil) })
		time.Sleep(time.Second)
		assert.Equal(t, view().InFlight, 0)
		fillAdmission(tb.nodes["a"].admission)
		assert.Equal(t, tb.call("GET", "/", "", nil).outcome, string(proxy.OutcomeNotRun))
		assert.Assert(t, !view().AvoidUntil.IsZero())
		done.Wait()
	})
}
