package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/standin"
)

func init() { measures["process"] = measureProcess }

// Limits of a node for control at the design size, see section 1.5 of the
// design page.
const (
	cpuLimitPercent = 1.9
	rssLimitMB      = 128
)

const (
	processSettle = 4 * time.Second // after the start, until nodes are ready and know each other
	processIdle   = 5 * time.Second // idle time measured
	clockTick     = 100             // of /proc/PID/stat, per second
)

// processSizes are the numbers of goldcrestd processes that run side by side.
var processSizes = []int{4, 12, 36}

// measureProcess measures idle goldcrestd processes: processor time and
// resident memory of one node among several.
func measureProcess(ctx context.Context, seed int64, report func(Result)) error {
	dir, err := os.MkdirTemp("", "goldcrest-bench")
	if err != nil {
		return errors.Wrap(err, "make folder")
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "goldcrestd")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/goldcrestd").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build: %s", out)
	}
	for _, n := range processSizes {
		cpu, rss, err := idleProcesses(ctx, binary, dir, n)
		if err != nil {
			return err
		}
		report(Result{Measure: "node_cpu_core_pct", Ours: cpu, Baseline: cpuLimitPercent, Unit: "%", Nodes: n, Seed: seed, Note: "idle goldcrestd process, mean; baseline is the limit"})
		report(Result{Measure: "node_rss_mb", Ours: rss, Baseline: rssLimitMB, Unit: "MB", Nodes: n, Seed: seed, Note: "idle goldcrestd process, mean; baseline is the limit"})
	}
	return nil
}

// idleProcesses runs n nodes and returns the mean processor time in percent of
// a core and the mean resident memory in MB.
func idleProcesses(ctx context.Context, binary, dir string, n int) (cpu, rss float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log, err := serveLog(ctx)
	if err != nil {
		return 0, 0, err
	}
	var running []*exec.Cmd
	defer func() {
		for _, p := range running {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}()
	for i := range n {
		p, err := startProcess(ctx, binary, dir, log, i)
		if err != nil {
			return 0, 0, err
		}
		running = append(running, p)
	}
	time.Sleep(processSettle)
	before, err := sumOf(running, processTicks)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(processIdle)
	after, err := sumOf(running, processTicks)
	if err != nil {
		return 0, 0, err
	}
	kilobytes, err := sumOf(running, residentKB)
	ticks := (after - before) / float64(n)
	return ticks / clockTick / processIdle.Seconds() * 100, kilobytes / 1024 / float64(n), err
}

// serveLog serves a log stand-in with an empty configuration.
func serveLog(ctx context.Context) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	srv := &http.Server{Handler: standin.NewLog(time.Hour, time.Now).Handler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	context.AfterFunc(ctx, func() { _ = srv.Close() })
	address := ln.Addr().String()
	return address, operator.NewClient(platformlog.NewClient(address, nil), "bench", time.Now).Init(ctx)
}

func startProcess(ctx context.Context, binary, dir, log string, i int) (*exec.Cmd, error) {
	settings := fmt.Sprintf(`{
		"node": {"id": "n%d", "service": "s%d", "region": "r%d", "failureDomain": "d%d"},
		"listen": {"calls": "127.0.0.1:0", "guard": "127.0.0.1:0", "peer": "127.0.0.1:0"},
		"backendServer": {"address": "127.0.0.1:9"}, "log": {"address": %q}, "logging": {"level": "error"},
	}`, i, i%4, i%2, i%5, log)
	file := filepath.Join(dir, fmt.Sprintf("n%d.json", i))
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	p := exec.CommandContext(ctx, binary, "--settings", file)
	return p, errors.Wrap(p.Start(), "start node")
}

func sumOf(running []*exec.Cmd, read func(pid int) (float64, error)) (float64, error) {
	sum := 0.0
	for _, p := range running {
		v, err := read(p.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}

// Fields of /proc/PID/stat after the name of the program, from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
)

func processTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read processor time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, errors.Newf("process %d: short stat line", pid)
	}
	user, err1 := strconv.ParseFloat(fields[statUserTime], 64)
	system, err2 := strconv.ParseFloat(fields[statSystemTime], 64)
	return user + system, errors.CombineErrors(err1, err2)
}

func residentKB(pid int) (float64, error) {
	f, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read memory")
	}
	defer f.Close()
	for s := bufio.NewScanner(f); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), "VmRSS:"); ok {
			return strconv.ParseFloat(strings.Fields(text)[0], 64)
		}
	}
	return 0, errors.Newf("process %d: no VmRSS", pid)
}
