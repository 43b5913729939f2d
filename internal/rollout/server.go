package rollout

import (
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Server holds what a node knows of its own backend server under an order. It
// counts each call that is passed to the server, and holds the exposure of the
// target version whatever the callers' nodes believe.
type Server struct {
	node  string
	start int64
	// Both are sharded by route, since every answer updates them.
	routes *shard.Map[RouteCounts]
	busy   *shard.Map[RouteCounts] // see Report.Busy

	mu       sync.Mutex
	version  string    // guarded by mu
	slots    int       // guarded by mu
	warmAt   time.Time // guarded by mu; when the cold start ends
	state    State     // guarded by mu; Number 0 before the first order
	runs     int64     // guarded by mu; since the order
	running  int       // guarded by mu
	term     int64     // guarded by mu; of the newest grant
	limit    int64     // guarded by mu
	leasedTo time.Time // guarded by mu; end of the grant
	refuseTo time.Time // guarded by mu; no calls until then
	refused  int64     // guarded by mu; calls refused, for the dump
	held     bool      // guarded by mu; see Hold
}

// NewServer returns the state of the backend server of a node with a start time.
func NewServer(node string, start int64) *Server {
	return &Server{node: node, start: start, routes: shard.NewMap[RouteCounts](shard.DefaultCount), busy: shard.NewMap[RouteCounts](shard.DefaultCount)}
}

// SetReported records what the backend server has reported of itself.
func (s *Server) SetReported(version string, slots int, warmAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version, s.slots, s.warmAt = version, slots, warmAt
}

// Hold makes the server get no calls while its node knows no order. A node that has
// just started holds it until it has been told the orders, if servers of another
// version are there: its own may be a target version.
func (s *Server) Hold(held bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = held
}

// Version returns the version of the backend server, or "" before its first report.
func (s *Server) Version() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// SetState records the newest state of the service's order. Counts begin anew with
// each order.
func (s *Server) SetState(state State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if state.Number != s.state.Number {
		s.runs, s.term, s.limit, s.leasedTo, s.refuseTo = 0, 0, 0, time.Time{}, time.Time{}
		for _, counts := range []*shard.Map[RouteCounts]{s.routes, s.busy} {
			counts.DeleteFunc(func(string, RouteCounts) bool { return true })
		}
	}
	s.state = state
}

// Begin reports whether a call may be passed to the server, and if so counts it. busy
// is for Answer.Busy. Each Begin that returns ok needs one End, once its answer was
// passed on.
func (s *Server) Begin(now time.Time) (busy, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.acceptsLocked(now) {
		s.refused++
		return false, false
	}
	s.runs++
	s.running++
	return float64(s.running) > busyShare*float64(s.slots), true
}

// Accepts reports whether Begin would let a call pass, for a call that is received
// only if it may be passed on.
func (s *Server) Accepts(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.acceptsLocked(now)
}

func (s *Server) acceptsLocked(now time.Time) bool {
	if s.state.Number == 0 {
		return !s.held
	}
	if s.version != s.state.Target {
		return !now.Before(s.refuseTo)
	}
	switch s.state.Phase {
	case RolledBack:
		return false
	case Completed:
		return true
	}
	return now.Before(s.leasedTo) && s.runs < s.limit
}

// End records the end of a call that Begin let pass.
func (s *Server) End() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

// Observe counts an answer of the server.
func (s *Server) Observe(now time.Time, a Answer) {
	s.mu.Lock()
	counted := s.state.Number != 0 && !s.state.Final()
	warm := !now.Before(s.warmAt)
	s.mu.Unlock()
	if !counted {
		return
	}
	a.Warm = warm
	add := func(c RouteCounts, _ bool) (RouteCounts, bool) { return c.with(a), true }
	s.routes.Update(a.Route, add)
	if a.Busy {
		s.busy.Update(a.Route, add)
	}
}

// Report returns the report to the coordinator, and when the next one is due after
// it; false without an order in progress.
func (s *Server) Report(now time.Time) (Report, time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state.Number == 0 || s.state.Recorded || s.version == "" {
		return Report{}, 0, false
	}
	r := Report{
		Service: s.state.Service, Number: s.state.Number, Node: s.node, Start: s.start, Version: s.version, Slots: s.slots,
		Runs: s.runs, Running: s.running, Refuses: now.Before(s.refuseTo), Routes: all(s.routes), Busy: all(s.busy),
	}
	if s.version == s.state.Target || s.state.Phase == Moving {
		return r, TargetReportInterval, true
	}
	return r, OtherReportInterval, true
}

func all(counts *shard.Map[RouteCounts]) map[string]RouteCounts {
	out := map[string]RouteCounts{}
	counts.Range(func(route string, c RouteCounts) bool {
		out[route] = c
		return true
	})
	return out
}

// SetGrant applies the answer to a report that was sent at a time. One of an earlier
// term than the last is from a coordinator that was replaced.
func (s *Server) SetGrant(g Grant, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !g.Known || g.State.Number != s.state.Number || g.Term < s.term {
		return
	}
	lease := min(time.Duration(max(g.LeaseMs, 0))*time.Millisecond, GrantLease)
	s.term, s.limit, s.leasedTo = g.Term, g.Limit, sent.Add(lease)
	if g.Refuse {
		s.refuseTo = sent.Add(lease)
	} else {
		s.refuseTo = time.Time{}
	}
}

// ServerView is the state of the node's backend server for dumps.
type ServerView struct {
	Version string `json:"version"`
	Order   int64  `json:"order"`
	Phase   Phase  `json:"phase,omitempty"`
	Runs    int64  `json:"runs"`
	Running int    `json:"running"`
	Limit   int64  `json:"limit"`
	Refused int64  `json:"refused"`
}

// View returns the state for dumps.
func (s *Server) View() ServerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return ServerView{Version: s.version, Order: s.state.Number, Phase: s.state.Phase, Runs: s.runs, Running: s.running, Limit: s.limit, Refused: s.refused}
}
