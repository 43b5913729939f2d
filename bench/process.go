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

func init() { measurements["process"] = measureProcess }

// Limits of a node's control plane at the design size, see section 1.5 of the
// design page.
const (
	cpuLimitPercent = 1.9
	rssLimitMB      = 128
)

const (
	processWarmUp       = 4 * time.Second // until nodes are ready and see all members
	processIdleTime     = 5 * time.Second
	clockTicksPerSecond = 100 // in /proc/PID/stat
)

// processSizes are the numbers of goldcrestd processes that run at once.
var processSizes = []int{4, 12, 36}

// measureProcess measures the mean CPU time and resident memory of idle
// goldcrestd processes.
func measureProcess(ctx context.Context, seed int64, report func(Result)) error {
	dir, err := os.MkdirTemp("", "goldcrest-bench")
	if err != nil {
		return errors.Wrap(err, "make temporary directory")
	}
	defer os.RemoveAll(dir)
	binary := filepath.Join(dir, "goldcrestd")
	if out, err := exec.CommandContext(ctx, "go", "build", "-o", binary, "./cmd/goldcrestd").CombinedOutput(); err != nil {
		return errors.Wrapf(err, "build goldcrestd: %s", out)
	}
	for _, n := range processSizes {
		cpu, rss, err := measureIdleProcesses(ctx, binary, dir, n)
		if err != nil {
			return err
		}
		report(Result{Measure: "node_cpu_core_pct", Ours: cpu, Baseline: cpuLimitPercent, Unit: "%", Nodes: n, Seed: seed, Note: "idle goldcrestd process, mean; baseline is the limit"})
		report(Result{Measure: "node_rss_mb", Ours: rss, Baseline: rssLimitMB, Unit: "MB", Nodes: n, Seed: seed, Note: "idle goldcrestd process, mean; baseline is the limit"})
	}
	return nil
}

// measureIdleProcesses runs n nodes and returns their mean CPU time in percent of
// a core and their mean resident memory in MB.
func measureIdleProcesses(ctx context.Context, binary, dir string, n int) (cpu, rss float64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	log, err := serveLog(ctx)
	if err != nil {
		return 0, 0, err
	}
	var processes []*exec.Cmd
	defer func() {
		for _, p := range processes {
			_ = p.Process.Kill()
			_ = p.Wait()
		}
	}()
	for i := range n {
		p, err := startProcess(ctx, binary, dir, log, i)
		if err != nil {
			return 0, 0, err
		}
		processes = append(processes, p)
	}
	time.Sleep(processWarmUp)
	ticksBefore, err := sumOver(processes, cpuTicks)
	if err != nil {
		return 0, 0, err
	}
	time.Sleep(processIdleTime)
	ticksAfter, err := sumOver(processes, cpuTicks)
	if err != nil {
		return 0, 0, err
	}
	kilobytes, err := sumOver(processes, residentKB)
	ticks := (ticksAfter - ticksBefore) / float64(n)
	return ticks / clockTicksPerSecond / processIdleTime.Seconds() * 100, kilobytes / 1024 / float64(n), err
}

// serveLog serves a log stand-in with an empty configuration and returns its
// address.
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

func sumOver(processes []*exec.Cmd, read func(pid int) (float64, error)) (float64, error) {
	sum := 0.0
	for _, p := range processes {
		v, err := read(p.Process.Pid)
		if err != nil {
			return 0, err
		}
		sum += v
	}
	return sum, nil
}

// Fields of /proc/PID/stat after the program name, counted from 0.
const (
	statUserTime   = 11
	statSystemTime = 12
)

func cpuTicks(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, errors.Wrap(err, "read CPU time")
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= statSystemTime {
		return 0, errors.Newf("process %d: too few fields in stat", pid)
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
