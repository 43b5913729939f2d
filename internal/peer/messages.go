// Package peer implements the inner protocol between nodes, JSON-RPC over TCP:
// message types, codec, connection pool and server. It only transports; the
// handlers decide.
package peer

import (
	"encoding/json"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Methods of the protocol.
const (
	methodHello       = "hello"
	methodHeartbeat   = "heartbeat" // notification
	methodAnnounce    = "announce"  // notification
	methodPull        = "pull"
	methodMembers     = "members" // notification
	methodMemberTable = "memberTable"
	methodSuspects    = "suspects" // notification
	methodClaim       = "claim"
	methodSettle      = "settle"
	methodStatus      = "status"
	methodDrain       = "drain"
	methodDump        = "dump"
)

// HelloRequest is the first request on a connection; any other is refused
// before it.
type HelloRequest struct {
	Node  membership.Member `json:"node"`
	Token string            `json:"token,omitempty"`
	// Silent reports that nothing arrives on the connection that the receiver
	// has opened to the sender, so that the receiver replaces it.
	Silent bool `json:"silent,omitempty"`
}

// HelloResponse holds the member entry of the called node and its position.
type HelloResponse struct {
	Node     membership.Member `json:"node"`
	Position *profile.Position `json:"position,omitempty"`
	// SourceAgeMs is the time since that position was the newest one in the
	// source; nil if the node does not know.
	SourceAgeMs *int64 `json:"sourceAgeMs,omitempty"`
}

// Heartbeat is a sign of life. Receivers compare its position and digest with
// their own to find out what they lack (anti-entropy).
type Heartbeat struct {
	ID          string           `json:"id"`
	Incarnation int64            `json:"inc"`
	Position    profile.Position `json:"pos"`
	Digest      uint64           `json:"digest"` // of the member table
}

// Announce reports the position of the sender.
type Announce struct {
	ID          string           `json:"id"`
	Position    profile.Position `json:"pos"`
	SourceAgeMs *int64           `json:"sourceAgeMs,omitempty"` // as in HelloResponse
}

// PullRequest asks for the records after a position, or for the full state
// when From is nil.
type PullRequest struct {
	From *profile.Position `json:"from,omitempty"`
	// Full asks for a state with all documents. It is set after a state that
	// omitted documents could not be completed.
	Full bool `json:"full,omitempty"`
	// AcceptsRouteChanges reports that the node accepts profiles as changes of
	// their routes.
	AcceptsRouteChanges bool `json:"changes,omitempty"`
}

// PullResponse holds records, the full state, or the time after which to retry
// a refused request.
type PullResponse struct {
	Position     profile.Position `json:"pos"`
	Records      []LogRecord      `json:"records,omitempty"`
	Full         []byte           `json:"full,omitempty"` // gzip of FullState as JSON
	RetryAfterMs int64            `json:"retryAfterMs,omitempty"`
	// OnSent is called after the response was written, so that the limit on
	// concurrent transfers includes the writing.
	OnSent func() `json:"-"`
}

func (p PullResponse) release() {
	if p.OnSent != nil {
		p.OnSent()
	}
}

// LogRecord is a record of the config stream. A JSON record is embedded
// verbatim, since base64 would make it a third longer.
type LogRecord struct {
	Offset int64           `json:"offset"`
	JSON   json.RawMessage `json:"json,omitempty"`
	Bytes  []byte          `json:"bytes,omitempty"`
}

// NewLogRecord returns the message for a record.
func NewLogRecord(offset int64, data []byte) LogRecord {
	if json.Valid(data) {
		return LogRecord{Offset: offset, JSON: data}
	}
	return LogRecord{Offset: offset, Bytes: data}
}

// Data returns the content of the record.
func (r LogRecord) Data() []byte {
	if len(r.JSON) > 0 {
		return r.JSON
	}
	return r.Bytes
}

// FullState is a complete configuration and what a reader of the log needs to
// continue from it.
type FullState struct {
	Checkpoint *profile.Checkpoint `json:"checkpoint"`
	// LastRecordID is the id of the last record in the configuration, by which
	// a reader recognises a log that was replaced.
	LastRecordID string `json:"tipId,omitempty"`
	// CheckpointTime is the time of the newest checkpoint in the log, from which
	// readers derive when to write the next one.
	CheckpointTime time.Time `json:"checkpointTime"`
	// MaxFirstOffset is the highest first retained offset of the log at which
	// its newest checkpoint still gives a reader the full state.
	MaxFirstOffset int64 `json:"anchors"`
}

// MemberEntries holds changed entries and suspicions to merge.
type MemberEntries struct {
	From       string                 `json:"from"`
	Entries    Entries                `json:"entries,omitempty"`
	Suspicions []membership.Suspicion `json:"suspicions,omitempty"`
}

// MemberTable is a complete member table.
type MemberTable struct {
	Entries Entries `json:"entries"`
}

// Scope is the part of the system that a status request covers.
type Scope string

// Scopes of a status request.
const (
	ScopeSelf   Scope = "self"
	ScopeDomain Scope = "domain"
	ScopeAll    Scope = "all"
)

// StatusRequest asks for the status of nodes.
type StatusRequest struct {
	Scope Scope `json:"scope"`
}

// StatusRow is the status of one node. Error is set if the node did not answer.
type StatusRow struct {
	ID            string            `json:"id"`
	Service       string            `json:"service"`
	Region        string            `json:"region"`
	FailureDomain string            `json:"failureDomain"`
	Position      *profile.Position `json:"position,omitempty"`
	Generation    uint64            `json:"generation"`
	Ready         bool              `json:"ready"`
	Draining      bool              `json:"draining,omitempty"`
	NewSchema     bool              `json:"newSchema,omitempty"` // the log holds records that need a newer build
	Refused       *profile.Refusal  `json:"refused,omitempty"`   // the last refused change
	Error         string            `json:"error,omitempty"`
}

// StatusResponse holds a row for each member in the scope.
type StatusResponse struct {
	Rows []StatusRow `json:"rows"`
}
