package proxy

import (
	"bytes"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a fingerprint of a streamed body that depends on the pieces in
// which it arrives: a request that crashes servers would then look like many.
func TestFingerprintIsIndependentOfPieces(t *testing.T) {
	body := bytes.Repeat([]byte("0123456789"), 10_000) // above maxKeptBytes
	var want []byte
	for i, pieces := range []func(io.Reader) io.Reader{
		func(r io.Reader) io.Reader { return r },
		iotest.HalfReader,
		iotest.DataErrReader,
		func(r io.Reader) io.Reader { return &oddReader{r} },
	} {
		in := &http.Request{Body: io.NopCloser(pieces(bytes.NewReader(body))), ContentLength: -1}
		b := NewBody(in, MaxBodyBytes)
		b.AwaitPrefix(time.Second)
		if i == 0 {
			want = bytes.Clone(b.Prefix())
			assert.Equal(t, len(want), maxKeptBytes)
		}
		assert.Assert(t, bytes.Equal(b.Prefix(), want), "pieces %d: %d bytes", i, len(b.Prefix()))
		got, err := io.ReadAll(b.reader(nil))
		assert.NilError(t, err)
		assert.Assert(t, bytes.Equal(got, body), "the reader gets the complete body")
	}
}

// oddReader returns pieces of a size that does not divide the kept length.
type oddReader struct{ io.Reader }

func (r *oddReader) Read(p []byte) (int, error) { return r.Reader.Read(p[:min(len(p), 7001)]) }

// Guards against a cut answer that counts as one that ran.
func TestCutAnswerIsObservedAsCut(t *testing.T) {
	var got Observation
	h := Observe(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderOutcome, string(OutcomeRan))
		markAborted(&duplexWriter{ResponseWriter: w})
	}), func(o Observation) { got = o })
	h.ServeHTTP(discardWriter{}, &http.Request{})
	assert.Equal(t, got.Outcome, Outcome(""))
}

// discardWriter is a ResponseWriter without a connection.
type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}
