// Command goldcrestctl is the operators' command-line tool.
package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

func main() {
	c := &cli{
		now: time.Now, newID: uuid.NewString,
		openLog: func(address string) platformlog.Log { return platformlog.NewClient(address, nil) },
		notifyContext: func(ctx context.Context) (context.Context, context.CancelFunc) {
			return signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
		},
	}
	os.Exit(c.execute(os.Args[1:], os.Stdout, os.Stderr))
}

// cli holds the external dependencies of the commands, which tests replace.
type cli struct {
	now     func() time.Time
	newID   func() string
	openLog func(address string) platformlog.Log
	// notifyContext returns a context that is cancelled by SIGINT or SIGTERM, so
	// that a command waiting for the log still reports its outcome.
	notifyContext func(context.Context) (context.Context, context.CancelFunc)
}

// execute runs one command line and returns its exit code.
func (c *cli) execute(args []string, stdout, stderr io.Writer) int {
	root := c.command()
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, err)
	return exitCode(err)
}

const rootHelp = `Publish, revise and retire profiles, and monitor the nodes.

Exit codes:
  0  done
  1  failed; no change was sent to the log
  2  bad input: flags, names, or documents with findings
  3  edit conflict; another change was accepted first, and the message names
     its author and shows the difference
  4  outcome unknown; the change was sent, but its record could not be read back`

// command returns the whole command tree.
func (c *cli) command() *cobra.Command {
	root := &cobra.Command{
		Use: "goldcrestctl", Short: "Publish, revise and retire profiles, and monitor the nodes", Long: rootHelp,
		SilenceErrors: true, SilenceUsage: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if len(args) > 0 {
				return usageError(errors.Newf("unknown command %q for %q", args[0], cmd.CommandPath()))
			}
			return cmd.Help()
		},
		Args: cobra.ArbitraryArgs,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError(err) })
	root.AddCommand(
		c.newInitCommand(), c.newPublishCommand(), c.newReviseCommand(), c.newRetireCommand(),
		c.newListCommand(), c.newShowCommand(), c.newDiffCommand(), c.newHistoryCommand(),
		c.newCheckCommand(), c.newVersionCommand(),
		newStatusCommand(), newWatchCommand(), newDumpCommand(), newDrainCommand(), newQuarantineCommand(), newRouteCommand(),
		newExplainCommand(), newDevCommand(), newDemoCommand(),
	)
	return root
}
