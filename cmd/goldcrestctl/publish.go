package main

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// changeResult lists the versions that a change created and the position after it,
// which the watch command can wait for.
type changeResult struct {
	Changes  []changeRow       `json:"changes"`
	Position *profile.Position `json:"position,omitempty"`
}

type changeRow struct {
	Op       profile.Op      `json:"op"`
	Document profile.Key     `json:"document"`
	Version  profile.Version `json:"version"`
}

func (r changeResult) writeText(w io.Writer) error {
	if len(r.Changes) == 0 {
		_, err := fmt.Fprintln(w, "nothing to do")
		return err
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(w, "%s %s version %s\n", c.Op, c.Document, c.Version); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "position %s\n", r.Position)
	return err
}

// submitChange reads the newest state, derives the edits from it with plan and
// submits them as one change. Without edits it submits nothing.
func submitChange(ctx context.Context, client *operator.Client, plan func(profile.State) ([]profile.Edit, error)) (result, error) {
	before, err := client.State(ctx)
	if err != nil {
		return nil, err
	}
	edits, err := plan(before)
	if err != nil {
		return nil, err
	}
	r := changeResult{Changes: []changeRow{}}
	if len(edits) == 0 {
		return r, nil
	}
	s, err := client.Submit(ctx, edits)
	if err != nil {
		return nil, err
	}
	r.Position = &s.Position
	for _, e := range edits {
		r.Changes = append(r.Changes, changeRow{Op: e.Op, Document: e.Key, Version: s.Entries[e.Key].Version})
	}
	return r, nil
}

// initResult is the result of the init command.
type initResult struct {
	Initialised bool `json:"initialised"`
}

func (initResult) writeText(w io.Writer) error {
	_, err := fmt.Fprintln(w, "the configuration is started, without documents")
	return err
}

func (c *cli) newInitCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "init", Short: "Create an empty configuration in an empty log", Args: positionalArgs(cobra.NoArgs),
		Long: `Create an empty configuration in an empty log. Run this once per system: after a log was lost or restarted, the
nodes write their configuration into the new one, and init must not be run again.`,
		RunE: c.runE(&f, func(cmd *cobra.Command, _ []string) (result, error) {
			return initResult{Initialised: true}, c.newClient(&f).Init(cmd.Context())
		}),
	}
	f.add(cmd)
	f.addAuthor(cmd)
	return cmd
}

const publishHelp = `Publish the documents of files and folders as one atomic change.

A folder holds the complete set of desired documents, in files ending in .json, .jsonc or .hujson. Only documents
that differ from those in force are sent, so the command can be repeated at any time. With --prune, documents in
force that are not in the folders are retired in the same change.`

func (c *cli) newPublishCommand() *cobra.Command {
	var f logFlags
	var prune bool
	cmd := &cobra.Command{
		Use: "publish FILE...|DIR...", Short: "Publish or revise documents in one atomic change", Long: publishHelp, Args: positionalArgs(cobra.MinimumNArgs(1)),
		RunE: c.runE(&f, func(cmd *cobra.Command, paths []string) (result, error) {
			set, err := readDocuments(paths)
			if err != nil {
				return nil, err
			}
			if prune && !set.onlyFolders {
				return nil, usageError(errors.New("--prune needs folders, since a file does not hold the whole set"))
			}
			return submitChange(cmd.Context(), c.newClient(&f), func(s profile.State) ([]profile.Edit, error) {
				edits := operator.PublishEdits(s, set.docs)
				if prune {
					edits = append(edits, operator.PruneEdits(s, set.docs)...)
				}
				return edits, nil
			})
		}),
	}
	f.add(cmd)
	f.addAuthor(cmd)
	cmd.Flags().BoolVar(&prune, "prune", false, "retire documents in force that are not in the folders")
	return cmd
}

const reviseHelp = `Revise documents that are in force, as one change.

With --base the change applies to that version, such as the one that the show command printed. If another version has been
published since, the change is refused as an edit conflict (exit code 3).`

func (c *cli) newReviseCommand() *cobra.Command {
	var f logFlags
	var base string
	cmd := &cobra.Command{
		Use: "revise FILE...", Short: "Revise documents that are in force", Long: reviseHelp, Args: positionalArgs(cobra.MinimumNArgs(1)),
		RunE: c.runE(&f, func(cmd *cobra.Command, paths []string) (result, error) {
			set, err := readDocuments(paths)
			if err != nil {
				return nil, err
			}
			version, err := parseBase(base, len(set.docs))
			if err != nil {
				return nil, usageError(err)
			}
			return submitChange(cmd.Context(), c.newClient(&f), func(s profile.State) ([]profile.Edit, error) {
				return operator.ReviseEdits(s, set.docs, version)
			})
		}),
	}
	f.add(cmd)
	f.addAuthor(cmd)
	cmd.Flags().StringVar(&base, "base", "", "version that the document revises, such as 1.4; the newest if empty")
	return cmd
}

func parseBase(text string, documents int) (*profile.Version, error) {
	if text == "" {
		return nil, nil
	}
	if documents != 1 {
		return nil, errors.Newf("--base is for one document, the files hold %d", documents)
	}
	v, err := profile.ParseVersion(text)
	return &v, err
}

func (c *cli) newRetireCommand() *cobra.Command {
	var f logFlags
	var selections bool
	cmd := &cobra.Command{
		Use: "retire NAME", Short: "Retire a profile, or a selection as selection/SERVICE", Args: positionalArgs(cobra.ExactArgs(1)),
		ValidArgsFunction: c.completeNames(&f),
		RunE: c.runE(&f, func(cmd *cobra.Command, args []string) (result, error) {
			key, err := profile.ParseKey(args[0])
			if err != nil {
				return nil, usageError(err)
			}
			return submitChange(cmd.Context(), c.newClient(&f), func(s profile.State) ([]profile.Edit, error) {
				return operator.RetireEdits(s, key, selections)
			})
		}),
	}
	f.add(cmd)
	f.addAuthor(cmd)
	cmd.Flags().BoolVar(&selections, "selections", false, "also retire the selections that name the profile")
	return cmd
}
