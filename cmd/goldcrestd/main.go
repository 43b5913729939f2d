// Command goldcrestd runs a node beside a backend server.
package main

import (
	"bytes"
	"context"
	"fmt"
	"log"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/spf13/cobra"

	"github.com/goldcrestshed/goldcrestshed/internal/finding"
	"github.com/goldcrestshed/goldcrestshed/internal/node"
	"github.com/goldcrestshed/goldcrestshed/internal/settings"
	"github.com/goldcrestshed/goldcrestshed/internal/telemetry"
	"github.com/goldcrestshed/goldcrestshed/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitBadInput = 2
)

func main() {
	if err := newCommand().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func exitCode(err error) int {
	var findings finding.List
	if errors.As(err, &findings) {
		return exitBadInput
	}
	return exitFailed
}

func newCommand() *cobra.Command {
	var file string
	root := &cobra.Command{
		Use: "goldcrestd --settings FILE", Short: "Run a node beside a backend server",
		SilenceErrors: true, SilenceUsage: true, Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runNode(cmd.Context(), file) },
	}
	root.PersistentFlags().StringVar(&file, "settings", "goldcrestd.json", "settings file, JSON with comments")
	root.AddCommand(&cobra.Command{
		Use: "check", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := settings.Load(file)
			return err
		},
	})
	return root
}

func runNode(ctx context.Context, file string) error {
	signals := notifySignals()
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	out := telemetry.NewLineWriter(os.Stdout)
	defer out.Close()
	level := &slog.LevelVar{}
	level.Set(telemetry.Level(s.Logging))
	logger := telemetry.NewRateLimitedLogger(out, s.Logging, level).With("node", s.Node.ID)
	log.SetFlags(0)
	log.SetOutput(libraryLog{logger}) // net/http reports errors through the standard logger
	n, err := newNode(s, logger)
	if err != nil {
		return err
	}
	if signals.stopRequested() {
		return nil
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var g run.Group
	g.Add(func() error { return n.Run(ctx) }, func(error) { cancel() })
	g.Add(func() error { return dumpOnSignal(ctx, signals.dump, n) }, func(error) { cancel() })
	g.Add(func() error { return stopOnSignal(ctx, signals.stop, n) }, func(error) { cancel() })
	g.Add(func() error { return watchSettings(ctx, signals.reload, file, s, logger, level) }, func(error) { cancel() })
	return g.Run()
}

// libraryLog forwards the output of the standard logger to the node's logger.
type libraryLog struct{ logger *slog.Logger }

// Write implements io.Writer; every call is one complete line.
func (l libraryLog) Write(line []byte) (int, error) {
	l.logger.Info("http_library", "text", string(bytes.TrimSpace(line)))
	return len(line), nil
}

// newNode returns a node on the platform that the settings configure.
func newNode(s settings.Settings, logger *slog.Logger) (*node.Node, error) {
	if limit := int64(s.Platform.MemoryLimitMB); limit > 0 {
		debug.SetMemoryLimit(limit << 20 * softMemoryPercent / 100)
	}
	if s.Platform.Store == "" {
		return node.New(s, logger)
	}
	return node.NewWithPlatform(platform.New(s.Platform, logger), s, logger)
}

// softMemoryPercent is the percentage of the memory limit that is set as the soft
// limit of the Go runtime. The rest is for memory that the runtime does not
// count, such as socket buffers.
const softMemoryPercent = 60
