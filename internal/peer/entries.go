package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// minCompressedEntries is the least number of entries that are compressed.
// Compression mostly removes the field names: 100 bytes an entry instead of 300.
const minCompressedEntries = 4

// Entries are member entries, encoded in compressed form if there are many.
type Entries []membership.Member

// MarshalJSON implements json.Marshaler. The result is an array, or the
// compressed array as a base64 string.
func (e Entries) MarshalJSON() ([]byte, error) {
	if len(e) < minCompressedEntries {
		return json.Marshal([]membership.Member(e))
	}
	data, err := compress([]membership.Member(e))
	if err != nil {
		return nil, err
	}
	return json.Marshal(data)
}

// UnmarshalJSON implements json.Unmarshaler.
func (e *Entries) UnmarshalJSON(data []byte) error {
	var list []membership.Member
	if len(data) > 0 && data[0] != '"' {
		err := json.Unmarshal(data, &list)
		*e = list
		return errors.Wrap(err, "member entries")
	}
	var compressed []byte
	if err := json.Unmarshal(data, &compressed); err != nil {
		return errors.Wrap(err, "member entries")
	}
	err := decompress(compressed, &list)
	*e = list
	return err
}
