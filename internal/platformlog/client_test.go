package platformlog_test

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

// keptForAnswer bounds the live memory that an endless answer of the log may take, in
// bytes: a fifth of the 128 MB of a node.
const keptForAnswer = 128 << 20 / 5

func liveHeap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// TestEndlessLogAnswersKeepLittleMemory guards against answers of the log without end
// that are kept in memory until the time limit of the call.
func TestEndlessLogAnswersKeepLittleMemory(t *testing.T) {
	const sentBytes = 256 << 20 // unless the client closes before
	block := strings.Repeat("A", 1<<20)
	read := func(ctx context.Context, c *platformlog.Client) error {
		_, err := c.Read(ctx, "config", 0, 512, 0)
		return err
	}
	appendOne := func(ctx context.Context, c *platformlog.Client) error {
		_, err := c.Append(ctx, "config", []byte("x"))
		return err
	}
	for _, tt := range []struct {
		name   string
		status int
		begin  string
		call   func(context.Context, *platformlog.Client) error
	}{
		{"one record", 200, `{"records":[{"data":"`, read},
		{"answer to an append", 200, `{"epoch":"`, appendOne},
		{"failed append", 500, "", appendOne},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var peak uint64
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.begin)
				for range sentBytes / len(block) {
					if _, err := io.WriteString(w, block); err != nil {
						return
					}
					peak = max(peak, liveHeap())
				}
			}))
			before := liveHeap()
			assert.Assert(t, tt.call(t.Context(), platformlog.NewClient(strings.TrimPrefix(srv.URL, "http://"), nil)) != nil)
			srv.Close() // waits for the handlers
			assert.Assert(t, peak < before+keptForAnswer, "%d bytes kept", peak-before)
		})
	}
}

// TestLargeRecordsAreReadInParts guards against a stream whose records exceed the
// size limit of one answer and that can never be read.
func TestLargeRecordsAreReadInParts(t *testing.T) {
	const records = 7
	const timeLimit = 20 * time.Second // the answers are decoded slowly under the race detector
	data := base64.StdEncoding.EncodeToString(make([]byte, platformlog.MaxRecordBytes))
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from, err := strconv.ParseInt(r.FormValue("from"), 10, 64)
		assert.NilError(t, err)
		limit, err := strconv.ParseInt(r.FormValue("max"), 10, 64)
		assert.NilError(t, err)
		_, _ = fmt.Fprintf(w, `{"epoch":"e","next":%d,"records":[`, records)
		for offset := from; offset < min(from+limit, records); offset++ {
			if offset > from {
				_, _ = io.WriteString(w, ",")
			}
			if _, err := fmt.Fprintf(w, `{"offset":%d,"data":%q}`, offset, data); err != nil {
				return // the client closes when the answer is too large
			}
		}
		_, _ = io.WriteString(w, "]}")
	}))
	defer srv.Close()
	client := platformlog.NewClient(strings.TrimPrefix(srv.URL, "http://"), nil)
	for from := int64(0); from < records; {
		b, err := client.Read(t.Context(), "config", from, 512, timeLimit)
		assert.NilError(t, err)
		assert.Assert(t, len(b.Entries) > 0)
		assert.Equal(t, b.Entries[0].Offset, from)
		from += int64(len(b.Entries))
	}
}

// TestStatusOfFailedAppend guards against a status that does not say so and is taken
// for a refusal: the record would be appended twice.
func TestStatusOfFailedAppend(t *testing.T) {
	for status, want := range map[string]error{
		"000": platformlog.ErrUnknown, "042": platformlog.ErrUnknown, "101": platformlog.ErrUnknown, "204": platformlog.ErrUnknown, "304": platformlog.ErrUnknown,
		"400": platformlog.ErrNotApplied, "429": platformlog.ErrNotApplied, "499": platformlog.ErrNotApplied,
		"500": platformlog.ErrUnknown, "503": platformlog.ErrNotApplied, "504": platformlog.ErrUnknown,
	} {
		t.Run(status, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { standin.WriteStatus(w, status) }))
			defer srv.Close()
			c := platformlog.NewClient(srv.Listener.Addr().String(), nil)
			_, err := c.Append(t.Context(), "config", []byte("x"))
			assert.Assert(t, errors.Is(err, want), "%v", err)
		})
	}
}
