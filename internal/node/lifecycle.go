package node

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

const (
	// drainNotice is how long a draining node goes on answering, so that the
	// word reaches the other nodes before its listeners close.
	drainNotice = 2 * time.Second
	// shutdownLimit bounds the end of a node that was stopped and not drained.
	shutdownLimit = 5 * time.Second
	// announceLimit bounds the announcement of a departure when the log does
	// not answer.
	announceLimit = 2 * time.Second
)

// servers are the HTTP servers of a node.
type servers struct {
	mu  sync.Mutex
	all []*http.Server // guarded by mu
}

func (s *servers) add(srv *http.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, srv)
}

func (s *servers) list() []*http.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Server(nil), s.all...)
}

// serve adds an HTTP server to the group. Stopping the group ends it within
// shutdownLimit; a drain has shut it down before.
func (n *Node) serve(g *run.Group, name string, ln net.Listener, h http.Handler) *http.Server {
	srv := proxy.NewServer(h)
	g.Add(func() error {
		err := srv.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", name)
		}
		<-n.stopped // a drain closes the server before the node ends
		return nil
	}, func(error) {
		n.stop()
		if n.Draining() { // the drain is done, or a second signal ends it at once
			_ = srv.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), shutdownLimit)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	})
	return srv
}

func (n *Node) stop() { n.stopOnce.Do(func() { close(n.stopped) }) }

// Drain starts the graceful end of the node: no new work, work in flight
// ends, the departure is announced. Run returns when it is done. More calls
// of Drain do nothing.
func (n *Node) Drain() {
	n.drainOnce.Do(func() { close(n.draining) })
}

// Draining reports whether Drain was called.
func (n *Node) Draining() bool {
	select {
	case <-n.draining:
		return true
	default:
		return false
	}
}

// runDrain waits for Drain, then ends the work of the node.
func (n *Node) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.draining:
	}
	n.guard.Drain()
	n.logger.Info("drain_started", "limit", n.settings.Drain.Limit.D())
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		n.announceStatus(ctx, membership.StatusDraining)
	}()
	defer func() { <-announced }()
	n.callsServer.SetKeepAlivesEnabled(false) // answers say Connection: close, so callers move on
	notice := time.NewTimer(drainNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
		return nil
	}
	n.endWork(ctx)
	if n.platform.Source == nil {
		n.flushCalls(ctx)
	}
	n.announceStatus(ctx, membership.StatusLeft)
	n.logger.Info("drain_ended")
	return nil
}

// endWork waits for the calls in flight, at most the limit of the settings.
func (n *Node) endWork(ctx context.Context) {
	if limit := n.settings.Drain.Limit.D(); limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	for _, srv := range n.servers.list() {
		if err := srv.Shutdown(ctx); err != nil {
			n.logger.Warn("drain_cut", "error", err)
			_ = srv.Close()
		}
	}
}

// announceStatus tells the other nodes. The guard refuses new work by itself,
// so a lost announcement costs callers a retry and nothing else.
func (n *Node) announceStatus(ctx context.Context, status membership.Status) {
	ctx, cancel := context.WithTimeout(ctx, announceLimit)
	defer cancel()
	if err := n.agent.SetStatus(ctx, status); err != nil {
		n.logger.Warn("announce_failed", "status", status, "error", err)
	}
}
