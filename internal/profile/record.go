package profile

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// Version orders the versions of one document. The epoch increases when the
// log is lost and its content is written again, so that a version accepted
// after the loss is newer than any from before.
type Version struct {
	Epoch  uint32 `json:"era"`
	Number uint64 `json:"number"`
}

// Compare returns -1, 0 or 1.
func (v Version) Compare(o Version) int {
	if c := cmp.Compare(v.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(v.Number, o.Number)
}

// String returns epoch.number.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// Position orders states of the configuration: the offset of the last record
// applied, in an epoch of the log.
type Position struct {
	Epoch  uint32 `json:"era"`
	Offset int64  `json:"offset"`
}

// Compare returns -1, 0 or 1.
func (p Position) Compare(o Position) int {
	if c := cmp.Compare(p.Epoch, o.Epoch); c != 0 {
		return c
	}
	return cmp.Compare(p.Offset, o.Offset)
}

// String returns epoch@offset.
func (p Position) String() string { return fmt.Sprintf("%d@%d", p.Epoch, p.Offset) }

// RecordKind is the type of a record.
type RecordKind string

// Record kinds.
const (
	RecordGenesis    RecordKind = "genesis"    // starts an empty configuration
	RecordChange     RecordKind = "change"     // edits, accepted or refused together
	RecordCheckpoint RecordKind = "checkpoint" // a complete state
)

// SchemaVersion is the version of the document schema and validation rules of
// this build. All nodes must reach the same verdict on a record, so a node
// stops applying records at one with a higher schema until it is upgraded.
const SchemaVersion = schemaOrganisations

// Schema versions.
const (
	schemaFirst         = 1
	schemaOrganisations = 2 // organisations and Route.Public
)

// RequiredSchema returns the lowest schema that a build needs to apply a record.
// Records state it instead of SchemaVersion, so that nodes of an older build go on
// with the records that they understand.
func (r Record) RequiredSchema() int {
	for _, e := range r.Edits {
		if needsOrganisations(e.Key, e.Document) {
			return schemaOrganisations
		}
	}
	if r.Checkpoint == nil {
		return schemaFirst
	}
	for _, e := range r.Checkpoint.Entries {
		if needsOrganisations(e.Key, e.Document) {
			return schemaOrganisations
		}
	}
	return schemaFirst
}

// publicField is the field of Route.Public in a document in canonical form. Quotes
// inside strings are escaped, so it occurs nowhere else.
var publicField = []byte(`"public":true`)

func needsOrganisations(key Key, document json.RawMessage) bool {
	return key.Kind == KindOrganisation || bytes.Contains(document, publicField)
}

// Record is one entry of the config stream.
type Record struct {
	ID         string      `json:"id"`
	Kind       RecordKind  `json:"kind"`
	Schema     int         `json:"schema"`
	Author     string      `json:"author,omitempty"`
	Time       time.Time   `json:"time"`
	Edits      []Edit      `json:"edits,omitempty"`
	Checkpoint *Checkpoint `json:"checkpoint,omitempty"`
}

func (r Record) keys() []Key {
	var keys []Key
	for _, e := range r.Edits {
		keys = append(keys, e.Key)
	}
	return keys
}

// Op is the operation of an edit.
type Op string

// Edit operations.
const (
	OpPublish Op = "publish"
	OpRetire  Op = "retire"
)

// Edit changes one document. Base is the version that it replaces; nil
// requires that the document does not exist or is retired.
type Edit struct {
	Op       Op              `json:"op"`
	Key      Key             `json:"key"`
	Base     *Version        `json:"base,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// Checkpoint is a complete state. It is appended to the log so that the state
// outlives the log's retention, and sent to nodes, possibly reduced by Since.
// Through is the last offset of this log that it covers, or NoOffset for none.
type Checkpoint struct {
	Epoch   uint32 `json:"era"`
	Through int64  `json:"through"`
	// ThroughID is the id of the record at Through. Another id at that offset
	// shows that the checkpoint is of a lost log.
	ThroughID string    `json:"throughId,omitempty"`
	Entries   []Entry   `json:"entries"`
	Recent    []string  `json:"recent,omitempty"` // ids of the latest changes, oldest first, to detect duplicates
	Refused   []Refusal `json:"refused,omitempty"`
	// FromSource marks a complete configuration from a source instead of the
	// log: a document that is absent was removed.
	FromSource bool `json:"whole,omitempty"`
	// Limits bounds what callers send; only sources of complete configurations
	// set it.
	Limits CallLimits `json:"limits,omitzero"`
	// Unchanged lists the documents that Since omitted as unchanged.
	Unchanged []UnchangedDocument `json:"kept,omitempty"`
	// UnchangedOrganisations stands for the organisations that Since omitted as
	// unchanged.
	UnchangedOrganisations *UnchangedSet `json:"keptOrganisations,omitempty"`
	// Deltas holds the documents that Since reduced to a delta.
	Deltas []DocumentDelta `json:"changes,omitempty"`
}

// UnchangedDocument identifies a document that the receiver already holds, by
// key and content hash. The key alone is not enough: a document may change and
// change back between two versions that the sender saw.
type UnchangedDocument struct {
	Key  Key    `json:"key"`
	Hash uint64 `json:"sum"`
}

// UnchangedSet identifies documents of one kind that the receiver already holds.
// There may be hundreds of organisations, so it takes two bytes for each instead
// of its name and content hash.
type UnchangedSet struct {
	NameHashes []byte `json:"names"` // of the name of each document, see appendNameHash
	Hash       uint64 `json:"sum"`   // of the names and contents of all of them, sorted by name
}

// NoOffset is the offset before the first record of a log.
const NoOffset int64 = -1

// Entry is the newest accepted version of a document, or its tombstone.
type Entry struct {
	Key      Key             `json:"key"`
	Version  Version         `json:"version"`
	Retired  bool            `json:"retired,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	Author   string          `json:"author,omitempty"`
	Time     time.Time       `json:"time"`
	RecordID string          `json:"recordId"`

	doc     *Document     // parsed Document, shared by all copies; nil until parsed
	history *routeHistory // of a profile in a complete configuration; nil when unknown
}

// Refusal describes a change that the state machine refused, with every reason.
type Refusal struct {
	RecordID string       `json:"recordId"`
	Author   string       `json:"author,omitempty"`
	Time     time.Time    `json:"time"`
	Position Position     `json:"position"`
	Keys     []Key        `json:"keys,omitempty"` // documents that the change names
	Conflict bool         `json:"conflict"`       // an edit is based on a version that is not the newest
	Findings finding.List `json:"findings"`
}

// ParseVersion parses the format of Version.String.
func ParseVersion(text string) (Version, error) {
	epochText, numberText, ok := strings.Cut(text, ".")
	epoch, errEpoch := strconv.ParseUint(epochText, 10, 32)
	number, errNumber := strconv.ParseUint(numberText, 10, 64)
	if !ok || errEpoch != nil || errNumber != nil {
		return Version{}, errors.Newf("%q is not a version, such as 1.4 (era 1, number 4)", text)
	}
	return Version{Epoch: uint32(epoch), Number: number}, nil
}

// ParseKey parses kind/name; a name without a kind is a profile.
func ParseKey(text string) (Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok {
		kind, name = KindProfile, text
	}
	switch kind {
	case KindProfile, KindSelection, KindOrganisation:
		if name != "" {
			return Key{Kind: kind, Name: name}, nil
		}
	}
	return Key{}, errors.Newf("%q is not a document, such as vitrine, profile/vitrine, selection/vitrine or organisation/acme", text)
}
