package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Times of the case of the request that is known to crash backend servers and is
// forgotten.
const (
	knownTime     = 5 * time.Second // before the first machine is stopped
	stopRounds    = 5
	stopGap       = time.Second // between two machines
	settleTime    = contact + time.Second
	quietTime     = 60 * time.Second // of the case without the disruption, instead
	forgottenEach = time.Second
)

// playForgottenPoison has a request come again and again, with the same path and body,
// that crashes each backend server that begins to run it. The disruption is that the
// machines are stopped and started in turn. The request is sent by machines only that
// have been started for longer than the time after which they are in touch.
func playForgottenPoison(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	f.setHandlers(func(b *backend, w io.Writer, r *http.Request, _ []byte) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			return answer(w, r, 20*time.Millisecond, 500)
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		b.crash(crashedFor)
		return false
	})
	time.Sleep(contact)
	var over atomic.Bool
	var all sync.WaitGroup
	for i := range browsers {
		all.Go(func() {
			for n := 0; !over.Load(); n++ {
				if m := f.machines[i%len(f.machines)]; m.inTouch() {
					f.send(m, http.MethodGet, fmt.Sprintf("%s%d-%d", idempotentPath, i, n), newID())
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	all.Go(func() {
		for n := 0; !over.Load(); n++ {
			if m := f.machines[n%len(f.machines)]; m.inTouch() {
				f.sendPoison(m)
			}
			time.Sleep(forgottenEach)
		}
	})
	err := f.stopInTurn(trouble)
	over.Store(true)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range arrivals {
		if i > 2 && at.Sub(arrivals[2]) > contact {
			late++
		}
	}
	f.note("the request reached backend servers %d times, %d of them later than %v after the third crash", len(arrivals), late, contact)
	return late > retriesAllowed, err
}

// stopInTurn stops and starts the machines in turn, or waits.
func (f *fleet) stopInTurn(trouble bool) error {
	time.Sleep(knownTime)
	if !trouble {
		time.Sleep(quietTime)
		return nil
	}
	for range stopRounds {
		for _, m := range f.machines {
			if err := f.restart(m); err != nil {
				return err
			}
			time.Sleep(stopGap)
		}
		time.Sleep(settleTime)
	}
	return nil
}

// restart stops the node of a machine with SIGTERM and starts it again.
func (f *fleet) restart(m *machine) error {
	m.startedAt.Store(nil)
	f.note("SIGTERM to %s", m.name)
	if err := m.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case <-m.exited:
	case <-time.After(graceTime):
		_ = m.process.Process.Kill()
		<-m.exited
	}
	if err := m.writeSettings("200ms"); err != nil {
		return err
	}
	if err := f.startNode(m); err != nil {
		return err
	}
	if err := m.awaitReady(); err != nil {
		return err
	}
	f.note("%s is ready again", m.name)
	return nil
}

// inTouch reports whether the node of a machine has run for long enough.
func (m *machine) inTouch() bool {
	started := m.startedAt.Load()
	return started != nil && time.Since(*started) > contact
}

// sendPoison sends the request that crashes backend servers, its body with a length.
func (f *fleet) sendPoison(m *machine) {
	conn, err := connect(m)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id, body := newID(), strings.Repeat("order=0123456789&", 30)
	f.note("client sends %s POST %spoison to %s", id, unsafePath, m.name)
	if _, err := io.WriteString(conn, head(http.MethodPost, unsafePath+"poison", id, fmt.Sprintf("Content-Length: %d", len(body)))+"\r\n"+body); err != nil {
		return
	}
	f.note("client gets %s: %v", id, readReply(bufio.NewReader(conn), http.MethodPost))
}
