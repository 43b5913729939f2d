package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

func init() { measurements["tail"] = measureTail }

// One server at a time is slow. Service times are tailMinServiceTime plus an
// exponentially distributed part with the same mean.
const (
	tailServers        = 4
	tailSlots          = 18
	tailMinServiceTime = 5 * time.Millisecond
	tailSlowFactor     = 10
	tailDuration       = 60 * time.Second
	tailSlowDuration   = 5 * time.Second        // of one slow period
	tailSlowInterval   = 20 * time.Second       // from the start of one slow period to the next
	tailNetworkDelay   = 500 * time.Microsecond // one way
	tailBudget         = 0.1
	tailRoute          = "vitrine/browse"
)

// tailCase is one load level.
type tailCase struct {
	note  string
	load  float64 // share of the capacity of four healthy servers
	nodes int     // each balances by its own calls alone
}

var tailCases = []tailCase{
	// At this load, the slow server can serve a quarter of the calls, so round
	// robin builds no queue.
	{note: "load 8%, the slow server keeps up", load: 0.08, nodes: 8},
	{note: "load 50%", load: 0.5, nodes: 8},
	{note: "load 70%, three servers at 93%", load: 0.7, nodes: 8},
	// A node at the design size sends 59 calls per second.
	{note: "load 50%, 56 calls/s a node", load: 0.5, nodes: 64},
}

func measureTail(ctx context.Context, seed int64, report func(Result)) error {
	for _, c := range tailCases {
		if err := ctx.Err(); err != nil {
			return err
		}
		baseline := runTail(c, seed, newRoundRobin)
		ours := runTail(c, seed, newBalancedPicker)
		for _, r := range []Result{
			{Measure: "tail_p99_ms", Ours: percentileMs(ours.all, 0.99), Baseline: percentileMs(baseline.all, 0.99),
				Note: fmt.Sprintf("%s; p50 %.3g against %.3g", c.note, percentileMs(ours.all, 0.5), percentileMs(baseline.all, 0.5))},
			{Measure: "tail_slow_p99_ms", Ours: percentileMs(ours.duringSlow, 0.99), Baseline: percentileMs(baseline.duringSlow, 0.99),
				Note: fmt.Sprintf("%s; only calls begun while a server was slow; hedges %.2f%% of all calls", c.note, 100*ours.hedgeShare())},
		} {
			r.Unit, r.Seed, r.Nodes = "ms", seed, c.nodes
			report(r)
		}
	}
	return nil
}

// tailTimes holds the latencies and the number of hedges of one run.
type tailTimes struct {
	all        []time.Duration
	duringSlow []time.Duration // of calls that began while a server was slow
	hedges     int
}

// hedgeShare returns the number of hedges divided by the number of calls.
func (t tailTimes) hedgeShare() float64 { return float64(t.hedges) / float64(len(t.all)) }

// serverPicker picks servers for one node and learns from their answers.
type serverPicker interface {
	// pick returns the server for an attempt, which counts as begun. Without
	// excluded servers, it is the first attempt of a call.
	pick(now time.Time, exclude ...int) int
	// hedgeAfter returns the delay of a second attempt, if one is allowed.
	hedgeAfter(now time.Time) (time.Duration, bool)
	// takeHedgeBudget reports whether the budget allows a hedge, and takes from it.
	takeHedgeBudget(now time.Time) bool
	recordResult(server int, now time.Time, r balance.Result)
}

type roundRobin struct{ next int }

func (r *roundRobin) pick(time.Time, ...int) int {
	r.next++
	return r.next % tailServers
}

func (r *roundRobin) hedgeAfter(time.Time) (time.Duration, bool)  { return 0, false }
func (r *roundRobin) takeHedgeBudget(time.Time) bool              { return false }
func (r *roundRobin) recordResult(int, time.Time, balance.Result) {}

func newRoundRobin(random *rand.Rand) serverPicker {
	return &roundRobin{next: random.IntN(tailServers)}
}

// balancedPicker balances and hedges as a node does.
type balancedPicker struct {
	stats     *balance.Stats
	balancer  *balance.Balancer
	budgets   *retry.Budgets
	latencies *retry.Latencies
	service   *snapshot.Service
	index     map[string]int
}

func newBalancedPicker(random *rand.Rand) serverPicker {
	b := &balancedPicker{
		stats:     balance.NewStats(balance.Config{}),
		budgets:   retry.NewBudgets(),
		latencies: retry.NewLatencies(),
		service:   &snapshot.Service{Name: "vitrine"},
		index:     make(map[string]int),
	}
	b.balancer = balance.NewBalancer(b.stats, balance.Locality{Region: "r", FailureDomain: "d"}, random.Uint64)
	for i := range tailServers {
		id := fmt.Sprintf("s%d", i)
		b.index[id] = i
		b.service.Endpoints = append(b.service.Endpoints, &snapshot.Endpoint{
			ID: id, Incarnation: 1, Region: "r", FailureDomain: "d", Slots: tailSlots,
		})
	}
	return b
}

func (b *balancedPicker) pick(now time.Time, exclude ...int) int {
	r := balance.Request{Service: b.service}
	for _, i := range exclude {
		r.Exclude = append(r.Exclude, b.service.Endpoints[i].ID)
	}
	c, err := b.balancer.Pick(now, r)
	if err != nil {
		panic("bench: no server picked although none fails: " + err.Error())
	}
	b.stats.Begin(c.Endpoint.ID, now, 1)
	if len(exclude) == 0 {
		b.budgets.AddCall(b.service.Name, tailBudget, now)
	}
	return b.index[c.Endpoint.ID]
}

func (b *balancedPicker) hedgeAfter(now time.Time) (time.Duration, bool) {
	return b.latencies.HedgeAfter(tailRoute, now)
}

func (b *balancedPicker) takeHedgeBudget(now time.Time) bool {
	return b.budgets.Spend(b.service.Name, tailBudget, now)
}

func (b *balancedPicker) recordResult(server int, now time.Time, r balance.Result) {
	b.stats.End(b.service.Endpoints[server].ID, now, r)
	b.latencies.Observe(tailRoute, r.Latency, now)
}

// tailServer serves calls in the order of arrival in a number of slots.
type tailServer struct {
	sim       *simulation
	random    *rand.Rand
	slow      func(time.Time) bool
	busySlots int
	queue     []*tailWork
}

// tailWork is one attempt at a server. When cancelled, it is skipped in the queue
// or frees its slot.
type tailWork struct {
	done      func()
	running   bool
	cancelled bool
}

func (s *tailServer) serve(w *tailWork) {
	switch {
	case w.cancelled:
	case s.busySlots == tailSlots:
		s.queue = append(s.queue, w)
	default:
		s.start(w)
	}
}

func (s *tailServer) start(w *tailWork) {
	s.busySlots++
	w.running = true
	s.sim.after(s.serviceTime(), func() {
		if w.cancelled {
			return
		}
		w.running = false
		w.done()
		s.releaseSlot()
	})
}

func (s *tailServer) cancel(w *tailWork) {
	w.cancelled = true
	if w.running {
		w.running = false
		s.releaseSlot()
	}
}

func (s *tailServer) releaseSlot() {
	s.busySlots--
	for s.busySlots < tailSlots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.cancelled {
			s.start(next)
		}
	}
}

func (s *tailServer) serviceTime() time.Duration {
	d := time.Duration(float64(tailMinServiceTime) * (1 + s.random.ExpFloat64()))
	if s.slow(s.sim.now) {
		d *= tailSlowFactor
	}
	return d
}

// loadReport returns the load that the server reports. A slow one reports that it
// is idle, so that the balancer has to notice it by its latency.
func (s *tailServer) loadReport() balance.LoadReport {
	if s.slow(s.sim.now) {
		return balance.LoadReport{Slots: tailSlots}
	}
	return balance.LoadReport{InUse: s.busySlots, Queued: len(s.queue), Slots: tailSlots}
}

// runTail returns the latencies of all calls of one run.
func runTail(c tailCase, seed int64, newPicker func(*rand.Rand) serverPicker) *tailTimes {
	sim := newSimulation()
	servers := newTailServers(sim, seed)
	times := &tailTimes{}
	rate := c.load * tailServers * tailSlots / (2 * tailMinServiceTime).Seconds() / float64(c.nodes)
	for n := range c.nodes {
		random := rand.New(rand.NewPCG(uint64(seed), uint64(100+n)))
		arrive := rand.New(rand.NewPCG(uint64(seed), uint64(200+n)))
		node := &tailNode{sim: sim, servers: servers, picker: newPicker(random), times: times}
		sim.arrivals(rate, tailDuration, arrive.ExpFloat64, node.sendCall)
	}
	sim.run()
	return times
}

// tailNode sends the calls of one node.
type tailNode struct {
	sim     *simulation
	servers []*tailServer
	picker  serverPicker
	times   *tailTimes
}

// tailCall is one call and its attempts.
type tailCall struct {
	start           time.Time
	beganDuringSlow bool
	ended           bool
	cancels         []func()
}

func (n *tailNode) sendCall() {
	c := &tailCall{start: n.sim.now, beganDuringSlow: anySlow(n.servers, n.sim.now)}
	first := n.picker.pick(n.sim.now)
	n.sendAttempt(c, first)
	wait, ok := n.picker.hedgeAfter(n.sim.now)
	if !ok {
		return
	}
	n.sim.after(wait, func() {
		if c.ended || !n.picker.takeHedgeBudget(n.sim.now) {
			return
		}
		n.times.hedges++
		n.sendAttempt(c, n.picker.pick(n.sim.now, first))
	})
}

// sendAttempt starts an attempt; cancelling it also cancels it at the server.
func (n *tailNode) sendAttempt(c *tailCall, i int) {
	start := n.sim.now
	ended := false
	end := func(r balance.Result) {
		ended = true
		r.Latency = n.sim.now.Sub(start)
		n.picker.recordResult(i, n.sim.now, r)
	}
	work := &tailWork{}
	work.done = func() {
		load := n.servers[i].loadReport()
		n.sim.after(tailNetworkDelay, func() {
			if !c.ended {
				end(balance.Result{Report: &load})
				n.finishCall(c)
			}
		})
	}
	c.cancels = append(c.cancels, func() {
		if !ended {
			end(balance.Result{Canceled: true})
			n.sim.after(tailNetworkDelay, func() { n.servers[i].cancel(work) })
		}
	})
	n.sim.after(tailNetworkDelay, func() { n.servers[i].serve(work) })
}

func (n *tailNode) finishCall(c *tailCall) {
	c.ended = true
	for _, cancel := range c.cancels {
		cancel()
	}
	elapsed := n.sim.now.Sub(c.start)
	n.times.all = append(n.times.all, elapsed)
	if c.beganDuringSlow {
		n.times.duringSlow = append(n.times.duringSlow, elapsed)
	}
}

func anySlow(servers []*tailServer, now time.Time) bool {
	return slices.ContainsFunc(servers, func(s *tailServer) bool { return s.slow(now) })
}

// newTailServers returns the servers. They are slow in turn; the first slow period
// starts after half an interval.
func newTailServers(sim *simulation, seed int64) []*tailServer {
	start := sim.now
	servers := make([]*tailServer, tailServers)
	for i := range servers {
		servers[i] = &tailServer{sim: sim, random: rand.New(rand.NewPCG(uint64(seed), uint64(i))),
			slow: func(now time.Time) bool {
				elapsed := now.Sub(start) - tailSlowInterval/2
				turn := int(elapsed / tailSlowInterval)
				return elapsed >= 0 && turn%tailServers == i && elapsed%tailSlowInterval < tailSlowDuration
			}}
	}
	return servers
}
