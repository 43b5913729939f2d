// Package demo demonstrates a small system in one process: a stand-in of the
// log, three backend servers and their nodes on free loopback ports.
package demo

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/operator"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

const (
	serviceName  = "vitrine"
	hostName     = "vitrine.example"
	nodeCount    = 3
	stepTimeout  = 10 * time.Second // of one step
	pollInterval = 20 * time.Millisecond
	callsPerNode = 20
)

// Demo is one run of the demonstration.
type Demo struct {
	out      io.Writer
	log      *server
	nodes    []*member
	operator *operator.Client
}

// Run runs the steps in order and returns the error of the first that fails.
// With stay it skips the last step and serves until the context ends.
func Run(ctx context.Context, out io.Writer, stay bool) error {
	d := &Demo{out: out}
	defer d.close()
	steps := []struct {
		name string
		run  func(context.Context) error
	}{
		{"start a log, three backend servers and their nodes", d.start},
		{"publish profile " + serviceName, d.publish},
		{"call through every node", d.callEveryNode},
		{"kill one backend server; callers still get answers", d.killBackendServer},
		{"revise the profile; every node takes the new version", d.revise},
		{"retire the profile; the route is gone", d.retire},
	}
	for i, s := range steps {
		if stay && i == len(steps)-1 {
			break // keep the route for manual calls
		}
		fmt.Fprintf(out, "%d. %s\n", i+1, s.name)
		if err := d.step(ctx, s.run); err != nil {
			return errors.Wrapf(err, "step %d failed", i+1)
		}
	}
	if stay {
		d.printAddresses()
		<-ctx.Done()
		return nil
	}
	fmt.Fprintln(out, "every step succeeded")
	return nil
}

func (d *Demo) step(ctx context.Context, run func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	return run(ctx)
}

func (d *Demo) start(ctx context.Context) error {
	var err error
	if d.log, err = startLog(); err != nil {
		return err
	}
	d.operator = operator.NewClient(platformlog.NewClient(d.log.address, nil), "demo", time.Now)
	if err := d.operator.Init(ctx); err != nil {
		return err
	}
	for i := range nodeCount {
		m, err := startMember(i, d.log.address)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, m)
		fmt.Fprintf(d.out, "   node %s: calls %s, admin %s, backend server %s\n", m.id, m.node.CallsAddress(), m.node.AdminAddress(), m.backend.address)
	}
	return d.awaitMembers(ctx)
}

// awaitMembers waits until every node knows all others.
func (d *Demo) awaitMembers(ctx context.Context) error {
	for _, m := range d.nodes {
		err := waitUntil(ctx, func() error {
			if known := m.node.Status().Members; known != nodeCount {
				return errors.Newf("node %s knows %d of %d nodes", m.id, known, nodeCount)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

const profileText = `{
	"kind": "profile", "name": "vitrine",
	"routes": [{"name": "all", "host": "vitrine.example", "service": "vitrine"}],
	"policy": {"timeout": "%s", "retries": 2},
}`

func (d *Demo) publish(ctx context.Context) error { return d.publishTimeout(ctx, "2s") }

func (d *Demo) revise(ctx context.Context) error { return d.publishTimeout(ctx, "1s") }

// publishTimeout publishes the profile with a timeout and waits until every
// node has reached its position.
func (d *Demo) publishTimeout(ctx context.Context, timeout string) error {
	docs, findings := profile.ParseFile("demo", fmt.Appendf(nil, profileText, timeout))
	if err := findings.Err(); err != nil {
		return err
	}
	before, err := d.operator.State(ctx)
	if err != nil {
		return err
	}
	return d.submitEdits(ctx, operator.PublishEdits(before, docs))
}

func (d *Demo) retire(ctx context.Context) error {
	before, err := d.operator.State(ctx)
	if err != nil {
		return err
	}
	edits, err := operator.RetireEdits(before, profile.Key{Kind: profile.KindProfile, Name: serviceName}, true)
	if err != nil {
		return err
	}
	if err := d.submitEdits(ctx, edits); err != nil {
		return err
	}
	return d.awaitStatus(ctx, http.StatusNotFound)
}

func (d *Demo) submitEdits(ctx context.Context, edits []profile.Edit) error {
	start := time.Now()
	after, err := d.operator.Submit(ctx, edits)
	if err != nil {
		return err
	}
	for _, m := range d.nodes {
		if err := waitUntil(ctx, func() error { return m.checkPosition(after.Position) }); err != nil {
			return err
		}
	}
	fmt.Fprintf(d.out, "   position %s in force on %d nodes after %s\n", after.Position, len(d.nodes), time.Since(start).Round(time.Millisecond))
	return nil
}

func (d *Demo) callEveryNode(ctx context.Context) error {
	if err := d.awaitStatus(ctx, http.StatusOK); err != nil {
		return err
	}
	return d.sendCalls(ctx)
}

func (d *Demo) killBackendServer(ctx context.Context) error {
	d.nodes[0].backend.close()
	return d.sendCalls(ctx)
}

// sendCalls sends reads and writes with idempotency keys through every node and
// fails unless each is answered with status 200.
func (d *Demo) sendCalls(ctx context.Context) error {
	answered := 0
	for _, m := range d.nodes {
		for i := range callsPerNode {
			method := http.MethodGet
			if i%4 == 0 {
				method = http.MethodPost
			}
			r, err := call(ctx, method, m.node.CallsAddress())
			if err != nil || r.status != http.StatusOK {
				return errors.Newf("%s through node %s: %s, error %v", method, m.id, r, err)
			}
			answered++
		}
	}
	fmt.Fprintf(d.out, "   %d of %d calls answered\n", answered, answered)
	return nil
}

func (d *Demo) awaitStatus(ctx context.Context, want int) error {
	for _, m := range d.nodes {
		err := waitUntil(ctx, func() error {
			r, err := call(ctx, http.MethodGet, m.node.CallsAddress())
			if err != nil || r.status != want {
				return errors.Newf("node %s: %s, want %d, error %v", m.id, r, want, err)
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// response is the result of a call as its caller sees it.
type response struct {
	status  int
	outcome string
	reason  string
}

func (r response) String() string {
	return fmt.Sprintf("status %d, outcome %q, reason %q", r.status, r.outcome, r.reason)
}

func call(ctx context.Context, method, address string) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+"/offers", strings.NewReader("demo"))
	if err != nil {
		return response{}, err
	}
	req.Host = hostName
	if method == http.MethodPost {
		key, err := uuid.NewV7()
		if err != nil {
			return response{}, err
		}
		req.Header.Set(proxy.HeaderIdempotencyKey, key.String())
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return response{resp.StatusCode, resp.Header.Get(proxy.HeaderOutcome), resp.Header.Get(proxy.HeaderReason)}, err
}

// waitUntil repeats check until it succeeds or the context ends.
func waitUntil(ctx context.Context, check func() error) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.Wrap(err, "stopped waiting")
		}
	}
}

func (d *Demo) printAddresses() {
	fmt.Fprintf(d.out, "log %s\n", d.log.address)
	for _, m := range d.nodes {
		fmt.Fprintf(d.out, "curl -H 'Host: %s' http://%s/offers\n", hostName, m.node.CallsAddress())
	}
	fmt.Fprintln(d.out, "stop with Ctrl-C")
}

func (d *Demo) close() {
	for _, m := range d.nodes {
		m.close()
	}
	if d.log != nil {
		d.log.close()
	}
}

// server is an HTTP server on a free loopback port.
type server struct {
	address string
	srv     *http.Server
}

func startServer(h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	s := &server{address: ln.Addr().String(), srv: &http.Server{Handler: h, ReadHeaderTimeout: stepTimeout}}
	go func() { _ = s.srv.Serve(ln) }()
	return s, nil
}

func (s *server) close() { _ = s.srv.Close() }
