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

// BackendFaults are the faults that a Backend injects.
type BackendFaults struct {
	SlowFactor   float64 `json:"slowFactor"`   // multiplies the service time; 0 counts as 1
	Hang         bool    `json:"hang"`         // accept calls and never run or answer them
	Shed         bool    `json:"shed"`         // refuse calls with 503
	CrashOn      string  `json:"crashOn"`      // a call whose path and query contain this text runs and crashes the server
	CrashForMs   int     `json:"crashForMs"`   // time until a crashed server listens again
	ReportedLoad *int    `json:"reportedLoad"` // in-flight calls that GET /load reports, instead of the real number
	ColdForMs    int     `json:"coldForMs"`    // how long calls are slower after a restart or after this is set
	ColdFactor   float64 `json:"coldFactor"`   // multiplies the service time of a cold server; 0 counts as 1
	CutAfter     *int64  `json:"cutAfter"`     // cut the connection after this many bytes of an answer's body
}

// Backend emulates a backend server. It answers each call with an Answer or a
// download, and counts the calls that it ran.
type Backend struct {
	name        string
	serviceTime time.Duration
	slots       chan struct{}
	ran         atomic.Int64
	inFlight    atomic.Int64
	crashes     atomic.Int64

	mu          sync.Mutex
	faults      BackendFaults       // guarded by mu
	coldUntil   time.Time           // guarded by mu
	runsByKey   map[string]int      // guarded by mu; by idempotency key
	closeServer func()              // guarded by mu; closes the listener and all connections, nil while Serve does not run
	runHook     func(*http.Request) // may be nil
}

// NewBackend returns a backend server with a number of slots and a service time
// for each call.
func NewBackend(name string, slots int, serviceTime time.Duration) *Backend {
	return &Backend{name: name, serviceTime: serviceTime, slots: make(chan struct{}, slots), runsByKey: map[string]int{}}
}

// SetRunHook sets a function that is called for each call that runs. It must be
// set before the first call.
func (b *Backend) SetRunHook(f func(*http.Request)) { b.runHook = f }

// Ran returns the number of calls that ran.
func (b *Backend) Ran() int64 { return b.ran.Load() }

// Crashes returns the number of crashes.
func (b *Backend) Crashes() int64 { return b.crashes.Load() }

// RunsForKey returns how often calls with an idempotency key ran.
func (b *Backend) RunsForKey(key string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runsByKey[key]
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.startColdLocked()
}

// startColdLocked starts the period in which calls are slower.
func (b *Backend) startColdLocked() {
	b.coldUntil = time.Now().Add(time.Duration(b.faults.ColdForMs) * time.Millisecond)
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
	if reported := b.currentFaults().ReportedLoad; reported != nil {
		l.InFlight = *reported
	}
	writeJSON(w, http.StatusOK, l)
}

func (b *Backend) serveRuns(w http.ResponseWriter, _ *http.Request) {
	b.mu.Lock()
	keys := maps.Clone(b.runsByKey)
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
	b.countRun(r)
	if f.CrashOn != "" && strings.Contains(r.RequestURI, f.CrashOn) {
		b.simulateCrash()
		panic(http.ErrAbortHandler)
	}
	if !b.simulateWork(r, f) {
		return
	}
	b.answer(w, r, f, n)
}

func (b *Backend) countRun(r *http.Request) {
	b.ran.Add(1)
	if b.runHook != nil {
		b.runHook(r)
	}
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runsByKey[key]++
}

// simulateCrash counts a crash and closes the server if Serve runs it.
func (b *Backend) simulateCrash() {
	b.crashes.Add(1)
	b.mu.Lock()
	crash := b.closeServer
	b.mu.Unlock()
	if crash != nil {
		crash()
	}
}

// answer writes a download when the query requests one, otherwise an Answer.
func (b *Backend) answer(w http.ResponseWriter, r *http.Request, f BackendFaults, body int64) {
	if f.CutAfter != nil {
		w = &cutWriter{ResponseWriter: w, remaining: *f.CutAfter}
	}
	if size, err := strconv.ParseInt(r.URL.Query().Get("bytes"), 10, 64); err == nil {
		rate, _ := strconv.ParseInt(r.URL.Query().Get("rate"), 10, 64)
		download(w, r, size, rate)
		return
	}
	writeJSON(w, http.StatusOK, Answer{Server: b.name, Method: r.Method, Path: r.URL.Path, Bytes: body})
}

// cutWriter aborts the connection after a number of bytes of the body.
type cutWriter struct {
	http.ResponseWriter
	remaining int64
}

func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func (c *cutWriter) Write(p []byte) (int, error) {
	n := min(int64(len(p)), c.remaining)
	c.remaining -= n
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
	downloadChunkBytes      = 16 << 10
	downloadChunksPerSecond = 20 // when a rate is set
)

// download writes size bytes, at most rate per second; a rate of 0 is unlimited.
func download(w http.ResponseWriter, r *http.Request, size, rate int64) {
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	chunk := make([]byte, downloadChunkBytes)
	if rate > 0 {
		chunk = make([]byte, max(rate/downloadChunksPerSecond, 1))
	}
	rc := http.NewResponseController(w)
	for size > 0 {
		n := min(int64(len(chunk)), size)
		if _, err := w.Write(chunk[:n]); err != nil {
			return
		}
		size -= n
		if rate == 0 {
			continue
		}
		_ = rc.Flush()
		if !sleep(r, time.Second/downloadChunksPerSecond) {
			return
		}
	}
}

// simulateWork waits for the service time and reports false when the call was
// cancelled before its end.
func (b *Backend) simulateWork(r *http.Request, f BackendFaults) bool {
	d := b.serviceTime
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if f.ColdFactor > 0 && b.isCold() {
		d = time.Duration(float64(d) * f.ColdFactor)
	}
	return d == 0 || sleep(r, d)
}

func (b *Backend) isCold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Now().Before(b.coldUntil)
}

// sleep waits for d and reports false when the call was cancelled before its end.
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
