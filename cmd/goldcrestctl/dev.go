package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

func newDevCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "dev", Short: "Run stand-ins of platform components and send test calls"}
	cmd.AddCommand(newDevLogCommand(), newDevBackendCommand(), newDevStoreCommand(), newDevServerCommand(), newDevLoadCommand())
	return cmd
}

func newDevLogCommand() *cobra.Command {
	var listen string
	var retention time.Duration
	cmd := &cobra.Command{
		Use: "log", Short: "Run a stand-in of the platform's log with an empty configuration", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			srv := &http.Server{Handler: standin.NewLog(retention, time.Now).Handler(), ReadHeaderTimeout: 10 * time.Second}
			serve := func(ctx context.Context, ln net.Listener) error {
				defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
				return srv.Serve(ln)
			}
			return serveStandin(cmd, listen, serve, func(ctx context.Context, address string) error {
				return operator.NewClient(platformlog.NewClient(address, nil), "dev", time.Now).Init(ctx)
			})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7100", "address to listen on, ip:port")
	cmd.Flags().DurationVar(&retention, "retention", time.Hour, "how long records are kept")
	return cmd
}

func newDevBackendCommand() *cobra.Command {
	var listen, service string
	var slots int
	var serviceTime time.Duration
	cmd := &cobra.Command{
		Use: "backend", Short: "Run a stand-in of a backend server", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := standin.NewBackend(service+"@"+listen, slots, serviceTime)
			serve := func(ctx context.Context, ln net.Listener) error { return b.Serve(ctx, ln, standin.ListenTCP) }
			return serveStandin(cmd, listen, serve, func(context.Context, string) error { return nil })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7200", "address to listen on, ip:port")
	cmd.Flags().StringVar(&service, "service", "", "service that the backend server belongs to")
	cmd.Flags().IntVar(&slots, "slots", 18, "maximum number of concurrent calls")
	cmd.Flags().DurationVar(&serviceTime, "service-time", 5*time.Millisecond, "service time of a call")
	return cmd
}

// awaitSignal prints the address that a stand-in listens on and waits for SIGINT or
// SIGTERM.
func awaitSignal(cmd *cobra.Command, address string) error {
	ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if _, err := fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", address); err != nil {
		return errors.Wrap(err, "write address")
	}
	<-ctx.Done()
	return nil
}

// serveStandin serves until SIGINT or SIGTERM. It prints the address once setUp
// has succeeded against it.
func serveStandin(cmd *cobra.Command, listen string, serve func(context.Context, net.Listener) error, setUp func(ctx context.Context, address string) error) error {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	ctx, cancel := context.WithCancel(cmd.Context())
	defer cancel()
	var g run.Group
	g.Add(func() error { return serve(ctx, ln) }, func(error) { cancel() })
	g.Add(func() error {
		if err := setUp(ctx, ln.Addr().String()); err != nil {
			return err
		}
		fmt.Fprintf(cmd.OutOrStdout(), "listening on %s\n", ln.Addr())
		<-ctx.Done()
		return nil
	}, func(error) { cancel() })
	g.Add(run.SignalHandler(ctx, syscall.SIGTERM, syscall.SIGINT))
	err = g.Run()
	if errors.Is(err, run.ErrSignal) {
		return nil
	}
	return err
}
