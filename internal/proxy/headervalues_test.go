package proxy

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzFields guards against malformed header values from nodes, servers and callers
// that make a node panic or accept times, loads and hops out of range.
func FuzzFields(f *testing.F) {
	for _, seed := range []string{"", "3,0,18", "-1,0,18", "99999999999999999999", "5", `[{"fingerprint":"x"}]`, "1.5", "0x10", "3,0,18,4"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		if load := ParseLoad(text); load != nil {
			assert.Assert(t, load.InUse >= 0 && load.Queued >= 0 && load.Slots >= 0)
		}
		ParseQuarantineEntries(text)
		h := http.Header{HeaderDeadlineMs: {text}, HeaderMaxSlotWaitMs: {text}, HeaderRetryAfterMs: {text}, "Retry-After": {text}, HeaderAnswerHops: {text}}
		left, ok := RemainingTimeOf(h, HeaderDeadlineMs)
		assert.Assert(t, left >= 0 && left <= maxHeaderTime && (ok || left == 0))
		assert.Assert(t, MaxSlotWaitOf(h) >= 0)
		assert.Assert(t, RetryAfterOf(h) >= 0)
		hops := AnswerHopsOf(h)
		assert.Assert(t, hops >= 0 && hops <= MaxHops)
	})
}
