package main

import (
	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

// Exit codes, documented in rootHelp.
const (
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
	exitUnknown  = 4
)

// errUsage marks errors in flags and arguments.
var errUsage = errors.New("bad usage")

func usageError(err error) error { return errors.Mark(err, errUsage) }

// positionalArgs marks the errors of check as usage errors.
func positionalArgs(check cobra.PositionalArgs) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if err := check(cmd, args); err != nil {
			return usageError(err)
		}
		return nil
	}
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var conflict *operator.ConflictError
	var refused *operator.RefusedError
	var missing *operator.NotPublishedError
	var large *operator.TooLargeError
	var findings finding.List
	switch {
	case errors.As(err, &conflict):
		return exitConflict
	case errors.As(err, &refused), errors.As(err, &missing), errors.As(err, &large), errors.As(err, &findings), errors.Is(err, errUsage):
		return exitBadInput
	case errors.Is(err, platformlog.ErrUnknown):
		return exitUnknown
	}
	return exitFailed
}
