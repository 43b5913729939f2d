package peer

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"io"

	"github.com/cockroachdb/errors"
)

// maxMessageBytes bounds one message in both directions. A full state is
// compressed and stays far below it.
const maxMessageBytes = 16 << 20

// errTooLarge reports a message over maxMessageBytes.
var errTooLarge = errors.New("message exceeds the size limit")

// frame is a JSON-RPC 2.0 object: a request, a notification (no id) or an
// answer (no method).
type frame struct {
	Version string          `json:"jsonrpc"`
	ID      *uint64         `json:"id,omitempty"`
	Method  string          `json:"method,omitempty"`
	Params  json.RawMessage `json:"params,omitempty"`
	Result  json.RawMessage `json:"result,omitempty"`
	Error   *Error          `json:"error,omitempty"`
}

// Error is a refusal that the other node sent.
type Error struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

const rpcVersion = "2.0"

// writeFrame writes the length as a varint and then the object, the format of
// jsonrpc2.VarintObjectCodec.
func writeFrame(w io.Writer, f frame) error {
	f.Version = rpcVersion
	body, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "encode message")
	}
	if len(body) > maxMessageBytes {
		return errors.Wrapf(errTooLarge, "%s: %d bytes", f.Method, len(body))
	}
	head := binary.AppendUvarint(make([]byte, 0, binary.MaxVarintLen64+len(body)), uint64(len(body)))
	_, err = w.Write(append(head, body...))
	return errors.Wrap(err, "write message")
}

// readFrame reads one object. The buffer grows with the bytes that arrive, so
// a length alone cannot take memory.
func readFrame(r *bufio.Reader) (frame, error) {
	var f frame
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return f, err
	}
	if size > maxMessageBytes {
		return f, errors.Wrapf(errTooLarge, "%d bytes", size)
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return f, errors.Wrap(err, "read message")
	}
	if uint64(len(body)) < size {
		return f, errors.Wrap(io.ErrUnexpectedEOF, "read message")
	}
	if err := json.Unmarshal(body, &f); err != nil {
		return f, errors.Wrap(err, "decode message")
	}
	return f, nil
}
