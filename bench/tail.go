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

func init() { measures["tail"] = measureTail }

// The service and its slow server. Service times are tailFixed plus an
// exponential part of mean tailFixed.
const (
	tailServers   = 4
	tailSlots     = 18
	tailFixed     = 5 * time.Millisecond
	tailSlowdown  = 10
	tailLength    = 60 * time.Second
	tailEpisode   = 5 * time.Second        // length of a slow time
	tailEvery     = 20 * time.Second       // from one slow time to the next
	tailNeighbour = 500 * time.Microsecond // one way
	tailBudget    = 0.1
	tailRoute     = "vitrine/browse"
)

// tailCase is one setting of the measurement.
type tailCase struct {
	note  string
	load  float64 // share of the capacity of four healthy servers
	nodes int     // nodes that choose, each by its own calls alone
}

var tailCases = []tailCase{
	// Even the slow server can serve a quarter of the calls here, so round
	// robin builds no queue.
	{note: "load 8%, the slow server keeps up", load: 0.08, nodes: 8},
	{note: "load 50%", load: 0.5, nodes: 8},
	{note: "load 70%, three servers at 93%", load: 0.7, nodes: 8},
	// A node of the design size sends 59 calls a second.
	{note: "load 50%, 56 calls/s a node", load: 0.5, nodes: 64},
}

func measureTail(ctx context.Context, seed int64, report func(Result)) error {
	for _, c := range tailCases {
		if err := ctx.Err(); err != nil {
			return err
		}
		baseline := runTail(c, seed, roundRobin)
		ours := runTail(c, seed, balanced)
		for _, r := range []Result{
			{Measure: "tail_p99_ms", Ours: percentileMs(ours.all, 0.99), Baseline: percentileMs(baseline.all, 0.99),
				Note: fmt.Sprintf("%s; p50 %.3g against %.3g", c.note, percentileMs(ours.all, 0.5), percentileMs(baseline.all, 0.5))},
			{Measure: "tail_slow_p99_ms", Ours: percentileMs(ours.slow, 0.99), Baseline: percentileMs(baseline.slow, 0.99),
				Note: fmt.Sprintf("%s; calls of the slow times alone; hedges %.2f%% of all calls", c.note, 100*ours.hedgeShare())},
		} {
			r.Unit, r.Seed, r.Nodes = "ms", seed, c.nodes
			report(r)
		}
	}
	return nil
}

// tailTimes are the times of the calls of one run.
type tailTimes struct {
	all    []time.Duration
	slow   []time.Duration // of calls that began while a server was slow
	hedges int
}

func (t tailTimes) hedgeShare() float64 { return float64(t.hedges) / float64(len(t.all)) }

// chooser is how one node picks servers and learns from answers.
type chooser interface {
	pick(now time.Time, exclude ...int) int
	// hedgeAfter returns the time until a second attempt, if there may be one.
	hedgeAfter(now time.Time) (time.Duration, bool)
	mayHedge(now time.Time) bool
	done(server int, now time.Time, r balance.Result)
}

type rotation struct{ next int }

func (r *rotation) pick(time.Time, ...int) int {
	r.next++
	return r.next % tailServers
}

func (r *rotation) hedgeAfter(time.Time) (time.Duration, bool) { return 0, false }
func (r *rotation) mayHedge(time.Time) bool                    { return false }
func (r *rotation) done(int, time.Time, balance.Result)        {}

func roundRobin(random *rand.Rand) chooser { return &rotation{next: random.IntN(tailServers)} }

// byBalance chooses and hedges as a node does.
type byBalance struct {
	stats     *balance.Stats
	balancer  *balance.Balancer
	budgets   *retry.Budgets
	latencies *retry.Latencies
	service   *snapshot.Service
	index     map[string]int
}

func balanced(random *rand.Rand) chooser {
	b := &byBalance{
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

func (b *byBalance) pick(now time.Time, exclude ...int) int {
	r := balance.Request{Service: b.service}
	for _, i := range exclude {
		r.Exclude = append(r.Exclude, b.service.Endpoints[i].ID)
	}
	c, err := b.balancer.Pick(now, r)
	if err != nil {
		panic("bench: no server although none fails: " + err.Error())
	}
	b.stats.Begin(c.Endpoint.ID, now)
	if len(exclude) == 0 {
		b.budgets.AddCall(b.service.Name, tailBudget, now)
	}
	return b.index[c.Endpoint.ID]
}

func (b *byBalance) hedgeAfter(now time.Time) (time.Duration, bool) {
	return b.latencies.HedgeAfter(tailRoute, now)
}

func (b *byBalance) mayHedge(now time.Time) bool {
	return b.budgets.Spend(b.service.Name, tailBudget, now)
}

func (b *byBalance) done(server int, now time.Time, r balance.Result) {
	b.stats.End(b.service.Endpoints[server].ID, now, r)
	b.latencies.Observe(tailRoute, r.Latency, now)
}

// tailServer serves calls in the order of arrival in a number of slots.
type tailServer struct {
	sim    *simulation
	random *rand.Rand
	slow   func(time.Time) bool
	busy   int
	queue  []*tailWork
}

// tailWork is one attempt at a server. Cancelling it takes it out of the queue
// or frees its slot.
type tailWork struct {
	done      func()
	running   bool
	cancelled bool
}

func (s *tailServer) serve(w *tailWork) {
	switch {
	case w.cancelled:
	case s.busy == tailSlots:
		s.queue = append(s.queue, w)
	default:
		s.start(w)
	}
}

func (s *tailServer) start(w *tailWork) {
	s.busy++
	w.running = true
	s.sim.after(s.serviceTime(), func() {
		if w.cancelled {
			return
		}
		w.running = false
		w.done()
		s.free()
	})
}

func (s *tailServer) cancel(w *tailWork) {
	w.cancelled = true
	if w.running {
		w.running = false
		s.free()
	}
}

func (s *tailServer) free() {
	s.busy--
	for s.busy < tailSlots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		if !next.cancelled {
			s.start(next)
		}
	}
}

func (s *tailServer) serviceTime() time.Duration {
	d := time.Duration(float64(tailFixed) * (1 + s.random.ExpFloat64()))
	if s.slow(s.sim.now) {
		d *= tailSlowdown
	}
	return d
}

// report is what the server tells of its load. The slow one claims to be idle.
func (s *tailServer) report() balance.LoadReport {
	if s.slow(s.sim.now) {
		return balance.LoadReport{Slots: tailSlots}
	}
	return balance.LoadReport{InFlight: s.busy, Queued: len(s.queue), Slots: tailSlots}
}

// runTail returns the times of all calls of one run.
func runTail(c tailCase, seed int64, newChooser func(*rand.Rand) chooser) *tailTimes {
	sim := newSimulation()
	servers := tailFleet(sim, seed)
	times := &tailTimes{}
	rate := c.load * tailServers * tailSlots / (2 * tailFixed).Seconds() / float64(c.nodes)
	for n := range c.nodes {
		random := rand.New(rand.NewPCG(uint64(seed), uint64(100+n)))
		arrive := rand.New(rand.NewPCG(uint64(seed), uint64(200+n)))
		node := &tailNode{sim: sim, servers: servers, choose: newChooser(random), times: times}
		sim.arrivals(rate, tailLength, arrive.ExpFloat64, node.call)
	}
	sim.run()
	return times
}

// tailNode sends the calls of one node.
type tailNode struct {
	sim     *simulation
	servers []*tailServer
	choose  chooser
	times   *tailTimes
}

// tailCall is one call and its attempts.
type tailCall struct {
	began  time.Time
	slow   bool
	ended  bool
	cancel []func()
}

func (n *tailNode) call() {
	c := &tailCall{began: n.sim.now, slow: anySlow(n.servers, n.sim.now)}
	first := n.choose.pick(n.sim.now)
	n.send(c, first)
	wait, ok := n.choose.hedgeAfter(n.sim.now)
	if !ok {
		return
	}
	n.sim.after(wait, func() {
		if c.ended || !n.choose.mayHedge(n.sim.now) {
			return
		}
		n.times.hedges++
		n.send(c, n.choose.pick(n.sim.now, first))
	})
}

// send starts an attempt. A cancelled one is cancelled at its server too.
func (n *tailNode) send(c *tailCall, i int) {
	sent := n.sim.now
	over := false
	end := func(r balance.Result) {
		over = true
		r.Latency = n.sim.now.Sub(sent)
		n.choose.done(i, n.sim.now, r)
	}
	work := &tailWork{}
	work.done = func() {
		load := n.servers[i].report()
		n.sim.after(tailNeighbour, func() {
			if !c.ended {
				end(balance.Result{Report: &load})
				n.finish(c)
			}
		})
	}
	c.cancel = append(c.cancel, func() {
		if !over {
			end(balance.Result{Canceled: true})
			n.sim.after(tailNeighbour, func() { n.servers[i].cancel(work) })
		}
	})
	n.sim.after(tailNeighbour, func() { n.servers[i].serve(work) })
}

func (n *tailNode) finish(c *tailCall) {
	c.ended = true
	for _, cancel := range c.cancel {
		cancel()
	}
	took := n.sim.now.Sub(c.began)
	n.times.all = append(n.times.all, took)
	if c.slow {
		n.times.slow = append(n.times.slow, took)
	}
}

func anySlow(servers []*tailServer, now time.Time) bool {
	return slices.ContainsFunc(servers, func(s *tailServer) bool { return s.slow(now) })
}

// tailFleet makes the servers. Each slow time hits one of them in turn, and
// the first starts after half a period.
func tailFleet(sim *simulation, seed int64) []*tailServer {
	start := sim.now
	servers := make([]*tailServer, tailServers)
	for i := range servers {
		servers[i] = &tailServer{sim: sim, random: rand.New(rand.NewPCG(uint64(seed), uint64(i))),
			slow: func(now time.Time) bool {
				passed := now.Sub(start) - tailEvery/2
				turn := int(passed / tailEvery)
				return passed >= 0 && turn%tailServers == i && passed%tailEvery < tailEpisode
			}}
	}
	return servers
}
