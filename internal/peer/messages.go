// Package peer implements the inner protocol between nodes, JSON-RPC over TCP:
// message types, codec, connection pool and server. It only transports messages;
// the Handler decides what they do.
package peer

import (
	"encoding/json"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Methods of the protocol.
const (
	methodHello             = "hello"
	methodHeartbeat         = "heartbeat" // notification
	methodAnnounce          = "announce"  // notification
	methodPull              = "pull"
	methodMemberEntries     = "members" // notification
	methodMemberTable       = "memberTable"
	methodQuarantineEntries = "suspects" // notification
	methodClaim             = "claim"
	methodResolve           = "settle"
	methodRolloutStates     = "rollouts" // notification
	methodRolloutReport     = "rolloutReport"
	methodStatus            = "status"
	methodDrain             = "drain"
	methodDump              = "dump"
	methodQuota             = "quota"
)

// HelloRequest must be the first request on a connection; any other request
// before it is refused and closes the connection.
type HelloRequest struct {
	Node  membership.Member `json:"node"`
	Token string            `json:"token,omitempty"`
	// NothingReceived reports that nothing arrives at the sender on the connection
	// that the called node opened to it. The called node then drops that connection.
	NothingReceived bool `json:"silent,omitempty"`
}

// HelloResponse holds the member entry and the position of the node that was
// called.
type HelloResponse struct {
	Node     membership.Member `json:"node"`
	Position *profile.Position `json:"position,omitempty"`
	// SourceAgeMs is the time since that position was known to be the newest one in
	// the platform's configuration source; nil if the node does not know.
	SourceAgeMs *int64 `json:"sourceAgeMs,omitempty"`
	// StoreEra is the newest era of the platform's store that the node knows of; 0 if
	// it knows none. A node that the store turns away learns of a restore from it.
	StoreEra uint64 `json:"storeEra,omitempty"`
}

// Heartbeat shows that the sender is alive. Receivers compare its position and
// digest with their own to detect missing records and member entries
// (anti-entropy).
type Heartbeat struct {
	ID          string           `json:"id"`
	Incarnation int64            `json:"inc"`
	Position    profile.Position `json:"pos"`
	Digest      uint64           `json:"digest"`             // of the member table
	StoreEra    uint64           `json:"storeEra,omitempty"` // as in HelloResponse
}

// PositionAnnouncement tells neighbours that the sender has reached a position.
type PositionAnnouncement struct {
	ID       string           `json:"id"`
	Position profile.Position `json:"pos"`
	Proof    *Proof           `json:"proof,omitempty"`
	StoreEra uint64           `json:"storeEra,omitempty"` // as in HelloResponse
}

// Proof shows that the position of its announcement was the newest one of the log
// or source a while ago. Nodes pass it on; its id keeps one that comes back from
// counting as a newer one, whatever time it spent on the way.
type Proof struct {
	Origin      string `json:"by"`  // node that made it
	Incarnation int64  `json:"inc"` // of that node
	Sequence    uint64 `json:"seq"` // increases with each proof of that incarnation
	AgeMs       int64  `json:"ageMs"`
}

// NewerThan reports whether the proof was made after another one of its origin.
func (p Proof) NewerThan(other Proof) bool {
	if p.Incarnation != other.Incarnation {
		return p.Incarnation > other.Incarnation
	}
	return p.Sequence > other.Sequence
}

// PullRequest asks for the records after a position, or for the full state
// when After is nil.
type PullRequest struct {
	After *profile.Position `json:"from,omitempty"`
	// Full asks for a state with all documents. It is set after a response that
	// could not be applied.
	Full bool `json:"full,omitempty"`
	// AcceptsRouteChanges reports that the node accepts a full state in which a
	// profile holds only the routes that changed.
	AcceptsRouteChanges bool `json:"changes,omitempty"`
}

// PullResponse holds records, the full state, or the time after which to retry
// a refused request. It holds only Position if there is nothing newer.
type PullResponse struct {
	Position     profile.Position `json:"pos"`
	Records      []LogRecord      `json:"records,omitempty"`
	Full         []byte           `json:"full,omitempty"` // gzip of FullState as JSON
	RetryAfterMs int64            `json:"retryAfterMs,omitempty"`
	// OnSent is called after the response was written or could not be, so that the
	// limit on concurrent transfers includes the writing.
	OnSent func() `json:"-"`
}

func (p PullResponse) release() {
	if p.OnSent != nil {
		p.OnSent()
	}
}

// LogRecord is a record of the config stream. A JSON record is embedded as JSON,
// since base64 would make it a third longer; encoding may change its white space
// and escapes.
type LogRecord struct {
	Offset int64           `json:"offset"`
	JSON   json.RawMessage `json:"json,omitempty"`
	Bytes  []byte          `json:"bytes,omitempty"`
}

// NewLogRecord returns a LogRecord with the data as JSON, if it is valid, or else
// as bytes.
func NewLogRecord(offset int64, data []byte) LogRecord {
	if json.Valid(data) {
		return LogRecord{Offset: offset, JSON: data}
	}
	return LogRecord{Offset: offset, Bytes: data}
}

// Data returns the record's JSON or bytes.
func (r LogRecord) Data() []byte {
	if len(r.JSON) > 0 {
		return r.JSON
	}
	return r.Bytes
}

// FullState is a complete configuration and what a reader of the log needs to
// continue from it. Checkpoint may omit what the pulling node already has
// (Checkpoint.Since).
type FullState struct {
	Checkpoint *profile.Checkpoint `json:"checkpoint"`
	// LastRecordID is the id of the last applied record, by which a reader
	// recognises a log that was replaced.
	LastRecordID string `json:"tipId,omitempty"`
	// CheckpointTime is the time of the newest checkpoint or genesis record in the
	// log, from which readers derive when to write the next checkpoint.
	CheckpointTime time.Time `json:"checkpointTime"`
	// MaxFirstOffset is the offset after the last one that the newest checkpoint in
	// the log covers. If the log's first retained offset is higher, records between
	// them are lost, and a reader of the log cannot restore the full state.
	MaxFirstOffset int64 `json:"anchors"`
}

// MemberEntries holds member entries that changed, and suspicions that members
// are dead, for the receiver to merge.
type MemberEntries struct {
	SenderID   string                 `json:"from"`
	Entries    Entries                `json:"entries,omitempty"`
	Suspicions []membership.Suspicion `json:"suspicions,omitempty"`
}

// MemberTable is a complete member table.
type MemberTable struct {
	Entries Entries `json:"entries"`
	// LeftServers holds earlier entries, whose members' backend servers left while
	// their entries do not show it.
	LeftServers Entries `json:"leftServers,omitempty"`
}

// Scope is the part of the system that a status request covers.
type Scope string

// Scopes of a status request.
const (
	ScopeSelf          Scope = "self"   // the node that is asked
	ScopeFailureDomain Scope = "domain" // its failure domain
	ScopeAll           Scope = "all"    // all nodes
)

// StatusRequest asks for the status of the nodes in a scope.
type StatusRequest struct {
	Scope Scope `json:"scope"`
}

// StatusRow is the status of one node. Error is set instead of the status if the
// node did not answer, or if the member that was asked for its failure domain does
// not know the node.
type StatusRow struct {
	ID              string            `json:"id"`
	Service         string            `json:"service"`
	Region          string            `json:"region"`
	FailureDomain   string            `json:"failureDomain"`
	Position        *profile.Position `json:"position,omitempty"`
	Generation      uint64            `json:"generation"`
	Ready           bool              `json:"ready"`
	Draining        bool              `json:"draining,omitempty"`
	NeedsNewerBuild bool              `json:"newSchema,omitempty"` // the log holds records that need a newer build
	Refused         *profile.Refusal  `json:"refused,omitempty"`   // the last refused change
	Error           string            `json:"error,omitempty"`
}

// StatusResponse holds a row for each member in the scope.
type StatusResponse struct {
	Rows []StatusRow `json:"rows"`
}
