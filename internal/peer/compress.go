package peer

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// maxDecompressedBytes bounds decompressed data, so that a damaged or hostile
// message cannot exhaust the node's memory.
const maxDecompressedBytes = 64 << 20

// EncodeFullState compresses a full state for PullResponse.
func EncodeFullState(s FullState) ([]byte, error) { return compress(s) }

// DecodeFullState is the inverse of EncodeFullState.
func DecodeFullState(data []byte) (FullState, error) {
	var s FullState
	if err := decompress(data, &s); err != nil {
		return s, err
	}
	if s.Checkpoint == nil {
		return s, errors.New("decode full state: no checkpoint")
	}
	return s, nil
}

// gzipWriters and gzipReaders are pooled: a writer takes several hundred KB, and
// a node sends many batches of entries when others start.
var (
	gzipWriters = sync.Pool{New: func() any {
		zw, _ := gzip.NewWriterLevel(nil, gzip.BestSpeed) // fails for an unknown level only
		return zw
	}}
	gzipReaders = sync.Pool{New: func() any { return new(gzip.Reader) }}
)

// compress returns v as gzipped JSON.
func compress(v any) ([]byte, error) {
	var buf bytes.Buffer
	zw := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(zw)
	zw.Reset(&buf)
	if err := json.NewEncoder(zw).Encode(v); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := zw.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return buf.Bytes(), nil
}

// decompress decodes gzipped JSON into v.
func decompress(data []byte, v any) error {
	zr := gzipReaders.Get().(*gzip.Reader)
	defer gzipReaders.Put(zr)
	if err := zr.Reset(bytes.NewReader(data)); err != nil {
		return errors.Wrap(err, "decompress")
	}
	return errors.Wrap(json.NewDecoder(io.LimitReader(zr, maxDecompressedBytes)).Decode(v), "decompress")
}
