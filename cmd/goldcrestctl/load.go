package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/load"
	"github.com/goldcrestshed/goldcrestshed/platform/standin"
)

func newDevLoadCommand() *cobra.Command {
	cfg := load.Config{Method: http.MethodGet}
	var asJSON, platformHeaders bool
	cmd := &cobra.Command{
		Use: "load", Short: "Send calls at random intervals and report their results", Args: positionalArgs(cobra.NoArgs),
		RunE: func(cmd *cobra.Command, _ []string) error {
			if platformHeaders {
				cfg.EditRequest = func(r *http.Request) { standin.SetCallHeaders(r, uuid.NewString(), cfg.Deadline) }
			}
			report, err := load.Run(cmd.Context(), cfg)
			if err != nil {
				return err
			}
			if asJSON {
				return errors.Wrap(json.NewEncoder(cmd.OutOrStdout()).Encode(report), "write report")
			}
			return writeLoadReport(cmd.OutOrStdout(), report)
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&cfg.Address, "address", "127.0.0.1:7000", "calls address of a node, ip:port")
	flags.StringVar(&cfg.Host, "host", "", "Host header of the calls")
	flags.StringVar(&cfg.Path, "path", "/", "path of the calls")
	flags.StringVar(&cfg.Method, "method", cfg.Method, "method of the calls")
	flags.IntVar(&cfg.BodyBytes, "body", 0, "body size of each call, bytes")
	flags.Float64Var(&cfg.Rate, "rate", 50, "average calls per second, sent without waiting for earlier calls to end")
	flags.DurationVar(&cfg.Duration, "for", 10*time.Second, "how long to send calls")
	flags.DurationVar(&cfg.Deadline, "deadline", 2*time.Second, "time limit of a call")
	flags.Uint64Var(&cfg.Seed, "seed", 1, "random seed of the times between calls")
	flags.BoolVar(&platformHeaders, "platform", false, "send the headers of the platform's callers")
	flags.BoolVar(&asJSON, "json", false, "write the report as JSON")
	return cmd
}

func writeLoadReport(w io.Writer, r load.Report) error {
	lines := []string{fmt.Sprintf("seed %d: %d calls, %d not sent since too many were in flight", r.Seed, r.Calls, r.Skipped)}
	for _, status := range r.SortedStatuses() {
		lines = append(lines, fmt.Sprintf("  status %-4s %8d", status, r.Statuses[status]))
	}
	for _, row := range []struct {
		name string
		l    load.Latency
	}{{"good", r.Good}, {"all", r.All}} {
		lines = append(lines, fmt.Sprintf("  %-4s mean %.2f  p50 %.2f  p90 %.2f  p99 %.2f  p99.9 %.2f  max %.2f ms",
			row.name, row.l.MeanMs, row.l.P50Ms, row.l.P90Ms, row.l.P99Ms, row.l.P999Ms, row.l.MaxMs))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, line); err != nil {
			return errors.Wrap(err, "write report")
		}
	}
	return nil
}
