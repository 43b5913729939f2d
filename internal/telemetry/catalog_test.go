package telemetry

import (
	"encoding/json"
	"io/fs"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Patterns of the calls that log an event: a logger method of its level, a call
// with the level as an argument, and a helper that logs warnings, such as
// Agent.logFirstFailure of package distribution.
var (
	methodCall    = regexp.MustCompile(`\.(Info|Warn|Error)\("([a-z_]+)"`)
	levelArgument = regexp.MustCompile(`slog\.Level(Info|Warn|Error), "([a-z_]+)"[,)]`)
	failureHelper = regexp.MustCompile(`\.log[A-Za-z]*(Failure)\("([a-z_]+)"`)
)

// levelOf maps the first submatch of these patterns to the level in the catalog.
var levelOf = map[string]string{"Info": "info", "Warn": "warn", "Error": "error", "Failure": "warn"}

// sourceDirs are the directories whose code logs events.
var sourceDirs = []string{"..", "../../cmd", "../../platform"}

// TestEventsMatchCode guards against a logged event that is missing from the
// catalog or listed with another level, and against events that no code logs.
func TestEventsMatchCode(t *testing.T) {
	listed := map[string]string{}
	for _, e := range EventCatalog {
		listed[e.Name] = e.Level
	}
	logged := map[string]bool{}
	check := func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		for _, pattern := range []*regexp.Regexp{methodCall, levelArgument, failureHelper} {
			for _, m := range pattern.FindAllStringSubmatch(string(data), -1) {
				logged[m[2]] = true
				assert.Check(t, listed[m[2]] == levelOf[m[1]], "%s: event %s logged by %s, catalog has level %q", path, m[2], m[1], listed[m[2]])
			}
		}
		return err
	}
	for _, dir := range sourceDirs {
		assert.NilError(t, filepath.WalkDir(dir, check))
	}
	for name := range listed {
		assert.Check(t, logged[name], "no code logs event %s", name)
	}
}

// TestMetricsAppearInTextFormat guards against gauges that are missing from the
// Prometheus text format or have another name there.
func TestMetricsAppearInTextFormat(t *testing.T) {
	m := NewMetrics()
	m.Scope.Gauge(MetricGeneration).Update(7)
	assert.NilError(t, m.Close()) // passes pending values to the Prometheus reporter
	assert.Assert(t, strings.Contains(scrape(m), "goldcrest_generation 7"))
}

func scrape(m *Metrics) string {
	w := httptest.NewRecorder()
	m.Handler.ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

// TestDumpIncludesOtherPartsWhenOneFails guards against a part that cannot be
// encoded, here a map with struct keys, and so prevents the dump of all others.
func TestDumpIncludesOtherPartsWhenOneFails(t *testing.T) {
	d := NewDumper()
	d.Register("good", func() any { return 7 })
	d.Register("bad", func() any { return map[struct{ A int }]int{{1}: 1} })
	var b strings.Builder
	assert.NilError(t, d.Write(&b))
	var sections map[string]json.RawMessage
	assert.NilError(t, json.Unmarshal([]byte(b.String()), &sections))
	assert.Equal(t, string(sections["good"]), "7")
	assert.Assert(t, strings.Contains(string(sections["bad"]), "error"))
}
