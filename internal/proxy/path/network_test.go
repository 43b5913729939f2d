package path_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

// testNetwork is a network in memory for tests in virtual time. Its connections
// are pipes that can go silent.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[string][]*memConn // by the address that was dialled
}

func newTestNetwork() *testNetwork {
	return &testNetwork{listeners: map[string]*memListener{}, conns: map[string][]*memConn{}}
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

type memListener struct {
	testNetwork *testNetwork
	address     string
	queue       chan net.Conn
	once        sync.Once
	closed      chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.queue:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

func (l *memListener) Close() error {
	l.once.Do(func() {
		l.testNetwork.mu.Lock()
		defer l.testNetwork.mu.Unlock()
		if l.testNetwork.listeners[l.address] == l {
			delete(l.testNetwork.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

func (f *testNetwork) listen(address string) (net.Listener, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := &memListener{testNetwork: f, address: address, queue: make(chan net.Conn, 100), closed: make(chan struct{})}
	f.listeners[address] = l
	return l, nil
}

func (f *testNetwork) dial(_ context.Context, _, address string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	address = strings.TrimSuffix(address, port)
	l := f.listeners[address]
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	c := &memConn{Conn: a, done: make(chan struct{})}
	f.conns[address] = append(f.conns[address], c)
	l.queue <- b
	return c, nil
}

// silence makes the present connections to an address carry nothing more; new
// ones work.
func (f *testNetwork) silence(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, c := range f.conns[address] {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// cut closes the present connections to an address.
func (f *testNetwork) cut(address string) {
	f.mu.Lock()
	conns := f.conns[address]
	f.conns[address] = nil
	f.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// kill ends whatever listens on an address.
func (f *testNetwork) kill(address string) {
	f.mu.Lock()
	l := f.listeners[address]
	f.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	f.cut(address)
}

type memConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
	once   sync.Once
	done   chan struct{}
}

func (c *memConn) isSilent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silent
}

func (c *memConn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *memConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.isSilent() {
		<-c.done
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *memConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

// port ends the addresses that are dialled.
const port = ":80"

// testbed is a front, several guards and their backend servers on a testNetwork.
type testbed struct {
	t      *testing.T
	net    *testNetwork
	nodes  map[string]*testNode
	front  outbound.Config
	client *http.Client
}

// tuning changes the configuration of a testbed's front and guards.
type tuning struct {
	front func(*outbound.Config)
	guard func(id string, cfg *inbound.Config)
}

// newTestbed starts nodes a, b, ... whose backend servers run the handler. The
// addresses are front, guard-a and backend-a.
func newTestbed(t *testing.T, ids string, handler func(id string) http.Handler, edit func(*snapshot.Route), tunings ...tuning) *testbed {
	w := &testbed{t: t, net: newTestNetwork(), nodes: map[string]*testNode{}}
	var guards []string
	for _, id := range strings.Split(ids, "") {
		if handler != nil {
			w.serve("backend-"+id, &http.Server{Handler: handler(id)})
		}
		n := w.node(id, tunings)
		w.nodes[id] = n
		guards = append(guards, "guard-"+id+port)
	}
	w.front = frontConfig(guards, edit)
	w.front.Client = w.link(0)
	for _, tune := range tunings {
		if tune.front != nil {
			tune.front(&w.front)
		}
	}
	w.serve("front", &proxy.NewServer(outbound.New(w.front)).Server)
	tr := &http.Transport{DialContext: w.net.dial, DisableCompression: true}
	w.client = &http.Client{Transport: tr}
	t.Cleanup(tr.CloseIdleConnections)
	return w
}

func (w *testbed) link(max int) *proxy.Client {
	l := proxy.NewClient(proxy.ClientConfig{Dial: w.net.dial, MaxConns: max})
	w.t.Cleanup(l.Close)
	return l
}

func (w *testbed) serve(address string, srv *http.Server) {
	ln, err := w.net.listen(address)
	assert.NilError(w.t, err)
	failOnPanic(w.t, srv)
	go func() { _ = srv.Serve(ln) }()
	w.t.Cleanup(func() { _ = srv.Close() })
}

func (w *testbed) node(id string, tunings []tuning) *testNode {
	n := newNode(id, "backend-"+id+port, func(cfg *inbound.Config) {
		cfg.Backend = w.link(110)
		cfg.Peers = w.link(0)
		for _, tune := range tunings {
			if tune.guard != nil {
				tune.guard(id, cfg)
			}
		}
	})
	w.serve("guard-"+id, &proxy.NewServer(n.guard).Server)
	stop := make(chan struct{})
	go func() { // the node's tick
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case now := <-tick.C:
				n.gate.Tick(now)
			case <-stop:
				return
			}
		}
	}()
	w.t.Cleanup(func() { close(stop) })
	return n
}

// told is what a caller learned of a call.
type told struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of the connection, or of the body
	took    time.Duration
}

func (w *testbed) call(method, target, body string, edit func(*http.Request)) told {
	w.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://front"+target, reader)
	assert.NilError(w.t, err)
	req.Host = testHost
	if edit != nil {
		edit(req)
	}
	begun := time.Now()
	resp, err := w.client.Do(req)
	if err != nil {
		return told{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return told{
		status: resp.StatusCode, outcome: resp.Header.Get(proxy.HeaderOutcome), reason: resp.Header.Get(proxy.HeaderReason),
		body: string(data), err: err, took: time.Since(begun),
	}
}
