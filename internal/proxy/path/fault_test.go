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

// countCalls returns handlers that read the body of a call, count it in ran and
// call next.
func countCalls(ran *atomic.Int64, next func(id string, w http.ResponseWriter, r *http.Request)) func(string) http.Handler {
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

func answerWithID(id string, w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, id) }

func abortAnswer(string, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func hangUntilCancelled(_ string, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// TestNotRunOutcomeMeansCallDidNotRun guards against the outcome not-run for a
// call that reached a backend server, and against a POST that is sent twice.
func TestNotRunOutcomeMeansCallDidNotRun(t *testing.T) {
	tests := []struct {
		name     string
		ids      string
		backend  func(string, http.ResponseWriter, *http.Request)
		fault    func(tb *testbed) // injected after calls that opened connections
		method   string
		status   int
		outcome  proxy.Outcome
		wantRuns int64
	}{
		{"backend down", "a", answerWithID, func(tb *testbed) { tb.net.kill("backend-a") }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"backend loses the call", "a", abortAnswer, nil, "POST", 502, proxy.OutcomeUnknown, 1},
		{"backend hangs", "a", hangUntilCancelled, nil, "POST", 504, proxy.OutcomeUnknown, 1},
		{"backend silent on pooled connections", "a", answerWithID, func(tb *testbed) { tb.net.silence("backend-a") }, "POST", 504, proxy.OutcomeUnknown, 0},
		{"backend closed a pooled connection", "a", answerWithID, func(tb *testbed) { tb.net.cut("backend-a") }, "POST", 200, proxy.OutcomeRan, 1},
		{"node dead", "a", answerWithID, func(tb *testbed) { tb.net.kill("inbound-a") }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"one node dead of two", "ab", answerWithID, func(tb *testbed) { tb.net.kill("inbound-a") }, "POST", 200, proxy.OutcomeRan, 1},
		{"node silent on pooled connections", "a", answerWithID, func(tb *testbed) { tb.net.silence("inbound-a") }, "POST", 504, proxy.OutcomeUnknown, 0},
		{"node drains", "a", answerWithID, func(tb *testbed) { tb.nodes["a"].inbound.Drain() }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"one node drains of two", "ab", answerWithID, func(tb *testbed) { tb.nodes["b"].inbound.Drain() }, "POST", 200, proxy.OutcomeRan, 1},
		{"every slot is taken", "a", answerWithID, func(tb *testbed) { fillAdmission(tb.nodes["a"].admission) }, "POST", 503, proxy.OutcomeNotRun, 0},
		{"every server loses the call", "ab", abortAnswer, nil, "GET", 502, proxy.OutcomeUnknown, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				tb := newTestbed(t, tt.ids, countCalls(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
					if r.URL.Path == "/warm" {
						answerWithID(id, w, r)
						return
					}
					tt.backend(id, w, r)
				}), nil)
				for range 9 { // a tenth would fill the inbound proxy's budget for one resend
					assert.Equal(t, tb.call("GET", "/warm", "", nil).status, 200)
				}
				time.Sleep(2 * time.Second)
				if tt.fault != nil {
					tt.fault(tb)
				}
				ran.Store(0)
				got := tb.call(tt.method, "/", "body", nil)
				assert.NilError(t, got.err)
				assert.Equal(t, got.status, tt.status)
				assert.Equal(t, got.outcome, string(tt.outcome), got.body)
				assert.Equal(t, ran.Load(), tt.wantRuns)
			})
		})
	}
}

// fillAdmission takes every slot and every place in the queue of a testNode.
func fillAdmission(c *admission.Controller) {
	for range 18 + 64 {
		c.Acquire(time.Now(), admission.Request{Route: "other", Deadline: time.Now().Add(time.Hour)})
	}
}

// TestRefusedResendKeepsOutcomeUnknown guards against an inbound proxy that
// reports not-run because its resend could not connect, although the first
// transmission was lost and may have run.
func TestRefusedResendKeepsOutcomeUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran, dials atomic.Int64
		const probes = 3 // connections that the inbound proxy opens to detect a crash
		maxDials := int64(1 + probes)
		var tb *testbed
		backendClient := proxy.NewClient(proxy.ClientConfig{Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			if dials.Add(1) > maxDials {
				return nil, net.ErrClosed
			}
			return tb.net.dial(ctx, network, address)
		}})
		t.Cleanup(backendClient.Close)
		tb = newTestbed(t, "a", countCalls(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/lose" {
				abortAnswer(id, w, r)
			}
		}), func(r *snapshot.Route) { r.Service.Policy.Retries = 0 }, configHooks{inbound: func(_ string, cfg *inbound.Config) { cfg.Backend = backendClient }})
		for range 10 { // fills the budget for one resend
			assert.Equal(t, tb.call("GET", "/", "", nil).status, 200)
		}
		got := tb.call("GET", "/lose", "", nil)
		assert.Equal(t, dials.Load(), maxDials+1)
		assert.Equal(t, got.outcome, string(proxy.OutcomeUnknown), got.body)
	})
}

// TestIdempotentCallSurvivesFaults guards against a fault of one server or
// connection that reaches the caller of a call that could be retried.
func TestIdempotentCallSurvivesFaults(t *testing.T) {
	tests := map[string]struct {
		ids     string
		fault   func(tb *testbed)
		maxTime time.Duration
	}{
		"backend silent on pooled connections": {"a", func(tb *testbed) { tb.net.silence("backend-a") }, time.Second},
		"node silent on pooled connections":    {"a", func(tb *testbed) { tb.net.silence("inbound-a") }, 1500 * time.Millisecond},
		"backend closed pooled connections":    {"a", func(tb *testbed) { tb.net.cut("backend-a") }, 10 * time.Millisecond},
		"node closed pooled connections":       {"a", func(tb *testbed) { tb.net.cut("inbound-a") }, 10 * time.Millisecond},
		"node dead":                            {"ab", func(tb *testbed) { tb.net.kill("inbound-a") }, 10 * time.Millisecond},
		"backend dead":                         {"ab", func(tb *testbed) { tb.net.kill("backend-b") }, 100 * time.Millisecond},
		"node full":                            {"ab", func(tb *testbed) { fillAdmission(tb.nodes["b"].admission) }, 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				tb := newTestbed(t, tt.ids, countCalls(&ran, answerWithID), nil)
				for range 10 {
					assert.Equal(t, tb.call("GET", "/", "", nil).status, 200)
				}
				time.Sleep(2 * time.Second)
				tt.fault(tb)
				for range 3 {
					got := tb.call("GET", "/", "", nil)
					assert.Equal(t, got.status, 200, got.body)
					assert.Assert(t, got.took <= tt.maxTime, "took %v", got.took)
				}
			})
		})
	}
}

// TestSilentConnectionsFailOneCall guards against more than one lost call when
// all pooled connections to a server go silent together.
func TestSilentConnectionsFailOneCall(t *testing.T) {
	for _, address := range []string{"inbound-a", "backend-a"} {
		t.Run(address, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				tb := newTestbed(t, "a", countCalls(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
					time.Sleep(100 * time.Millisecond)
				}), nil)
				var warmup sync.WaitGroup
				for range 5 {
					warmup.Go(func() { tb.call("GET", "/", "", nil) })
				}
				warmup.Wait()
				tb.net.silence(address)
				assert.Equal(t, tb.call("POST", "/", "a", nil).outcome, string(proxy.OutcomeUnknown))
				for range 5 {
					assert.Equal(t, tb.call("POST", "/", "a", nil).status, 200)
				}
			})
		})
	}
}

// TestLateAnswerReachesNoOtherCaller guards against an answer that arrives after
// the deadline of its call and is returned for the next call.
func TestLateAnswerReachesNoOtherCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(2100 * time.Millisecond) // past the deadline, ignoring the cancellation
				}
				_, _ = io.WriteString(w, r.URL.Path)
			})
		}, func(r *snapshot.Route) { r.Service.Policy.Retries = 0 })
		assert.Equal(t, tb.call("POST", "/slow", "", nil).status, 504)
		for i := range 20 {
			path := fmt.Sprintf("/call-%d", i)
			assert.Equal(t, tb.call("GET", path, "", nil).body, path)
			time.Sleep(20 * time.Millisecond)
		}
	})
}

// TestAnswerOfAnotherCallIsRefused guards against an answer that an inbound
// proxy returns for the wrong call and that reaches a caller.
func TestAnswerOfAnotherCallIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tb := newTestbed(t, "a", nil, nil)
		tb.net.kill("inbound-a")
		tb.serve("inbound-a", &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
			w.Header().Set(proxy.HeaderExchangeID, "of-another")
			_, _ = io.WriteString(w, "secret")
		})})
		got := tb.call("POST", "/", "", nil)
		assert.Equal(t, got.status, 502)
		assert.Equal(t, got.outcome, string(proxy.OutcomeUnknown))
		assert.Assert(t, !strings.Contains(got.body, "secret"))
	})
}

// TestAnswerProgressTimeout guards against a long download that is cut although
// it makes progress, and against a stalled body that is never cut.
func TestAnswerProgressTimeout(t *testing.T) {
	for _, tt := range []struct {
		pause    time.Duration
		complete bool
	}{{10 * time.Second, true}, {20 * time.Second, false}} {
		t.Run(tt.pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tb := newTestbed(t, "a", func(string) http.Handler {
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
				got := tb.call("GET", "/", "", nil)
				assert.Equal(t, got.status, 200, got.body)
				assert.Equal(t, got.err == nil, tt.complete, "%v", got.err)
				assert.Equal(t, len(got.body) == 100, tt.complete)
			})
		})
	}
}

// TestSlowBodyFreesItsSlot guards against a caller that occupies a slot by
// sending its body one byte at a time.
func TestSlowBodyFreesItsSlot(t *testing.T) {
	for _, length := range []int64{1000, -1} {
		t.Run(fmt.Sprint(length), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var ran atomic.Int64
				tb := newTestbed(t, "a", countCalls(&ran, answerWithID), nil)
				out, in := io.Pipe()
				go func() {
					for range 1000 {
						if _, err := in.Write([]byte("x")); err != nil {
							return
						}
						time.Sleep(100 * time.Millisecond)
					}
				}()
				got := tb.call("POST", "/", "", func(r *http.Request) { r.Body, r.ContentLength = out, length })
				_ = out.Close()
				time.Sleep(time.Second) // for the proxies to release the call
				assert.Assert(t, got.status >= 400 || got.err != nil)
				assert.Assert(t, got.took < 5*time.Second, "took %v", got.took)
				assert.Equal(t, ran.Load(), int64(0))
				assert.Equal(t, tb.nodes["a"].admission.Report(time.Now()).InUse, 0)
			})
		})
	}
}

// TestSlowServerIsHedged guards against a caller that waits for a slow server
// while another is free, and against a losing attempt that is not cancelled.
func TestSlowServerIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var slow, cancelled atomic.Int64
		tb := newTestbed(t, "ab", func(id string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" && slow.Add(1) == 1 {
					<-r.Context().Done()
					cancelled.Add(1)
					return
				}
				answerWithID(id, w, r)
			})
		}, func(r *snapshot.Route) {
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		assert.Equal(t, tb.call("GET", "/", "", nil).status, 200) // fills the budget for one hedge
		got := tb.call("GET", "/slow", "", nil)
		assert.Equal(t, got.status, 200)
		assert.Equal(t, got.took, 50*time.Millisecond)
		synctest.Wait()
		assert.Equal(t, cancelled.Load(), int64(1))
		assert.Equal(t, tb.call("POST", "/", "a", nil).status, 200)
	})
}

// TestRetryAfterIsHonoured guards against a retry before the Retry-After time of
// a refusal, and against a refusal that reaches the caller although enough time
// remained to wait and retry.
func TestRetryAfterIsHonoured(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newTestbed(t, "a", countCalls(&ran, func(string, http.ResponseWriter, *http.Request) {
			time.Sleep(5 * time.Millisecond)
		}), nil, configHooks{inbound: func(_ string, cfg *inbound.Config) {
			cfg.Admission = admission.NewController(admission.Config{Slots: 1})
		}})
		go tb.call("POST", "/", "a", nil)
		time.Sleep(time.Millisecond)
		got := tb.call("POST", "/", "a", nil)
		assert.Equal(t, got.status, 200, got.body)
		assert.Assert(t, got.took >= 10*time.Millisecond, "took %v", got.took)
		assert.Equal(t, ran.Load(), int64(2))
	})
}

// TestRestartedServerHasColdStart guards against full load on a backend server
// that has just restarted.
func TestRestartedServerHasColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newTestbed(t, "a", countCalls(&ran, answerWithID), nil, configHooks{inbound: func(_ string, cfg *inbound.Config) {
			cfg.Admission = admission.NewController(admission.Config{Slots: 18, ColdStart: 10 * time.Second})
		}})
		slots := func() int { return tb.nodes["a"].admission.Report(time.Now()).Slots }
		assert.Equal(t, tb.call("GET", "/", "", nil).status, 200)
		assert.Equal(t, slots(), 18)
		tb.net.kill("backend-a")
		assert.Equal(t, tb.call("POST", "/", "a", nil).outcome, string(proxy.OutcomeNotRun))
		tb.serve("backend-a", &http.Server{Handler: countCalls(&ran, answerWithID)("a")})
		time.Sleep(time.Second)
		assert.Equal(t, tb.call("GET", "/", "", nil).status, 200)
		assert.Assert(t, slots() < 18)
	})
}

// TestCancelledCallIsCancelledAtBackend guards against a backend server that
// keeps working on a call whose caller has disconnected.
func TestCancelledCallIsCancelledAtBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var cancelled atomic.Int64
		tb := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				<-r.Context().Done()
				cancelled.Add(1)
			})
		}, nil)
		tb.client.Timeout = 100 * time.Millisecond
		assert.Assert(t, tb.call("GET", "/", "", nil).err != nil)
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, cancelled.Load(), int64(1))
		assert.Equal(t, tb.nodes["a"].admission.Report(time.Now()).InUse, 0)
	})
}

// TestHeadersBetweenCallerAndBackend guards against a deadline that is not
// reduced, hops that are not counted, internal headers that reach the backend
// server, and an outcome or reason of the backend server that reaches the caller.
func TestHeadersBetweenCallerAndBackend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(chan http.Header, 1)
		tb := newTestbed(t, "a", func(string) http.Handler {
			return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				seen <- r.Header.Clone()
				w.Header().Set(proxy.HeaderOutcome, string(proxy.OutcomeNotRun))
				w.Header().Set(proxy.HeaderReason, "invented")
			})
		}, nil)
		got := tb.call("GET", "/", "", func(r *http.Request) {
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
		tb.call("POST", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderInternalKey, "forged") })
		assert.Equal(t, (<-seen).Get(proxy.HeaderIdempotencyKey), "")
		got = tb.call("GET", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderDeadlineMs, "0") })
		assert.Equal(t, got.status, http.StatusGatewayTimeout)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun))
		got = tb.call("GET", "/", "", func(r *http.Request) { r.Header.Set(proxy.HeaderHops, "16") })
		assert.Equal(t, got.status, http.StatusLoopDetected)
		assert.Equal(t, got.outcome, string(proxy.OutcomeNotRun))
	})
}

// TestDrainRefusesNewCallsAndCompletesCallsInFlight guards against new calls to
// a node that drains, and against a drain that cuts the calls in flight, such
// as a long download.
func TestDrainRefusesNewCallsAndCompletesCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		tb := newTestbed(t, "ab", countCalls(&ran, func(id string, w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/download" {
				for range 60 {
					_, _ = io.WriteString(w, id)
					_ = http.NewResponseController(w).Flush()
					time.Sleep(time.Second)
				}
				return
			}
			answerWithID(id, w, r)
		}), nil)
		download := make(chan callResult, 1)
		go func() { download <- tb.call("GET", "/download", "", nil) }()
		time.Sleep(time.Second)
		drained := "a"
		if tb.nodes["b"].admission.Report(time.Now()).InUse > 0 {
			drained = "b"
		}
		inboundProxy := tb.nodes[drained].inbound
		inboundProxy.Drain()
		start := time.Now()
		waited := make(chan time.Duration, 1)
		go func() {
			_ = inboundProxy.Wait(t.Context())
			waited <- time.Since(start)
		}()
		for range 50 {
			got := tb.call("POST", "/", "a", nil)
			assert.Equal(t, got.status, 200)
			assert.Assert(t, got.body != drained)
			time.Sleep(100 * time.Millisecond)
		}
		got := <-download
		assert.NilError(t, got.err)
		assert.Equal(t, got.body, strings.Repeat(drained, 60))
		assert.Assert(t, <-waited >= 58*time.Second, "Wait returned during a download")
	})
}

// TestLostTransmissionCountsAsAttempt guards against a call that runs on more
// servers than its route allows: it is lost on a node that dies and then refuses
// a new connection, and only the refusal is counted.
func TestLostTransmissionCountsAsAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ran atomic.Int64
		var tb *testbed
		tb = newTestbed(t, "abc", func(id string) http.Handler {
			return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/lose" {
					return
				}
				if ran.Add(1) == 1 {
					tb.net.kill("inbound-" + id)
					return
				}
				time.Sleep(500 * time.Millisecond) // long enough for a hedge
			})
		}, func(r *snapshot.Route) {
			r.MaxAttempts = 2
			r.Service.Policy.Hedge, r.Service.Policy.HedgeAfter = true, jsonc.Duration(50*time.Millisecond)
		})
		for range 30 { // opens a connection to each node and fills the retry budget
			assert.Equal(t, tb.call("GET", "/", "", nil).status, 200)
		}
		got := tb.call("GET", "/lose", "", nil)
		assert.Equal(t, got.status, 200, got.body)
		time.Sleep(time.Second)
		assert.Equal(t, ran.Load(), int64(2))
	})
}
