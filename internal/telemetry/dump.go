package telemetry

import (
	"bytes"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
)

// Dumper collects the state of the parts of a process. Each part registers a
// function that returns a copy of its state, fit for JSON.
type Dumper struct {
	mu    sync.Mutex
	parts map[string]func() any // guarded by mu
}

// NewDumper returns a Dumper without parts.
func NewDumper() *Dumper { return &Dumper{parts: map[string]func() any{}} }

// Register adds a part under a name.
func (d *Dumper) Register(name string, state func() any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.parts[name] = state
}

// Write writes the state of every part as JSON. The parts are read one after
// the other, not at one moment.
func (d *Dumper) Write(w io.Writer) error {
	d.mu.Lock()
	parts := maps.Clone(d.parts)
	d.mu.Unlock()
	out := make(map[string]any, len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		out[name] = parts[name]()
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

// ServeHTTP answers with the dump, or with the error of a part that has no
// form in JSON.
func (d *Dumper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	var buf bytes.Buffer
	if err := d.Write(&buf); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(buf.Bytes()) // the caller has gone when this fails
}
