package node

import (
	"sync/atomic"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// boundedLabels gives the first names that it sees a label of their own and the
// rest a common one, so that tags of metrics stay few.
type boundedLabels struct {
	limit  int32
	other  string
	count  atomic.Int32
	labels *shard.Map[string]
}

func newBoundedLabels(limit int32, other string) *boundedLabels {
	return &boundedLabels{limit: limit, other: other, labels: shard.NewMap[string](shard.DefaultCount)}
}

// of returns the label of a name.
func (b *boundedLabels) of(name string) string {
	if label, ok := b.labels.Get(name); ok {
		return label
	}
	if b.count.Load() >= b.limit {
		return b.other
	}
	var label string
	b.labels.Update(name, func(existing string, ok bool) (string, bool) {
		switch {
		case ok:
			label = existing
		case b.count.Add(1) <= b.limit:
			label = name
		default:
			label = b.other
		}
		return label, true
	})
	return label
}
