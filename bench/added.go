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

func init() { measurements["added"] = measureAdded }

// addedCase is one load level of the measurement of the latency that both proxies
// add. Calls alternate between the path through the proxies and the backend server
// itself, so that both see the same noise.
type addedCase struct {
	rate    int // calls per second, direct and proxied ones together
	workers int // maximum concurrent calls
}

var addedCases = []addedCase{
	{rate: 118, workers: 4}, // the proxied half is the 59 calls/s of a node at the design size
	{rate: 1000, workers: 16},
	{rate: 4000, workers: 32},
}

const (
	addedDuration  = 8 * time.Second
	addedWarmUp    = time.Second // excluded from the results
	addedBodyBytes = 1 << 10     // of a POST request and of every response
	addedHost      = "vitrine.example"
	addedSlots     = 18
	addedService   = "vitrine"
)

func measureAdded(ctx context.Context, seed int64, report func(Result)) error {
	p, err := newAddedPath()
	if err != nil {
		return err
	}
	defer p.stop()
	for _, c := range addedCases {
		direct, proxied, err := p.run(ctx, c)
		if err != nil {
			return err
		}
		note := fmt.Sprintf("%d calls/s, at most %d concurrent, half of them direct; proxied %.3g / %.3g, direct %.3g / %.3g (p50 / p99)",
			c.rate, c.workers, quantileMs(proxied, 0.5), quantileMs(proxied, 0.99), quantileMs(direct, 0.5), quantileMs(direct, 0.99))
		for _, percent := range []int{50, 99} {
			q := float64(percent) / 100
			report(Result{
				Measure: fmt.Sprintf("added_p%d_ms", percent), Ours: quantileMs(proxied, q) - quantileMs(direct, q), Baseline: quantileMs(direct, q),
				Unit: "ms", Nodes: 2, Seed: seed, Note: note,
			})
		}
	}
	return nil
}

// addedPath is an outbound proxy, an inbound proxy and a backend server, all in
// this process and connected over loopback.
type addedPath struct {
	direct, outbound string
	client           *http.Client
	servers          []httpServer
}

func newAddedPath() (*addedPath, error) {
	p := &addedPath{client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}}
	answer := bytes.Repeat([]byte("a"), addedBodyBytes)
	backendAddress, err := p.serve(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	})})
	if err != nil {
		return nil, err
	}
	inboundAddress, err := p.serve(proxy.NewServer(newAddedInbound(backendAddress)))
	if err != nil {
		return nil, err
	}
	outboundAddress, err := p.serve(proxy.NewServer(newAddedOutbound(inboundAddress)))
	p.direct, p.outbound = backendAddress, outboundAddress
	return p, err
}

// httpServer is what serve needs of a server.
type httpServer interface {
	Serve(net.Listener) error
	Close() error
}

func (p *addedPath) serve(srv httpServer) (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "listen")
	}
	p.servers = append(p.servers, srv)
	go func() { _ = srv.Serve(ln) }()
	return ln.Addr().String(), nil
}

func (p *addedPath) stop() {
	for _, srv := range p.servers {
		_ = srv.Close()
	}
}

func newAddedInbound(backendAddress string) *inbound.Proxy {
	return inbound.New(inbound.Config{
		HopConfig: proxy.HopConfig{Quarantine: quarantine.NewList(quarantine.Config{})},
		Self:      "b", Address: backendAddress, Backend: proxy.NewClient(proxy.ClientConfig{MaxConns: 110}), Peers: proxy.NewClient(proxy.ClientConfig{}),
		Admission: admission.NewController(admission.Config{Slots: addedSlots, Queue: 64}),
		InFlight:  quarantine.NewInFlight(),
	})
}

func newAddedOutbound(inboundAddress string) *outbound.Proxy {
	svc := &snapshot.Service{
		Name: addedService, Endpoints: []*snapshot.Endpoint{{ID: "b", Incarnation: 1, InboundAddress: inboundAddress}},
		Policy: profile.Policy{Timeout: jsonc.Duration(2 * time.Second), Retries: 1, RetryBudget: 0.1, Hedge: true},
	}
	route := &snapshot.Route{ID: "vitrine/all", Service: svc, Route: profile.Route{Host: addedHost, PathPrefix: "/"}}
	cache := snapshot.NewCache()
	cache.Install(&snapshot.Snapshot{Generation: 1, Services: map[string]*snapshot.Service{svc.Name: svc}, Routes: []*snapshot.Route{route}})
	stats := balance.NewStats(balance.Config{})
	return outbound.New(outbound.Config{
		HopConfig: proxy.HopConfig{Quarantine: quarantine.NewList(quarantine.Config{})},
		Snapshots: cache, Client: proxy.NewClient(proxy.ClientConfig{}), Stats: stats,
		Balancer: balance.NewBalancer(stats, balance.Locality{}, rand.Uint64),
		Budgets:  retry.NewBudgets(), Latencies: retry.NewLatencies(),
	})
}

// run makes the calls of a case and returns the latencies of the direct and the
// proxied calls.
func (p *addedPath) run(ctx context.Context, c addedCase) (direct, proxied []time.Duration, err error) {
	var (
		callers sync.WaitGroup
		mu      sync.Mutex // guards the return values
	)
	start := time.Now()
	for w := range c.workers {
		callers.Go(func() {
			directTimes, proxiedTimes, workerErr := p.sendCalls(ctx, c, w, start)
			mu.Lock()
			defer mu.Unlock()
			direct, proxied, err = append(direct, directTimes...), append(proxied, proxiedTimes...), errors.CombineErrors(err, workerErr)
		})
	}
	callers.Wait()
	return direct, proxied, err
}

// sendCalls makes the calls of one worker at a fixed interval, offset from those
// of the other workers.
func (p *addedPath) sendCalls(ctx context.Context, c addedCase, worker int, start time.Time) (direct, proxied []time.Duration, err error) {
	interval := time.Second * time.Duration(c.workers) / time.Duration(c.rate)
	next := start.Add(interval * time.Duration(worker) / time.Duration(c.workers))
	for i := 0; time.Since(start) < addedDuration; i++ {
		time.Sleep(time.Until(next))
		next = next.Add(interval)
		address := p.direct
		if i%2 == 1 {
			address = p.outbound
		}
		elapsed, err := p.call(ctx, address, i/2%2 == 1)
		switch {
		case err != nil:
			return direct, proxied, err
		case time.Since(start) < addedWarmUp:
		case i%2 == 1:
			proxied = append(proxied, elapsed)
		default:
			direct = append(direct, elapsed)
		}
	}
	return direct, proxied, nil
}

func (p *addedPath) call(ctx context.Context, address string, post bool) (time.Duration, error) {
	method, body := http.MethodGet, io.Reader(nil)
	if post {
		method, body = http.MethodPost, strings.NewReader(strings.Repeat("b", addedBodyBytes))
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/offers?page=1", body)
	if err != nil {
		return 0, errors.Wrap(err, "make request")
	}
	req.Host = addedHost
	start := time.Now()
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
	return time.Since(start), nil
}

// quantileMs returns the q-quantile in ms: of n samples in sorted order, the one
// at index q*(n-1), rounded down. It sorts the durations in place.
func quantileMs(durations []time.Duration, q float64) float64 {
	if len(durations) == 0 {
		return 0
	}
	slices.Sort(durations)
	return durations[int(q*float64(len(durations)-1))].Seconds() * 1000
}
