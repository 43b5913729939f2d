package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// listResult is the result of the list command: the documents in force and the
// latest refused changes.
type listResult struct {
	Position  profile.Position  `json:"position"`
	Documents []documentRow     `json:"documents"`
	Refused   []profile.Refusal `json:"refused"`
}

type documentRow struct {
	Document profile.Key     `json:"document"`
	Version  profile.Version `json:"version"`
	Author   string          `json:"author"`
	Time     time.Time       `json:"time"`
}

// maxListedRefusals bounds the refused changes in the table; JSON output has
// all of them.
const maxListedRefusals = 5

func (r listResult) writeText(w io.Writer) error {
	var rows []string
	for _, d := range r.Documents {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", d.Document, d.Version, d.Author, d.Time.Format(time.RFC3339)))
	}
	if err := writeTable(w, "DOCUMENT\tVERSION\tAUTHOR\tTIME", rows); err != nil || len(r.Refused) == 0 {
		return err
	}
	rows = nil
	for _, x := range r.Refused[max(0, len(r.Refused)-maxListedRefusals):] {
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%s", x.Position, x.Author, x.Time.Format(time.RFC3339), refusalReason(x)))
	}
	fmt.Fprintln(w)
	return writeTable(w, "REFUSED AT\tAUTHOR\tTIME\tREASON", rows)
}

// refusalReason returns the first finding and how many more there are.
func refusalReason(r profile.Refusal) string {
	if len(r.Findings) == 0 {
		return ""
	}
	text := r.Findings[0].String()
	if more := len(r.Findings) - 1; more > 0 {
		text += fmt.Sprintf(" (and %d more)", more)
	}
	return text
}

func (c *cli) newListCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "list", Short: "List the documents in force and the latest refused changes", Args: positionalArgs(cobra.NoArgs),
		RunE: c.runE(&f, func(cmd *cobra.Command, _ []string) (result, error) {
			s, err := c.newClient(&f).State(cmd.Context())
			if err != nil {
				return nil, err
			}
			r := listResult{Position: s.Position, Documents: []documentRow{}, Refused: append([]profile.Refusal{}, s.Refused...)}
			for _, e := range s.Sorted() {
				if !e.Retired {
					r.Documents = append(r.Documents, documentRow{Document: e.Key, Version: e.Version, Author: e.Author, Time: e.Time})
				}
			}
			return r, nil
		}),
	}
	f.add(cmd)
	return cmd
}

// showResult is the result of the show command: one version of a document.
type showResult struct {
	profile.Entry
}

// writeText writes the document in a form that can be saved, edited and passed
// to the revise command.
func (r showResult) writeText(w io.Writer) error {
	state := ""
	if r.Retired {
		state = ", retired"
	}
	fmt.Fprintf(w, "// %s version %s by %s at %s%s\n", r.Key, r.Version, r.Author, r.Time.Format(time.RFC3339), state)
	if r.Retired {
		return nil
	}
	var b bytes.Buffer
	if err := json.Indent(&b, r.Document, "", "  "); err != nil {
		return err
	}
	_, err := fmt.Fprintln(w, b.String())
	return err
}

func (c *cli) newShowCommand() *cobra.Command {
	var f logFlags
	var version string
	cmd := &cobra.Command{
		Use: "show NAME", Short: "Show a profile, or a selection as selection/SERVICE", Args: positionalArgs(cobra.ExactArgs(1)),
		ValidArgsFunction: c.completeNames(&f),
		RunE: c.runE(&f, func(cmd *cobra.Command, args []string) (result, error) {
			e, err := c.findEntry(cmd, &f, args[0], version)
			return showResult{e}, err
		}),
	}
	f.add(cmd)
	cmd.Flags().StringVar(&version, "version", "", "version to show, such as 1.4, if the log still holds it; the newest if empty")
	return cmd
}

// findEntry returns a version of a document, or the newest one if version is
// empty.
func (c *cli) findEntry(cmd *cobra.Command, f *logFlags, name, version string) (profile.Entry, error) {
	key, err := profile.ParseKey(name)
	if err != nil {
		return profile.Entry{}, usageError(err)
	}
	if version == "" {
		s, err := c.newClient(f).State(cmd.Context())
		if err != nil {
			return profile.Entry{}, err
		}
		e, ok := s.Entries[key]
		if !ok {
			return e, &operator.NotPublishedError{Key: key}
		}
		return e, nil
	}
	v, err := profile.ParseVersion(version)
	if err != nil {
		return profile.Entry{}, usageError(err)
	}
	return c.newClient(f).Version(cmd.Context(), key, v)
}

// historyResult is the result of the history command: the accepted versions and
// refused changes of a document, oldest first.
type historyResult struct {
	Document profile.Key      `json:"document"`
	Events   []operator.Event `json:"events"`
}

func (r historyResult) writeText(w io.Writer) error {
	var rows []string
	for _, e := range r.Events {
		rows = append(rows, eventRow(e))
	}
	return writeTable(w, "VERSION\tRESULT\tAUTHOR\tTIME\tDETAIL", rows)
}

func eventRow(e operator.Event) string {
	if x := e.Refused; x != nil {
		var findings []string
		for _, f := range x.Findings {
			findings = append(findings, f.String())
		}
		return fmt.Sprintf("-\trefused\t%s\t%s\t%s", x.Author, x.Time.Format(time.RFC3339), strings.Join(findings, "; "))
	}
	detail := "published"
	if e.Version.Retired {
		detail = "retired"
	}
	return fmt.Sprintf("%s\taccepted\t%s\t%s\t%s", e.Version.Version, e.Version.Author, e.Version.Time.Format(time.RFC3339), detail)
}

func (c *cli) newHistoryCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "history NAME", Short: "List accepted versions and refused changes of a document", Args: positionalArgs(cobra.ExactArgs(1)),
		Long:              "List accepted versions and refused changes of a document that the log still holds, oldest first.",
		ValidArgsFunction: c.completeNames(&f),
		RunE: c.runE(&f, func(cmd *cobra.Command, args []string) (result, error) {
			key, err := profile.ParseKey(args[0])
			if err != nil {
				return nil, usageError(err)
			}
			events, err := c.newClient(&f).History(cmd.Context(), key)
			if err == nil && len(events) == 0 {
				err = &operator.NotPublishedError{Key: key}
			}
			return historyResult{Document: key, Events: events}, err
		}),
	}
	f.add(cmd)
	return cmd
}
