// Package memory accounts for the memory that concurrent calls hold, so that
// together they stay within the memory of the instance. It allocates nothing
// itself and knows no messages.
package memory

import (
	"context"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget is an amount of memory that concurrent holders share. A nil Budget has
// room for everything.
type Budget struct {
	size int64
	room *semaphore.Weighted // serves waiting holders in order
	used atomic.Int64
	peak atomic.Int64
	full atomic.Int64 // requests for room that were not granted
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(size int64) *Budget { return &Budget{size: size, room: semaphore.NewWeighted(size)} }

// View is the state of a Budget.
type View struct {
	Size int64 `json:"size"`
	Used int64 `json:"used"`
	Peak int64 `json:"peak"`
	Full int64 `json:"full"` // how often there was no room
}

// View returns the present state.
func (b *Budget) View() View {
	if b == nil {
		return View{}
	}
	return View{Size: b.size, Used: b.used.Load(), Peak: b.peak.Load(), Full: b.full.Load()}
}

// count records whether n bytes were taken.
func (b *Budget) count(n int64, taken bool) bool {
	if !taken {
		b.full.Add(1)
		return false
	}
	used := b.used.Add(n)
	peak := b.peak.Load()
	for used > peak && !b.peak.CompareAndSwap(peak, used) {
		peak = b.peak.Load()
	}
	return true
}

func (b *Budget) give(n int64) {
	b.used.Add(-n)
	b.room.Release(n)
}

// Charge is what one holder has taken from a Budget. It is not safe for concurrent
// use. The zero value takes nothing.
type Charge struct {
	budget *Budget
	held   int64
}

// NewCharge returns an empty Charge.
func NewCharge(b *Budget) Charge { return Charge{budget: b} }

// Held returns the bytes that the holder has taken.
func (c *Charge) Held() int64 { return c.held }

// TryGrow raises the charge to a total, unless there is no room for the difference.
// A holder may take the whole Budget: a total beyond it counts as the whole.
func (c *Charge) TryGrow(total int64) bool {
	more := c.missing(total)
	return more == 0 || c.take(more, c.budget.room.TryAcquire(more))
}

// Grow is like TryGrow, but waits for room until the context ends.
func (c *Charge) Grow(ctx context.Context, total int64) bool {
	more := c.missing(total)
	return more == 0 || c.take(more, c.budget.room.Acquire(ctx, more) == nil)
}

// missing returns the bytes by which the charge is below a total.
func (c *Charge) missing(total int64) int64 {
	if c.budget == nil {
		return 0
	}
	return max(min(total, c.budget.size)-c.held, 0)
}

func (c *Charge) take(n int64, taken bool) bool {
	if c.budget.count(n, taken) {
		c.held += n
	}
	return taken
}

// Release returns what the holder has taken.
func (c *Charge) Release() {
	if c.held > 0 {
		c.budget.give(c.held)
		c.held = 0
	}
}
