// Package standin emulates the platform's log, a backend server and the network
// between nodes, with faults to inject. It is for development, tests and
// measurements, not for production.
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

// LogFaults are the faults that a Log injects.
type LogFaults struct {
	Down         bool             `json:"down"`           // reject every request
	SlowMs       int              `json:"slowMs"`         // delay of every request
	AppendsOnly  bool             `json:"appendsOnly"`    // Down and SlowMs do not affect reads
	LoseAnswers  int              `json:"loseAnswers"`    // number of next appends that are applied without an answer
	LateMs       int              `json:"lateMs"`         // delay before the appends of loseAnswers are applied
	DropAppends  int              `json:"dropAppends"`    // number of next appends that are dropped without an answer; they precede loseAnswers
	ExpireBefore map[string]int64 `json:"expireBefore"`   // by stream: offset below which records are dropped
	Reset        bool             `json:"reset"`          // drop all streams and restart offsets at 0
	Then         *LogFaults       `json:"then,omitempty"` // replaces these faults after the next append that is not rejected
}

// Log emulates the platform's log.
type Log struct {
	retention time.Duration
	now       func() time.Time

	mu      sync.Mutex
	logID   string                // guarded by mu
	streams map[string]*logStream // guarded by mu
	faults  LogFaults             // guarded by mu
	appends int64                 // guarded by mu
	reads   int64                 // guarded by mu
}

type logStream struct {
	first    int64
	records  []platformlog.WireRecord
	appended chan struct{} // closed and replaced by each append
}

func (s *logStream) next() int64 { return s.first + int64(len(s.records)) }

// NewLog returns an empty log with a retention time and a clock.
func NewLog(retention time.Duration, now func() time.Time) *Log {
	return &Log{retention: retention, now: now, logID: uuid.NewString(), streams: map[string]*logStream{}}
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

// SetFaults replaces the faults. ExpireBefore and Reset take effect once.
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
		close(s.appended)
	}
	l.streams = map[string]*logStream{}
	l.logID = uuid.NewString()
}

// Counts returns the number of records appended and of times that a stream was
// read. A read that waits for records counts each time that it reads the stream.
func (l *Log) Counts() (appends, reads int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

func (l *Log) streamLocked(name string) *logStream {
	s := l.streams[name]
	if s == nil {
		s = &logStream{appended: make(chan struct{})}
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

// errDown is the error of a request while LogFaults.Down is set.
var errDown = errors.New("the log is down")

// requestKind is the kind of a request, to apply LogFaults.AppendsOnly.
type requestKind int

const (
	requestRead requestKind = iota
	requestAppend
)

// delayOrReject applies SlowMs and Down before a request is executed.
func (l *Log) delayOrReject(ctx context.Context, r requestKind) error {
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
		http.Error(w, "record too large or truncated", http.StatusRequestEntityTooLarge)
		return
	}
	// A slow log applies a record even when the caller has disconnected.
	if err := l.delayOrReject(context.WithoutCancel(r.Context()), requestAppend); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	out, lost := l.append(r.PathValue("stream"), data)
	if lost {
		panic(http.ErrAbortHandler) // closes the connection without an answer
	}
	writeJSON(w, http.StatusOK, out)
}

// append appends a record and reports whether the answer is to be lost.
func (l *Log) append(stream string, data []byte) (out platformlog.AppendResponse, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	defer l.advanceFaultsLocked()
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

// advanceFaultsLocked replaces the faults by LogFaults.Then if it is set.
func (l *Log) advanceFaultsLocked() {
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
	out := platformlog.AppendResponse{LogID: l.logID, Offset: s.next()}
	s.records = append(s.records, platformlog.WireRecord{Offset: out.Offset, TimeMs: l.now().UnixMilli(), Data: data})
	close(s.appended)
	s.appended = make(chan struct{})
	l.appends++
	return out
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err1 := strconv.ParseInt(q.Get("from"), 10, 64)
	limit, err2 := strconv.Atoi(q.Get("max"))
	waitMs, err3 := strconv.Atoi(q.Get("waitMs"))
	if err1 != nil || err2 != nil || err3 != nil || from < 0 || limit < 1 || waitMs < 0 {
		http.Error(w, "from, max and waitMs must be integers; from and waitMs at least 0, max at least 1", http.StatusBadRequest)
		return
	}
	status, out, err := l.poll(r.Context(), r.PathValue("stream"), from, limit, time.Duration(waitMs)*time.Millisecond)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, status, out)
}

// poll reads, and waits up to wait while there are no records.
func (l *Log) poll(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (int, platformlog.ReadResponse, error) {
	if err := l.delayOrReject(ctx, requestRead); err != nil {
		return 0, platformlog.ReadResponse{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		status, out, appended := l.read(stream, from, limit)
		if status != http.StatusOK || len(out.Records) > 0 || wait <= 0 {
			return status, out, nil
		}
		select {
		case <-appended:
		case <-deadline.C:
			wait = 0 // read once more for the current offsets
		case <-ctx.Done():
			return 0, platformlog.ReadResponse{}, ctx.Err()
		}
	}
}

// read returns the status and the answer of a read, and a channel that is closed
// by the next append to the stream.
func (l *Log) read(stream string, from int64, limit int) (int, platformlog.ReadResponse, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	s := l.streamLocked(stream)
	out := platformlog.ReadResponse{LogID: l.logID, First: s.first, Next: s.next(), RetentionMs: l.retention.Milliseconds()}
	switch {
	case from < s.first:
		return http.StatusGone, out, s.appended
	case from > s.next():
		return http.StatusRequestedRangeNotSatisfiable, out, s.appended
	}
	records := s.records[from-s.first:]
	out.Records = append(out.Records, records[:min(limit, len(records))]...)
	return http.StatusOK, out, s.appended
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

// LogStats is the answer of GET /v1/stats. Its numbers are those of Log.Counts.
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
