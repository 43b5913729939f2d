package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Times and sizes of the case of leaked memory.
const (
	cutEpisodes     = 6
	cutTime         = 5500 * time.Millisecond // of each episode
	cutPause        = time.Second
	wholeTime       = 15 * time.Second
	cutServers      = 3    // of 6: half of the service's backend servers
	cutShare        = 0.02 // of the answers of each of them
	lookupClients   = 30
	lookupBytes     = 6000 // of an answer
	contextLines    = 270  // 14 KB of at most max_header_bytes, 16384
	pipelineClients = 8
	pipelineRounds  = 6
	pipelineDepth   = 4
	lostAllowed     = 3
)

// playLeakedMemory has clients send requests with long heads of legal size. The
// disruption is that some backend servers break off some of their answers. Some time
// after it has ended, clients send several idempotent requests on a connection before
// the first is answered.
func playLeakedMemory(f *fleet, trouble bool) (bool, error) {
	var lines []string
	for i := range contextLines {
		lines = append(lines, fmt.Sprintf("X-Context-%03d: %036d", i, i))
	}
	var cutting atomic.Bool
	for i, m := range f.machines {
		m.backend.setHandler(func(_ *backend, w io.Writer, r *http.Request, _ []byte) bool {
			if i < cutServers && cutting.Load() && rand.Float64() < cutShare {
				f.note("%s breaks off its answer to %s", f.machines[i].name, r.Header.Get(names.AttemptID))
				_, _ = io.WriteString(w, answerHead(r, lookupBytes)+strings.Repeat("x", lookupBytes/2))
				return false
			}
			return answer(w, r, 20*time.Millisecond, lookupBytes)
		})
	}
	for range cutEpisodes {
		cutting.Store(trouble)
		f.note("some answers are broken off: %t", trouble)
		f.lookUp(cutTime, lines).Wait()
		cutting.Store(false)
		time.Sleep(cutPause)
	}
	time.Sleep(contact + time.Second)
	f.note("all answers are whole from now on")
	lookups := f.lookUp(wholeTime, lines)
	time.Sleep(time.Second)
	var lost atomic.Int64
	var pipelined sync.WaitGroup
	for range pipelineClients {
		pipelined.Go(func() {
			for range pipelineRounds {
				lost.Add(int64(f.sendPipelined(f.machines[0], lines)))
			}
		})
	}
	pipelined.Wait()
	lookups.Wait()
	f.note("%d requests were passed on to a backend server and their connection closed without an answer", lost.Load())
	return lost.Load() > lostAllowed, nil
}

// lookUp has clients send requests with long heads for a time.
func (f *fleet) lookUp(d time.Duration, lines []string) *sync.WaitGroup {
	end := time.Now().Add(d)
	var all sync.WaitGroup
	for range lookupClients {
		all.Go(func() {
			for time.Now().Before(end) {
				if f.send(f.machines[0], http.MethodGet, idempotentPath+"lookup", newID(), lines...).status != http.StatusOK {
					time.Sleep(50 * time.Millisecond)
				}
			}
		})
	}
	return &all
}

// sendPipelined sends several requests at once, the first with a short head, and
// returns how many were run by a backend server and got no answer, although no answer
// before them announced the end of the connection.
func (f *fleet) sendPipelined(m *machine, lines []string) (lost int) {
	conn, err := connect(m)
	if err != nil {
		return 0
	}
	defer func() { _ = conn.Close() }()
	var ids []string
	var all strings.Builder
	for i := range pipelineDepth {
		id := newID()
		ids = append(ids, id)
		var more []string
		if i > 0 {
			more = lines
		}
		all.WriteString(head(http.MethodGet, idempotentPath+"pipelined", id, more...) + "\r\n")
	}
	f.note("client sends %s on one connection", strings.Join(ids, ", "))
	if _, err := io.WriteString(conn, all.String()); err != nil {
		return 0
	}
	in := bufio.NewReader(conn)
	answered := 0
	for _, id := range ids {
		r := readReply(in, http.MethodGet)
		f.note("client gets %s: %v", id, r)
		if r.status == 0 {
			break
		}
		answered++
		if r.header.Get("Connection") == "close" {
			return 0 // the rest counts as not read
		}
	}
	time.Sleep(300 * time.Millisecond)
	for _, id := range ids[answered:] {
		if f.runs(id) > 0 {
			lost++
			f.note("LOST: %s was run and its connection closed without an answer", id)
		}
	}
	return lost
}
