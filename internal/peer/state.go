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
func PackState(s FullState) ([]byte, error) { return pack(s) }

// UnpackState is the reverse of PackState.
func UnpackState(data []byte) (FullState, error) {
	var s FullState
	if err := unpack(data, &s); err != nil {
		return s, err
	}
	if s.Checkpoint == nil {
		return s, errors.New("unpack: no checkpoint")
	}
	return s, nil
}

func pack(v any) ([]byte, error) {
	var buf bytes.Buffer
	zw, err := gzip.NewWriterLevel(&buf, gzip.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := json.NewEncoder(zw).Encode(v); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return buf.Bytes(), nil
}

func unpack(data []byte, v any) error {
	zr, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return errors.Wrap(err, "unpack")
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(zr, maxStateBytes)).Decode(v), "unpack")
}
