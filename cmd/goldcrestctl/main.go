// Command goldcrestctl is the operators' command line.
package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
	exitUnknown  = 4
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var refused *operator.RefusedError
	var found finding.List
	switch {
	case errors.As(err, &refused) && refused.Conflict:
		return exitConflict
	case errors.As(err, &refused), errors.As(err, &found):
		return exitBadInput
	case errors.Is(err, platformlog.ErrUnknown):
		return exitUnknown
	}
	return exitFailed
}

func newCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "goldcrestctl", Short: "Publish, revise and retire profiles, and watch the nodes",
		SilenceErrors: true, SilenceUsage: true,
	}
	root.AddCommand(newInitCommand(), newPublishCommand(), newRetireCommand(), newListCommand(), newCheckCommand(), newDevCommand(), newDemoCommand(),
		newStatusCommand(), newWatchCommand(), newDumpCommand(), newDrainCommand())
	return root
}
