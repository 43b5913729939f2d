package main

import (
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/demo"
)

func newDemoCommand() *cobra.Command {
	var stay bool
	cmd := &cobra.Command{
		Use: "demo", Short: "Run a complete system in this process and demonstrate it", Args: positionalArgs(cobra.NoArgs),
		Long: "Run a log, three backend servers and their nodes on free loopback ports, publish a profile, send calls, stop\n" +
			"a backend server, and exit with code 0 if every step succeeded, else with 1.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return demo.Run(ctx, cmd.OutOrStdout(), stay)
		},
	}
	cmd.Flags().BoolVar(&stay, "stay", false, "keep the system running and print its addresses")
	return cmd
}
