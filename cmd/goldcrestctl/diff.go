package main

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// diffResult is the result of the diff command.
type diffResult struct {
	Diffs []documentDiff `json:"diffs"`
}

type documentDiff struct {
	Document profile.Key `json:"document"`
	Differs  bool        `json:"differs"`
	Diff     string      `json:"diff"`
}

func newDocumentDiff(key profile.Key, fromLabel, toLabel string, from, to []byte) documentDiff {
	return documentDiff{Document: key, Differs: string(from) != string(to), Diff: operator.Diff(fromLabel, toLabel, from, to)}
}

func (r diffResult) writeText(w io.Writer) error {
	for _, d := range r.Diffs {
		if _, err := fmt.Fprintf(w, "%s\n%s", d.Document, d.Diff); err != nil {
			return err
		}
	}
	return nil
}

const diffHelp = `Show the differences between two versions of a document that the log still holds, or between files and the
documents in force.`

func (c *cli) newDiffCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "diff NAME V1 V2 | diff FILE...", Short: "Show the differences between two versions, or between files and the documents in force", Long: diffHelp, Args: positionalArgs(cobra.MinimumNArgs(1)),
		RunE: c.runE(&f, func(cmd *cobra.Command, args []string) (result, error) {
			if len(args) == 3 && isVersion(args[1]) && isVersion(args[2]) {
				return c.diffVersions(cmd, &f, args[0], args[1], args[2])
			}
			return c.diffFiles(cmd, &f, args)
		}),
	}
	f.add(cmd)
	return cmd
}

func isVersion(text string) bool {
	_, err := profile.ParseVersion(text)
	return err == nil
}

func (c *cli) diffVersions(cmd *cobra.Command, f *logFlags, name, v1, v2 string) (result, error) {
	from, err := c.findEntry(cmd, f, name, v1)
	if err != nil {
		return nil, err
	}
	to, err := c.findEntry(cmd, f, name, v2)
	if err != nil {
		return nil, err
	}
	return diffResult{Diffs: []documentDiff{newDocumentDiff(from.Key, entryLabel(from), entryLabel(to), from.Document, to.Document)}}, nil
}

func (c *cli) diffFiles(cmd *cobra.Command, f *logFlags, paths []string) (result, error) {
	set, err := readDocuments(paths)
	if err != nil {
		return nil, err
	}
	s, err := c.newClient(f).State(cmd.Context())
	if err != nil {
		return nil, err
	}
	r := diffResult{Diffs: []documentDiff{}}
	for _, d := range set.docs {
		current, live := s.Live(d.Key())
		label := "not in force"
		if live {
			label = entryLabel(current)
		}
		r.Diffs = append(r.Diffs, newDocumentDiff(d.Key(), label, set.files[d.Key()], current.Document, d.Canonical()))
	}
	return r, nil
}

func entryLabel(e profile.Entry) string { return fmt.Sprintf("version %s by %s", e.Version, e.Author) }
