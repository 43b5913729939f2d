package proxy

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
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
				w := newWorld(t, "abcd", nil, nil)
				crashes := func() int64 { return 0 }
				for id, n := range w.nodes {
					b := standin.NewBackend(id, 18, time.Millisecond)
					b.SetFaults(standin.BackendFaults{CrashOn: "poison", CrashForMs: 500})
					ln, err := w.net.listen("backend-" + id)
					assert.NilError(t, err)
					go func() { _ = b.Serve(ctx, ln, w.net.listen) }()
					before := crashes
					crashes = func() int64 { return before() + b.Crashes() }
					n.guard.cfg.News = func(news []quarantine.Entry) {
						for _, other := range w.nodes {
							other.quarantine.Merge(news, time.Now())
						}
					}
				}
				for range 20 {
					w.call("GET", "/harmless", "", nil)
				}
				var last told
				for range 50 {
					if method == "POST" { // each call through another node, which knows nothing yet
						w.front.cfg.Quarantine = newList()
					}
					last = w.call(method, "/poison?a=1", "", nil)
					time.Sleep(100 * time.Millisecond)
				}
				assert.Assert(t, crashes() <= 3, "%d servers crashed", crashes())
				assert.Equal(t, last.reason, ReasonQuarantined, last.body)
				assert.Equal(t, last.outcome, string(OutcomeNotRun))
				time.Sleep(time.Second)
				assert.Equal(t, w.call("GET", "/harmless", "", nil).status, 200)
				stop()
				time.Sleep(time.Second)
			})
		})
	}
}
