package main

import (
	"os/user"
	"time"

	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// logFlags holds the flags of commands that use the log.
type logFlags struct {
	output  outputFlag
	address string
	author  string
	wait    time.Duration
}

func (f *logFlags) add(cmd *cobra.Command) {
	f.output.add(cmd)
	cmd.Flags().StringVar(&f.address, "log", "127.0.0.1:7100", "address of the log service, ip:port")
	cmd.Flags().DurationVar(&f.wait, "wait", 0, "how long to retry while the log is unavailable; 0 fails immediately")
}

// addAuthor adds the flag of commands that append to the log.
func (f *logFlags) addAuthor(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "author recorded with the changes")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (c *cli) newClient(f *logFlags) *operator.Client {
	return operator.NewClient(c.openLog(f.address), f.author, c.now, operator.WithRetryTime(f.wait), operator.WithIDs(c.newID))
}

// runE returns the RunE function of a command that prints the result of run.
func (c *cli) runE(f *logFlags, run func(cmd *cobra.Command, args []string) (result, error)) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		ctx, stop := c.notifyContext(cmd.Context())
		defer stop()
		cmd.SetContext(ctx)
		r, err := run(cmd, args)
		return f.output.print(cmd.OutOrStdout(), r, err)
	}
}

// completeNames completes the first argument with the names of documents in the
// log.
func (c *cli) completeNames(f *logFlags) cobra.CompletionFunc {
	return func(cmd *cobra.Command, args []string, _ string) ([]cobra.Completion, cobra.ShellCompDirective) {
		if len(args) > 0 {
			return nil, cobra.ShellCompDirectiveNoFileComp
		}
		s, err := c.newClient(f).State(cmd.Context())
		if err != nil {
			return nil, cobra.ShellCompDirectiveError
		}
		var names []cobra.Completion
		for _, e := range s.Sorted() {
			if e.Key.Kind == profile.KindProfile {
				names = append(names, e.Key.Name)
				continue
			}
			names = append(names, e.Key.String())
		}
		return names, cobra.ShellCompDirectiveNoFileComp
	}
}
