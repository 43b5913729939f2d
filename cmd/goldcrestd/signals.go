package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/node"
)

// errStopped reports that a second signal stopped the node before its drain was
// complete.
var errStopped = errors.New("stopped by a second signal")

// processSignals holds the signals to the process that were not handled yet.
type processSignals struct {
	stop   chan os.Signal // SIGTERM or SIGINT; the second one counts too
	reload chan os.Signal // SIGHUP
	dump   chan os.Signal // SIGUSR1
}

// notifySignals registers for all signals at once. A signal for which the process
// has not registered ends it, so this comes before the settings are read.
func notifySignals() processSignals {
	s := processSignals{stop: make(chan os.Signal, 2), reload: make(chan os.Signal, 1), dump: make(chan os.Signal, 1)}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.dump, syscall.SIGUSR1)
	return s
}

// stopRequested reports whether the process was told to stop before its node runs.
func (s processSignals) stopRequested() bool { return len(s.stop) > 0 }

// stopOnSignal drains the node at the first signal to stop and stops it at the
// second.
func stopOnSignal(ctx context.Context, signals <-chan os.Signal, n *node.Node) error {
	for _, action := range []func() error{
		func() error { n.Drain(); return nil },
		func() error { return errStopped },
	} {
		select {
		case <-signals:
		case <-ctx.Done():
			return nil
		}
		if err := action(); err != nil {
			return err
		}
	}
	return nil
}

// dumpOnSignal writes the state dump to standard error at every signal.
func dumpOnSignal(ctx context.Context, signals <-chan os.Signal, n *node.Node) error {
	for {
		select {
		case <-signals:
			_ = n.WriteDump(os.Stderr)
		case <-ctx.Done():
			return nil
		}
	}
}
