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
		Use: "demo", Short: "Run a whole system in this process and show what it does", Args: usage(cobra.NoArgs),
		Long: "Demo runs a log, three backend servers and their nodes on free loopback ports, publishes a profile, sends\n" +
			"calls, kills a backend server and ends by itself. It exits with 0 when every step held, else with 1.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return demo.Run(ctx, cmd.OutOrStdout(), stay)
		},
	}
	cmd.Flags().BoolVar(&stay, "stay", false, "keep the system up and print its addresses")
	return cmd
}
