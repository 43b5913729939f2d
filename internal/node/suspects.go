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
	// newsQueue bounds the quarantine entries that wait to be sent. More than
	// that at once is a crash with a full server in flight on every node.
	newsQueue = 1024
	// newsLimit bounds the sending to one neighbour, so that a silent one does
	// not hold up the next batch.
	newsLimit = time.Second
)

// suspects passes quarantine entries between the list and the neighbours.
type suspects struct {
	queue chan []quarantine.Entry
}

func newSuspects() *suspects {
	return &suspects{queue: make(chan []quarantine.Entry, newsQueue)}
}

// tell queues entries for the neighbours. It never blocks a call: entries that
// find no room still travel with the answers of the calls concerned.
func (s *suspects) tell(entries []quarantine.Entry) {
	if len(entries) == 0 {
		return
	}
	select {
	case s.queue <- entries:
	default:
	}
}

// collect returns the entries and all that wait behind them.
func (s *suspects) collect(entries []quarantine.Entry) []quarantine.Entry {
	for {
		select {
		case more := <-s.queue:
			entries = append(entries, more...)
		default:
			return entries
		}
	}
}

// sendSuspects sends queued entries to the neighbours at once, so that the
// word is ahead of a caller who tries again through another node.
func (n *Node) sendSuspects(ctx context.Context) {
	for {
		select {
		case entries := <-n.calls.suspects.queue:
			n.sendNews(ctx, n.calls.suspects.collect(entries))
		case <-ctx.Done():
			return
		}
	}
}

func (n *Node) sendNews(ctx context.Context, entries []quarantine.Entry) {
	data, err := json.Marshal(entries)
	if err != nil {
		n.logger.Error("news_unsent", "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, newsLimit)
	defer cancel()
	var sending sync.WaitGroup
	for _, m := range n.agent.Neighbours() {
		sending.Go(func() {
			if err := n.peers.pool.Suspects(ctx, m, data); err != nil {
				n.logger.Debug("news_unsent", "member", m.ID, "error", err)
			}
		})
	}
	sending.Wait()
}

// hearSuspects merges entries from a neighbour and passes on what was news.
func (n *Node) hearSuspects(raw json.RawMessage) {
	var entries []quarantine.Entry
	if err := json.Unmarshal(raw, &entries); err != nil {
		n.logger.Warn("news_unreadable", "error", err)
		return
	}
	n.calls.suspects.tell(n.calls.quarantine.Merge(entries, time.Now()))
}

// serveQuarantine lists the suspect and quarantined requests.
func (n *Node) serveQuarantine(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	out := QuarantineAnswer{Requests: []QuarantineRow{}}
	for _, e := range n.calls.quarantine.Entries(now) {
		row := QuarantineRow{Entry: e, State: string(n.calls.quarantine.Check(e.Fingerprint, now).State)}
		out.Requests = append(out.Requests, row)
	}
	writeJSON(w, out)
}

// QuarantineAnswer lists requests that crashed backend servers.
type QuarantineAnswer struct {
	Requests []QuarantineRow `json:"requests"`
}

// QuarantineRow is one request that crashed backend servers.
type QuarantineRow struct {
	quarantine.Entry
	State string `json:"state"` // suspect or quarantined
}

// serveLift lifts a quarantine on every node.
func (n *Node) serveLift(w http.ResponseWriter, r *http.Request) {
	fp, err := quarantine.ParseFingerprint(r.PathValue("fingerprint"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	news := n.calls.quarantine.Lift(fp, time.Now())
	if len(news) == 0 {
		http.Error(w, "this node does not hold the fingerprint under suspicion", http.StatusNotFound)
		return
	}
	n.calls.suspects.tell(news)
	w.WriteHeader(http.StatusAccepted)
}
