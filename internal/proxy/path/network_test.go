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

// testNetwork is an in-memory network for tests in the virtual time of synctest.
// Its connections are pipes that can be made to drop all data or be closed.
type testNetwork struct {
	mu        sync.Mutex
	listeners map[string]*memListener
	conns     map[string][]*memConn // by dialled address without defaultPort
}

func newTestNetwork() *testNetwork {
	return &testNetwork{listeners: map[string]*memListener{}, conns: map[string][]*memConn{}}
}

type memAddr string

func (memAddr) Network() string  { return "mem" }
func (a memAddr) String() string { return string(a) }

type memListener struct {
	network   *testNetwork
	address   string
	backlog   chan net.Conn
	closeOnce sync.Once
	closed    chan struct{}
}

func (l *memListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memListener) Addr() net.Addr { return memAddr(l.address) }

func (l *memListener) Close() error {
	l.closeOnce.Do(func() {
		l.network.mu.Lock()
		defer l.network.mu.Unlock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		close(l.closed)
	})
	return nil
}

// listen registers a listener, in place of an earlier one at the address.
func (n *testNetwork) listen(address string) (net.Listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &memListener{network: n, address: address, backlog: make(chan net.Conn, 100), closed: make(chan struct{})}
	n.listeners[address] = l
	return l, nil
}

func (n *testNetwork) dial(_ context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address = strings.TrimSuffix(address, defaultPort)
	l := n.listeners[address]
	if l == nil {
		return nil, errors.New("connection refused")
	}
	a, b := net.Pipe()
	c := &memConn{Conn: a, closed: make(chan struct{})}
	n.conns[address] = append(n.conns[address], c)
	l.backlog <- b
	return c, nil
}

// silence makes the existing connections to an address drop all data without
// closing; new connections work.
func (n *testNetwork) silence(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns[address] {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

// cut closes the existing connections to an address. A read of the dialling end of
// a silenced one stays blocked.
func (n *testNetwork) cut(address string) {
	n.mu.Lock()
	conns := n.conns[address]
	n.conns[address] = nil
	n.mu.Unlock()
	for _, c := range conns {
		_ = c.Conn.Close()
	}
}

// kill makes an address unreachable: it closes the listener and the connections to
// it. The server behind it keeps its state.
func (n *testNetwork) kill(address string) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	n.cut(address)
}

// memConn is the dialling end of a connection.
type memConn struct {
	net.Conn
	mu        sync.Mutex
	silent    bool
	closeOnce sync.Once
	closed    chan struct{}
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
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *memConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// defaultPort is part of dialled addresses; listeners are registered without it.
const defaultPort = ":80"

// testbed is an outbound proxy, several inbound proxies and their backend servers
// on a testNetwork.
type testbed struct {
	t              *testing.T
	net            *testNetwork
	nodes          map[string]*testNode
	outboundConfig outbound.Config
	client         *http.Client
}

// configHooks change the configuration of a testbed's proxies.
type configHooks struct {
	outbound func(*outbound.Config)
	inbound  func(id string, cfg *inbound.Config)
}

// newTestbed starts an outbound proxy and, for each letter of ids, an inbound proxy
// and a backend server that runs the handler; a nil handler starts no backend
// servers. edit, which may be nil, edits the route. The addresses are outbound,
// inbound-a, backend-a and so on.
func newTestbed(t *testing.T, ids string, handler func(id string) http.Handler, edit func(*snapshot.Route), hooks ...configHooks) *testbed {
	tb := &testbed{t: t, net: newTestNetwork(), nodes: map[string]*testNode{}}
	var inboundAddresses []string
	for _, id := range strings.Split(ids, "") {
		if handler != nil {
			tb.serve("backend-"+id, &http.Server{Handler: handler(id)})
		}
		n := tb.startNode(id, hooks)
		tb.nodes[id] = n
		inboundAddresses = append(inboundAddresses, "inbound-"+id+defaultPort)
	}
	tb.outboundConfig = newOutboundConfig(inboundAddresses, edit)
	tb.outboundConfig.Client = tb.newClient(0)
	for _, h := range hooks {
		if h.outbound != nil {
			h.outbound(&tb.outboundConfig)
		}
	}
	tb.serve("outbound", &proxy.NewServer(outbound.New(tb.outboundConfig)).Server)
	tr := &http.Transport{DialContext: tb.net.dial, DisableCompression: true}
	tb.client = &http.Client{Transport: tr}
	t.Cleanup(tr.CloseIdleConnections)
	return tb
}

func (tb *testbed) newClient(maxConns int) *proxy.Client {
	c := proxy.NewClient(proxy.ClientConfig{Dial: tb.net.dial, MaxConns: maxConns})
	tb.t.Cleanup(c.Close)
	return c
}

func (tb *testbed) serve(address string, srv *http.Server) {
	ln, err := tb.net.listen(address)
	assert.NilError(tb.t, err)
	failOnPanic(tb.t, srv)
	go func() { _ = srv.Serve(ln) }()
	tb.t.Cleanup(func() { _ = srv.Close() })
}

func (tb *testbed) startNode(id string, hooks []configHooks) *testNode {
	n := newTestNode(id, "backend-"+id+defaultPort, func(cfg *inbound.Config) {
		cfg.Backend = tb.newClient(110) // the default of backendServer.connections
		cfg.Peers = tb.newClient(0)
		for _, h := range hooks {
			if h.inbound != nil {
				h.inbound(id, cfg)
			}
		}
	})
	tb.serve("inbound-"+id, &proxy.NewServer(n.inbound).Server)
	stop := make(chan struct{})
	go func() { // a node calls Tick periodically as well
		tick := time.NewTicker(10 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case now := <-tick.C:
				n.admission.Tick(now)
			case <-stop:
				return
			}
		}
	}()
	tb.t.Cleanup(func() { close(stop) })
	return n
}

// callResult is the result of a call as its caller sees it. Without an answer, only
// err and took are set.
type callResult struct {
	status  int
	outcome string
	reason  string
	body    string
	err     error // of sending the call or of reading the answer
	took    time.Duration
}

func (tb *testbed) call(method, target, body string, edit func(*http.Request)) callResult {
	tb.t.Helper()
	var reader io.Reader
	if body != "" {
		reader = strings.NewReader(body)
	}
	req, err := http.NewRequest(method, "http://outbound"+target, reader)
	assert.NilError(tb.t, err)
	req.Host = testHost
	if edit != nil {
		edit(req)
	}
	start := time.Now()
	resp, err := tb.client.Do(req)
	if err != nil {
		return callResult{err: err, took: time.Since(start)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResult{
		status: resp.StatusCode, outcome: resp.Header.Get(proxy.HeaderOutcome), reason: resp.Header.Get(proxy.HeaderReason),
		body: string(data), err: err, took: time.Since(start),
	}
}
