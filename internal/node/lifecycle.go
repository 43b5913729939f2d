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
	// drainAnnouncePeriod is how long a draining node keeps its listeners open, so
	// that the other nodes learn of the drain before the listeners close.
	drainAnnouncePeriod = 2 * time.Second
	// inboundDrainDelay is how long the inbound proxy of a draining node on a
	// platform still takes calls: callers keep using this node's outbound proxy
	// for a while, and the backend server has not reported that it shuts down. Its
	// server would be idle while the listeners stay open for callers.
	inboundDrainDelay = 1800 * time.Millisecond
	// platformAnnouncePeriod replaces drainAnnouncePeriod after inboundDrainDelay:
	// gossip reaches every node in well under a second.
	platformAnnouncePeriod = time.Second
	// shutdownTimeout bounds the shutdown of each HTTP server of a node that was
	// not drained.
	shutdownTimeout = 5 * time.Second
	// announceTimeout bounds the announcement of a new status when the log does
	// not answer.
	announceTimeout = 2 * time.Second
)

// servers lists the HTTP servers that a drain shuts down.
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

// callsServer is the name of the HTTP server for callers.
const callsServer = "calls"

// addServer adds an HTTP server to the run group. Stopping the group shuts it down
// within shutdownTimeout, unless a drain has done so before. A nil guard bounds
// nothing.
func (n *Node) addServer(g *run.Group, name string, guard *proxy.Guard, ln net.Listener, h http.Handler) *proxy.Server {
	srv := proxy.NewServer(h)
	srv.Guard = guard
	if name == callsServer {
		srv.Limits = n.snapshots.Limits
		srv.Draining = n.Draining
		srv.RunAhead = func(r *http.Request) bool { return !n.Draining() && n.outbound.MayRunAhead(r) }
	}
	g.Add(func() error {
		err := srv.Serve(ln)
		if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrapf(err, "serve %s", name)
		}
		<-n.stopped // a drain closes the server before the node ends
		return nil
	}, func(error) {
		n.markStopped()
		if n.Draining() { // the drain has ended, or a second signal interrupts it
			_ = srv.Close()
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if srv.Shutdown(ctx) != nil {
			_ = srv.Close()
		}
	})
	return srv
}

func (n *Node) markStopped() { n.stopOnce.Do(func() { close(n.stopped) }) }

// Drain starts the graceful shutdown of the node: the inbound proxy refuses new
// calls, the node announces that it drains, calls in flight finish within the
// drain limit, and the servers of the proxies close. Run returns when the drain
// has ended. Further calls of Drain do nothing.
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

// runDrain waits for Drain, then performs the graceful shutdown.
func (n *Node) runDrain(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-n.draining:
	}
	started := time.Now()
	limit := n.settings.Drain.CallLimit(0)
	n.logger.Info("drain_started", "limit", limit)
	if n.settings.Drain.StopWithin > 0 {
		n.outbound.StopAt(started.Add(limit))
	}
	fit := func(step time.Duration) time.Duration { return n.settings.Drain.Fit(step, time.Since(started)) }
	announcePeriod := drainAnnouncePeriod
	if n.platform.Source != nil {
		announcePeriod = platformAnnouncePeriod
		if !wait.For(ctx, fit(inboundDrainDelay)) {
			return nil
		}
	}
	n.inbound.Drain()
	announced := make(chan struct{})
	go func() {
		defer close(announced)
		n.announceStatus(ctx, membership.StatusDraining, fit(announceTimeout))
	}()
	defer func() { <-announced }()
	if !wait.For(ctx, fit(announcePeriod)) {
		return nil
	}
	n.shutDownServers(ctx, n.settings.Drain.CallLimit(time.Since(started)))
	if n.platform.Source == nil {
		// On a platform there are no keyed calls, and a node may start again
		// within seconds. Its neighbours then still contact it, which they
		// would not if it had announced that it left.
		n.flushOutcomes(ctx)
		n.announceStatus(ctx, membership.StatusLeft, fit(announceTimeout))
	}
	n.logger.Info("drain_ended")
	return nil
}

// shutDownServers waits for the calls in flight, up to a limit unless it is 0, and
// closes the servers.
func (n *Node) shutDownServers(ctx context.Context, limit time.Duration) {
	if limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit)
		defer cancel()
	}
	var closing sync.WaitGroup
	for _, srv := range n.httpServers.list() {
		closing.Go(func() { n.shutDown(ctx, srv) })
	}
	closing.Wait()
}

// answerFlushTime is the time for the HTTP library to write answers that it has
// accepted to the network.
const answerFlushTime = 200 * time.Millisecond

// shutDown closes a server's listener, waits for the calls in flight of both
// proxies, and then closes the server's connections. http.Server.Shutdown alone
// would wait for seconds on connections that never carried a call.
func (n *Node) shutDown(ctx context.Context, srv *proxy.Server) {
	done := make(chan error, 1)
	go func() { done <- srv.Shutdown(ctx) }()
	if err := errors.CombineErrors(n.outbound.Wait(ctx), n.inbound.Wait(ctx)); err != nil {
		n.logger.Warn("drain_cut", "error", err)
	}
	timer := time.NewTimer(answerFlushTime)
	defer timer.Stop()
	select {
	case <-done:
		return
	case <-timer.C:
	}
	_ = srv.Close()
	<-done
}

// announceStatus announces a status to the other nodes. The inbound proxy
// refuses new calls anyway, so a lost announcement only costs callers a retry.
func (n *Node) announceStatus(ctx context.Context, status membership.Status, limit time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	if err := n.agent.SetStatus(ctx, status); err != nil {
		n.logger.Warn("announce_failed", "status", status, "error", err)
	}
}
