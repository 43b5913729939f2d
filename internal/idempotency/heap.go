package idempotency

import "time"

// timedKey is a key and the log time at which a fold forgets it.
type timedKey struct {
	forget time.Time
	key    Key
}

// timeHeap implements heap.Interface, the key to forget next on top.
type timeHeap []timedKey

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].forget.Before(h[j].forget) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timeHeap) Push(x any) { *h = append(*h, x.(timedKey)) }

// Pop implements heap.Interface.
func (h *timeHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
