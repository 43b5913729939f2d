// Package standin holds small stand-ins of the platform's log and of a
// backend server, with faults that are set over HTTP. They serve trials,
// tests and measurements, not production.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// LogFaults are the faults of a Log stand-in.
type LogFaults struct {
	Down         bool             `json:"down"`           // refuse every request
	SlowMs       int              `json:"slowMs"`         // delay of every request
	AppendsOnly  bool             `json:"appendsOnly"`    // down and slow spare reads
	LoseAnswers  int              `json:"loseAnswers"`    // appends still to be applied and left without an answer
	LateMs       int              `json:"lateMs"`         // appends without an answer are applied that much later
	DropAppends  int              `json:"dropAppends"`    // appends still to be left without effect and answer
	ExpireBefore map[string]int64 `json:"expireBefore"`   // by stream: drop records below the offset
	Reset        bool             `json:"reset"`          // drop everything and start offsets again
	Then         *LogFaults       `json:"then,omitempty"` // takes the place of these faults after the next append
}

// Log is a stand-in of the platform's log.
type Log struct {
	retention time.Duration
	now       func() time.Time

	mu      sync.Mutex
	epoch   string                // guarded by mu
	streams map[string]*logStream // guarded by mu
	faults  LogFaults             // guarded by mu
	appends int64                 // guarded by mu
	reads   int64                 // guarded by mu
}

type logStream struct {
	first   int64
	records []platformlog.WireRecord
	grown   chan struct{} // closed and replaced by each append
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

// NewLog returns an empty log that keeps records for the given time.
func NewLog(retention time.Duration, now func() time.Time) *Log {
	return &Log{retention: retention, now: now, epoch: uuid.NewString(), streams: map[string]*logStream{}}
}

// Handler returns the HTTP interface of the log.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("PUT /v1/faults", l.serveFaults)
	mux.HandleFunc("GET /v1/stats", l.serveStats)
	return mux
}

// SetFaults replaces the faults. ExpireBefore and Reset act once.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setFaultsLocked(f)
}

func (l *Log) setFaultsLocked(f LogFaults) {
	if f.Reset {
		l.resetLocked()
	}
	for name, before := range f.ExpireBefore {
		l.streamLocked(name).dropBefore(before)
	}
	f.Reset, f.ExpireBefore = false, nil
	l.faults = f
}

func (l *Log) resetLocked() {
	for _, s := range l.streams {
		close(s.grown)
	}
	l.streams = map[string]*logStream{}
	l.epoch = uuid.NewString()
}

// Counts returns the requests served so far.
func (l *Log) Counts() (appends, reads int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

func (l *Log) streamLocked(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{grown: make(chan struct{})}
		l.streams[name] = s
	}
	l.expireLocked(s)
	return s
}

func (l *Log) expireLocked(s *logStream) {
	limit := l.now().Add(-l.retention).UnixMilli()
	n := 0
	for n < len(s.records) && s.records[n].TimeMs < limit {
		n++
	}
	s.dropBefore(s.first + int64(n))
}

func (s *logStream) dropBefore(offset int64) {
	n := min(max(offset-s.first, 0), int64(len(s.records)))
	s.records = s.records[n:]
	s.first += n
}

// errDown is the answer of a log that is down.
var errDown = errors.New("the log is down")

// request tells faults apart by what they hit.
type request int

const (
	requestRead request = iota
	requestAppend
)

// delay applies the faults that come before the work of a request.
func (l *Log) delay(ctx context.Context, r request) error {
	l.mu.Lock()
	f := l.faults
	l.mu.Unlock()
	if f.AppendsOnly && r != requestAppend {
		return nil
	}
	if f.SlowMs > 0 {
		t := time.NewTimer(time.Duration(f.SlowMs) * time.Millisecond)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if f.Down {
		return errDown
	}
	return nil
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformlog.MaxRecordBytes))
	if err != nil {
		http.Error(w, "record too large or cut short", http.StatusRequestEntityTooLarge)
		return
	}
	// A slow log applies a record even when the caller has given up by then.
	if err := l.delay(context.WithoutCancel(r.Context()), requestAppend); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out, lost := l.append(r.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler) // cuts the connection without an answer
	}
	writeJSON(w, http.StatusOK, out)
}

// append adds a record, and reports whether its answer is lost.
func (l *Log) append(stream string, data []byte) (out platformlog.AppendResponse, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.nextFaultsLocked()
	switch {
	case l.faults.DropAppends > 0:
		l.faults.DropAppends--
		return out, true
	case l.faults.LoseAnswers > 0:
		l.faults.LoseAnswers--
		l.applyLateLocked(stream, data, time.Duration(l.faults.LateMs)*time.Millisecond)
		return out, true
	}
	return l.applyLocked(stream, data), false
}

func (l *Log) nextFaultsLocked() {
	if next := l.faults.Then; next != nil {
		l.setFaultsLocked(*next)
	}
}

func (l *Log) applyLateLocked(stream string, data []byte, late time.Duration) {
	if late == 0 {
		l.applyLocked(stream, data)
		return
	}
	time.AfterFunc(late, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.applyLocked(stream, data)
	})
}

func (l *Log) applyLocked(stream string, data []byte) platformlog.AppendResponse {
	s := l.streamLocked(stream)
	out := platformlog.AppendResponse{LogID: l.epoch, Offset: s.next()}
	s.records = append(s.records, platformlog.WireRecord{Offset: out.Offset, TimeMs: l.now().UnixMilli(), Data: data})
	close(s.grown)
	s.grown = make(chan struct{})
	l.appends++
	return out
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	waitMs, err3 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || err3 != nil || from < 0 || limit < 1 || waitMs < 0 {
		http.Error(w, "want from, max and waitMs as whole numbers", http.StatusBadRequest)
		return
	}
	status, out, err := l.poll(r.Context(), r.PathValue("stream"), from, limit, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, status, out)
}

// poll reads, and waits for records while there are none.
func (l *Log) poll(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (int, platformlog.ReadResponse, error) {
	if err := l.delay(ctx, requestRead); err != nil {
		return 0, platformlog.ReadResponse{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		status, out, grown := l.read(stream, from, limit)
		if status != http.StatusOK || len(out.Records) > 0 || wait <= 0 {
			return status, out, nil
		}
		select {
		case <-grown:
		case <-deadline.C:
			wait = 0 // the next read tells the offsets as they are now
		case <-ctx.Done():
			return 0, platformlog.ReadResponse{}, ctx.Err()
		}
	}
}

func (l *Log) read(stream string, from int64, limit int) (int, platformlog.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.streamLocked(stream)
	out := platformlog.ReadResponse{LogID: l.epoch, First: s.first, Next: s.next(), RetentionMs: l.retention.Milliseconds()}
	switch {
	case from < s.first:
		return http.StatusGone, out, s.grown
	case from > s.next():
		return http.StatusRequestedRangeNotSatisfiable, out, s.grown
	}
	records := s.records[from-s.first:]
	out.Records = append(out.Records, records[:min(limit, len(records))]...)
	return http.StatusOK, out, s.grown
}

func (l *Log) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f LogFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// LogStats counts what the stand-in served.
type LogStats struct {
	Appends int64 `json:"appends"`
	Reads   int64 `json:"reads"`
}

func (l *Log) serveStats(w http.ResponseWriter, _ *http.Request) {
	appends, reads := l.Counts()
	writeJSON(w, http.StatusOK, LogStats{Appends: appends, Reads: reads})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
