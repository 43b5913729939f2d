package node

import (
	"net/http"
	"strings"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

// RouteResponse is the answer of /v1/route: where a call that enters this node would
// go now.
type RouteResponse struct {
	Node         string            `json:"node"`
	Ready        bool              `json:"ready"` // whether callers are sent to this node
	Organisation *organisationView `json:"organisation,omitempty"`
	outbound.DryRun
}

// serveRoute decides a call without sending it. Keys are named by their
// fingerprint: a key in a query would be kept in logs and histories.
func (n *Node) serveRoute(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	call := outbound.DryRunCall{
		Method: q.Get("method"), Host: q.Get("host"), Path: q.Get("path"),
		Organisation: q.Get("organisation"), KeyFingerprint: strings.ToLower(q.Get("keyFingerprint")),
	}
	switch {
	case call.Method == "" || !strings.HasPrefix(call.Path, "/"):
		http.Error(w, "want a method and a path that begins with a slash", http.StatusBadRequest)
		return
	case call.Organisation != "" && call.KeyFingerprint != "":
		http.Error(w, "want an organisation or the fingerprint of a key, not both", http.StatusBadRequest)
		return
	}
	call.Path, _, _ = strings.Cut(call.Path, "?")
	answer := RouteResponse{Node: n.settings.Node.ID, Ready: n.Status().Ready, DryRun: n.outbound.DryRun(time.Now(), call)}
	if o := answer.DryRun.Organisation; o != nil {
		answer.Organisation = newOrganisationView(o)
	}
	writeJSON(w, answer)
}
