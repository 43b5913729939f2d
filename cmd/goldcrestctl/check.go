package main

import (
	"fmt"
	"io"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// checkResult is the result of the check command: the number of documents, none of
// which has findings.
type checkResult struct {
	Documents int `json:"documents"`
}

func (r checkResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%d documents without findings\n", r.Documents)
	return err
}

func (c *cli) newCheckCommand() *cobra.Command {
	var output outputFlag
	cmd := &cobra.Command{
		Use: "check FILE...|DIR...", Short: "Check documents without using the log", Args: positionalArgs(cobra.MinimumNArgs(1)),
		Long: `Check documents without using the log, and report the findings that publish would report. Whether a selection
names a profile that is in force cannot be checked without the log.`,
		RunE: func(cmd *cobra.Command, paths []string) error {
			set, err := readDocuments(paths)
			return output.print(cmd.OutOrStdout(), checkResult{Documents: len(set.docs)}, err)
		},
	}
	output.add(cmd)
	return cmd
}

// versionResult is the result of the version command.
type versionResult struct {
	Version string `json:"version"`
	Schema  int    `json:"schema"` // newest schema version of documents and records that the build reads
	Go      string `json:"go"`
}

func (r versionResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintf(w, "goldcrestctl %s, schema %d, %s\n", r.Version, r.Schema, r.Go)
	return err
}

func (c *cli) newVersionCommand() *cobra.Command {
	var output outputFlag
	cmd := &cobra.Command{
		Use: "version", Short: "Print the build version and the schema version", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			r := versionResult{Version: "unknown", Schema: profile.SchemaVersion, Go: runtime.Version()}
			if info, ok := debug.ReadBuildInfo(); ok {
				r.Version = info.Main.Version
			}
			return output.print(cmd.OutOrStdout(), r, nil)
		},
	}
	output.add(cmd)
	return cmd
}
