package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// BackendFaults are the faults of a Backend stand-in.
type BackendFaults struct {
	SlowFactor   float64 `json:"slowFactor"`   // service time times this; 0 counts as 1
	Hang         bool    `json:"hang"`         // take calls and never answer
	Shed         bool    `json:"shed"`         // refuse calls with 503
	CrashOn      string  `json:"crashOn"`      // a call whose path and query contain this text crashes the server
	CrashForMs   int     `json:"crashForMs"`   // time until a crashed server listens again
	ReportedLoad *int    `json:"reportedLoad"` // calls in flight that GET /load reports, in place of the true number
	ColdForMs    int     `json:"coldForMs"`    // time after a start, or after this setting, in which calls are slower
	ColdFactor   float64 `json:"coldFactor"`   // service time of a cold server times this; 0 counts as 1
	CutAfter     *int64  `json:"cutAfter"`     // cut the connection after this many bytes of an answer's body
}

// Backend is a stand-in of a backend server. It answers each call with its
// name and counts what it ran.
type Backend struct {
	name     string
	service  time.Duration
	slots    chan struct{}
	ran      atomic.Int64
	inFlight atomic.Int64
	crashes  atomic.Int64

	mu     sync.Mutex
	faults BackendFaults  // guarded by mu
	warmAt time.Time      // guarded by mu; end of the cold start
	keys   map[string]int // guarded by mu; runs by idempotency key
	crash  func()         // guarded by mu; set while Serve runs
	onRun  func(*http.Request)
}

// NewBackend returns a backend server that takes the given time for a call.
func NewBackend(name string, slots int, serviceTime time.Duration) *Backend {
	return &Backend{name: name, service: serviceTime, slots: make(chan struct{}, slots), keys: map[string]int{}}
}

// OnRun sets what is told of each call that is run. It must be set before the
// first call.
func (b *Backend) OnRun(f func(*http.Request)) { b.onRun = f }

// Ran returns the calls that it ran.
func (b *Backend) Ran() int64 { return b.ran.Load() }

// Crashes returns how often it crashed.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// RunsOf returns how often a call with an idempotency key was run.
func (b *Backend) RunsOf(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[key]
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.coolLocked()
}

// coolLocked begins a cold start.
func (b *Backend) coolLocked() {
	b.warmAt = time.Now().Add(time.Duration(b.faults.ColdForMs) * time.Millisecond)
}

func (b *Backend) currentFaults() BackendFaults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// Answer is the body of an answer.
type Answer struct {
	Server string `json:"server"`
	Method string `json:"method"`
	Path   string `json:"path"`
	Bytes  int64  `json:"bytes"` // length of the request's body
}

// Load is the answer of GET /load.
type Load struct {
	InFlight int `json:"inFlight"`
	Slots    int `json:"slots"`
}

// Runs is the answer of GET /_standin/runs.
type Runs struct {
	Ran     int64          `json:"ran"`
	Crashes int64          `json:"crashes"`
	Keys    map[string]int `json:"keys"` // runs by idempotency key
}

// Handler returns the HTTP interface: calls on every path but /healthz, /load
// and those under /_standin/.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /load", b.serveLoad)
	mux.HandleFunc("PUT /_standin/faults", b.serveFaults)
	mux.HandleFunc("GET /_standin/runs", b.serveRuns)
	mux.HandleFunc("/", b.serveCall)
	return mux
}

func (b *Backend) serveLoad(w http.ResponseWriter, _ *http.Request) {
	l := Load{InFlight: int(b.inFlight.Load()), Slots: cap(b.slots)}
	if lie := b.currentFaults().ReportedLoad; lie != nil {
		l.InFlight = *lie
	}
	writeJSON(w, http.StatusOK, l)
}

func (b *Backend) serveRuns(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	keys := maps.Clone(b.keys)
	b.mu.Unlock()
	writeJSON(w, http.StatusOK, Runs{Ran: b.Ran(), Crashes: b.Crashes(), Keys: keys})
}

func (b *Backend) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f BackendFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func (b *Backend) serveCall(w http.ResponseWriter, r *http.Request) {
	f := b.currentFaults()
	if f.Shed {
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	if f.Hang {
		<-r.Context().Done()
		return
	}
	select {
	case b.slots <- struct{}{}:
		defer func() { <-b.slots }()
	case <-r.Context().Done():
		return
	}
	b.inFlight.Add(1)
	defer b.inFlight.Add(-1)
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.count(r)
	if f.CrashOn != "" && strings.Contains(r.RequestURI, f.CrashOn) {
		b.crashNow()
		panic(http.ErrAbortHandler)
	}
	if !b.work(r, f) {
		return
	}
	b.answer(w, r, f, n)
}

func (b *Backend) count(r *http.Request) {
	b.ran.Add(1)
	if b.onRun != nil {
		b.onRun(r)
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keys[key]++
}

func (b *Backend) crashNow() {
	b.crashes.Add(1)
	b.mu.Lock()
	crash := b.crash
	b.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// answer writes a download when the query asks for one, else an Answer.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, f BackendFaults, body int64) {
	if f.CutAfter != nil {
		w = &cutWriter{ResponseWriter: w, left: *f.CutAfter}
	}
	if size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
		download(w, r, size, rate)
		return
	}
	writeJSON(w, http.StatusOK, Answer{Server: b.name, Method: r.Method, Path: r.URL.Path, Bytes: body})
}

// cutWriter ends the connection once the given number of bytes is written.
type cutWriter struct {
	http.ResponseWriter
	left int64
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(p []byte) (int, error) {
	n := min(int64(len(p)), c.left)
	c.left -= n
	if _, err := c.ResponseWriter.Write(p[:n]); err != nil {
		return 0, err
	}
	if n < int64(len(p)) {
		_ = http.NewResponseController(c.ResponseWriter).Flush()
		panic(http.ErrAbortHandler)
	}
	return len(p), nil
}

const (
	downloadPiece = 16 << 10 // bytes written at once
	downloadTicks = 20       // pieces per second of a download with a rate
)

// download writes size bytes, at most rate per second; a rate of 0 has no
// bound.
func download(w http.ResponseWriter, r *http.Request, size, rate int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	piece := make([]byte, downloadPiece)
	if rate > 0 {
		piece = make([]byte, max(rate/downloadTicks, 1))
	}
	rc := http.NewResponseController(w)
	for size > 0 {
		n := min(int64(len(piece)), size)
		if _, err := w.Write(piece[:n]); err != nil {
			return
		}
		size -= n
		if rate == 0 {
			continue
		}
		_ = rc.Flush()
		if !sleep(r, time.Second/downloadTicks) {
			return
		}
	}
}

func (b *Backend) work(r *http.Request, f BackendFaults) bool {
	d := b.service
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.ColdFactor > 0 && b.cold() {
		d = time.Duration(float64(d) * f.ColdFactor)
	}
	return d == 0 || sleep(r, d)
}

func (b *Backend) cold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.warmAt)
}

// sleep waits and reports false when the call was cancelled.
func sleep(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
