package path_test

import (
	"bufio"
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/admission"
	"github.com/goldcrestshed/goldcrestshed/internal/balance"
	"github.com/goldcrestshed/goldcrestshed/internal/jsonc"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/inbound"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy/outbound"
	"github.com/goldcrestshed/goldcrestshed/internal/quarantine"
	"github.com/goldcrestshed/goldcrestshed/internal/retry"
	"github.com/goldcrestshed/goldcrestshed/internal/snapshot"
)

const testHost = "shop.example"

// serveCalls serves a handler as a node does and returns its address.
func serveCalls(t testing.TB, h http.Handler) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := proxy.NewServer(h)
	failOnPanic(t, &srv.Server)
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	return ln.Addr().String()
}

// panicLog notes whether net/http's server logged a panic of a handler or of
// its own.
type panicLog struct{ seen atomic.Bool }

func (l *panicLog) Write(p []byte) (int, error) {
	if strings.Contains(string(p), "panic") {
		l.seen.Store(true)
	}
	return len(p), nil
}

func failOnPanic(t testing.TB, srv *http.Server) {
	l := &panicLog{}
	srv.ErrorLog = log.New(l, "", 0)
	t.Cleanup(func() { assert.Assert(t, !l.seen.Load(), "a server panicked") })
}

// holderOf returns a holder with one route to a service behind the guards.
func holderOf(guards []string, edit func(*snapshot.Route)) *snapshot.Cache {
	svc := &snapshot.Service{Name: "shop", Policy: profile.Policy{Timeout: jsonc.Duration(2 * time.Second), Retries: 1, RetryBudget: 1, Queue: 64}}
	for i, address := range guards {
		svc.Endpoints = append(svc.Endpoints, &snapshot.Endpoint{ID: string(rune('a' + i)), Incarnation: 1, InboundAddress: address})
	}
	route := &snapshot.Route{ID: "shop/all", Service: svc, Route: profile.Route{Host: testHost, PathPrefix: "/"}}
	if edit != nil {
		edit(route)
	}
	h := snapshot.NewCache()
	h.Install(&snapshot.Snapshot{Generation: 1, Services: map[string]*snapshot.Service{svc.Name: svc}, Routes: []*snapshot.Route{route}})
	return h
}

// backendOf serves a backend server that is an ordinary handler.
func backendOf(t testing.TB, h http.HandlerFunc) string {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// scripted serves a backend server that reads one request's header on each
// connection and then hands the connection to the script.
func scripted(t testing.TB, script func(c net.Conn, r *bufio.Reader, req *http.Request)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r := bufio.NewReader(c)
				if req, err := http.ReadRequest(r); err == nil {
					script(c, r, req)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// clientOf returns a client of one protocol.
func clientOf(t testing.TB, h2 bool) *http.Client {
	tr := &http.Transport{DisableCompression: true, Protocols: &http.Protocols{}, ExpectContinueTimeout: 5 * time.Second}
	tr.Protocols.SetHTTP1(!h2)
	tr.Protocols.SetUnencryptedHTTP2(h2)
	t.Cleanup(tr.CloseIdleConnections)
	return &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
}

// newCall returns a call of the test's service.
func newCall(t testing.TB, method, address, target string, body io.Reader) *http.Request {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+target, body)
	assert.NilError(t, err)
	req.Host = testHost
	return req
}

// do sends a call and reads the whole answer.
func do(t testing.TB, c *http.Client, req *http.Request) (*http.Response, string, error) {
	t.Helper()
	resp, err := c.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// overBoth runs a test over HTTP/1.1 and HTTP/2.
func overBoth(t *testing.T, run func(t *testing.T, c *http.Client)) {
	t.Run("http1", func(t *testing.T) { run(t, clientOf(t, false)) })
	t.Run("http2", func(t *testing.T) { run(t, clientOf(t, true)) })
}

// exchangeRaw sends bytes to an address and returns what comes back until the
// connection ends.
func exchangeRaw(t *testing.T, address, text string) (string, error) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, text)
	assert.NilError(t, err)
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	data, err := io.ReadAll(c)
	return string(data), err
}

func rawCall(lines ...string) string {
	return strings.Join(append(lines, "Host: "+testHost, "Connection: close", "", ""), "\r\n")
}

// testNode is a front and a guard as one node has them.
type testNode struct {
	guard      *inbound.Proxy
	gate       *admission.Controller
	quarantine *quarantine.List
	address    string // of the guard
}

// newTestNode returns a node beside a backend server.
func newTestNode(t testing.TB, id, backend string, edit func(*inbound.Config)) *testNode {
	n := newNode(id, backend, edit)
	n.address = serveCalls(t, n.guard)
	return n
}

func newNode(id, backend string, edit func(*inbound.Config)) *testNode {
	n := &testNode{gate: admission.NewController(admission.Config{Slots: 18, Queue: 64}), quarantine: newList()}
	cfg := inbound.Config{
		Self: id, Address: backend, Backend: proxy.NewClient(proxy.ClientConfig{MaxConns: 110}), Peers: proxy.NewClient(proxy.ClientConfig{}),
		Gate: n.gate, HopConfig: proxy.HopConfig{Quarantine: n.quarantine}, InFlight: quarantine.NewInFlight(),
	}
	if edit != nil {
		edit(&cfg)
	}
	n.guard, n.gate = inbound.New(cfg), cfg.Gate
	return n
}

func newList() *quarantine.List { return quarantine.NewList(quarantine.Config{}) }

// newTestFront returns a front that routes to guards and the address for
// callers.
func newTestFront(t testing.TB, guards []string, edit func(*snapshot.Route)) string {
	t.Helper()
	return serveCalls(t, outbound.New(frontConfig(guards, edit)))
}

// frontConfig returns the configuration of a front that routes to guards.
func frontConfig(guards []string, edit func(*snapshot.Route)) outbound.Config {
	stats := balance.NewStats(balance.Config{})
	return outbound.Config{
		Snapshots: holderOf(guards, edit), Client: proxy.NewClient(proxy.ClientConfig{}),
		Balancer: balance.NewBalancer(stats, balance.Locality{}, rand.Uint64), Stats: stats,
		Budgets: retry.NewBudgets(), Latencies: retry.NewLatencies(), HopConfig: proxy.HopConfig{Quarantine: newList()},
	}
}

// newPath puts both nodes before a backend server and returns the address for
// callers.
func newPath(t testing.TB, backend string) string {
	t.Helper()
	return newTestFront(t, []string{newTestNode(t, "a", backend, nil).address}, nil)
}
