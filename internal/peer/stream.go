package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/jsonrpc2"
)

const (
	// maxMessageBytes bounds one message in both directions. A full state is
	// compressed and stays far below it.
	maxMessageBytes = 16 << 20
	// maxQueued bounds the messages that wait for a connection that does not
	// take them. A connection that is further behind is closed.
	maxQueued = 256
)

var (
	// errTooLarge reports a message over maxMessageBytes.
	errTooLarge = errors.New("message exceeds the size limit")
	// errStalled reports a connection whose queue is full.
	errStalled = errors.New("the connection takes no messages")
)

// boundedCodec is jsonrpc2.VarintObjectCodec with a limit to the size of a
// message, so that a length alone cannot take memory.
type boundedCodec struct{ jsonrpc2.VarintObjectCodec }

// ReadObject implements jsonrpc2.ObjectCodec.
func (c boundedCodec) ReadObject(stream *bufio.Reader, v any) error {
	size, err := binary.ReadUvarint(stream)
	if err != nil {
		return err
	}
	if size > maxMessageBytes {
		return errors.Wrapf(errTooLarge, "%d bytes", size)
	}
	body := io.LimitReader(stream, int64(size))
	head := bytes.NewReader(binary.AppendUvarint(nil, size))
	if err := c.VarintObjectCodec.ReadObject(bufio.NewReader(io.MultiReader(head, body)), v); err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, body)
	return err
}

// encode returns a message as it goes on the wire.
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

// queued is a message on its way, or a barrier when it has no data.
type queued struct {
	data    []byte
	written chan struct{} // closed once everything before it is on the wire
}

// stream is a jsonrpc2.ObjectStream that queues. jsonrpc2 holds a lock while
// it writes, so a stream that blocked would hold up every caller of the
// connection past its own deadline.
type stream struct {
	rw    io.ReadWriteCloser
	codec boundedCodec
	r     *bufio.Reader
	queue chan queued
	done  chan struct{}
	once  sync.Once
}

func newStream(rw io.ReadWriteCloser) *stream {
	s := &stream{rw: rw, r: bufio.NewReader(rw), queue: make(chan queued, maxQueued), done: make(chan struct{})}
	go s.write()
	return s
}

// write sends the queued messages until the stream is closed.
func (s *stream) write() {
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
				_ = s.Close() // part of the message may be on the wire
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
	case s.queue <- queued{data: data}:
		return nil
	case <-s.done:
		return errClosed
	default:
		_ = s.Close()
		return errStalled
	}
}

// flushed waits until what was queued before is on the wire.
func (s *stream) flushed() {
	q := queued{written: make(chan struct{})}
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
func (s *stream) ReadObject(v any) error { return s.codec.ReadObject(s.r, v) }

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.done) })
	return s.rw.Close()
}
