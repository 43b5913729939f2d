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
// and stores the appended records.
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

// TestLogLossOpensOneEpoch guards against a second epoch for one loss of the
// log, when the state of the first arrives from a neighbour during a scan.
func TestLogLossOpensOneEpoch(t *testing.T) {
	const readsPerScan = 2 // its first offset, and its records
	for _, tc := range []struct {
		name      string
		at        int // read during which the neighbour's state arrives; 0 for none
		wantEpoch uint32
	}{
		{"no other reader opened one", 0, 2},
		{"during the first scan", 1, 0},
		{"during the last scan", 2 * readsPerScan, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newTestAgent(t)
				log := &emptyLog{onRead: func(reads int) {
					if reads == tc.at {
						a.replica.published.Store(a.replica.apply(update{full: fullAt(2, 0, 5)}))
					}
				}}
				a.Log = log
				r := &reader{Agent: a}
				assert.NilError(t, r.recoverPosition(t.Context(), a.replica.published.Load()))
				if tc.wantEpoch == 0 {
					assert.Equal(t, len(log.appended), 0, "%+v", log.appended)
					return
				}
				assert.Equal(t, len(log.appended), 1)
				assert.Equal(t, log.appended[0].Checkpoint.Epoch, tc.wantEpoch)
			})
		})
	}
}
