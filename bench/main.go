// Command bench measures the product's own packages against baselines of its
// own, in one run on one seed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
)

// Result is one measured figure, ours beside the baseline of the same run.
type Result struct {
	Measure  string  `json:"measure"`
	Ours     float64 `json:"ours"`
	Baseline float64 `json:"baseline"`
	Unit     string  `json:"unit"`
	Nodes    int     `json:"nodes,omitempty"`
	Seed     int64   `json:"seed"`
	Note     string  `json:"note,omitempty"`
}

// measure runs one measurement and reports its figures.
type measure func(ctx context.Context, seed int64, report func(Result)) error

// measures holds every measurement by name; each file adds its own in init.
var measures = map[string]measure{}

// runLimit bounds one measurement.
const runLimit = 50 * time.Second

const defaultSeed = 1

func main() {
	if err := runAll(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runAll(names []string, out, table io.Writer) error {
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(measures))
	}
	tw := tabwriter.NewWriter(table, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "MEASURE\tOURS\tBASELINE\tUNIT\tNODES\tNOTE")
	enc := json.NewEncoder(out)
	for _, name := range names {
		m, ok := measures[name]
		if !ok {
			return errors.Newf("no measurement %q; there are %v", name, slices.Sorted(maps.Keys(measures)))
		}
		if err := runOne(name, m, enc, tw); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func runOne(name string, m measure, enc *json.Encoder, tw io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), runLimit)
	defer cancel()
	var encodeErr error
	err := m(ctx, defaultSeed, func(r Result) {
		encodeErr = errors.CombineErrors(encodeErr, enc.Encode(r))
		fmt.Fprintf(tw, "%s\t%.4g\t%.4g\t%s\t%d\t%s\n", r.Measure, r.Ours, r.Baseline, r.Unit, r.Nodes, r.Note)
	})
	return errors.Wrapf(errors.CombineErrors(err, encodeErr), "measure %s", name)
}
