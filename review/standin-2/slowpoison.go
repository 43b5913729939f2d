package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case of the request that crashes backend servers.
const (
	poisonTime     = 40 * time.Second
	poisonInterval = 1500 * time.Millisecond
	poisonBytes    = 6000
	crashedFor     = 2 * time.Second
	retriesAllowed = 3
	browsers       = 8
)

// playSlowPoison has a request come again and again, with the same path and body, whose
// body arrives in chunks over some 100 ms. The disruption is that it crashes each
// backend server that begins to run it.
func playSlowPoison(f *fleet, trouble bool) (bool, error) {
	var mu sync.Mutex
	var arrivals []time.Time
	f.setHandlers(func(b *backend, w io.Writer, r *http.Request, _ []byte) bool {
		if !strings.HasSuffix(r.URL.Path, "/poison") {
			return answer(w, r, 20*time.Millisecond, 500)
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		if !trouble {
			return answer(w, r, 20*time.Millisecond, 500)
		}
		b.crash(crashedFor)
		return false
	})
	start := time.Now()
	var all sync.WaitGroup
	for i := range browsers {
		all.Go(func() {
			for n := 0; time.Since(start) < poisonTime; n++ {
				f.send(f.machines[i%len(f.machines)], http.MethodGet, fmt.Sprintf("%s%d-%d", idempotentPath, i, n), newID())
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	body := strings.Repeat("order=0123456789&", poisonBytes/len("order=0123456789&"))
	for n := 0; time.Since(start) < poisonTime; n++ {
		f.sendInChunks(f.machines[n%len(f.machines)], body)
		time.Sleep(poisonInterval)
	}
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	for i, at := range arrivals {
		if trouble && i > 2 && at.Sub(arrivals[2]) > contact {
			late++
		}
	}
	f.note("the request reached backend servers %d times, %d of them later than %v after the third crash", len(arrivals), late, contact)
	return late > retriesAllowed, nil
}

// sendInChunks sends the request that crashes backend servers, its body in chunks.
func (f *fleet) sendInChunks(m *machine, body string) {
	conn, err := connect(m)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	id := newID()
	f.note("client sends %s POST %spoison to %s", id, unsafePath, m.name)
	if _, err := io.WriteString(conn, head(http.MethodPost, unsafePath+"poison", id, "Transfer-Encoding: chunked")+"\r\n"); err != nil {
		return
	}
	for rest := body; len(rest) > 0; {
		n := min(len(rest), 100+rand.IntN(500))
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", n, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
		time.Sleep(time.Duration(3+rand.IntN(9)) * time.Millisecond)
	}
	if _, err := io.WriteString(conn, "0\r\n\r\n"); err != nil {
		return
	}
	f.note("client gets %s: %v", id, readReply(bufio.NewReader(conn), http.MethodPost))
}
