package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// BackendFaults are the faults of a Backend stand-in.
type BackendFaults struct {
	SlowFactor float64 `json:"slowFactor"` // service time times this; 0 counts as 1
	Hang       bool    `json:"hang"`       // take calls and never answer
	Shed       bool    `json:"shed"`       // refuse calls with 503
}

// Backend is a stand-in of a backend server. It answers each call with its
// name and counts what it ran.
type Backend struct {
	name    string
	service time.Duration
	slots   chan struct{}
	ran     atomic.Int64

	mu     sync.Mutex
	faults BackendFaults // guarded by mu
}

// NewBackend returns a backend server that takes the given time for a call.
func NewBackend(name string, slots int, serviceTime time.Duration) *Backend {
	return &Backend{name: name, service: serviceTime, slots: make(chan struct{}, slots)}
}

// Ran returns the calls that it ran.
func (b *Backend) Ran() int64 { return b.ran.Load() }

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
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

// Handler returns the HTTP interface: calls on every path but /healthz and
// /_standin/faults.
func (b *Backend) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("PUT /_standin/faults", b.serveFaults)
	mux.HandleFunc("/", b.serveCall)
	return mux
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
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	b.ran.Add(1)
	if !b.work(r, f) {
		return
	}
	writeJSON(w, http.StatusOK, Answer{Server: b.name, Method: r.Method, Path: r.URL.Path, Bytes: n})
}

func (b *Backend) work(r *http.Request, f BackendFaults) bool {
	d := b.service
	if f.SlowFactor > 0 {
		d = time.Duration(float64(d) * f.SlowFactor)
	}
	if d == 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}
