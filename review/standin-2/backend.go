package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// handler answers a request whose body was read, and returns false to close the
// connection.
type handler func(b *backend, w io.Writer, r *http.Request, body []byte) bool

// reader reads the body of a request.
type reader func(in *bufio.Reader, r *http.Request) ([]byte, error)

// Sizes and times of a backend server of a small site.
const (
	slots          = 9
	reportInterval = 870 * time.Millisecond
)

// backend is a stand-in of a backend server.
type backend struct {
	fleet   *fleet
	machine *machine

	mu       sync.Mutex
	handle   handler // guarded by mu
	read     reader  // guarded by mu; nil reads the body as it comes
	id       string  // guarded by mu
	born     int64   // guarded by mu; Unix ms
	sequence int     // guarded by mu
	ln       net.Listener
	conns    map[net.Conn]bool // guarded by mu
	runs     map[string]int    // guarded by mu; by id of the request
	starts   int               // guarded by mu
	stopped  chan struct{}
	stopOnce sync.Once
}

func startBackend(f *fleet, m *machine) (*backend, error) {
	b := &backend{fleet: f, machine: m, conns: map[net.Conn]bool{}, runs: map[string]int{}, stopped: make(chan struct{}), handle: answerPlainly}
	if err := b.listen(); err != nil {
		return nil, err
	}
	go b.reportPeriodically()
	return b, nil
}

// listen begins a new incarnation.
func (b *backend) listen() error {
	ln, err := net.Listen("tcp", b.machine.app)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	b.ln, b.born, b.sequence = ln, time.Now().UnixMilli(), 0
	b.id = fmt.Sprintf("i-%s-%d", b.machine.name, b.starts)
	go b.accept(ln)
	return nil
}

func (b *backend) setHandler(h handler) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.handle = h
}

func (b *backend) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = true
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := b.readBody(in, r)
		if err != nil {
			return
		}
		id := r.Header.Get(names.AttemptID)
		b.mu.Lock()
		b.runs[id]++
		run, handle := b.runs[id], b.handle
		b.mu.Unlock()
		b.fleet.note("%s runs %s %s %s (run %d here)", b.machine.name, id, r.Method, r.URL.Path, run)
		if !handle(b, conn, r, body) {
			return
		}
	}
}

func (b *backend) setReader(r reader) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.read = r
}

func (b *backend) readBody(in *bufio.Reader, r *http.Request) ([]byte, error) {
	b.mu.Lock()
	read := b.read
	b.mu.Unlock()
	if read == nil {
		return io.ReadAll(r.Body)
	}
	return read(in, r)
}

// runsOf returns how often the backend server has run a request.
func (b *backend) runsOf(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// crash resets all connections and leaves the address until the next incarnation.
func (b *backend) crash(down time.Duration) {
	b.mu.Lock()
	_ = b.ln.Close()
	b.ln = nil
	for conn := range b.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
	b.mu.Unlock()
	b.fleet.note("%s: the backend server has crashed", b.machine.name)
	time.AfterFunc(down, func() {
		select {
		case <-b.stopped:
			return
		default:
		}
		if err := b.listen(); err != nil {
			b.fleet.note("%s: the backend server cannot start again: %v", b.machine.name, err)
		}
	})
}

func (b *backend) stop() {
	b.stopOnce.Do(func() { close(b.stopped) })
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ln != nil {
		_ = b.ln.Close()
	}
	for conn := range b.conns {
		_ = conn.Close()
	}
}

func (b *backend) reportPeriodically() {
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	for {
		b.report()
		select {
		case <-tick.C:
		case <-b.stopped:
			return
		}
	}
}

// report sends a status report while the backend server is up.
func (b *backend) report() {
	b.mu.Lock()
	up := b.ln != nil
	b.sequence++
	id := b.id
	body, err := json.Marshal(map[string]any{
		"service": service, "address": b.machine.app, "zone": "salem", "version": "v1", "capacity": slots, "state": "ready",
		"warmup_left_s": 0, "sequence": b.sequence, "born": b.born,
	})
	b.mu.Unlock()
	if !up || err != nil {
		return
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+b.machine.reports+names.HeartbeatPath+id, "application/json", bytes.NewReader(body))
	if err != nil {
		return // the next report replaces this one
	}
	_ = resp.Body.Close()
}

// answerHead returns the head of an answer with status 200.
func answerHead(r *http.Request, length int, more ...string) string {
	id := r.Header.Get(names.AttemptID)
	lines := append([]string{"HTTP/1.1 200 OK", names.AttemptID + ": " + id, names.Signature + ": s." + id, fmt.Sprintf("Content-Length: %d", length)}, more...)
	return strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// answerPlainly answers a request with a short body.
func answerPlainly(_ *backend, w io.Writer, r *http.Request, _ []byte) bool {
	return answer(w, r, 20*time.Millisecond, 500)
}

// answer answers a request after a time with a body of a length and further lines in
// the head.
func answer(w io.Writer, r *http.Request, after time.Duration, length int, more ...string) bool {
	time.Sleep(after)
	_, err := io.WriteString(w, answerHead(r, length, more...)+strings.Repeat("x", length))
	return err == nil
}
