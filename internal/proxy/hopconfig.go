package proxy

import (
	"log/slog"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

// HopConfig holds what the two hops of a node decide with alike.
type HopConfig struct {
	Service    string // of the instance beside the node
	Quarantine *quarantine.List
	Downstream *Downstream  // failures of calls that the backend server made; nil for none
	Dialect    Dialect      // headers of callers and of the backend server
	Logger     *slog.Logger // one line for each decision against a call; nil for none
	// News takes quarantine entries that other nodes should hear of; nil drops
	// them.
	News func([]quarantine.Entry)
	// Retention returns how long the log keeps claims; nil stands for a
	// default.
	Retention func() time.Duration
}

// WithDefaults returns the configuration with each nil that has a default
// filled in.
func (c HopConfig) WithDefaults() HopConfig {
	if c.News == nil {
		c.News = func([]quarantine.Entry) {}
	}
	if c.Retention == nil {
		c.Retention = func() time.Duration { return idempotency.DefaultRetention }
	}
	if c.Logger == nil {
		c.Logger = slog.New(slog.DiscardHandler)
	}
	return c
}
