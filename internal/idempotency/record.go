package idempotency

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// Record is one record of a partition's stream. A record may have no claims and no
// resolutions: the stream covers keys from the time of its first record on.
type Record struct {
	ID          string       `json:"id"`
	Claims      []Claim      `json:"claims,omitempty"`
	Resolutions []Resolution `json:"settlements,omitempty"`
}

// EmptyRecord returns an encoded record without claims and resolutions. A
// stream covers only keys that are younger than its first record, so one is
// appended to each stream before the first key arrives.
func EmptyRecord(id string) ([]byte, error) {
	return encode(Record{ID: id})
}

// encode encodes a record.
func encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode claim record")
}

// decode decodes a record. Malformed data decodes to a record without claims and
// resolutions, so that every state machine skips it alike.
func decode(data []byte) Record {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{ID: unreadableID}
	}
	if r.ID == "" {
		r.ID = unreadableID
	}
	return r
}

// unreadableID is the id of a malformed record.
const unreadableID = "-"
