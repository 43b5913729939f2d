package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
)

func newQuarantineCommand() *cobra.Command {
	var address string
	var output outputFlag
	cmd := &cobra.Command{
		Use: "quarantine --node ADDRESS", Short: "List the requests suspected of crashing backend servers", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			body, err := requestNode(cmd.Context(), http.MethodGet, address, "/v1/quarantine")
			if err != nil {
				return err
			}
			var list quarantineList
			if err := json.Unmarshal(body, &list.QuarantineResponse); err != nil {
				return errors.Wrap(err, "decode quarantine list")
			}
			return output.print(cmd.OutOrStdout(), list, nil)
		},
	}
	cmd.PersistentFlags().StringVar(&address, "node", "", "admin address of any node, ip:port")
	output.add(cmd)
	cmd.AddCommand(newLiftCommand(&address))
	return cmd
}

func newLiftCommand(address *string) *cobra.Command {
	return &cobra.Command{
		Use: "lift FINGERPRINT", Short: "Lift the quarantine of a request on every node", Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			fp, err := quarantine.ParseFingerprint(args[0])
			if err != nil {
				return usageError(err)
			}
			_, err = requestNode(cmd.Context(), http.MethodPost, *address, "/v1/quarantine/"+fp.String()+"/lift")
			return err
		},
	}
}

// quarantineList is the result of the quarantine command.
type quarantineList struct {
	node.QuarantineResponse
}

func (l quarantineList) writeText(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "FINGERPRINT\tSTATE\tCRASHES\tLAST CRASH")
	for _, r := range l.Requests {
		last := ""
		if len(r.Crashes) > 0 {
			last = r.Crashes[0].Server + " at " + time.Unix(0, r.Crashes[0].At).UTC().Format(time.RFC3339)
		}
		fmt.Fprintf(tw, "%s\t%s\t%d\t%s\n", r.Fingerprint, r.State, len(r.Crashes), last)
	}
	return tw.Flush()
}
