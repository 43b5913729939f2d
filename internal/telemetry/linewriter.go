package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/goldcrestshed/goldcrestshed/internal/settings"
)

// Limits on log output. Formatting and writing lines takes CPU time from calls,
// and a blocked output must not block calls.
const (
	logLinesPerSecond = 100
	logLinesBurst     = 400
	logQueueSize      = 1024 // lines
	logFlushDelay     = 50 * time.Millisecond
	logCloseTimeout   = 100 * time.Millisecond // for an output that nothing reads
)

// LineWriter writes log lines on its own goroutine. Write never blocks: a line
// beyond the limits is dropped and counted, and the count is written with the
// next batch of lines.
type LineWriter struct {
	out       io.Writer
	limiter   *rate.Limiter
	lines     chan []byte
	dropped   atomic.Int64
	closing   chan struct{}
	closeOnce sync.Once
	stopped   chan struct{}
}

// NewLineWriter returns a running LineWriter.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, limiter: rate.NewLimiter(logLinesPerSecond, logLinesBurst),
		lines: make(chan []byte, logQueueSize), closing: make(chan struct{}), stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// allow reports whether another line is within the rate limit. If not, it counts
// the line as dropped.
func (w *LineWriter) allow() bool {
	if w.limiter.Allow() {
		return true
	}
	w.dropped.Add(1)
	return false
}

// Write implements io.Writer. Each call must pass one complete line.
func (w *LineWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines and stops the writer. It does not wait longer than
// logCloseTimeout for an output that blocks.
func (w *LineWriter) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	timer := time.NewTimer(logCloseTimeout)
	defer timer.Stop()
	select {
	case <-w.stopped:
	case <-timer.C:
	}
}

func (w *LineWriter) run() {
	defer close(w.stopped)
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-w.closing:
			w.flush(nil)
			return
		}
	}
}

// flush writes a batch of lines with one system call. It first waits for
// logFlushDelay, so that a burst of lines goes into one batch.
func (w *LineWriter) flush(first []byte) {
	batch := append([]byte(nil), first...)
	timer := time.NewTimer(logFlushDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.closing:
	}
	for {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = append(batch, w.droppedLine(n)...)
	}
	_, _ = w.out.Write(batch) // an error cannot be logged here
}

// rateLimitedHandler drops lines beyond the rate limit before they are formatted,
// since formatting is most of the cost of a line.
type rateLimitedHandler struct {
	slog.Handler
	lines *LineWriter
}

// Handle implements slog.Handler.
func (h rateLimitedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.lines.allow() {
		return nil // counted, and reported with the next batch of lines
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h rateLimitedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithAttrs(attrs), lines: h.lines}
}

// WithGroup implements slog.Handler.
func (h rateLimitedHandler) WithGroup(name string) slog.Handler {
	return rateLimitedHandler{Handler: h.Handler.WithGroup(name), lines: h.lines}
}

// NewRateLimitedLogger returns a logger that writes to a LineWriter within its
// limits.
func NewRateLimitedLogger(lines *LineWriter, s settings.Logging, level slog.Leveler) *slog.Logger {
	return slog.New(rateLimitedHandler{Handler: NewLeveledLogger(lines, s, level).Handler(), lines: lines})
}

func (w *LineWriter) droppedLine(n int64) []byte {
	var line bytes.Buffer
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log_lines_dropped", 0)
	r.AddAttrs(slog.Int64("lines", n))
	_ = slog.NewJSONHandler(&line, nil).Handle(context.Background(), r)
	return line.Bytes()
}
