// Package telemetry provides the logger, the metrics and the state dump of a
// process, and the catalog of its metrics and events.
package telemetry

import (
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
)

var levels = map[string]slog.Level{
	"debug": slog.LevelDebug, "info": slog.LevelInfo, "warn": slog.LevelWarn, "error": slog.LevelError,
}

// Level returns the lowest level that is logged under the settings.
func Level(s settings.Logging) slog.Level { return levels[s.Level] }

// NewLogger returns a logger with the format and level of the settings.
func NewLogger(w io.Writer, s settings.Logging) *slog.Logger {
	return NewLeveledLogger(w, s, Level(s))
}

// NewLeveledLogger returns a logger with the format of the settings. Its level
// may change while it is in use.
func NewLeveledLogger(w io.Writer, s settings.Logging, level slog.Leveler) *slog.Logger {
	opts := &slog.HandlerOptions{Level: level}
	if s.Format == "json" {
		return slog.New(slog.NewJSONHandler(w, opts))
	}
	return slog.New(slog.NewTextHandler(w, opts))
}

// reportInterval is how often the scope passes its values to the reporter.
const reportInterval = time.Second

// Metrics is a metrics scope with an HTTP handler for the Prometheus text format.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
	closer  io.Closer
}

// NewMetrics returns a scope with the prefix goldcrest. Each has its own registry,
// since tests create several in one process.
func NewMetrics() *Metrics {
	registry := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{
		Registerer: registry, Gatherer: registry, OnRegisterError: func(error) {},
	})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "goldcrest", CachedReporter: reporter, Separator: tallyprom.DefaultSeparator,
		SanitizeOptions: &tallyprom.DefaultSanitizerOpts, OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports pending values and stops the scope.
func (m *Metrics) Close() error { return m.closer.Close() }
