package balance

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// uneven returns a balancer and a service with a server of half the speed, s0,
// and two of full speed, on which calls of work 1 take 160 ms.
func uneven(places ...string) (*Balancer, Request) {
	b := newTestBalancer()
	b.stats.cfg.ExactReports, b.stats.cfg.SpillRatio = true, 1.3 // as on a node
	r := Request{Service: service(places...)}
	b.Ejected(start, r.Service)
	for range 30 {
		answer(b, "s0", warm, Result{Latency: 320 * time.Millisecond, Report: &LoadReport{InUse: 6, Slots: 18}})
		answer(b, "s1", warm, Result{Latency: 160 * time.Millisecond, Report: &LoadReport{InUse: 6, Slots: 18}})
		answer(b, "s2", warm, Result{Latency: 160 * time.Millisecond, Report: &LoadReport{InUse: 6, Slots: 18}})
	}
	return b, r
}

// Guards against urgent calls that go to a slow server and are late, while calls
// that would be in time there take the fast ones.
func TestSlowServersGetThePatientCalls(t *testing.T) {
	b, r := uneven("west/w1", "west/w1", "west/w1")
	urgent, patient := r, r
	urgent.Objective, patient.Objective = 500*time.Millisecond, 1200*time.Millisecond
	assert.Equal(t, shares(t, b, warm, urgent)["s0"], 0.0)
	assert.Assert(t, shares(t, b, warm, patient)["s0"] > 0.6)
	full := &LoadReport{InUse: 17, Slots: 18}
	answer(b, "s0", warm, Result{Latency: 320 * time.Millisecond, Report: full})
	assert.Equal(t, shares(t, b, warm, patient)["s0"], 0.0, "a slow server is not filled to the last slot")
}

// Guards against calls that leave their failure domain although they are in time
// there, or stay although they are late there and in time in another one.
func TestObjectiveDecidesTheFailureDomain(t *testing.T) {
	b, r := uneven("west/w1", "west/w2", "west/w2")
	urgent, patient, none := r, r, r
	urgent.Objective, patient.Objective = 500*time.Millisecond, 1200*time.Millisecond
	assert.Equal(t, shares(t, b, warm, urgent)["s0"], 0.0)
	assert.Equal(t, shares(t, b, warm, patient)["s0"], 1.0)
	none.Objective = 100 * time.Millisecond // in time nowhere
	assert.Equal(t, shares(t, b, warm, none)["s0"], shares(t, b, warm, r)["s0"], "the expected time decides")
}

// Guards against a server that looks slow because it got the long calls.
func TestLongCallsDoNotMakeAServerSlow(t *testing.T) {
	b := newTestBalancer()
	r := Request{Service: service("west/w1", "west/w1")}
	b.Ejected(start, r.Service)
	for range 20 {
		answer(b, "s0", warm, Result{Latency: 500 * time.Millisecond, Work: 5})
		answer(b, "s1", warm, Result{Latency: 101 * time.Millisecond, Work: 1})
	}
	assert.Equal(t, shares(t, b, warm, r)["s0"], 1.0)
}

// Guards against a mean time of a route that follows the speed of the servers
// that its calls went to.
func TestWorkIsIndependentOfTheServers(t *testing.T) {
	times := NewCallTimes()
	assert.Equal(t, times.Work("a"), 1.0)
	for range 200 {
		times.Observe("a", 400*time.Millisecond, 2, warm) // on servers of half the speed
		times.Observe("b", 200*time.Millisecond, 1, warm)
	}
	assert.Assert(t, times.Work("a") > 0.99 && times.Work("a") < 1.01, "%v", times.Work("a"))
}

// BenchmarkPick measures a choice among servers in eight failure domains of two
// regions, all measured and in time.
func BenchmarkPick(b *testing.B) {
	places := []string{"west/w1", "west/w2", "west/w3", "west/w4", "east/e1", "east/e2", "east/e3", "east/e4"}
	for _, n := range []int{4, 30, 107} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			balancer := newTestBalancer()
			balancer.stats.cfg.ExactReports = true
			var at []string
			for i := range n {
				at = append(at, places[i%len(places)])
			}
			r := Request{Service: service(at...), Objective: time.Second}
			for _, e := range r.Service.Endpoints {
				answer(balancer, e.ID, warm, Result{Latency: 100 * time.Millisecond, Report: &LoadReport{InUse: 6, Slots: 18}})
			}
			b.ReportAllocs()
			for b.Loop() {
				_, _ = balancer.Pick(warm, r)
			}
		})
	}
}

// Guards against a refusal of a call of low rank, or of a large one, that keeps
// the calls from a server that it would serve.
func TestRefusalCoversOnlySuchCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		refused Result
		request Request
		avoided bool
	}{
		{"same rank", Result{Refused: RefusedRank, Rank: 2}, Request{Rank: 2}, true},
		{"lower rank", Result{Refused: RefusedRank, Rank: 2}, Request{Rank: 3}, true},
		{"higher rank", Result{Refused: RefusedRank, Rank: 2}, Request{Rank: 1}, false},
		{"large call for the link", Result{Refused: RefusedLink, Rank: 1}, Request{Rank: 1, Bytes: LargeCallBytes}, true},
		{"short call for the link", Result{Refused: RefusedLink, Rank: 1}, Request{Rank: 1}, false},
		{"a server that takes no calls", Result{Rank: 2}, Request{Rank: 0}, true},
	} {
		b := newTestBalancer()
		r := c.request
		r.Service = service("west/w1", "west/w1")
		b.Ejected(start, r.Service)
		c.refused.NotRun, c.refused.RetryAfter = true, time.Second
		answer(b, "s0", warm, c.refused)
		assert.Equal(t, shares(t, b, warm, r)["s0"] == 0, c.avoided, c.name)
		answer(b, "s1", warm, c.refused)
		choice, err := b.Pick(warm, r)
		assert.NilError(t, err)
		assert.Equal(t, choice.Avoided, c.avoided, c.name)
		assert.Assert(t, shares(t, b, warm.Add(time.Second), r)["s0"] > 0, c.name)
	}
}

// Guards against large answers that cross the link between regions because the
// servers of the own region are full; they do when it has none.
func TestLargeCallsStayInTheirRegion(t *testing.T) {
	b := newTestBalancer()
	full := Result{NotRun: true, RetryAfter: time.Second, Refused: RefusedLink}
	r := Request{Service: service("west/w1", "west/w2", "east/e1"), Bytes: LargeCallBytes}
	b.Ejected(start, r.Service)
	answer(b, "s0", warm, full)
	answer(b, "s1", warm, full)
	assert.Equal(t, shares(t, b, warm, r)["s2"], 0.0)
	small := r
	small.Bytes = 1000
	answer(b, "s0", warm, Result{NotRun: true, RetryAfter: time.Second, Refused: RefusedRank})
	answer(b, "s1", warm, Result{NotRun: true, RetryAfter: time.Second, Refused: RefusedRank})
	assert.Equal(t, shares(t, b, warm, small)["s2"], 1.0)
	answer(b, "s0", warm, unreachable)
	answer(b, "s1", warm, unreachable)
	assert.Equal(t, shares(t, b, warm, r)["s2"], 1.0)
}
