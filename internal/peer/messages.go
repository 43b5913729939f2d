// Package peer is the inner protocol between nodes: message types, codec,
// connections and the server side. It decides nothing.
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

// HelloRequest opens a connection. Everything else is refused before it.
type HelloRequest struct {
	Node  membership.Member `json:"node"`
	Token string            `json:"token,omitempty"`
	// Silent tells the receiver that nothing arrives on its own connection to
	// the sender, so that it opens a new one.
	Silent bool `json:"silent,omitempty"`
}

// HelloAnswer is the entry of the node that was called.
type HelloAnswer struct {
	Node     membership.Member `json:"node"`
	Position *profile.Position `json:"position,omitempty"`
	// SourceAgeMs is how long ago that position was the newest of the source;
	// nil when the node does not know.
	SourceAgeMs *int64 `json:"sourceAgeMs,omitempty"`
}

// Heartbeat is a sign of life and the basis of anti-entropy.
type Heartbeat struct {
	ID          string           `json:"id"`
	Incarnation int64            `json:"inc"`
	Position    profile.Position `json:"pos"`
	Digest      uint64           `json:"digest"` // of the member table
}

// Announce tells that the sender holds a position.
type Announce struct {
	ID          string           `json:"id"`
	Position    profile.Position `json:"pos"`
	SourceAgeMs *int64           `json:"sourceAgeMs,omitempty"` // as in HelloAnswer
}

// PullRequest asks for what lies after a position. A nil From asks for the
// full state.
type PullRequest struct {
	From *profile.Position `json:"from,omitempty"`
	// Full asks for the whole state, after one that left documents out could
	// not be completed.
	Full bool `json:"full,omitempty"`
	// Changes tells that the node takes profiles as changes of their routes.
	Changes bool `json:"changes,omitempty"`
}

// PullAnswer holds either records, the full state, or a refusal with the time
// after which to ask again.
type PullAnswer struct {
	Position     profile.Position `json:"pos"`
	Records      []LogRecord      `json:"records,omitempty"`
	Full         []byte           `json:"full,omitempty"` // gzip of FullState as JSON
	RetryAfterMs int64            `json:"retryAfterMs,omitempty"`
	// Sent is called once the answer was written, so that the bound on
	// transfers covers the writing too.
	Sent func() `json:"-"`
}

func (p PullAnswer) release() {
	if p.Sent != nil {
		p.Sent()
	}
}

// LogRecord is a record of the config stream. Records that are JSON travel as
// they are; base64 would make them a third longer.
type LogRecord struct {
	Offset int64           `json:"offset"`
	JSON   json.RawMessage `json:"json,omitempty"`
	Bytes  []byte          `json:"bytes,omitempty"`
}

// NewLogRecord returns the message of a record.
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

// FullState is a whole configuration, the id of the last record in it, by
// which a reader recognises a log that was replaced, and the time of the
// newest checkpoint in the log, from which readers derive when to write one.
type FullState struct {
	Checkpoint     *profile.Checkpoint `json:"checkpoint"`
	TipID          string              `json:"tipId,omitempty"`
	CheckpointTime time.Time           `json:"checkpointTime"`
	// Anchors is the highest first retained offset at which that checkpoint
	// still gives a reader the whole state.
	Anchors int64 `json:"anchors"`
}

// MemberEntries are changed entries and suspicions to merge.
type MemberEntries struct {
	From       string                 `json:"from"`
	Entries    Entries                `json:"entries,omitempty"`
	Suspicions []membership.Suspicion `json:"suspicions,omitempty"`
}

// MemberTable is a whole member table.
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

// StatusRow is the status of one node. Error is set when it did not answer.
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

// StatusAnswer holds a row for each member in the scope.
type StatusAnswer struct {
	Rows []StatusRow `json:"rows"`
}
