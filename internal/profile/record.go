package profile

import (
	"cmp"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
)

// Version orders the versions of one document. The era rises when the log is
// lost and its content is written again, so that a version accepted after the
// loss is newer than any from before.
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

// String returns era.number.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Number) }

// Position orders states of the whole configuration: the offset of the last
// record folded, in an era of the log.
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

// String returns era@offset.
func (p Position) String() string { return fmt.Sprintf("%d@%d", p.Epoch, p.Offset) }

// RecordKind tells what a record does.
type RecordKind string

// Record kinds.
const (
	RecordGenesis    RecordKind = "genesis"    // starts an empty configuration
	RecordChange     RecordKind = "change"     // edits, accepted or refused whole
	RecordCheckpoint RecordKind = "checkpoint" // the whole state
)

// SchemaVersion is the version of documents and checks that this build
// knows. All nodes must reach the same verdict on a record, so a node stops
// folding at a record with a higher schema until it is upgraded.
const SchemaVersion = 1

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

// Op is what an edit does.
type Op string

// Edit operations.
const (
	OpPublish Op = "publish"
	OpRetire  Op = "retire"
)

// Edit changes one document. Base is the version that it revises; nil means
// that the document must not exist or must be retired.
type Edit struct {
	Op       Op              `json:"op"`
	Key      Key             `json:"key"`
	Base     *Version        `json:"base,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
}

// Checkpoint is a whole state written again so that it outlives the log's
// retention. Through is the last offset that it covers in this log, NoOffset
// when it covers none.
type Checkpoint struct {
	Epoch   uint32 `json:"era"`
	Through int64  `json:"through"`
	// ThroughID is the id of the record at Through. A checkpoint that reached
	// a restarted log late is recognised by it.
	ThroughID string    `json:"throughId,omitempty"`
	Entries   []Entry   `json:"entries"`
	Recent    []string  `json:"recent,omitempty"` // ids of the latest changes, to recognise repeats
	Refused   []Refusal `json:"refused,omitempty"`
	// Whole marks the state of a source that keeps whole configurations: a
	// document that it lacks is gone.
	Whole bool `json:"whole,omitempty"`
	// Limits hold for what callers send, in a source that keeps whole
	// configurations.
	Limits CallLimits `json:"limits,omitzero"`
	// Kept names the documents that Since left out.
	Kept []KeptDocument `json:"kept,omitempty"`
	// Changes holds the documents that Since reduced to what changed.
	Changes []DocumentChange `json:"changes,omitempty"`
}

// KeptDocument names a document that a node holds already, by its key and the
// hash of its content. A document may change and change back between versions
// of which the sender saw only the last.
type KeptDocument struct {
	Key Key    `json:"key"`
	Sum uint64 `json:"sum"`
}

// NoOffset stands before the first offset of a log.
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

	doc     *Document     // parsed Document, shared by all copies; nil until resolved
	history *routeHistory // of a whole configuration's profile; nil when unknown
}

// Refusal is a change that the fold refused, with every reason.
type Refusal struct {
	RecordID string       `json:"recordId"`
	Author   string       `json:"author,omitempty"`
	Time     time.Time    `json:"time"`
	Position Position     `json:"position"`
	Keys     []Key        `json:"keys,omitempty"` // documents that the change names
	Conflict bool         `json:"conflict"`       // an edit named a version that is not the newest
	Findings finding.List `json:"findings"`
}

// ParseVersion reads a version in the form of Version.String.
func ParseVersion(text string) (Version, error) {
	era, number, ok := strings.Cut(text, ".")
	e, errEra := strconv.ParseUint(era, 10, 32)
	n, errNumber := strconv.ParseUint(number, 10, 64)
	if !ok || errEra != nil || errNumber != nil {
		return Version{}, errors.Newf("%q is not a version, such as 1.4 (era 1, number 4)", text)
	}
	return Version{Epoch: uint32(e), Number: n}, nil
}

// ParseKey reads kind/name; a name alone stands for a profile.
func ParseKey(text string) (Key, error) {
	kind, name, ok := strings.Cut(text, "/")
	if !ok {
		kind, name = KindProfile, text
	}
	if name == "" || (kind != KindProfile && kind != KindSelection) {
		return Key{}, errors.Newf("%q is not a document, such as vitrine, profile/vitrine or selection/vitrine", text)
	}
	return Key{Kind: kind, Name: name}, nil
}
