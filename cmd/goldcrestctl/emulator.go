package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/platform/standin"
)

// newDevStoreCommand returns the command that runs a stand-in of the platform's
// store.
func newDevStoreCommand() *cobra.Command {
	var listen, config string
	var delay time.Duration
	cmd := &cobra.Command{
		Use: "store", Short: "Run a stand-in of the platform's store with a configuration", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			store := standin.NewStore()
			if config != "" {
				data, err := os.ReadFile(config)
				if err != nil {
					return errors.Wrap(err, "read configuration")
				}
				store.PutConfig(data)
			}
			store.SetFaults(standin.Faults{Delay: delay})
			srv := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: 10 * time.Second}
			serve := func(ctx context.Context, ln net.Listener) error {
				defer context.AfterFunc(ctx, func() { _ = srv.Close() })()
				return srv.Serve(ln)
			}
			return serveStandin(cmd, listen, serve, func(context.Context, string) error { return nil })
		},
	}
	cmd.Flags().StringVar(&listen, "listen", "127.0.0.1:7300", "address to listen on, ip:port")
	cmd.Flags().StringVar(&config, "config", "", "file with the operator's configuration, JSON in the platform's format")
	cmd.Flags().DurationVar(&delay, "delay", 0, "delay of each response")
	return cmd
}

// newDevServerCommand returns the command that runs a stand-in of a backend
// server that reports its state to its node.
func newDevServerCommand() *cobra.Command {
	cfg := standin.BackendConfig{Runs: standin.NewRunCounter()}
	var loseAnswers, slow int64
	cmd := &cobra.Command{
		Use: "server", Short: "Run a stand-in of a backend server that reports its state to its node", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if cfg.Address == "" {
				cfg.Address = cfg.ListenAddress
			}
			b, err := standin.StartBackend(cfg)
			if err != nil {
				return errors.Wrap(err, "start backend server")
			}
			defer b.Crash()
			b.LoseAnswers(loseAnswers)
			b.SetSlowFactor(slow)
			return awaitSignal(cmd, cfg.Address)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.ListenAddress, "listen", "127.0.0.1:7400", "address to listen on, ip:port")
	flags.StringVar(&cfg.Address, "address", "", "address to report, ip:port; the listen address if empty")
	flags.StringVar(&cfg.ReportAddress, "control", "127.0.0.1:7500", "address at which the node receives reports, ip:port")
	flags.StringVar(&cfg.Service, "service", "", "service that the backend server belongs to")
	flags.IntVar(&cfg.Slots, "slots", 18, "maximum number of concurrent calls")
	flags.DurationVar(&cfg.ServiceTime, "work", 5*time.Millisecond, "service time of a call")
	flags.DurationVar(&cfg.ReportInterval, "every", time.Second, "interval between reports")
	flags.Int64Var(&loseAnswers, "lose-answers", 0, "number of responses to drop after their calls have run")
	flags.Int64Var(&slow, "slow", 1, "factor by which calls take longer")
	return cmd
}
