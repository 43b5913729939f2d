package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
)

// outputFlag is the output format of a command.
type outputFlag string

// Output formats.
const (
	outputTable outputFlag = "table"
	outputJSON  outputFlag = "json"
)

// String implements pflag.Value.
func (o *outputFlag) String() string { return string(*o) }

// Type implements pflag.Value.
func (o *outputFlag) Type() string { return "table|json" }

// Set implements pflag.Value.
func (o *outputFlag) Set(text string) error {
	if text != string(outputTable) && text != string(outputJSON) {
		return errors.New("want table or json")
	}
	*o = outputFlag(text)
	return nil
}

func (o *outputFlag) add(cmd *cobra.Command) {
	*o = outputTable
	cmd.Flags().VarP(o, "output", "o", "output format")
	_ = cmd.RegisterFlagCompletionFunc("output", cobra.FixedCompletions([]string{string(outputTable), string(outputJSON)}, cobra.ShellCompDirectiveNoFileComp))
}

// result is the output of a command, printed as JSON or as text.
type result interface {
	writeText(w io.Writer) error
}

// print writes the result. With JSON output it also writes an error, which
// execute prints as text in any case.
func (o outputFlag) print(w io.Writer, r result, err error) error {
	switch {
	case o == outputJSON && err != nil:
		return errors.CombineErrors(err, writeJSON(w, newFailure(err)))
	case err != nil:
		return err
	case o == outputJSON:
		return writeJSON(w, r)
	}
	return r.writeText(w)
}

func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// failure is the JSON form of an error.
type failure struct {
	Error    string                  `json:"error"`
	ExitCode int                     `json:"exitCode"`
	Findings finding.List            `json:"findings,omitempty"`
	Losses   []operator.EditConflict `json:"losses,omitempty"`
}

func newFailure(err error) failure {
	f := failure{Error: err.Error(), ExitCode: exitCode(err)}
	var conflict *operator.ConflictError
	var refused *operator.RefusedError
	switch {
	case errors.As(err, &conflict):
		f.Findings, f.Losses = conflict.Findings, conflict.Conflicts
	case errors.As(err, &refused):
		f.Findings = refused.Findings
	default:
		errors.As(err, &f.Findings)
	}
	return f
}

// writeTable writes rows under a header, in aligned columns.
func writeTable(w io.Writer, header string, rows []string) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, header)
	for _, r := range rows {
		fmt.Fprintln(tw, r)
	}
	return tw.Flush()
}
