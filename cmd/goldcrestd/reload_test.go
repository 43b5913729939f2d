package main

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
)

// TestOnlyLevelTakesEffect guards against a reload that reports a change as
// applied although it needs a restart.
func TestOnlyLevelTakesEffect(t *testing.T) {
	for _, c := range []struct {
		name    string
		change  func(*settings.Settings)
		applied bool
	}{
		{"nothing", func(*settings.Settings) {}, true},
		{"level", func(s *settings.Settings) { s.Logging.Level = "debug" }, true},
		{"format", func(s *settings.Settings) { s.Logging.Format = "json" }, false},
		{"level and node", func(s *settings.Settings) { s.Logging.Level, s.Node.ID = "debug", "other" }, false},
	} {
		var current settings.Settings
		next := current
		c.change(&next)
		assert.Equal(t, onlyLevelChanged(current, next), c.applied, c.name)
	}
}
