package main

import (
	"fmt"
	"os"
	"os/user"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// logFlags are the flags of commands that use the log.
type logFlags struct {
	address string
	author  string
}

func (f *logFlags) add(cmd *cobra.Command) {
	cmd.Flags().StringVar(&f.address, "log", "127.0.0.1:7100", "address of the log service, ip:port")
	cmd.Flags().StringVar(&f.author, "author", defaultAuthor(), "name that changes are signed with")
}

func defaultAuthor() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

func (f *logFlags) client() *operator.Client {
	return operator.NewClient(platformlog.NewClient(f.address, nil), f.author, time.Now)
}

func newInitCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "init", Short: "Start an empty configuration on an empty log", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return f.client().Init(cmd.Context()) },
	}
	f.add(cmd)
	return cmd
}

func newPublishCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "publish FILE...", Short: "Publish or revise the documents of files, all or none", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			docs, err := readFiles(files)
			if err != nil {
				return err
			}
			c := f.client()
			s, err := c.State(cmd.Context())
			if err != nil {
				return err
			}
			edits := operator.PublishEdits(s, docs)
			if len(edits) == 0 {
				fmt.Fprintln(cmd.OutOrStdout(), "nothing to do")
				return nil
			}
			return submit(cmd, c, edits)
		},
	}
	f.add(cmd)
	return cmd
}

func submit(cmd *cobra.Command, c *operator.Client, edits []profile.Edit) error {
	s, err := c.Submit(cmd.Context(), edits)
	if err != nil {
		return err
	}
	for _, e := range edits {
		fmt.Fprintf(cmd.OutOrStdout(), "%s %s version %s\n", e.Op, e.Key, s.Entries[e.Key].Version)
	}
	return nil
}

func readFiles(files []string) ([]profile.Document, error) {
	var docs []profile.Document
	var found finding.List
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read documents")
		}
		d, bad := profile.ParseFile(file, data)
		docs = append(docs, d...)
		found = append(found, bad...)
	}
	return docs, found.Err()
}

func newRetireCommand() *cobra.Command {
	var f logFlags
	var selections bool
	cmd := &cobra.Command{
		Use: "retire NAME", Short: "Retire a profile", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c := f.client()
			s, err := c.State(cmd.Context())
			if err != nil {
				return err
			}
			edits, err := operator.RetireEdits(s, args[0], selections)
			if err != nil {
				return err
			}
			return submit(cmd, c, edits)
		},
	}
	f.add(cmd)
	cmd.Flags().BoolVar(&selections, "selections", false, "also retire the selections that name the profile")
	return cmd
}

func newListCommand() *cobra.Command {
	var f logFlags
	cmd := &cobra.Command{
		Use: "list", Short: "List the documents in force", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := f.client().State(cmd.Context())
			if err != nil {
				return err
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 4, 2, ' ', 0)
			fmt.Fprintln(w, "DOCUMENT\tVERSION\tAUTHOR\tTIME")
			for _, e := range s.Sorted() {
				if !e.Retired {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", e.Key, e.Version, e.Author, e.Time.Format(time.RFC3339))
				}
			}
			return w.Flush()
		},
	}
	f.add(cmd)
	return cmd
}

func newCheckCommand() *cobra.Command {
	return &cobra.Command{
		Use: "check FILE...", Short: "Check documents without a log", Args: cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			_, err := readFiles(files)
			return err
		},
	}
}
