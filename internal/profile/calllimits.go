package profile

import "github.com/goldcrestshed/goldcrestshed/internal/jsonc"

// CallLimits bounds what callers may send and how long their connections may
// wait. The limits apply to all routes of a configuration; 0 selects the
// built-in limit.
type CallLimits struct {
	HeaderBytes   int64          `json:"headerBytes,omitempty"`   // request line and headers
	BodyBytes     int64          `json:"bodyBytes,omitempty"`     // body of a call
	HeaderTimeout jsonc.Duration `json:"headerTimeout,omitempty"` // for receiving the complete header of a call
	IdleTimeout   jsonc.Duration `json:"idleTimeout,omitempty"`   // of a connection between two calls, before it is closed
}
