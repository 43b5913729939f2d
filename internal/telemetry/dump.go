package telemetry

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"sync"
)

// Dumper writes the state of the parts of a process as JSON. Each part registers
// a function that returns a copy of its state.
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

// Write writes the state of every part as JSON. It reads the parts one after
// another, so the dump is not a consistent snapshot.
func (d *Dumper) Write(w io.Writer) error {
	d.mu.Lock()
	parts := maps.Clone(d.parts)
	d.mu.Unlock()
	out := make(map[string]json.RawMessage, len(parts))
	for _, name := range slices.Sorted(maps.Keys(parts)) {
		out[name] = encodePart(parts[name]())
	}
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(out)
}

// encodePart encodes the state of a part, or the error if it cannot be encoded,
// so that the other parts are still written.
func encodePart(state any) json.RawMessage {
	data, err := json.Marshal(state)
	if err != nil {
		data, _ = json.Marshal(map[string]string{"error": err.Error()}) // strings always encode
	}
	return data
}

// ServeHTTP implements http.Handler.
func (d *Dumper) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = d.Write(w)
}
