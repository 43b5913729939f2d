package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times and sizes of the case of replayed calls.
const (
	replayCalm     = 4 * time.Second
	replayCrowd    = 12 * time.Second
	replayClients  = 6
	crowdClients   = 40
	crowdHeadBytes = 14000                   // of at most max_header_bytes, 16384
	crowdHeadTime  = 1500 * time.Millisecond // of at most header_timeout_s, 3 s
	cookieLines    = 24
)

// playReplayedCall has clients send POST requests without a body on a route whose
// requests may run once. The disruption is a crowd of clients whose heads have legal
// sizes and very many short lines.
func playReplayedCall(f *fleet, trouble bool) (bool, error) {
	cookie := "Set-Cookie: c=" + strings.Repeat("v", 90)
	var cookies []string
	for range cookieLines {
		cookies = append(cookies, cookie)
	}
	f.setHandlers(func(_ *backend, w io.Writer, r *http.Request, _ []byte) bool {
		return answer(w, r, 20*time.Millisecond, 500, cookies...)
	})
	var all sync.WaitGroup
	var mu sync.Mutex
	var ids []string
	start := time.Now()
	for range replayClients {
		all.Go(func() {
			for time.Since(start) < replayCalm+replayCrowd {
				id := newID()
				mu.Lock()
				ids = append(ids, id)
				mu.Unlock()
				f.send(f.machines[0], http.MethodPost, unsafePath+"a", id, "Content-Length: 0", "X-Idempotency-Key: "+newID())
				time.Sleep(30 * time.Millisecond)
			}
		})
	}
	if trouble {
		time.Sleep(replayCalm)
		f.note("the crowd comes")
		for range crowdClients {
			all.Go(func() {
				for time.Since(start) < replayCalm+replayCrowd {
					f.sendManyLines(f.machines[0])
				}
			})
		}
	}
	all.Wait()
	time.Sleep(time.Second)
	twice := 0
	for _, id := range ids {
		if n := f.runs(id); n > 1 {
			twice++
			f.note("TWICE: %s ran %d times", id, n)
		}
	}
	f.note("%d requests that may run once, %d ran more than once", len(ids), twice)
	return twice > 0, nil
}

// sendManyLines sends a request whose head has very many short lines and takes some
// time to arrive.
func (f *fleet) sendManyLines(m *machine) {
	conn, err := connect(m)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	var lines strings.Builder
	for i := 0; lines.Len() < crowdHeadBytes; i++ {
		fmt.Fprintf(&lines, "%c%d:1\r\n", 'a'+i%26, i%100)
	}
	id := newID()
	f.note("crowd sends %s", id)
	if _, err := io.WriteString(conn, head(http.MethodGet, idempotentPath+"c", id)+lines.String()); err != nil {
		return
	}
	time.Sleep(crowdHeadTime)
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		return
	}
	f.note("crowd gets %s: %v", id, readReply(bufio.NewReader(conn), http.MethodGet))
}
