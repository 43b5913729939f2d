package path_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// counting returns handlers that count the calls they ran.
func counting(ran *atomic.Int64, next func(id string, w http.ResponseWriter, r *http.Request)) func(string) http.Handler {
	return func(id string) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				panic(http.ErrAbortHandler)
			}
			ran.Add(1)
			next(id, w, r)
		})
	}
}

func answerID(id string, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, id) }

func dropCall(string, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hang(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestP5NotRunIsTrue guards against a caller that is told not-run although
// the call reached a backend server, and against a call that was sent twice.
func TestP5NotRunIsTrue(t *testing.T) {
	tests := []struct {
		name    string
		ids     string
		backend func(string, http.ResponseWriter, *http.Request)
		fault   func(w *testbed) // before the call, after one call that warmed the connections
		method  string
		status  int
		outcome proxy.Outcome
		ran     int64
	}{
		{"backend down", "a", answerID, func(w *testbed) { w.net.kill("backend-a") }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"backend loses the call", "a", dropCall, nil, "POST", 502, proxy.OutcomeUnknown, 1},
		{"backend hangs", "a", hang, nil, "POST", 504, proxy.OutcomeUnknown, 1},
		{"backend silent on kept connections", "a", answerID, func(w *testbed) { w.net.silence("backend-a") }, "POST", 504, proxy.OutcomeUnknown, 0},
		{"backend closed a kept connection", "a", answerID, func(w *testbed) { w.net.cut("backend-a") }, "POST", 200, proxy.OutcomeRan, 1},
		{"node dead", "a", answerID, func(w *testbed) { w.net.kill("guard-a") }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"one node dead of two", "ab", answerID, func(w *testbed) { w.net.kill("guard-a") }, "POST", 200, proxy.OutcomeRan, 1},
		{"node silent on kept connections", "a", answerID, func(w *testbed) { w.net.silence("guard-a") }, "POST", 504, proxy.OutcomeUnknown, 0},
		{"node drains", "a", answerID, func(w *testbed) { w.nodes["a"].guard.Drain() }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"one node drains of two", "ab", answerID, func(w *testbed) { w.nodes["b"].guard.Drain() }, "POST", 200, proxy.OutcomeRan, 1},
		{"every slot is taken", "a", answerID, func(w *testbed) { fill(w.nodes["a"].gate) }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"every server loses the call", "ab", dropCall, nil, "GET", 502, proxy.OutcomeUnknown, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				w := newTestbed(t, tt.ids, counting(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/warm" {
						answerID(id, w, r)
						return
					}
					tt.backend(id, w, r)
				}), nil)
				for range 9 { // with ten, a guard would have earned a resend
					assert.Equal(t, w.call("GET", "/warm", "", nil).status, 200)
				}
				time.Sleep(2 * time.Second)
				if tt.fault != nil {
					tt.fault(w)
				}
				ran.Store(0)
				got := w.call(tt.method, "/", "body", nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.outcome, string(tt.outcome), got.body)
				assert.Equal(t, ran.Load(), tt.ran)
			})
		})
	}
}

func fill(g *admission.Controller) {
	for range 18 + 64 {
		g.Acquire(time.Now(), admission.Request{Route: "other", Deadline: time.Now().Add(time.Hour)})
	}
}

// TestP5FirstSendingCounts guards against a guard that reports not-run because
// its second sending was refused, although its first one was lost.
func TestP5FirstSendingCounts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, dials atomic.Int64
		const probes = 3 // connections by which the guard looks for a crash
		most := int64(1 + probes)
		var w *testbed
		link := proxy.NewClient(proxy.ClientConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > most {
				return nil, net.ErrClosed
			}
			return w.net.dial(ctx, network, address)
		}})
		t.Cleanup(link.Close)
		w = newTestbed(t, "a", counting(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lose" {
				dropCall(id, w, r)
			}
		}), func(r *snapshot.Route) { r.Service.Policy.Retries = 0 }, tuning{guard: func(_ string, cfg *inbound.Config) { cfg.Backend = link }})
		for range 10 { // earns a resend
			assert.Equal(t, w.call("GET", "/", "", nil).status, 200)
		}
		got := w.call("GET", "/lose", "", nil)
		assert.Equal(t, dials.Load(), most+1)
		assert.Equal(t, got.outcome, string(proxy.OutcomeUnknown), got.body)
	})
}

// TestIdempotentCallOutlivesFaults guards against a fault of one server or
// connection that reaches a caller although the call could be sent again.
func TestIdempotentCallOutlivesFaults(t *testing.T) {
	tests := map[string]struct {
		ids    string
		fault  func(w *testbed)
		within time.Duration
	}{
		"backend silent on kept connections": {"a", func(w *testbed) { w.net.silence("backend-a") }, time.Second},
		"node silent on kept connections":    {"a", func(w *testbed) { w.net.silence("guard-a") }, 1500 * time.Millisecond},
		"backend closed kept connections":    {"a", func(w *testbed) { w.net.cut("backend-a") }, 10 * time.Millisecond},
		"node closed kept connections":       {"a", func(w *testbed) { w.net.cut("guard-a") }, 10 * time.Millisecond},
		"node dead":                          {"ab", func(w *testbed) { w.net.kill("guard-a") }, 10 * time.Millisecond},
		"backend dead":                       {"ab", func(w *testbed) { w.net.kill("backend-b") }, 100 * time.Millisecond},
		"node full":                          {"ab", func(w *testbed) { fill(w.nodes["b"].gate) }, 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				w := newTestbed(t, tt.ids, counting(&ran, answerID), nil)
				for range 10 {
					assert.Equal(t, w.call("GET", "/", "", nil).status, 200)
				}
				time.Sleep(2 * time.Second)
				tt.fault(w)
				for range 3 {
					got := w.call("GET", "/", "", nil)
					assert.Equal(t, got.status, 200, got.body)
					assert.Assert(t, got.took <= tt.within, "took %v", got.took)
				}
			})
		})
	}
}

// TestSilenceCostsOneCall guards against one call after another that is lost
// on the remaining connections of a group that went silent together.
func TestSilenceCostsOneCall(t *testing.T) {
	for _, address := range []string{"guard-a", "backend-a"} {
		t.Run(address, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				w := newTestbed(t, "a", counting(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
					time.Sleep(100 * time.Millisecond)
				}), nil)
				var warm sync.WaitGroup
				for range 5 {
					warm.Go(func() { w.call("GET", "/", "", nil) })
				}
				warm.Wait()
				w.net.silence(address)
				assert.Equal(t, w.call("POST", "/", "a", nil).outcome, string(proxy.OutcomeUnknown))
				for range 5 {
					assert.Equal(t, w.call("POST", "/", "a", nil).status, 200)
				}
			})
		})
	}
}

// TestP4LateAnswerReachesNoOtherCaller guards against an answer that comes
// after its time limit and is given to the next call.
func TestP4LateAnswerReachesNoOtherCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(2100 * time.Millisecond) // does not hear of the cancellation
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
		}, func(r *snapshot.Route) { r.Service.Policy.Retries = 0 })
		assert.Equal(t, w.call("POST", "/slow", "", nil).status, 504)
		for i := range 20 {
			path := fmt.Sprintf("/call-%d", i)
			assert.Equal(t, w.call("GET", path, "", nil).body, path)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestP4AnswerOfAnotherCallIsRefused guards against a node that gives the
// answer of one call to another.
func TestP4AnswerOfAnotherCallIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newTestbed(t, "a", nil, nil)
		w.net.kill("guard-a")
		w.serve("guard-a", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
			w.Header().Set(proxy.HeaderExchangeID, "of-another")
			_, _ = io.WriteString(w, "secret")
		})})
		got := w.call("POST", "/", "", nil)
		assert.Equal(t, got.status, 502)
		assert.Equal(t, got.outcome, string(proxy.OutcomeUnknown))
		assert.Assert(t, !strings.Contains(got.body, "secret"))
	})
}

// TestProgressLimits guards against a long download that is cut although it
// makes progress, and against a body that stands still for ever.
func TestProgressLimits(t *testing.T) {
	for _, tt := range []struct {
		pause time.Duration
		whole bool
	}{{10 * time.Second, true}, {20 * time.Second, false}} {
		t.Run(tt.pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newTestbed(t, "a", func(string) http.Handler {
					return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set("Content-Length", "100")
						_ = http.NewResponseController(w).Flush()
						for range 10 {
							wait.For(r.Context(), tt.pause)
							_, _ = io.WriteString(w, "ten bytes.")
							_ = http.NewResponseController(w).Flush()
						}
					})
				}, nil)
				got := w.call("GET", "/", "", nil)
				assert.Equal(t, got.status, 200, got.body)
				assert.Equal(t, got.err == nil, tt.whole, "%v", got.err)
				assert.Equal(t, len(got.body) == 100, tt.whole)
			})
		})
	}
}

// TestTricklingBodyIsBounded guards against a caller that holds a slot by
// sending its body a byte at a time.
func TestTricklingBodyIsBounded(t *testing.T) {
	for _, length := range []int64{1000, -1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				w := newTestbed(t, "a", counting(&ran, answerID), nil)
				out, in := io.Pipe()
				go func() {
					for range 1000 {
						if _, err := in.Write([]byte("x")); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				got := w.call("POST", "/", "", func(r *http.Request) { r.Body, r.ContentLength = out, length })
				_ = out.Close()
				time.Sleep(time.Second) // for the sender to notice
				assert.Assert(t, got.status >= 400 || got.err != nil)
				assert.Assert(t, got.took < 5*time.Second, "took %v", got.took)
				assert.Equal(t, ran.Load(), int64(0))
				assert.Equal(t, w.nodes["a"].gate.Report(time.Now()).InUse, 0)
			})
		})
	}
}

// TestSlowServerIsHedged guards against a caller that waits for a slow server
// while another is free, and against a loser that goes on working.
func TestSlowServerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow, cancelled atomic.Int64
		w := newTestbed(t, "ab", func(id string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" && slow.Add(1) == 1 {
					<-r.Context().Done()
					cancelled.Add(1)
					return
				}
				answerID(id, w, r)
			})
		}, func(r *snapshot.Route) {
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		assert.Equal(t, w.call("GET", "/", "", nil).status, 200) // earns the budget
		got := w.call("GET", "/slow", "", nil)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.took, 50*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, cancelled.Load(), int64(1))
		assert.Equal(t, w.call("POST", "/", "a", nil).status, 200)
	})
}

// TestRetryAfterIsHonoured guards against a second try before the time that a
// refusal names, and against a refusal that reaches the caller although the
// time would have been there.
func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newTestbed(t, "a", counting(&ran, func(string, http.ResponseWriter, *http.Request) {
			time.Sleep(5 * time.Millisecond)
		}), nil, tuning{guard: func(_ string, cfg *inbound.Config) { cfg.Gate = admission.NewController(admission.Config{Slots: 1}) }})
		go w.call("POST", "/", "a", nil)
		time.Sleep(time.Millisecond)
		got := w.call("POST", "/", "a", nil)
		assert.Equal(t, got.status, 200, got.body)
		assert.Assert(t, got.took >= 10*time.Millisecond, "took %v", got.took)
		assert.Equal(t, ran.Load(), int64(2))
	})
}

// TestReturningServerStartsCold guards against full load on a backend server
// that has just come back.
func TestReturningServerStartsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newTestbed(t, "a", counting(&ran, answerID), nil, tuning{guard: func(_ string, cfg *inbound.Config) {
			cfg.Gate = admission.NewController(admission.Config{Slots: 18, ColdStart: 10 * time.Second})
		}})
		slots := func() int { return w.nodes["a"].gate.Report(time.Now()).Slots }
		assert.Equal(t, w.call("GET", "/", "", nil).status, 200)
		assert.Equal(t, slots(), 18)
		w.net.kill("backend-a")
		assert.Equal(t, w.call("POST", "/", "a", nil).outcome, string(proxy.OutcomeNotRun))
		w.serve("backend-a", &http.Server{Handler: counting(&ran, answerID)("a")})
		time.Sleep(time.Second)
		assert.Equal(t, w.call("GET", "/", "", nil).status, 200)
		assert.Assert(t, slots() < 18)
	})
}

// TestCallerLeaves guards against work that goes on for a caller that left.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled atomic.Int64
		w := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				cancelled.Add(1)
			})
		}, nil)
		w.client.Timeout = 100 * time.Millisecond
		assert.Assert(t, w.call("GET", "/", "", nil).err != nil)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, cancelled.Load(), int64(1))
		assert.Equal(t, w.nodes["a"].gate.Report(time.Now()).InUse, 0)
	})
}

// TestWhatTravelsWithACall guards against a deadline that grows, hops that do
// not count, and inner headers that reach callers or backend servers.
func TestWhatTravelsWithACall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(chan http.Header, 1)
		w := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Clone()
				w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeNotRun))
				w.Header().Set(proxy.HeaderReason, "invented")
			})
		}, nil)
		got := w.call("GET", "/", "", func(r *http.Request) {
			r.Header.Set(proxy.HeaderDeadlineMs, "1000")
			r.Header.Set(proxy.HeaderHops, "3")
			r.Header.Set(proxy.HeaderPriority, "background")
			r.Header.Set(proxy.HeaderIdempotencyKey, "any key")
			r.Header.Set(proxy.HeaderInternalKey, "forged")
			r.Header.Set(proxy.HeaderClaim, "1")
		})
		assert.Equal(t, got.outcome, string(proxy.OutcomeRan))
		assert.Equal(t, got.reason, "")
		h := <-seen
		assert.Equal(t, h.Get(proxy.HeaderDeadlineMs), "980")
		assert.Equal(t, h.Get(proxy.HeaderHops), "4")
		assert.Equal(t, h.Get(proxy.HeaderPriority), "background")
		assert.DeepEqual(t, h.Values(proxy.HeaderIdempotencyKey), []string{"any key"})
		for _, name := range []string{proxy.HeaderInternalKey, proxy.HeaderRoute, proxy.HeaderAtMostOnce, proxy.HeaderClaim, proxy.HeaderExchangeID, proxy.HeaderRepeatable} {
			assert.Equal(t, h.Get(name), "", name)
		}
		w.call("POST", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderInternalKey, "forged") })
		assert.Equal(t, (<-seen).Get(proxy.HeaderIdempotencyKey), "")
		got = w.call("GET", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderDeadlineMs, "0") })
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun))
		got = w.call("GET", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderHops, "16") })
		assert.Equal(t, got.status, http.StatusLoopDetected)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun))
	})
}

// TestP7LeavingServerTakesNoWork and TestP8: a server that leaves gets nothing
// new, and what runs there ends whole, long downloads too.
func TestP7LeavingServerTakesNoWorkP8AndCutsNone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		w := newTestbed(t, "ab", counting(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/download" {
				for range 60 {
					_, _ = io.WriteString(w, id)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(time.Second)
				}
				return
			}
			answerID(id, w, r)
		}), nil)
		download := make(chan told, 1)
		go func() { download <- w.call("GET", "/download", "", nil) }()
		time.Sleep(time.Second)
		leaving := "a"
		if w.nodes["b"].gate.Report(time.Now()).InUse > 0 {
			leaving = "b"
		}
		guard := w.nodes[leaving].guard
		guard.Drain()
		begun := time.Now()
		left := make(chan time.Duration, 1)
		go func() {
			_ = guard.Wait(t.Context())
			left <- time.Since(begun)
		}()
		for range 50 {
			got := w.call("POST", "/", "a", nil)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.body != leaving)
			time.Sleep(100 * time.Millisecond)
		}
		got := <-download
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, strings.Repeat(leaving, 60))
		assert.Assert(t, <-left >= 58*time.Second, "Wait returned while a download was under way")
	})
}

// TestLostSendingCountsAsATry guards against a call that runs on more servers
// than its route allows: it was sent to a node that died, which then refused a
// new connection, and that counted as a refusal only.
func TestLostSendingCountsAsATry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		var w *testbed
		w = newTestbed(t, "abc", func(id string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/lose" {
					return
				}
				if ran.Add(1) == 1 {
					w.net.kill("guard-" + id)
					return
				}
				time.Sleep(500 * time.Millisecond) // long enough for a hedge
			})
		}, func(r *snapshot.Route) {
			r.MaxAttempts = 2
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		for range 30 { // keeps a connection to each node and earns retries
			assert.Equal(t, w.call("GET", "/", "", nil).status, 200)
		}
		got := w.call("GET", "/lose", "", nil)
		assert.Equal(t, got.status, 200, got.body)
		time.Sleep(time.Second)
		assert.Equal(t, ran.Load(), int64(2))
	})
}
