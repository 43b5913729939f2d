package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

const (
	// askLimit bounds one request to a node; a status waits for the slowest
	// failure domain.
	askLimit = 15 * time.Second
	// watchEvery is the time between two status requests of watch. Each one
	// costs the system one message to every node.
	watchEvery = 500 * time.Millisecond
)

func newStatusCommand() *cobra.Command {
	var node string
	var output outputFlag
	cmd := &cobra.Command{
		Use: "status --node ADDRESS", Short: "Show what every node holds", Args: usage(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := fetchRows(cmd.Context(), node)
			if err != nil {
				return err
			}
			return output.print(cmd.OutOrStdout(), statusRows(rows), nil)
		},
	}
	addNodeFlag(cmd, &node)
	output.add(cmd)
	return cmd
}

// statusRows is the result of status.
type statusRows []peer.StatusRow

func (r statusRows) writeText(w io.Writer) error { return printRows(w, r) }

func addNodeFlag(cmd *cobra.Command, node *string) {
	cmd.Flags().StringVar(node, "node", "", "admin address of any node, ip:port")
}

func newWatchCommand() *cobra.Command {
	var node, position string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use: "watch --node ADDRESS", Short: "Wait until every node holds a position", Args: usage(cobra.NoArgs),
		Long: "Watch shows how many nodes hold the position wanted and ends when all do. Without --position it waits for\n" +
			"the highest position of the first answer. At the timeout it names the missing nodes and exits with 1.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := watch{node: node, out: cmd.OutOrStdout()}
			if position != "" {
				p, err := parsePosition(position)
				if err != nil {
					return usageError(err)
				}
				w.want = &p
			}
			ctx, cancel := context.WithTimeout(cmd.Context(), timeout)
			defer cancel()
			return w.run(ctx)
		},
	}
	addNodeFlag(cmd, &node)
	cmd.Flags().StringVar(&position, "position", "", "position to wait for, era@offset")
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "longest time to wait")
	return cmd
}

func parsePosition(text string) (profile.Position, error) {
	var p profile.Position
	if _, err := fmt.Sscanf(text, "%d@%d", &p.Epoch, &p.Offset); err != nil || p.String() != text {
		return p, errors.Newf("%q is not a position; want era@offset, such as 1@42", text)
	}
	return p, nil
}

// watch waits for all nodes to reach a position.
type watch struct {
	node string
	out  io.Writer
	want *profile.Position // nil until the first answer when not given
	last string            // last line printed
}

// missingError names the nodes that did not reach the position in time.
type missingError struct {
	want  string
	nodes []string
}

// Error implements error.
func (e *missingError) Error() string {
	return fmt.Sprintf("position %s is missing on %d nodes: %s", e.want, len(e.nodes), strings.Join(e.nodes, ", "))
}

func (w *watch) run(ctx context.Context) error {
	tick := time.NewTicker(watchEvery)
	defer tick.Stop()
	var missing []string
	var failure error
	for {
		rows, err := fetchRows(ctx, w.node)
		if err == nil {
			missing = w.progress(rows)
			if len(missing) == 0 && w.want != nil {
				return nil
			}
		}
		if ctx.Err() == nil {
			failure = err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return w.timedOut(missing, failure)
		}
	}
}

func (w *watch) timedOut(missing []string, failure error) error {
	if w.want == nil {
		return errors.CombineErrors(errors.New("no node told a position in time"), failure)
	}
	return &missingError{want: w.want.String(), nodes: missing}
}

// progress prints the progress when it changed and returns the nodes that
// have not reached the position.
func (w *watch) progress(rows []peer.StatusRow) []string {
	if w.want == nil {
		w.want = highest(rows)
	}
	if w.want == nil {
		return nil
	}
	var missing []string
	for _, r := range rows {
		if r.Position == nil || r.Position.Compare(*w.want) < 0 {
			missing = append(missing, missingName(r))
		}
	}
	line := fmt.Sprintf("%d of %d nodes hold %s", len(rows)-len(missing), len(rows), w.want)
	if line != w.last {
		fmt.Fprintln(w.out, line)
		w.last = line
	}
	return missing
}

func missingName(r peer.StatusRow) string {
	if r.Error != "" {
		return r.ID + " (" + r.Error + ")"
	}
	return r.ID
}

func highest(rows []peer.StatusRow) *profile.Position {
	var out *profile.Position
	for _, r := range rows {
		if r.Position != nil && (out == nil || r.Position.Compare(*out) > 0) {
			out = r.Position
		}
	}
	return out
}

func newDumpCommand() *cobra.Command {
	return &cobra.Command{
		Use: "dump ADDRESS", Short: "Print the state of a node's parts", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := ask(cmd.Context(), http.MethodGet, args[0], "/dump")
			if err != nil {
				return err
			}
			_, err = cmd.OutOrStdout().Write(body)
			return err
		},
	}
}

func newDrainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "drain ADDRESS", Short: "Let a node finish its calls and leave", Args: usage(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := ask(cmd.Context(), http.MethodPost, args[0], "/v1/drain")
			return err
		},
	}
}

// ask sends a request to a node's admin address and returns the body.
func ask(ctx context.Context, method, address, path string) ([]byte, error) {
	if address == "" {
		return nil, usageError(errors.New("the admin address of a node is missing, see --node"))
	}
	ctx, cancel := context.WithTimeout(ctx, askLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "ask node")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "ask node")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "ask node")
	}
	if resp.StatusCode >= 300 {
		return nil, errors.Newf("node %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func fetchRows(ctx context.Context, node string) ([]peer.StatusRow, error) {
	body, err := ask(ctx, http.MethodGet, node, "/v1/nodes")
	if err != nil {
		return nil, err
	}
	var answer peer.StatusResponse
	if err := json.Unmarshal(body, &answer); err != nil {
		return nil, errors.Wrap(err, "read status")
	}
	return answer.Rows, nil
}

func printRows(out io.Writer, rows []peer.StatusRow) error {
	tw := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "NODE\tSERVICE\tREGION\tFAILURE DOMAIN\tPOSITION\tGENERATION\tSTATE\tREFUSED")
	for _, r := range rows {
		position := "-"
		if r.Position != nil {
			position = r.Position.String()
		}
		refused := "-"
		if r.Refused != nil {
			refused = fmt.Sprintf("%s by %s: %s", r.Refused.Position, cmp.Or(r.Refused.Author, "unknown"), r.Refused.Findings.Error())
		}
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", r.ID, r.Service, r.Region, r.FailureDomain, position,
			r.Generation, stateWord(r), strings.ReplaceAll(refused, "\n", "; "))
	}
	return tw.Flush()
}

func stateWord(r peer.StatusRow) string {
	switch {
	case r.Error != "":
		return r.Error
	case r.NewSchema:
		return "needs a newer build"
	case r.Draining:
		return "draining"
	case r.Ready:
		return "ready"
	}
	return "starting"
}
