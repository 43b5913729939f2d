package path_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	"github.com/goldcrestshed/goldcrestshed/internal/proxy"
)

// ledger counts the runs of each call on all backend servers.
type ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

func (l *ledger) add(id string, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[id] += n
	return l.runs[id]
}

// serve answers a call with its id, many times over, and cuts one answer in
// twenty. What it does depends on the id alone.
func (l *ledger) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.URL.Query().Get("id")
	l.add(id, 1)
	draw := xxhash.Sum64String(id)
	time.Sleep(time.Duration(draw%40) * time.Millisecond)
	body := wholeBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if draw%20 == 0 {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func wholeBody(id string) string { return strings.Repeat(id, 1+int(xxhash.Sum64String(id)%2000)) }

// injectFaults breaks something every few milliseconds until stop is closed.
func (w *testbed) injectFaults(rng *rand.Rand, l *ledger, stop <-chan struct{}) {
	for {
		id := string(rune('a' + rng.IntN(len(w.nodes))))
		switch rng.IntN(6) {
		case 0:
			w.net.cut("guard-" + id)
		case 1:
			w.net.cut("backend-" + id)
		case 2:
			w.net.silence("guard-" + id)
		case 3:
			w.net.silence("backend-" + id)
		case 4:
			w.net.kill("guard-" + id)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			w.serve("guard-"+id, &proxy.NewServer(w.nodes[id].guard).Server)
		case 5:
			w.net.kill("backend-" + id)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			w.serve("backend-"+id, &http.Server{Handler: http.HandlerFunc(l.serve)})
		}
		select {
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// TestP4P5PromisesUnderRandomFaults guards against combinations of faults that
// no table has: a lie about an outcome, a second run, a wrong or cut answer
// that passes as whole, a slot that is never given back.
func TestP4P5PromisesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := &ledger{runs: map[string]int{}}
				w := newTestbed(t, "abc", func(string) http.Handler { return http.HandlerFunc(l.serve) }, nil)
				stop := make(chan struct{})
				var faults, callers sync.WaitGroup
				faults.Go(func() { w.injectFaults(rand.New(rand.NewPCG(seed, 1)), l, stop) })
				for c := range 10 {
					callers.Go(func() {
						for i := range 30 {
							w.checkCall(l, []string{"GET", "POST"}[i%2], fmt.Sprintf("s%dc%di%d.", seed, c, i))
						}
					})
				}
				callers.Wait()
				close(stop)
				faults.Wait()
				time.Sleep(time.Minute)
				for id, n := range w.nodes {
					assert.Equal(t, n.gate.Report(time.Now()).InUse, 0, id)
				}
			})
		})
	}
}

func (w *testbed) checkCall(l *ledger, method, id string) {
	body := strings.Repeat("b", int(xxhash.Sum64String(id)%100000))
	got := w.call(method, "/?id="+id, body, nil)
	runs := l.add(id, 0)
	assert.Check(w.t, got.outcome != string(proxy.OutcomeNotRun) || runs == 0, "%s was told not-run after %d runs: %s", id, runs, got.body)
	assert.Check(w.t, got.outcome != string(proxy.OutcomeRan) || runs > 0, "%s was told ran", id)
	assert.Check(w.t, method != "POST" || runs <= 1, "%s ran %d times", id, runs)
	if got.err == nil && got.status == http.StatusOK {
		assert.Check(w.t, got.body == wholeBody(id), "%s got %d bytes of a wrong or cut answer", id, len(got.body))
	}
	time.Sleep(time.Duration(len(body)%50) * time.Millisecond)
}
