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

// runCounter counts the runs of each call on all backend servers.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id] += n
	return c.runs[id]
}

// serve answers a call with its id, repeated, and cuts one answer in twenty halfway.
// Delay, length and cut depend on the id alone.
func (c *runCounter) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.URL.Query().Get("id")
	c.add(id, 1)
	hash := xxhash.Sum64String(id)
	time.Sleep(time.Duration(hash%40) * time.Millisecond)
	body := expectedBody(id)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if hash%20 == 0 {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, body)
}

func expectedBody(id string) string { return strings.Repeat(id, 1+int(xxhash.Sum64String(id)%2000)) }

// injectFaults injects a random fault every few milliseconds until stop is
// closed.
func (tb *testbed) injectFaults(rng *rand.Rand, counter *runCounter, stop <-chan struct{}) {
	for {
		id := string(rune('a' + rng.IntN(len(tb.nodes))))
		switch rng.IntN(6) {
		case 0:
			tb.net.cut("inbound-" + id)
		case 1:
			tb.net.cut("backend-" + id)
		case 2:
			tb.net.silence("inbound-" + id)
		case 3:
			tb.net.silence("backend-" + id)
		case 4:
			tb.net.kill("inbound-" + id)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			tb.serve("inbound-"+id, &proxy.NewServer(tb.nodes[id].inbound).Server)
		case 5:
			tb.net.kill("backend-" + id)
			time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
			tb.serve("backend-"+id, &http.Server{Handler: http.HandlerFunc(counter.serve)})
		}
		select {
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		case <-stop:
			return
		}
	}
}

// TestGuaranteesUnderRandomFaults guards against combinations of faults that
// the other tests do not cover and that cause a wrong outcome, a second run, a
// wrong or truncated answer that looks complete, or a slot that is never freed.
func TestGuaranteesUnderRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				counter := &runCounter{runs: map[string]int{}}
				tb := newTestbed(t, "abc", func(string) http.Handler { return http.HandlerFunc(counter.serve) }, nil)
				stop := make(chan struct{})
				var faults, callers sync.WaitGroup
				faults.Go(func() { tb.injectFaults(rand.New(rand.NewPCG(seed, 1)), counter, stop) })
				for c := range 10 {
					callers.Go(func() {
						for i := range 30 {
							tb.checkCall(counter, []string{"GET", "POST"}[i%2], fmt.Sprintf("s%dc%di%d.", seed, c, i))
						}
					})
				}
				callers.Wait()
				close(stop)
				faults.Wait()
				time.Sleep(time.Minute)
				for id, n := range tb.nodes {
					assert.Equal(t, n.admission.Report(time.Now()).InUse, 0, id)
				}
			})
		})
	}
}

func (tb *testbed) checkCall(counter *runCounter, method, id string) {
	body := strings.Repeat("b", int(xxhash.Sum64String(id)%100000))
	got := tb.call(method, "/?id="+id, body, nil)
	runs := counter.add(id, 0)
	assert.Check(tb.t, got.outcome != string(proxy.OutcomeNotRun) || runs == 0, "%s has the outcome not-run after %d runs: %s", id, runs, got.body)
	assert.Check(tb.t, got.outcome != string(proxy.OutcomeRan) || runs > 0, "%s has the outcome ran, but did not run", id)
	assert.Check(tb.t, method != "POST" || runs <= 1, "%s ran %d times", id, runs)
	if got.err == nil && got.status == http.StatusOK {
		assert.Check(tb.t, got.body == expectedBody(id), "%s got %d bytes of a wrong or truncated answer", id, len(got.body))
	}
	time.Sleep(time.Duration(len(body)%50) * time.Millisecond)
}
