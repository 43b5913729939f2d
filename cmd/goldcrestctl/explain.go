package main

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
)

// maxLineBytes is the longest log line that is read; a longer one is an error.
const maxLineBytes = 1 << 20

func newExplainCommand() *cobra.Command {
	return &cobra.Command{
		Use: "explain CALL FILE...", Short: "Collect the log lines of one call from several nodes, sorted by time",
		Long: "Read the JSON log lines of nodes and print those of one call, sorted by time. A FILE of - is standard input.",
		Args: positionalArgs(cobra.MinimumNArgs(2)),
		RunE: func(cmd *cobra.Command, args []string) error {
			var all []logLine
			for _, file := range args[1:] {
				lines, err := readCallLines(cmd.InOrStdin(), file, args[0])
				if err != nil {
					return err
				}
				all = append(all, lines...)
			}
			if len(all) == 0 {
				return errors.Newf("no log line of call %s: calls without a failure are not logged, and lines may have been dropped (see log_lines_dropped)", args[0])
			}
			slices.SortStableFunc(all, func(a, b logLine) int { return a.at.Compare(b.at) })
			for _, l := range all {
				fmt.Fprintln(cmd.OutOrStdout(), l.format())
			}
			return nil
		},
	}
}

// logLine is one line of a node's log.
type logLine struct {
	at     time.Time
	fields map[string]any
}

// readCallLines returns the log lines of one call in a file.
func readCallLines(stdin io.Reader, file, call string) ([]logLine, error) {
	in := stdin
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, errors.Wrap(err, "read log")
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	var out []logLine
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if l, ok := parseLine(scanner.Bytes()); ok && l.fields["call"] == call {
			out = append(out, l)
		}
	}
	return out, errors.Wrapf(scanner.Err(), "read %s", file)
}

// parseLine parses a log line. It returns false for a line that is not a JSON object
// with a time. It skips text before the JSON object, such as a
// prefix added by a log collector.
func parseLine(line []byte) (logLine, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 {
		return logLine{}, false
	}
	var l logLine
	if json.Unmarshal(line[start:], &l.fields) != nil {
		return logLine{}, false
	}
	text, _ := l.fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, text)
	l.at = at
	return l, err == nil
}

// format returns the time, the node, the event, and the other fields sorted by
// name.
func (l logLine) format() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %v  %v", l.at.Format("15:04:05.000"), cmp.Or(l.fields["node"], any("-")), l.fields["msg"])
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "node", "msg", "level", "call":
		default:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Fprintf(&b, "  %s=%v", name, l.fields[name])
	}
	return b.String()
}
