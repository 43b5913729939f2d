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
	// requestTimeout bounds one request to a node. It exceeds the time after which a
	// node gives up on the status of a failure domain that does not answer.
	requestTimeout = 15 * time.Second
	// watchInterval is the time between the status requests of the watch command.
	// Each makes the nodes send about one message for every node.
	watchInterval = 500 * time.Millisecond
)

func newStatusCommand() *cobra.Command {
	var node string
	var output outputFlag
	cmd := &cobra.Command{
		Use: "status --node ADDRESS", Short: "Show the position and state of every node", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			rows, err := fetchStatus(cmd.Context(), node)
			if err != nil {
				return err
			}
			return output.print(cmd.OutOrStdout(), statusResult(rows), nil)
		},
	}
	addNodeFlag(cmd, &node)
	output.add(cmd)
	return cmd
}

// statusResult is the result of the status command.
type statusResult []peer.StatusRow

func (r statusResult) writeText(w io.Writer) error { return writeStatusTable(w, r) }

func addNodeFlag(cmd *cobra.Command, node *string) {
	cmd.Flags().StringVar(node, "node", "", "admin address of any node, ip:port")
}

func newWatchCommand() *cobra.Command {
	var node, position string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use: "watch --node ADDRESS", Short: "Wait until every node has reached a position", Args: positionalArgs(cobra.NoArgs),
		Long: "Show how many nodes have reached a position and exit when all have. Without --position, wait for the highest\n" +
			"position in the first response that has one. At the timeout, name the other nodes and exit with code 1.",
		RunE: func(cmd *cobra.Command, _ []string) error {
			w := positionWatch{node: node, out: cmd.OutOrStdout()}
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
	cmd.Flags().DurationVar(&timeout, "timeout", 30*time.Second, "maximum time to wait")
	return cmd
}

// parsePosition parses era@offset, as Position.String formats it. The command line
// and JSON call the epoch era.
func parsePosition(text string) (profile.Position, error) {
	var p profile.Position
	if _, err := fmt.Sscanf(text, "%d@%d", &p.Epoch, &p.Offset); err != nil || p.String() != text {
		return p, errors.Newf("%q is not a position; want era@offset, such as 1@42", text)
	}
	return p, nil
}

// positionWatch waits for all nodes to reach a position.
type positionWatch struct {
	node     string
	out      io.Writer
	want     *profile.Position // without --position, nil until a node reports a position
	lastLine string            // last line printed
}

// positionTimeoutError names the nodes that had not reached a position at the
// timeout.
type positionTimeoutError struct {
	want  string
	nodes []string
}

// Error implements error.
func (e *positionTimeoutError) Error() string {
	return fmt.Sprintf("position %s was not reached by %d nodes: %s", e.want, len(e.nodes), strings.Join(e.nodes, ", "))
}

func (w *positionWatch) run(ctx context.Context) error {
	tick := time.NewTicker(watchInterval)
	defer tick.Stop()
	var behind []string
	var lastErr error
	for {
		rows, err := fetchStatus(ctx, w.node)
		if err == nil {
			behind = w.progress(rows)
			if len(behind) == 0 && w.want != nil {
				return nil
			}
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return w.timeoutError(behind, lastErr)
		}
	}
}

func (w *positionWatch) timeoutError(behind []string, lastErr error) error {
	if w.want == nil {
		return errors.CombineErrors(errors.New("no node reported a position in time"), lastErr)
	}
	return &positionTimeoutError{want: w.want.String(), nodes: behind}
}

// progress prints how many nodes are at the position or past it, if that has
// changed, and returns the others.
func (w *positionWatch) progress(rows []peer.StatusRow) []string {
	if w.want == nil {
		w.want = highestPosition(rows)
	}
	if w.want == nil {
		return nil
	}
	var behind []string
	for _, r := range rows {
		if r.Position == nil || r.Position.Compare(*w.want) < 0 {
			behind = append(behind, nodeLabel(r))
		}
	}
	line := fmt.Sprintf("%d of %d nodes hold %s", len(rows)-len(behind), len(rows), w.want)
	if line != w.lastLine {
		fmt.Fprintln(w.out, line)
		w.lastLine = line
	}
	return behind
}

func nodeLabel(r peer.StatusRow) string {
	if r.Error != "" {
		return r.ID + " (" + r.Error + ")"
	}
	return r.ID
}

func highestPosition(rows []peer.StatusRow) *profile.Position {
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
		Use: "dump ADDRESS", Short: "Print the internal state of a node", Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			body, err := requestNode(cmd.Context(), http.MethodGet, args[0], "/dump")
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
		Use: "drain ADDRESS", Short: "Start draining a node: it finishes its calls in flight, then stops", Args: positionalArgs(cobra.ExactArgs(1)),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := requestNode(cmd.Context(), http.MethodPost, args[0], "/v1/drain")
			return err
		},
	}
}

// requestNode sends a request to a node's admin address and returns the
// response body.
func requestNode(ctx context.Context, method, address, path string) ([]byte, error) {
	if address == "" {
		return nil, usageError(errors.New("the admin address of a node is missing: give --node or ADDRESS"))
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, errors.Wrap(err, "request to node")
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, "request to node")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, errors.Wrap(err, "read response from node")
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode >= http.StatusMultipleChoices {
		return nil, errors.Newf("node %s: status %d: %s", address, resp.StatusCode, strings.TrimSpace(string(body)))
	}
	return body, nil
}

func fetchStatus(ctx context.Context, node string) ([]peer.StatusRow, error) {
	body, err := requestNode(ctx, http.MethodGet, node, "/v1/nodes")
	if err != nil {
		return nil, err
	}
	var response peer.StatusResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return nil, errors.Wrap(err, "decode status")
	}
	return response.Rows, nil
}

func writeStatusTable(out io.Writer, rows []peer.StatusRow) error {
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
			r.Generation, stateText(r), strings.ReplaceAll(refused, "\n", "; "))
	}
	return tw.Flush()
}

// stateText returns the STATE column: the error of a node whose status is unknown,
// or else its state.
func stateText(r peer.StatusRow) string {
	switch {
	case r.Error != "":
		return r.Error
	case r.NeedsNewerBuild:
		return "needs a newer build"
	case r.Draining:
		return "draining"
	case r.Ready:
		return "ready"
	}
	return "starting"
}
