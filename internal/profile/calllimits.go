package profile

import "github.com/goldcrestshed/goldcrestshed/internal/jsonc"

// CallLimits bound what callers may send and for how long their connections
// wait. They hold for a whole configuration; 0 takes the product's own bound.
type CallLimits struct {
	HeaderBytes   int64          `json:"headerBytes,omitempty"`   // request line and headers
	BodyBytes     int64          `json:"bodyBytes,omitempty"`     // body of a call
	HeaderTimeout jsonc.Duration `json:"headerTimeout,omitempty"` // until the header of a call is there
	IdleTimeout   jsonc.Duration `json:"idleTimeout,omitempty"`   // of a connection between two calls
}
