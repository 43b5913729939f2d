// Command bench measures the project's packages and compares most figures with a
// baseline: a simpler design measured with the same seed, a computed value or a
// limit.
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

// Result is one measured figure and its baseline, 0 if it has none.
type Result struct {
	Measure  string  `json:"measure"`
	Ours     float64 `json:"ours"`
	Baseline float64 `json:"baseline"`
	Unit     string  `json:"unit"`
	Nodes    int     `json:"nodes,omitempty"` // or members or items, as the measurement counts
	Seed     int64   `json:"seed"`
	Note     string  `json:"note,omitempty"`
}

// measurement runs one benchmark and reports its figures.
type measurement func(ctx context.Context, seed int64, report func(Result)) error

// measurements holds every measurement by name; each file registers its own in
// init.
var measurements = map[string]measurement{}

const measurementTimeout = 50 * time.Second

const defaultSeed = 1

func main() {
	if err := runAll(os.Args[1:], os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func runAll(names []string, out, table io.Writer) error {
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(measurements))
	}
	tw := tabwriter.NewWriter(table, 0, 4, 2, ' ', 0)
	fmt.Fprintln(tw, "MEASURE\tOURS\tBASELINE\tUNIT\tNODES\tNOTE")
	enc := json.NewEncoder(out)
	for _, name := range names {
		m, ok := measurements[name]
		if !ok {
			return errors.Newf("unknown measurement %q; available: %v", name, slices.Sorted(maps.Keys(measurements)))
		}
		if err := runMeasurement(name, m, enc, tw); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func runMeasurement(name string, m measurement, enc *json.Encoder, tw io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), measurementTimeout)
	defer cancel()
	var encodeErr error
	err := m(ctx, defaultSeed, func(r Result) {
		encodeErr = errors.CombineErrors(encodeErr, enc.Encode(r))
		fmt.Fprintf(tw, "%s\t%.4g\t%.4g\t%s\t%d\t%s\n", r.Measure, r.Ours, r.Baseline, r.Unit, r.Nodes, r.Note)
	})
	return errors.Wrapf(errors.CombineErrors(err, encodeErr), "measure %s", name)
}
