package shard

import (
	"strconv"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUpdateLosesNoWrite guards against lost updates when several goroutines
// update one key.
func TestUpdateLosesNoWrite(t *testing.T) {
	const goroutines, rounds, keys = 8, 500, 5
	m := NewMap[int](4)
	var running sync.WaitGroup
	for range goroutines {
		running.Go(func() {
			for i := range rounds {
				m.Update(strconv.Itoa(i%keys), func(v int, _ bool) (int, bool) { return v + 1, true })
			}
		})
	}
	running.Wait()
	sum := 0
	m.Range(func(_ string, v int) bool { sum += v; return true })
	assert.Equal(t, sum, goroutines*rounds)
	assert.Equal(t, m.Len(), keys)
}

// TestUpdateAndDeleteFuncRemoveEntries guards against entries that remain in
// the map after Update or DeleteFunc removed them.
func TestUpdateAndDeleteFuncRemoveEntries(t *testing.T) {
	m := NewMap[int](0)
	for i := range 100 {
		m.Set(strconv.Itoa(i), i)
	}
	m.Update("7", func(int, bool) (int, bool) { return 0, false })
	_, ok := m.Get("7")
	assert.Assert(t, !ok)
	removed := m.DeleteFunc(func(_ string, v int) bool { return v%2 == 0 })
	assert.Equal(t, removed, 50)
	assert.Equal(t, m.Len(), 49)
}

// TestRangeStopsWhenFuncReturnsFalse guards against a Range that continues with
// other shards after its function returned false.
func TestRangeStopsWhenFuncReturnsFalse(t *testing.T) {
	m := NewMap[int](8)
	for i := range 50 {
		m.Set(strconv.Itoa(i), i)
	}
	calls := 0
	m.Range(func(string, int) bool { calls++; return calls < 3 })
	assert.Equal(t, calls, 3)
}
