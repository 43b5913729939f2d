package distribution

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// emptyLog is a log that lost its records. It calls onRead before each answer
// and keeps what is appended.
type emptyLog struct {
	onRead   func(reads int)
	reads    int
	appended []profile.Record
}

func (l *emptyLog) Append(_ context.Context, _ string, data []byte) (int64, error) {
	var rec profile.Record
	err := json.Unmarshal(data, &rec)
	l.appended = append(l.appended, rec)
	return 0, err
}

func (l *emptyLog) Read(context.Context, string, int64, int, time.Duration) (platformlog.Batch, error) {
	l.reads++
	l.onRead(l.reads)
	return platformlog.Batch{}, nil
}

// TestOneLossOpensOneEra guards against a second era for one loss of the log,
// when a neighbour brings the state of the first one while a reader still
// looks at the log.
func TestOneLossOpensOneEra(t *testing.T) {
	const readsOfAScan = 2 // its first offset, and its records
	for _, tc := range []struct {
		name string
		at   int // read during which the neighbour's state arrives; 0 for never
		era  uint32
	}{
		{"nobody else opened one", 0, 2},
		{"during the first look", 1, 0},
		{"during the last look", 2 * readsOfAScan, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestAgent(t)
				log := &emptyLog{onRead: func(reads int) {
					if reads == tc.at {
						a.core.published.Store(a.core.apply(update{full: fullAt(2, 0, 5)}))
					}
				}}
				a.Log = log
				r := &reader{Agent: a}
				assert.NilError(t, r.recover(t.Context(), a.core.published.Load()))
				if tc.era == 0 {
					assert.Equal(t, len(log.appended), 0, "%+v", log.appended)
					return
				}
				assert.Equal(t, len(log.appended), 1)
				assert.Equal(t, log.appended[0].Checkpoint.Epoch, tc.era)
			})
		})
	}
}
