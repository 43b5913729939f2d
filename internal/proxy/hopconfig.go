package proxy

import (
	"log/slog"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

// HopConfig holds the dependencies that the outbound and the inbound proxy share.
type HopConfig struct {
	Service    string // of the instance that the node belongs to
	Quarantine *quarantine.List
	Downstream *Downstream  // failures of calls that the backend server made; nil records none
	Dialect    Dialect      // headers of callers and of the backend server
	Guard      *Guard       // bounds the memory that calls hold together; nil sets no bounds
	Logger     *slog.Logger // logs calls and attempts that did not succeed; nil disables it
	// PublishQuarantine sends changed quarantine entries to other nodes; nil
	// drops them.
	PublishQuarantine func([]quarantine.Entry)
	// Retention returns how long the log keeps claims; nil means
	// idempotency.DefaultRetention.
	Retention func() time.Duration
}

// WithDefaults returns the configuration with defaults for nil functions and
// loggers.
func (c HopConfig) WithDefaults() HopConfig {
	if c.PublishQuarantine == nil {
		c.PublishQuarantine = func([]quarantine.Entry) {}
	}
	if c.Retention == nil {
		c.Retention = func() time.Duration { return idempotency.DefaultRetention }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}
