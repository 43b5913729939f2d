package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
)

func newRouteCommand() *cobra.Command {
	var address, method, organisation, fingerprint string
	var output outputFlag
	cmd := &cobra.Command{
		Use: "route HOST PATH --node ADDRESS", Short: "Show where a call would go now, and why", Args: positionalArgs(cobra.ExactArgs(2)),
		Long: "Ask a node where a call that enters it would go now, and why. Nothing is sent to a backend server and nothing is\n" +
			"counted. The caller is named by its organisation or by the first 8 hexadecimal digits of the hash of its key.",
		RunE: func(cmd *cobra.Command, args []string) error {
			q := url.Values{"host": {args[0]}, "path": {args[1]}, "method": {method}}
			if organisation != "" {
				q.Set("organisation", organisation)
			}
			if fingerprint != "" {
				q.Set("keyFingerprint", fingerprint)
			}
			body, err := requestNode(cmd.Context(), http.MethodGet, address, "/v1/route?"+q.Encode())
			if err != nil {
				return err
			}
			var r routeResult
			if err := json.Unmarshal(body, &r.RouteResponse); err != nil {
				return errors.Wrap(err, "decode route")
			}
			return output.print(cmd.OutOrStdout(), r, nil)
		},
	}
	addNodeFlag(cmd, &address)
	cmd.Flags().StringVar(&method, "method", http.MethodGet, "method of the call")
	cmd.Flags().StringVar(&organisation, "organisation", "", "name of the organisation that makes the call")
	cmd.Flags().StringVar(&fingerprint, "key-fingerprint", "", "fingerprint of the key that the call carries")
	output.add(cmd)
	return cmd
}

// routeResult is the result of the route command.
type routeResult struct {
	node.RouteResponse
}

func (r routeResult) writeText(w io.Writer) error {
	fmt.Fprintf(w, "node          %s%s\n", r.Node, textIf(!r.Ready, ", not ready"))
	fmt.Fprintf(w, "configuration generation %d", r.Generation)
	if r.Position != nil {
		fmt.Fprintf(w, ", position %s", r.Position)
	}
	if r.ConfigAgeMs != nil {
		fmt.Fprintf(w, ", known to be the newest %d ms ago", *r.ConfigAgeMs)
	}
	fmt.Fprintln(w)
	if r.Route != "" {
		fmt.Fprintf(w, "route         %s%s%s, rank %d, time limit %d ms, objective %d ms\n", r.Route,
			textIf(r.Public, ", public"), textIf(!r.Idempotent, ", runs at most once"), r.Rank, r.TimeoutMs, r.ObjectiveMs)
	}
	if r.Key != "" {
		fmt.Fprintf(w, "key           %s", r.Key)
		if o := r.Organisation; o != nil {
			fmt.Fprintf(w, ", organisation %s, rank %d, %g calls/s, burst %g", o.Name, o.Rank, o.RatePerSecond, o.Burst)
		}
		fmt.Fprintln(w)
	}
	if q := r.Quota; q != nil {
		writeRouteQuota(w, q)
	}
	if r.Status != 0 {
		_, err := fmt.Fprintf(w, "refused       %d %s\n", r.Status, r.Reason)
		return err
	}
	for _, s := range r.Services {
		if err := writeRouteService(w, s); err != nil {
			return err
		}
	}
	return nil
}

func writeRouteQuota(w io.Writer, q *outbound.DryRunQuota) {
	fmt.Fprintf(w, "quota         %g calls/s, burst %g, ", q.RatePerSecond, q.Burst)
	if q.Fraction != nil {
		fmt.Fprintf(w, "%.1f%% of the calls admitted", 100**q.Fraction)
	} else {
		fmt.Fprint(w, "no counter answers this node")
	}
	fmt.Fprintf(w, "; this call %sis ", textIf(q.AwaitsAnswer, "waits for a counter and without its answer "))
	if q.Admitted {
		fmt.Fprintln(w, "admitted")
		return
	}
	fmt.Fprintf(w, "refused, retry after %d ms\n", q.RetryAfterMs)
}

func textIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

func writeRouteService(w io.Writer, s outbound.DryRunService) error {
	fmt.Fprintf(w, "\nservice %s, %.1f%% of the calls, %.1f retries left: ", s.Service, 100*s.Share, s.RetriesLeft)
	if s.Reason != "" {
		fmt.Fprintf(w, "refused, %s\n", s.Reason)
	} else {
		fmt.Fprintf(w, "one choice took %s\n", s.Choice)
	}
	var rows []string
	for _, c := range s.Candidates {
		standing := strings.ReplaceAll(string(c.Standing), "_", " ")
		if c.ForMs > 0 {
			standing += fmt.Sprintf(" for %d ms", c.ForMs)
		}
		rows = append(rows, fmt.Sprintf("%s\t%s\t%s\t%.1f\t%d\t%.2f\t%.2f\t%s", c.Server, c.Domain, c.Tier, c.ExpectedMs, c.InFlight, c.Occupancy, c.Weight, standing))
	}
	return writeTable(w, "SERVER\tFAILURE DOMAIN\tTIER\tEXPECTED MS\tIN FLIGHT\tOCCUPANCY\tWEIGHT\tSTANDING", rows)
}
