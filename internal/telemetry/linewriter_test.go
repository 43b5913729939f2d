package telemetry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
)

// blockedWriter is an output whose reader has stopped.
type blockedWriter struct{ unblock chan struct{} }

func (s blockedWriter) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// Guards against calls that wait for the reader of the log.
func TestStuckOutputBlocksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := blockedWriter{unblock: make(chan struct{})}
		lines := NewLineWriter(out)
		logger := NewRateLimitedLogger(lines, settings.Logging{Format: "json"}, slog.LevelInfo)
		for i := range 10 * logQueueSize {
			logger.Info("line", "i", i)
		}
		assert.Assert(t, lines.dropped.Load() > 0)
		close(out.unblock)
		lines.Close()
	})
}

// syncBuffer is an output that may be read while it is written.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

// Guards against a flood of lines that costs more than its bound, against
// lines left out without a word, and against lines lost at the end.
func TestFloodIsBoundedAndCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &syncBuffer{}
		lines := NewLineWriter(out)
		logger := NewRateLimitedLogger(lines, settings.Logging{Format: "json"}, slog.LevelInfo)
		const flood = 5 * logLinesBurst
		for i := range flood {
			logger.Info("line", "i", i)
		}
		lines.Close()
		text := out.buf.String()
		written := strings.Count(text, `"msg":"line"`)
		assert.Equal(t, written, logLinesBurst)
		assert.Assert(t, strings.Contains(text, fmt.Sprintf(`"msg":"log_lines_dropped","lines":%d`, flood-written)), "%s", text[len(text)-200:])
	})
}
