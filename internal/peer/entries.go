package peer

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// packFrom is the number of entries from which on they travel compressed. The
// names of their fields then cost little: 100 bytes an entry in place of 300.
const packFrom = 4

// Entries are member entries. Many of them travel compressed.
type Entries []membership.Member

// MarshalJSON implements json.Marshaler: an array, or a string of compressed
// bytes.
func (e Entries) MarshalJSON() ([]byte, error) {
	if len(e) < packFrom {
		return json.Marshal([]membership.Member(e))
	}
	data, err := pack([]membership.Member(e))
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
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return errors.Wrap(err, "member entries")
	}
	err := unpack(packed, &list)
	*e = list
	return err
}
