package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// Times of the case.
const (
	lateInterval    = 50 * time.Millisecond // between two requests of the client
	lateServiceTime = 100 * time.Millisecond
	drainBound      = 2 * time.Second // drain_s
	lateDownTime    = 500 * time.Millisecond
	lateKillAfter   = 2 * time.Second  // after the acknowledgement
	lateServeTime   = 10 * time.Second // how long the leaving server still serves
)

// playLateReport restarts the node beside a server that has left, while a status
// report that the server sent before that is still under way.
func playLateReport(r *record, folder string, trouble bool) (bool, error) {
	f, err := newFleet(r, folder, "config.json")
	if err != nil {
		return false, err
	}
	defer f.close()
	caller, err := f.add("agenda-1", "agenda", "poa-a", 9, plainAnswer(20*time.Millisecond, 400))
	if err != nil {
		return false, err
	}
	var left atomic.Bool
	leaver, err := f.add("acervo-1", "acervo", "poa-a", 9, leavingAnswer(&left))
	if err != nil {
		return false, err
	}
	if _, err := f.add("acervo-2", "acervo", "poa-b", 9, plainAnswer(20*time.Millisecond, 400)); err != nil {
		return false, err
	}
	if err := f.awaitReady(); err != nil {
		return false, err
	}
	time.Sleep(3 * time.Second)

	b := leaver.backend
	ctx, cancel := context.WithTimeout(context.Background(), lateServeTime)
	defer cancel()
	watch := &leavingWatch{sent: map[string]time.Time{}}
	go f.sendEvery(ctx, caller, watch)
	time.Sleep(time.Second)
	late, url := b.delayedReport()
	b.cancelReports()
	left.Store(true)
	if !b.deregister() {
		return false, errors.New("the departure was not acknowledged")
	}
	acked := time.Now()
	r.printf("server acervo-1: its departure is acknowledged; it goes on to serve")

	time.Sleep(lateKillAfter)
	if trouble {
		leaver.kill()
		time.Sleep(lateDownTime)
		if err := leaver.start(); err != nil {
			return false, err
		}
	} else {
		time.Sleep(lateDownTime)
	}
	status := deliver(url, late)
	r.printf("server acervo-1: its report from before the departure arrives %.2f s after it, answered %d", time.Since(acked).Seconds(), status)
	<-ctx.Done()
	return watch.reached(b)
}

// reached reports whether a request that was sent too late reached the server.
func (w *leavingWatch) reached(b *backend) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.first.IsZero() {
		return false, errors.New("no answer said that the server leaves")
	}
	broken := false
	for id, sent := range w.sent {
		if since := sent.Sub(w.first); since > drainBound && b.ran(id) > 0 {
			b.record.printf("DRAIN: request %s, sent %.2f s after agenda-1 had passed on an answer that says that acervo-1 leaves, reached acervo-1", id, since.Seconds())
			broken = true
		}
	}
	return broken, nil
}

// leavingWatch holds what the client has sent, and when it first got an answer that
// says that its server leaves.
type leavingWatch struct {
	mu    sync.Mutex
	sent  map[string]time.Time // guarded by mu; by attempt id
	first time.Time            // guarded by mu
}

// leavingAnswer answers like plainAnswer and says so once the server has left.
func leavingAnswer(left *atomic.Bool) answerFunc {
	return func(_ *backend, conn net.Conn, r *http.Request, _ []byte) bool {
		time.Sleep(lateServiceTime)
		id, leaving := r.Header.Get(names.AttemptID), ""
		if left.Load() {
			leaving = "Server-Leaving: 1\r\n"
		}
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: sig-%s\r\n%sContent-Length: 2\r\n\r\nok", names.AttemptID, id, names.Signature, id, leaving)
		return err == nil
	}
}

// sendEvery sends requests until the context ends.
func (f *fleet) sendEvery(ctx context.Context, i *instance, w *leavingWatch) {
	for ctx.Err() == nil {
		go func() {
			sent := time.Now()
			res := f.request(i, "GET", "acervo.example", "/packs/one", "", 2*time.Second)
			w.mu.Lock()
			defer w.mu.Unlock()
			w.sent[res.id] = sent
			if w.first.IsZero() && res.header.Get("Server-Leaving") == "1" {
				w.first = time.Now()
				f.record.printf("client at %s: the answer to %s says that its server leaves", i.id, res.id)
			}
		}()
		time.Sleep(lateInterval)
	}
}

// delayedReport returns a report that the server has sent and that is still under
// way, and where it goes.
func (b *backend) delayedReport() ([]byte, string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	b.record.printf("server %s: sends report %d, which is delayed", b.name, b.seq)
	return b.reportBody(b.seq, "ready"), "http://" + b.reportTo + names.HeartbeatPath + b.id
}

// deliver delivers a report as soon as the node listens, or as much later as LATE
// says, and returns the status.
func deliver(url string, body []byte) int {
	if d, err := time.ParseDuration(os.Getenv("LATE")); err == nil {
		time.Sleep(d)
	}
	for until := time.Now().Add(3 * time.Second); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		resp, err := http.Post(url, "application/json", bytes.NewReader(body))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	return 0
}

// deregister tells the node that the server leaves.
func (b *backend) deregister() bool {
	body, err := json.Marshal(map[string]any{"born": b.born})
	if err != nil {
		return false
	}
	resp, err := http.Post("http://"+b.reportTo+names.DeregisterPath+b.id, "application/json", bytes.NewReader(body))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
