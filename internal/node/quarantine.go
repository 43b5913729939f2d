package node

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

const (
	// updateQueueSize bounds the updates that wait to be sent. It would be exceeded
	// only if fully loaded servers crashed on every node at once.
	updateQueueSize = 1024
	// updateSendTimeout bounds sending to the neighbours, so that one that cannot be
	// reached does not delay the next updates.
	updateSendTimeout = time.Second
)

// quarantineUpdates queues changed quarantine entries for the neighbours. Each
// update is a list of entries.
type quarantineUpdates struct {
	queue chan []quarantine.Entry
}

func newQuarantineUpdates() *quarantineUpdates {
	return &quarantineUpdates{queue: make(chan []quarantine.Entry, updateQueueSize)}
}

// publish queues entries for the neighbours. It never blocks a call: when the
// queue is full, other nodes get the entries only from the headers of answers.
func (u *quarantineUpdates) publish(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	select {
	case u.queue <- entries:
	default:
	}
}

// takeQueued appends all queued entries to the given ones.
func (u *quarantineUpdates) takeQueued(entries []quarantine.Entry) []quarantine.Entry {
	for {
		select {
		case more := <-u.queue:
			entries = append(entries, more...)
		default:
			return entries
		}
	}
}

// sendQuarantineUpdates sends queued entries to the neighbours without delay, so
// that they arrive before a caller retries the request through another node.
func (n *Node) sendQuarantineUpdates(ctx context.Context) {
	for {
		select {
		case entries := <-n.callPath.quarantineUpdates.queue:
			n.sendEntries(ctx, n.callPath.quarantineUpdates.takeQueued(entries))
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) sendEntries(ctx context.Context, entries []quarantine.Entry) {
	data, err := json.Marshal(entries)
	if err != nil {
		n.logger.Error("news_unsent", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, updateSendTimeout)
	defer cancel()
	var sending sync.WaitGroup
	for _, m := range n.agent.LinkedNodes() {
		sending.Go(func() {
			if err := n.peers.pool.QuarantineEntries(ctx, m, data); err != nil {
				n.logger.Debug("news_unsent", "member", m.ID, "error", err)
			}
		})
	}
	sending.Wait()
}

// receiveQuarantineUpdate merges entries from a neighbour and forwards those that
// changed the list.
func (n *Node) receiveQuarantineUpdate(raw json.RawMessage) {
	var entries []quarantine.Entry
	if err := json.Unmarshal(raw, &entries); err != nil {
		n.logger.Warn("news_unreadable", "error", err)
		return
	}
	n.callPath.quarantineUpdates.publish(n.callPath.quarantine.Merge(entries, time.Now()))
}

// serveQuarantine lists the entries of the quarantine list with their states.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := QuarantineResponse{Requests: []QuarantineRow{}}
	for _, e := range n.callPath.quarantine.Entries(now) {
		row := QuarantineRow{Entry: e, State: string(n.callPath.quarantine.Check(e.Fingerprint, now).State)}
		out.Requests = append(out.Requests, row)
	}
	writeJSON(w, out)
}

// QuarantineResponse lists requests under suspicion of crashing backend servers.
type QuarantineResponse struct {
	Requests []QuarantineRow `json:"requests"`
}

// QuarantineRow is one request under suspicion of crashing backend servers.
type QuarantineRow struct {
	quarantine.Entry
	State string `json:"state"` // suspect or quarantined
}

// serveQuarantineLift lifts a quarantine on this node and, through the neighbours,
// on every other one.
func (n *Node) serveQuarantineLift(w http.ResponseWriter, r *http.Request) {
	fp, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	changed := n.callPath.quarantine.Lift(fp, time.Now())
	if len(changed) == 0 {
		http.Error(w, "this node has no suspect or quarantined request with this fingerprint", http.StatusNotFound)
		return
	}
	n.callPath.quarantineUpdates.publish(changed)
	w.WriteHeader(http.StatusAccepted)
}
