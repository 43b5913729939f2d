package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/goldcrestshed/goldcrestshed/platform/standin"
)

// readyTimeout bounds the wait for a node to become ready.
const readyTimeout = 15 * time.Second

// fleet is a small deployment: the store, and instances with a node process and a
// backend server each.
type fleet struct {
	record       *record
	folder       string // of the case
	temp         string
	store        *standin.Store
	storeServer  *http.Server
	storeAddress string
	instances    []*instance
}

// instance is one instance of a service.
type instance struct {
	fleet     *fleet
	id        string
	service   string
	zone      string
	outbound  string
	control   string
	readiness string
	settings  string
	backend   *backend
	process   *exec.Cmd
	exited    chan struct{}
}

// newFleet starts the store with a configuration from a file of the case.
func newFleet(r *record, folder, config string) (*fleet, error) {
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, folder: folder, temp: temp, store: standin.NewStore()}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddress = ln.Addr().String()
	f.storeServer = &http.Server{Handler: f.store.Handler()}
	go func() { _ = f.storeServer.Serve(ln) }()
	return f, f.putConfig(config)
}

// putConfig stores a configuration, as the operator does.
func (f *fleet) putConfig(name string) error {
	data, err := os.ReadFile(filepath.Join(f.folder, name))
	if err != nil {
		return err
	}
	f.store.PutConfig(data)
	f.record.printf("operator: the store acknowledges the configuration of %s", name)
	return nil
}

// add adds an instance and starts its backend server and node.
func (f *fleet) add(id, service, zone string, slots int, answer answerFunc) (*instance, error) {
	ports, err := freePorts(7)
	if err != nil {
		return nil, err
	}
	i := &instance{
		fleet: f, id: id, service: service, zone: zone,
		outbound: address(ports[0]), control: address(ports[2]), readiness: address(ports[3]),
		settings: filepath.Join(f.temp, id+".json"),
	}
	i.backend = &backend{
		record: f.record, name: id, service: service, zone: zone, address: address(ports[6]), reportTo: i.control, slots: slots, answer: answer,
	}
	template, err := os.ReadFile("deploy/settings.jsonc")
	if err != nil {
		return nil, err
	}
	text, err := renderSettings(string(template), map[string]any{
		"node_name": id, "service": service, "region": "gaucho", "zone": zone, "ip": "127.0.0.1",
		"listen.outbound": i.outbound, "listen.inbound": address(ports[1]), "listen.control": i.control, "listen.readiness_address": i.readiness,
		"port_range.0": ports[4], "port_range.1": ports[5], "app_address": i.backend.address,
		"platform.address": f.storeAddress, "limits.memory_mb": 284, "limits.link_mbps": 1000.0,
		"bootstrap": false, "bounds.config_apply_s": 2, "bounds.grace_s": 6,
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, i)
	if err := i.start(); err != nil {
		return nil, err
	}
	return i, i.backend.start()
}

// start starts the node with the command of the deploy file.
func (i *instance) start() error {
	command, err := nodeCommand(i.settings)
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.fleet.temp, i.id+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	i.process = exec.Command(command[0], command[1:]...)
	i.process.Stdout, i.process.Stderr = log, log
	if err := i.process.Start(); err != nil {
		return err
	}
	register(i.process.Process)
	process, exited := i.process, make(chan struct{})
	i.exited = exited
	go func() {
		_ = process.Wait()
		close(exited)
	}()
	i.fleet.record.printf("node %s: starts as process %d, service %s, clients at %s", i.id, process.Process.Pid, i.service, i.outbound)
	return nil
}

var (
	startedMu sync.Mutex
	started   []*os.Process // guarded by startedMu; every process of the run
)

func register(p *os.Process) {
	startedMu.Lock()
	defer startedMu.Unlock()
	started = append(started, p)
}

// killAll kills the processes of the run that have not ended.
func killAll() {
	startedMu.Lock()
	defer startedMu.Unlock()
	for _, p := range started {
		_ = p.Kill()
	}
}

// signal sends a signal to the node.
func (i *instance) signal(s syscall.Signal) {
	i.fleet.record.printf("node %s: gets signal %v", i.id, s)
	_ = i.process.Process.Signal(s)
}

// kill kills the node and waits for its end.
func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

// awaitReady waits until every node counts as ready.
func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range f.instances {
		for !i.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("node %s is not ready", i.id)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// ready asks the node once whether it is ready.
func (i *instance) ready() bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+i.readiness+"/readiness", nil)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the case started and removes its files.
func (f *fleet) close() {
	for _, i := range f.instances {
		i.backend.stop()
		if i.process != nil {
			_ = i.process.Process.Kill()
			<-i.exited
		}
	}
	_ = f.storeServer.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.temp)
	}
}

func address(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// Ports of nodes and servers lie below those that the kernel gives to outgoing
// connections, so that a node that is down does not lose its ports.
const (
	firstPort = 20_000
	lastPort  = 32_000
)

// freePorts returns ports that were free a moment ago.
func freePorts(n int) ([]int, error) {
	var ports []int
	for tries := 0; len(ports) < n; tries++ {
		if tries > 1000 {
			return nil, errors.New("no free ports")
		}
		port := firstPort + rand.IntN(lastPort-firstPort)
		ln, err := net.Listen("tcp", address(port))
		if err != nil {
			continue
		}
		defer ln.Close()
		ports = append(ports, port)
	}
	return ports, nil
}
