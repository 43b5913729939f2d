package standin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// Listen opens a listener on an address. A Backend calls it to listen again after a
// crash.
type Listen func(address string) (net.Listener, error)

// ListenTCP listens on a TCP address.
func ListenTCP(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Serve answers calls on ln until the context ends. A crash closes the listener
// and all connections; after BackendFaults.CrashForMs the server listens again
// on the address of ln and starts cold.
func (b *Backend) Serve(ctx context.Context, ln net.Listener, listen Listen) error {
	address := ln.Addr().String()
	for {
		if err := b.serveOnce(ctx, ln); ctx.Err() != nil {
			return nil
		} else if !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve emulated backend server")
		}
		if !b.awaitRestart(ctx) {
			return nil
		}
		var err error
		if ln, err = listen(address); err != nil {
			return errors.Wrap(err, "listen again after a crash")
		}
	}
}

// serveOnce serves until a crash or the end of the context.
func (b *Backend) serveOnce(ctx context.Context, ln net.Listener) error {
	srv := &http.Server{Handler: b.Handler(), ReadHeaderTimeout: 10 * time.Second, Protocols: &http.Protocols{}}
	srv.Protocols.SetHTTP1(true)
	srv.Protocols.SetUnencryptedHTTP2(true)
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	b.setCloseServer(func() { _ = srv.Close() })
	defer b.setCloseServer(nil)
	return srv.Serve(ln)
}

func (b *Backend) setCloseServer(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closeServer = f
}

// awaitRestart waits for the end of the downtime after a crash. It reports false
// when the context ended before.
func (b *Backend) awaitRestart(ctx context.Context) bool {
	t := time.NewTimer(time.Duration(b.currentFaults().CrashForMs) * time.Millisecond)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startColdLocked()
	return true
}
