package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/json"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds one message in either direction. A full state is
	// compressed and stays far below it.
	maxMessageBytes = 16 << 20
	// maxQueuedMessages bounds the messages that wait to be written. A
	// connection whose queue is full is closed.
	maxQueuedMessages = 256
)

var (
	errTooLarge  = errors.New("message exceeds the size limit")
	errQueueFull = errors.New("write queue of the connection is full")
)

// boundedCodec is jsonrpc2.VarintObjectCodec with a limit on the message size,
// so that a length prefix alone cannot make the node allocate memory.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(r *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errors.Wrapf(errTooLarge, "%d bytes", size)
	}
	body := io.LimitReader(r, int64(size))
	if err := json.NewDecoder(body).Decode(v); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// encode returns the wire form of a message.
func (c boundedCodec) encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := c.WriteObject(&buf, v); err != nil {
		return nil, errors.Wrap(err, "encode message")
	}
	if buf.Len() > maxMessageBytes {
		return nil, errors.Wrapf(errTooLarge, "%d bytes", buf.Len())
	}
	return buf.Bytes(), nil
}

// outgoing is a queued message, or a barrier if written is set.
type outgoing struct {
	data    []byte
	written chan struct{} // closed when everything queued before it is written
}

// stream is a jsonrpc2.ObjectStream with a write queue. jsonrpc2 holds a lock
// while it writes, so a blocking stream would delay every caller of the
// connection beyond its own deadline.
type stream struct {
	rw        io.ReadWriteCloser
	codec     boundedCodec
	reader    *bufio.Reader
	queue     chan outgoing
	done      chan struct{}
	closeOnce sync.Once
}

func newStream(rw io.ReadWriteCloser) *stream {
	s := &stream{rw: rw, reader: bufio.NewReader(rw), queue: make(chan outgoing, maxQueuedMessages), done: make(chan struct{})}
	go s.writeLoop()
	return s
}

// writeLoop writes the queued messages until the stream is closed.
func (s *stream) writeLoop() {
	for {
		select {
		case <-s.done:
			return
		case q := <-s.queue:
			if q.written != nil {
				close(q.written)
				continue
			}
			if _, err := s.rw.Write(q.data); err != nil {
				_ = s.Close() // part of the message may have been sent
				return
			}
		}
	}
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	data, err := s.codec.encode(v)
	if err != nil {
		return err
	}
	select {
	case s.queue <- outgoing{data: data}:
		return nil
	case <-s.done:
		return errClosed
	default:
		_ = s.Close()
		return errQueueFull
	}
}

// waitWritten waits until all messages queued before the call are written or the
// stream is closed.
func (s *stream) waitWritten() {
	q := outgoing{written: make(chan struct{})}
	select {
	case s.queue <- q:
	case <-s.done:
		return
	}
	select {
	case <-q.written:
	case <-s.done:
	}
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error { return s.codec.ReadObject(s.reader, v) }

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	return s.rw.Close()
}
