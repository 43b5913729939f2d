package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/platform/standin"
)

// service is the service of all backend servers.
const service = "library"

// Routes of the operator's configuration.
const (
	host           = "shop.example"
	idempotentPath = "/browse/"
	unsafePath     = "/confirm/"
)

// contact is the bound contact_s.
const contact = 3 * time.Second

// routeOf returns a route of the configuration.
func routeOf(name, path, kind string) map[string]any {
	return map[string]any{"entry_kind": "routes", "metadata": map[string]any{"name": name}, "spec": map[string]any{
		"host": host, "path_prefix": path, "type": kind, "timeout_s": 3, "target_latency_s": 0.3, "priority": 1, "service": service, "max_attempts": 2,
	}}
}

// configuration returns the operator's configuration, with the limits of the example
// of a small site.
func configuration() ([]byte, error) {
	return json.Marshal(map[string]any{"version": "r7", "resources": []any{
		routeOf("browse", idempotentPath, "idempotent"),
		routeOf("confirm", unsafePath, "non_idempotent"),
		map[string]any{"entry_kind": "services", "metadata": map[string]any{"name": service}, "spec": map[string]any{"health_check_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}},
		map[string]any{"entry_kind": "limits", "metadata": map[string]any{}, "spec": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15}},
	}})
}

// machine is one node as a process and the backend server beside it.
type machine struct {
	name, store                                          string
	calls, inbound, peer, admin, app, reports, readiness string
	settings                                             string // file
	process                                              *exec.Cmd
	exited                                               chan struct{}
	backend                                              *backend
	startedAt                                            atomic.Pointer[time.Time] // of the process; nil while it is stopped
	stoppedOnPurpose                                     bool                      // its end is part of the case
}

// fleet is a deployment on loopback addresses.
type fleet struct {
	dir      string
	program  string
	began    time.Time
	machines []*machine
	store    *http.Server

	mu     sync.Mutex
	record *bufio.Writer // guarded by mu
	file   *os.File
}

// note writes a line to the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%8.3f  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// startFleet starts the store, the nodes and their backend servers, and waits until
// all nodes are ready.
func startFleet(count int, program, record string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{dir: dir, program: program, began: time.Now(), record: bufio.NewWriter(file), file: file}
	if err := f.start(count); err != nil {
		f.stop()
		return nil, err
	}
	return f, nil
}

func (f *fleet) start(count int) error {
	config, err := configuration()
	if err != nil {
		return err
	}
	store := standin.NewStore()
	store.PutConfig(config)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	f.store = &http.Server{Handler: store.Handler()}
	go func() { _ = f.store.Serve(ln) }()
	for i := range count {
		m, err := f.newMachine(fmt.Sprintf("sidecar-%d", i+1), ln.Addr().String())
		if err != nil {
			return err
		}
		f.machines = append(f.machines, m)
		if err := f.startNode(m); err != nil {
			return err
		}
		if m.backend, err = startBackend(f, m); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second) // the nodes learn of each other's backend servers
	return nil
}

// Ports of the nodes lie below those that the kernel gives to outgoing connections.
const (
	firstPort = 15000
	portCount = 15000
)

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		defer func() { _ = ln.Close() }()
		if out = append(out, address); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("no free ports")
}

// newMachine returns a machine, with settings as the template of the deploy file gives
// them on a small site.
func (f *fleet) newMachine(name, store string) (*machine, error) {
	a, err := freeAddresses(7)
	if err != nil {
		return nil, err
	}
	m := &machine{name: name, store: store, calls: a[0], inbound: a[1], peer: a[2], admin: a[3], app: a[4], reports: a[5], readiness: a[6]}
	m.settings = filepath.Join(f.dir, name+".json")
	return m, m.writeSettings("2s")
}

// writeSettings writes the settings file. The spread of a start is longer when the
// whole system starts for the first time.
func (m *machine) writeSettings(startSpread string) error {
	data, err := json.Marshal(map[string]any{
		"node":          map[string]any{"id": m.name, "service": service, "region": "willamette", "failureDomain": "salem"},
		"listen":        map[string]any{"calls": m.calls, "guard": m.inbound, "peer": m.peer, "admin": m.admin},
		"backendServer": map[string]any{"address": m.app},
		"platform":      map[string]any{"store": m.store, "reports": m.reports, "readiness": m.readiness, "retryBudget": 0.15, "startSpread": startSpread, "memoryLimitMB": 284, "descriptorLimit": 4100},
		"network":       map[string]any{"linkMbps": 1000.0, "domainByteCost": "20ms", "regionByteCost": "30ms"},
		"configuration": map[string]any{"applyWithin": "2s"},
		"quotas":        map[string]any{},
		"logging":       map[string]any{"format": "json"},
		"drain":         map[string]any{"stopWithin": "6s"},
		"rollout":       map[string]any{},
	})
	if err != nil {
		return err
	}
	return os.WriteFile(m.settings, data, 0o600)
}

// startNode starts the process of a node with the command of the deploy file.
func (f *fleet) startNode(m *machine) error {
	log, err := os.Create(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	m.process = exec.Command(f.program, "--settings", m.settings)
	m.process.Stdout, m.process.Stderr = log, log
	if err := m.process.Start(); err != nil {
		return err
	}
	now := time.Now()
	m.startedAt.Store(&now)
	process, exited := m.process, make(chan struct{})
	m.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	return nil
}

// awaitReady waits until a node says that it is ready.
func (m *machine) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for range 200 {
		resp, err := client.Get("http://" + m.readiness + "/readiness")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", m.name)
}

// checkNodes reports nodes that have ended by themselves.
func (f *fleet) checkNodes() error {
	var ended []string
	for _, m := range f.machines {
		if m.stoppedOnPurpose {
			continue
		}
		select {
		case <-m.exited:
			ended = append(ended, m.name)
		default:
		}
	}
	if len(ended) == 0 {
		return nil
	}
	return errors.New("ended by themselves: " + strings.Join(ended, ", "))
}

// stop ends all processes that the fleet has started.
func (f *fleet) stop() {
	for _, m := range f.machines {
		if m.backend != nil {
			m.backend.stop()
		}
		if m.exited != nil {
			_ = m.process.Process.Kill()
			<-m.exited
		}
	}
	if f.store != nil {
		_ = f.store.Close()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.record.Flush()
	_ = f.file.Close()
	_ = os.RemoveAll(f.dir)
}
