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
)

// Bounds of the log. Writing costs processor time that calls need, and a
// reader of the output that stops must not stop the calls.
const (
	logLinesPerSecond = 100
	logLinesBurst     = 400
	logQueue          = 1024 // lines that wait for the writer
	logFlushEvery     = 50 * time.Millisecond
)

// LineWriter writes log lines on a goroutine of its own. Write never blocks: a
// line beyond the bounds is dropped and counted, and the count is written once
// there is room again.
type LineWriter struct {
	out     io.Writer
	limit   *rate.Limiter
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	closed  sync.Once
	stopped chan struct{}
}

// NewLineWriter returns a running LineWriter.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, limit: rate.NewLimiter(logLinesPerSecond, logLinesBurst),
		lines: make(chan []byte, logQueue), done: make(chan struct{}), stopped: make(chan struct{}),
	}
	go w.run()
	return w
}

// Write implements io.Writer for whole lines.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines have been left out and not reported yet.
func (w *LineWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the lines that wait and ends the writer.
func (w *LineWriter) Close() {
	w.closed.Do(func() { close(w.done) })
	<-w.stopped
}

func (w *LineWriter) run() {
	defer close(w.stopped)
	for {
		select {
		case line := <-w.lines:
			w.flush(line)
		case <-w.done:
			w.flush(nil)
			return
		}
	}
}

// flush writes what has gathered since in one piece. It waits a little for
// more, so that a burst of lines costs few system calls.
func (w *LineWriter) flush(first []byte) {
	batch := append([]byte(nil), first...)
	timer := time.NewTimer(logFlushEvery)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-w.done:
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
	_, _ = w.out.Write(batch) // there is no other place to report it to
}

func (w *LineWriter) droppedLine(n int64) []byte {
	var line bytes.Buffer
	r := slog.NewRecord(time.Now(), slog.LevelWarn, "log_lines_dropped", 0)
	r.AddAttrs(slog.Int64("lines", n))
	_ = slog.NewJSONHandler(&line, nil).Handle(context.Background(), r)
	return line.Bytes()
}
