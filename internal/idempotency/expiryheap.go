package idempotency

import "time"

// expiringKey is a key and the log time at which it is removed.
type expiringKey struct {
	expiresAt time.Time
	key       Key
}

// expiryHeap implements heap.Interface with the earliest expiry on top.
type expiryHeap []expiringKey

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].expiresAt.Before(h[j].expiresAt) }
func (h expiryHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *expiryHeap) Push(x any) { *h = append(*h, x.(expiringKey)) }

// Pop implements heap.Interface.
func (h *expiryHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
