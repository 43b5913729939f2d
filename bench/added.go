package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

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

func init() { measures["added"] = measureAdded }

// addedCase is one load of the measurement. Half of the calls take the path
// through both nodes and half go to the backend server directly, in turn, so
// that both see the same noise.
type addedCase struct {
	rate    int // calls per second in all
	workers int // calls at once at most
}

var addedCases = []addedCase{
	{rate: 118, workers: 4}, // the path gets the 59 calls/s of a node of the design size
	{rate: 1000, workers: 16},
	{rate: 4000, workers: 32},
}

const (
	addedLength  = 8 * time.Second
	addedWarm    = time.Second // not counted
	addedBody    = 1 << 10     // bytes of a POST's body and of every answer
	addedHost    = "vitrine.example"
	addedSlots   = 18
	addedService = "vitrine"
)

func measureAdded(ctx context.Context, seed int64, report func(Result)) error {
	p, err := newAddedPath()
	if err != nil {
		return err
	}
	defer p.close()
	for _, c := range addedCases {
		direct, path, err := p.run(ctx, c)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d calls/s, %d at once at most, half of them direct; path %.3g / %.3g, direct %.3g / %.3g (p50 / p99)",
			c.rate, c.workers, quantileMs(path, 0.5), quantileMs(path, 0.99), quantileMs(direct, 0.5), quantileMs(direct, 0.99))
		for _, percent := range []int{50, 99} {
			q := float64(percent) / 100
			report(Result{
				Measure: fmt.Sprintf("added_p%d_ms", percent), Ours: quantileMs(path, q) - quantileMs(direct, q), Baseline: quantileMs(direct, q),
				Unit: "ms", Nodes: 2, Seed: seed, Note: note,
			})
		}
	}
	return nil
}

// addedPath is two nodes and a backend server on loopback in this process.
type addedPath struct {
	direct, front string
	client        *http.Client
	servers       []server
}

func newAddedPath() (*addedPath, error) {
	p := &addedPath{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	answer := bytes.Repeat([]byte("a"), addedBody)
	backend, err := p.serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})})
	if err != nil {
		return nil, err
	}
	guard, err := p.serve(proxy.NewServer(newAddedGuard(backend)))
	if err != nil {
		return nil, err
	}
	front, err := p.serve(proxy.NewServer(newAddedFront(guard)))
	p.direct, p.front = backend, front
	return p, err
}

// server is an HTTP server of the path.
type server interface {
	Serve(net.Listener) error
	Close() error
}

func (p *addedPath) serve(srv server) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (p *addedPath) close() {
	for _, srv := range p.servers {
		_ = srv.Close()
	}
}

func newAddedGuard(backend string) *inbound.Proxy {
	return inbound.New(inbound.Config{
		HopConfig: proxy.HopConfig{Quarantine: quarantine.NewList(quarantine.Config{})},
		Self:      "b", Address: backend, Backend: proxy.NewClient(proxy.ClientConfig{MaxConns: 110}), Peers: proxy.NewClient(proxy.ClientConfig{}),
		Gate:     admission.NewController(admission.Config{Slots: addedSlots, Queue: 64}),
		InFlight: quarantine.NewInFlight(),
	})
}

func newAddedFront(guard string) *outbound.Proxy {
	svc := &snapshot.Service{
		Name: addedService, Endpoints: []*snapshot.Endpoint{{ID: "b", Incarnation: 1, InboundAddress: guard}},
		Policy: profile.Policy{Timeout: jsonc.Duration(2 * time.Second), Retries: 1, RetryBudget: 0.1, Hedge: true},
	}
	route := &snapshot.Route{ID: "vitrine/all", Service: svc, Route: profile.Route{Host: addedHost, PathPrefix: "/"}}
	holder := snapshot.NewCache()
	holder.Install(&snapshot.Snapshot{Generation: 1, Services: map[string]*snapshot.Service{svc.Name: svc}, Routes: []*snapshot.Route{route}})
	stats := balance.NewStats(balance.Config{})
	return outbound.New(outbound.Config{
		HopConfig: proxy.HopConfig{Quarantine: quarantine.NewList(quarantine.Config{})},
		Snapshots: holder, Client: proxy.NewClient(proxy.ClientConfig{}), Stats: stats,
		Balancer: balance.NewBalancer(stats, balance.Locality{}, rand.Uint64),
		Budgets:  retry.NewBudgets(), Latencies: retry.NewLatencies(),
	})
}

// run makes the calls of a case and returns the times of both ways.
func (p *addedPath) run(ctx context.Context, c addedCase) (direct, path []time.Duration, err error) {
	var (
		all sync.WaitGroup
		mu  sync.Mutex // guards the results
	)
	begun := time.Now()
	for w := range c.workers {
		all.Go(func() {
			d, v, e := p.work(ctx, c, w, begun)
			mu.Lock()
			defer mu.Unlock()
			direct, path, err = append(direct, d...), append(path, v...), errors.CombineErrors(err, e)
		})
	}
	all.Wait()
	return direct, path, err
}

// work makes the calls of one worker at its own steady times.
func (p *addedPath) work(ctx context.Context, c addedCase, worker int, begun time.Time) (direct, path []time.Duration, err error) {
	step := time.Second * time.Duration(c.workers) / time.Duration(c.rate)
	next := begun.Add(step * time.Duration(worker) / time.Duration(c.workers))
	for i := 0; time.Since(begun) < addedLength; i++ {
		time.Sleep(time.Until(next))
		next = next.Add(step)
		address := p.direct
		if i%2 == 1 {
			address = p.front
		}
		took, err := p.call(ctx, address, i/2%2 == 1)
		switch {
		case err != nil:
			return direct, path, err
		case time.Since(begun) < addedWarm:
		case i%2 == 1:
			path = append(path, took)
		default:
			direct = append(direct, took)
		}
	}
	return direct, path, nil
}

func (p *addedPath) call(ctx context.Context, address string, post bool) (time.Duration, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if post {
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("b", addedBody))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/offers?page=1", body)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	req.Host = addedHost
	begun := time.Now()
	resp, err := p.client.Do(req)
	if err != nil {
		return 0, errors.Wrap(err, "call")
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return 0, errors.Newf("status %d", resp.StatusCode)
	}
	return time.Since(begun), nil
}

func quantileMs(times []time.Duration, q float64) float64 {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))].Seconds() * 1000
}
