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
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// drainNotice is how long a draining node goes on answering, so that the
	// word reaches the other nodes before its listeners close.
	drainNotice = 2 * time.Second
	// guardNotice is how long the guard of a node on a platform goes on taking
	// calls: the front has to serve its callers until they have moved on, and
	// the backend server has not said that it leaves.
	guardNotice = 800 * time.Millisecond
	// shutdownLimit bounds the end of a node that was stopped and not drained.
	shutdownLimit = 5 * time.Second
	// announceLimit bounds the announcement of a departure when the log does
	// not answer.
	announceLimit = 2 * time.Second
)

// servers are the HTTP servers of a node.
type servers struct {
	mu  sync.Mutex
	all []*proxy.Server // guarded by mu
}

func (s *servers) add(srv *proxy.Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all = append(s.all, srv)
}

func (s *servers) list() []*proxy.Server {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*proxy.Server(nil), s.all...)
}

// callsServer names the server that takes the calls of callers.
const callsServer = "calls"

// serve adds an HTTP server to the group. Stopping the group ends it within
// shutdownLimit; a drain has shut it down before.
func (n *Node) serve(g *run.Group, name string, ln net.Listener, h http.Handler) *proxy.Server {
	srv := proxy.NewServer(h)
	if name == callsServer {
		srv.Limits = n.holder.Limits
	}
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
	n.logger.Info("drain_started", "limit", n.settings.Drain.Limit.D())
	if n.platform.Source != nil && !wait.For(ctx, guardNotice) {
		return nil
	}
	n.guard.Drain()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		n.announceStatus(ctx, membership.StatusDraining)
	}()
	defer func() { <-announced }()
	if !wait.For(ctx, drainNotice) {
		return nil
	}
	n.endWork(ctx)
	if n.platform.Source == nil {
		// On a platform there are no keyed calls, and a node may start again
		// within seconds: its neighbours greet it then, unless they took it
		// for gone.
		n.flushCalls(ctx)
		n.announceStatus(ctx, membership.StatusLeft)
	}
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
	var closing sync.WaitGroup
	for _, srv := range n.servers.list() {
		closing.Go(func() { n.shutDown(ctx, srv) })
	}
	closing.Wait()
}

// answerGrace is left to answers that have been handed to the HTTP library to
// leave the process.
const answerGrace = 200 * time.Millisecond

// shutDown closes a server's listener, waits for the calls in flight, and then
// closes its connections. Connections on which no call ever came would hold
// http.Server.Shutdown up for seconds.
func (n *Node) shutDown(ctx context.Context, srv *proxy.Server) {
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(ctx) }()
	if err := errors.CombineErrors(n.front.Wait(ctx), n.guard.Wait(ctx)); err != nil {
		n.logger.Warn("drain_cut", "error", err)
	}
	timer := time.NewTimer(answerGrace)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	}
	_ = srv.Close()
	<-done
}

// closing makes answers say Connection: close while the node drains, so that
// callers move on. Closing idle connections instead would cut calls that
// arrive at the same moment.
func (n *Node) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.Draining() && r.ProtoMajor == 1 {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
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
