package proxy

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/memory"
)

// Guard bounds what the connections of one hop hold together, since not every
// caller stays within the limits that the operators state. A nil Guard sets no
// bounds.
type Guard struct {
	Heads   *memory.Budget // for heads beyond an ordinary size
	Buffers *memory.Budget // for bodies, pipelined requests and their answers
	// MaxConns bounds the open connections. Above it, the connection that has waited
	// longest for a call is closed.
	MaxConns int

	counts guardCounts

	mu    sync.Mutex
	conns map[*callerConn]struct{} // guarded by mu
}

// NewGuard returns a Guard.
func NewGuard(heads, buffers int64, maxConns int) *Guard {
	return &Guard{Heads: memory.NewBudget(heads), Buffers: memory.NewBudget(buffers), MaxConns: maxConns, conns: map[*callerConn]struct{}{}}
}

// guardCounts counts what a Guard has turned away.
type guardCounts struct {
	longHeads, refusedHeads, closedConns, refusedConns, heldBack atomic.Int64
}

// GuardView is the state of a Guard.
type GuardView struct {
	Heads        memory.View `json:"heads"`
	Buffers      memory.View `json:"buffers"`
	Conns        int         `json:"conns"`
	MaxConns     int         `json:"maxConns"`
	LongHeads    int64       `json:"longHeads"`    // heads that exceeded the limit before their end
	RefusedHeads int64       `json:"refusedHeads"` // heads and calls for which there was no memory
	ClosedConns  int64       `json:"closedConns"`  // waiting connections that were closed for new ones
	RefusedConns int64       `json:"refusedConns"` // new connections that were closed, since all others run calls
	HeldBack     int64       `json:"heldBack"`     // pipelined calls that had to wait for their turn
}

// Turned returns how many requests and connections were turned away.
func (v GuardView) Turned() int64 {
	return v.LongHeads + v.RefusedHeads + v.ClosedConns + v.RefusedConns
}

// View returns the present state.
func (g *Guard) View() GuardView {
	if g == nil {
		return GuardView{}
	}
	c := &g.counts
	v := GuardView{
		Heads: g.Heads.View(), Buffers: g.Buffers.View(), MaxConns: g.MaxConns,
		LongHeads: c.longHeads.Load(), RefusedHeads: c.refusedHeads.Load(), ClosedConns: c.closedConns.Load(),
		RefusedConns: c.refusedConns.Load(), HeldBack: c.heldBack.Load(),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	v.Conns = len(g.conns)
	return v
}

// HeadBudget returns the budget for heads, nil without a Guard.
func (g *Guard) HeadBudget() *memory.Budget {
	if g == nil {
		return nil
	}
	return g.Heads
}

// BufferBudget returns the budget for buffers, nil without a Guard.
func (g *Guard) BufferBudget() *memory.Budget {
	if g == nil {
		return nil
	}
	return g.Buffers
}

// admit adds a new connection and reports whether it may stay. If there are too
// many, it closes another one.
func (g *Guard) admit(c *callerConn) bool {
	if g == nil {
		return true
	}
	victim, ok := g.add(c)
	switch {
	case !ok:
		g.counts.refusedConns.Add(1)
	case victim != nil:
		g.counts.closedConns.Add(1)
		victim.closeNow()
	}
	return ok
}

// add adds a connection. At the limit it takes out the one that has waited longest
// for a call, and adds none when all run calls.
func (g *Guard) add(c *callerConn) (victim *callerConn, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.MaxConns {
		if victim = g.longestWaitingLocked(); victim == nil {
			return nil, false
		}
		delete(g.conns, victim)
	}
	g.conns[c] = struct{}{}
	return victim, true
}

// longestWaitingLocked returns the connection without a call that has waited
// longest.
func (g *Guard) longestWaitingLocked() *callerConn {
	var oldest *callerConn
	for c := range g.conns {
		if c.runsCalls() {
			continue
		}
		if oldest == nil || c.waitingSince.Load() < oldest.waitingSince.Load() {
			oldest = c
		}
	}
	if oldest == nil || !oldest.evict() {
		return nil
	}
	return oldest
}

// idlePreference is how much later a connection between two calls counts as waiting
// than one whose first call is awaited: ordinary callers send a head at once and keep
// connections idle.
const idlePreference = 5 * time.Second

// remove takes out a connection that has closed.
func (g *Guard) remove(c *callerConn) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}
