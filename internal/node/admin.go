package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/distribution"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// Status is a node's own status, served at /v1/status.
type Status struct {
	ID         string            `json:"id"`
	Position   *profile.Position `json:"position,omitempty"`
	Generation uint64            `json:"generation"`
	Ready      bool              `json:"ready"`
	Draining   bool              `json:"draining"`
	Members    int               `json:"members"` // routable ones, to which new calls may be sent
}

// Status returns the node's own status.
func (n *Node) Status() Status {
	s := Status{ID: n.settings.Node.ID, Generation: n.snapshots.Published(), Draining: n.Draining(), Members: n.members.CountCallable()}
	if snap := n.snapshots.Latest(); snap != nil {
		s.Position, s.Ready = &snap.Position, !s.Draining
	}
	return s
}

func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	mux.HandleFunc("GET /readyz", n.serveReady)
	mux.Handle("GET /metrics", n.metrics.Handler)
	mux.Handle("GET /dump", n.dump)
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, n.Status())
	})
	mux.HandleFunc("POST /v1/drain", func(w http.ResponseWriter, _ *http.Request) {
		n.Drain()
		w.WriteHeader(http.StatusAccepted)
	})
	mux.HandleFunc("GET /v1/nodes", n.serveNodes)
	mux.HandleFunc("GET /v1/route", n.serveRoute)
	mux.HandleFunc("GET /v1/quarantine", n.serveQuarantine)
	mux.HandleFunc("POST /v1/quarantine/{fingerprint}/lift", n.serveQuarantineLift)
	return mux
}

// serveNodes writes the status of every node in the system.
func (n *Node) serveNodes(w http.ResponseWriter, r *http.Request) {
	response, err := n.agent.Status(r.Context(), peer.StatusRequest{Scope: peer.ScopeAll})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeJSON(w, response)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // fails only when the client has disconnected
}

func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.Status().Ready {
		http.Error(w, "no configuration yet, or draining", http.StatusServiceUnavailable)
		return
	}
	fmt.Fprintln(w, "ready")
}

// registerDumpSections adds the state of the node and of its configuration to the
// dump.
func (n *Node) registerDumpSections() {
	n.dump.Register("status", func() any { return n.Status() })
	n.dump.Register("members", func() any { return n.members.All() })
	n.dump.Register("peer_bytes", func() any { return n.PeerBytes() })
	n.dump.Register("config", func() any { return n.configView() })
	n.dump.Register("generation", func() any { return n.snapshotView() })
	n.dump.Register("organisations", func() any { return n.organisationsView() })
	n.dump.Register("store", func() any {
		era, restores := n.agent.StoreEra()
		return storeView{era, restores}
	})
	n.dump.Register("peers", func() any { return n.agent.LinkedNodes() })
}

// storeView is what the node knows of the platform's store, as shown in the state
// dump.
type storeView struct {
	Era      distribution.Era `json:"era"`
	Restores int64            `json:"restores"` // since the start
}

// configView is the node's configuration as shown in the state dump.
type configView struct {
	Position profile.Position  `json:"position"`
	Entries  []profile.Entry   `json:"entries"`
	Refused  []profile.Refusal `json:"refused"`
}

func (n *Node) configView() *configView {
	s := n.agent.State()
	if s == nil {
		return nil
	}
	return &configView{Position: s.Position, Entries: s.Sorted(), Refused: s.Refused}
}

// snapshotView is the Snapshot that calls use, as shown in the state dump.
type snapshotView struct {
	Number   uint64             `json:"number"`
	Position profile.Position   `json:"position"`
	Routes   []string           `json:"routes"`   // profile/route, in the order of matching
	HeldBack []string           `json:"heldBack"` // routes without a known backend server
	Budgets  map[string]float64 `json:"budgets"`  // retries left, by service
}

func (n *Node) snapshotView() *snapshotView {
	snap := n.snapshots.Latest()
	if snap == nil {
		return nil
	}
	v := &snapshotView{Number: snap.Generation, Position: snap.Position, Budgets: map[string]float64{}}
	for _, r := range snap.Routes {
		v.Routes = append(v.Routes, r.ID)
	}
	for _, r := range snap.HeldBack {
		v.HeldBack = append(v.HeldBack, r.ID)
	}
	for name := range snap.Services {
		v.Budgets[name] = n.callPath.budgets.Available(name, time.Now())
	}
	return v
}
