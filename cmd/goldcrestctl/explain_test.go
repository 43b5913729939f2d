package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestExplainSortsLinesOfOneCall guards against lines of a call that are missing,
// out of order, or mixed with those of other calls when the logs of several nodes
// are read.
func TestExplainSortsLinesOfOneCall(t *testing.T) {
	dir := t.TempDir()
	outbound, inbound := filepath.Join(dir, "outbound.log"), filepath.Join(dir, "inbound.log")
	write := func(file string, lines ...string) {
		assert.NilError(t, os.WriteFile(file, []byte(strings.Join(lines, "\n")), 0o600))
	}
	write(outbound,
		`{"time":"2026-03-06T19:24:40.300Z","level":"INFO","msg":"call_refused","node":"a","call":"c1","reason":"overloaded"}`,
		`{"time":"2026-03-06T19:24:40.100Z","level":"INFO","msg":"call_refused","node":"a","call":"c2","reason":"draining"}`,
		`not JSON`, `{"level":"INFO"}`,
		`{"time":"2026-03-06T19:24:40.250Z","level":"INFO","msg":"attempt_failed","node":"a","call":"c1","server":"b"}`)
	write(inbound, `  0.2 b {"time":"2026-03-06T19:24:40.200Z","level":"INFO","msg":"call_turned_away","node":"b","call":"c1","queued":5}`)
	var out, stderr bytes.Buffer
	code := (&cli{}).execute([]string{"explain", "c1", outbound, inbound}, &out, &stderr)
	assert.Equal(t, code, 0, stderr.String())
	assert.Equal(t, out.String(), strings.Join([]string{
		"19:24:40.200  b  call_turned_away  queued=5",
		"19:24:40.250  a  attempt_failed  server=b",
		"19:24:40.300  a  call_refused  reason=overloaded", "",
	}, "\n"))
	out.Reset()
	assert.Equal(t, (&cli{}).execute([]string{"explain", "c3", outbound}, &out, &stderr), exitFailed)
}
