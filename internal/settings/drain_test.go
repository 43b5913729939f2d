package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
)

// TestDrainUsesTheGraceOfThePlatform guards against a fixed limit for calls in
// flight: where the platform waits longer before it ends a process, a long call
// was cut that had time to end.
func TestDrainUsesTheGraceOfThePlatform(t *testing.T) {
	const announced = 2800 * time.Millisecond // since the start of the drain
	for _, c := range []struct {
		name              string
		limit, stopWithin time.Duration
		want              time.Duration
	}{
		{"no limit", 0, 0, 0},
		{"limit only", 3 * time.Second, 0, 3 * time.Second},
		{"grace of 6 s", 0, 6 * time.Second, 3 * time.Second},
		{"grace of 10 s", 0, 10 * time.Second, 7 * time.Second},
		{"the lower of both", 2 * time.Second, 10 * time.Second, 2 * time.Second},
		{"grace has passed", 0, time.Second, minCallLimit},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := Drain{Limit: jsonc.Duration(c.limit), StopWithin: jsonc.Duration(c.stopWithin)}
			assert.Equal(t, d.CallLimit(announced), c.want)
		})
	}
}
