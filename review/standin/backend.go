package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeatInterval is the interval of a backend server's status reports.
const heartbeatInterval = 1500 * time.Millisecond

// answerFunc writes the answer to a request that the backend server runs. It
// returns false to close the connection.
type answerFunc func(b *backend, conn net.Conn, r *http.Request, body []byte) bool

// backend is a backend server that speaks HTTP/1.1 with one request at a time on a
// connection.
type backend struct {
	record   *record
	name     string
	service  string
	zone     string
	address  string
	reportTo string
	slots    int
	answer   answerFunc

	id     string
	born   int64
	cancel context.CancelFunc
	// cancelReports ends the status reports.
	cancelReports context.CancelFunc

	mu    sync.Mutex
	conns map[net.Conn]struct{} // guarded by mu
	runs  map[string]int        // guarded by mu; by attempt id
	seq   int64                 // guarded by mu
}

// start starts the server with a new instance id.
func (b *backend) start() error {
	ln, err := net.Listen("tcp", b.address)
	if err != nil {
		return err
	}
	now := time.Now()
	b.id, b.born = fmt.Sprintf("i-%x", now.UnixNano()&0xffffffff), now.UnixMilli()
	b.mu.Lock()
	b.conns, b.runs = map[net.Conn]struct{}{}, map[string]int{}
	b.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	b.cancel = cancel
	context.AfterFunc(ctx, func() { _ = ln.Close() })
	go b.accept(ln)
	ctx, b.cancelReports = context.WithCancel(ctx)
	go b.report(ctx)
	return nil
}

// stop closes the listener and all connections.
func (b *backend) stop() {
	if b.cancel == nil {
		return
	}
	b.cancel()
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.Close()
	}
}

func (b *backend) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		b.mu.Lock()
		b.conns[conn] = struct{}{}
		b.mu.Unlock()
		go b.serve(conn)
	}
}

func (b *backend) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		b.mu.Lock()
		delete(b.conns, conn)
		b.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if !b.run(conn, r, body) {
			return
		}
	}
}

// run runs a request unless it is for another instance.
func (b *backend) run(conn net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(names.AttemptID)
	if target := r.Header.Get(names.Target); target != "" && target != b.id {
		b.record.printf("server %s (%s): request %s is for instance %s, answers 421", b.name, b.service, id, target)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", names.Instance, b.id)
		return err == nil
	}
	b.mu.Lock()
	b.runs[id]++
	n := b.runs[id]
	b.mu.Unlock()
	b.record.printf("server %s (%s): runs request %s, %s %s%s, run %d of it here", b.name, b.service, id, r.Method, r.Host, r.RequestURI, n)
	return b.answer(b, conn, r, body)
}

// ran returns how often the server began to run a request.
func (b *backend) ran(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// plainAnswer answers with a body of known length after a service time.
func plainAnswer(service time.Duration, size int) answerFunc {
	return func(_ *backend, conn net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(service)
		body := bytes.Repeat([]byte("x"), size)
		id := r.Header.Get(names.AttemptID)
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\nContent-Length: %d\r\n\r\n%s", names.AttemptID, id, names.Signature, id, len(body), body)
		return err == nil
	}
}

func (b *backend) report(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for wait := time.Duration(0); ; wait = heartbeatInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		for !b.heartbeat(ctx, "ready") { // the first reports may come before the node listens
			select {
			case <-ctx.Done():
				return
			case <-time.After(200 * time.Millisecond):
			}
		}
	}
}

// reportBody returns the body of a status report.
func (b *backend) reportBody(sequence int64, state string) []byte {
	body, err := json.Marshal(map[string]any{
		"service": b.service, "address": b.address, "zone": b.zone, "version": "v1", "capacity": b.slots,
		"state": state, "warmup_left_s": 0, "sequence": sequence, "born": b.born,
	})
	if err != nil {
		panic("marshal a status report: " + err.Error())
	}
	return body
}

// heartbeat sends one status report and reports whether it was acknowledged.
func (b *backend) heartbeat(ctx context.Context, state string) bool {
	b.mu.Lock()
	b.seq++
	sequence := b.seq
	b.mu.Unlock()
	body := b.reportBody(sequence, state)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.reportTo+names.HeartbeatPath+b.id, bytes.NewReader(body))
	if err != nil {
		return false
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode/100 == 2
}
