package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxStateBytes bounds an unpacked full state, so that a damaged or hostile
// answer cannot take the node's memory.
const maxStateBytes = 64 << 20

// PackState compresses a full state for PullAnswer.
func PackState(s FullState) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzip.NewWriter(&buf)
	if err := json.NewEncoder(zw).Encode(s); err != nil {
		return nil, errors.Wrap(err, "pack state")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "pack state")
	}
	return buf.Bytes(), nil
}

// UnpackState is the reverse of PackState.
func UnpackState(data []byte) (FullState, error) {
	var s FullState
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return s, errors.Wrap(err, "unpack state")
	}
	if err := json.NewDecoder(io.LimitReader(zr, maxStateBytes)).Decode(&s); err != nil {
		return s, errors.Wrap(err, "unpack state")
	}
	if s.Checkpoint == nil {
		return s, errors.New("unpack state: no checkpoint")
	}
	return s, nil
}
