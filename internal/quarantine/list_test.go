package quarantine

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

const poison Fingerprint = 7

// step is one event that is recorded in a list.
type step struct {
	at     int    // ms after start
	event  string // crash, shared crash (with another request in flight), success or lift
	server string
}

// Guards against a wrong state after a sequence of crashes and clears, and against
// a node that only receives the entries and reaches another state.
func TestStateAfterEvents(t *testing.T) {
	const expiry = 600_000
	cases := []struct {
		name  string
		steps []step
		at    int
		want  State
	}{
		{"unknown", nil, 0, Clear},
		{"one crash", []step{{0, "crash", "a"}}, 1, Suspect},
		{"two servers", []step{{0, "crash", "a"}, {1, "crash", "b"}}, 2, Quarantined},
		{"one crash reported by three nodes", []step{{0, "crash", "a"}, {500, "crash", "a"}, {900, "crash", "a"}}, 901, Suspect},
		{"one server twice", []step{{0, "crash", "a"}, {2000, "crash", "a"}}, 2001, Suspect},
		{"one server three times", []step{{0, "crash", "a"}, {2000, "crash", "a"}, {4000, "crash", "a"}}, 4001, Quarantined},
		{"success in between", []step{{0, "crash", "a"}, {1, "success", ""}, {2, "crash", "b"}}, 3, Suspect},
		{"success afterwards", []step{{0, "crash", "a"}, {1, "crash", "b"}, {2, "success", ""}}, 3, Clear},
		{"success before", []step{{0, "success", ""}, {1, "crash", "a"}, {2, "crash", "b"}}, 3, Quarantined},
		{"lifted", []step{{0, "crash", "a"}, {1, "crash", "b"}, {2, "lift", ""}}, 3, Clear},
		{"crashes again after the lift", []step{{0, "crash", "a"}, {1, "crash", "b"}, {2, "lift", ""}, {3, "crash", "a"}}, 4, Suspect},
		{"still in force", []step{{0, "crash", "a"}, {1, "crash", "b"}}, expiry, Quarantined},
		{"expired", []step{{0, "crash", "a"}, {1, "crash", "b"}}, expiry + 1, Clear},
		{"crashes too far apart", []step{{0, "crash", "a"}, {expiry, "crash", "b"}}, expiry + 1, Suspect},
		{"clock set back after a clear", []step{{5, "crash", "a"}, {6, "success", ""}, {4, "crash", "a"}}, 7, Suspect},
		{"clock set back", []step{{5, "crash", "a"}, {3, "success", ""}}, 5, Clear},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			l, relayed := NewList(Config{}), NewList(Config{})
			for _, s := range c.steps {
				relayed.Merge(apply(l, s), at(s.at))
			}
			assert.Equal(t, l.Check(poison, at(c.at)).State, c.want)
			assert.Equal(t, relayed.Check(poison, at(c.at)).State, c.want)
		})
	}
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func apply(l *List, s step) []Entry {
	switch s.event {
	case "crash":
		return l.RecordCrash(s.server, []Fingerprint{poison}, at(s.at))
	case "shared crash":
		return l.RecordCrash(s.server, []Fingerprint{poison, 8}, at(s.at))
	case "success":
		return l.RecordSuccess(poison, at(s.at))
	}
	return l.Lift(poison, at(s.at))
}

// Guards against quarantine of a request that was in flight with the cause on
// two servers: only a request that was the sole suspect in a crash is
// quarantined.
func TestOnlyTheCauseOfCrashesIsQuarantined(t *testing.T) {
	l := NewList(Config{})
	const bystander, other Fingerprint = 8, 9
	l.RecordCrash("a", []Fingerprint{poison, bystander}, at(0))
	l.RecordCrash("b", []Fingerprint{bystander, poison, other, poison}, at(1))
	assert.Equal(t, l.Check(poison, at(2)).State, Suspect)
	assert.Equal(t, l.Check(bystander, at(2)).State, Suspect)
	l.RecordSuccess(other, at(2))
	l.RecordCrash("c", []Fingerprint{other, poison}, at(3))
	assert.Equal(t, l.Check(poison, at(4)).State, Quarantined)
	assert.Equal(t, l.Check(bystander, at(4)).State, Suspect)
	assert.Equal(t, l.Check(other, at(4)).State, Suspect)
}

// Guards against permanent divergence: concurrent crashes and clears that are
// merged in any order and repeatedly give the same entry on every node.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := []*List{NewList(Config{}), NewList(Config{}), NewList(Config{})}
		var sent []Entry
		for range rapid.IntRange(1, 12).Draw(t, "events") {
			s := step{
				at:     rapid.IntRange(0, 5000).Draw(t, "ms"),
				event:  rapid.SampledFrom([]string{"crash", "shared crash", "success", "lift"}).Draw(t, "event"),
				server: rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(t, "server"),
			}
			node := rapid.SampledFrom(nodes).Draw(t, "node")
			sent = append(sent, apply(node, s)...)
			if rapid.Bool().Draw(t, "merge") && len(sent) > 0 {
				sent = append(sent, node.Merge(sent[:1], at(5000))...)
			}
		}
		seed := rapid.Uint64().Draw(t, "order")
		for round := true; round; {
			round = false
			for i, n := range nodes {
				order := rand.New(rand.NewPCG(seed, uint64(i))).Perm(len(sent))
				for _, k := range order {
					changed := n.Merge(sent[k:k+1], at(5000))
					sent = append(sent, changed...)
					round = round || len(changed) > 0
				}
			}
		}
		for _, n := range nodes[1:] {
			want, _ := nodes[0].records.Get(poison.String())
			got, _ := n.records.Get(poison.String())
			assert.Assert(t, got.entry.equal(want.entry), "%v, %v", got.entry, want.entry)
			assert.Assert(t, len(got.entry.Crashes) <= maxCrashes, "%v", got.entry)
		}
	})
}

// Guards against false suspicion of frequent requests: the report of a crash that
// is older than a success on this node must not make the request suspect, and the
// cleared entry must be relayed.
func TestMergeDropsCrashesBeforeSuccess(t *testing.T) {
	here, there := NewList(Config{}), NewList(Config{})
	crash := apply(there, step{10, "crash", "a"})
	apply(here, step{20, "success", ""})
	changed := here.Merge(crash, at(30))
	assert.Equal(t, here.Check(poison, at(30)).State, Clear)
	there.Merge(changed, at(40))
	assert.Equal(t, there.Check(poison, at(40)).State, Clear)
}

// Guards against old entries that circulate forever, and against a node whose
// clock is far ahead and whose entries would last longer than the expiry.
func TestMergeIgnoresExpiredAndFutureEntries(t *testing.T) {
	l := NewList(Config{})
	crash := []Entry{{Fingerprint: poison, Crashes: []Crash{{Server: "a", At: start.UnixNano(), Count: 1}}}}
	assert.Equal(t, len(l.Merge(crash, start.Add(defaultExpiry))), 0)
	assert.Equal(t, len(l.Merge(crash, start.Add(-defaultExpiry))), 0)
	assert.Equal(t, len(l.Merge(crash, start)), 1)
	assert.Equal(t, len(l.Merge(crash, start)), 0, "known entries are not relayed")
}

// Guards against a suspect that can crash several servers at once, and against
// two suspects on one server, between which a crash could not distinguish.
func TestSuspectsRunAlone(t *testing.T) {
	l := NewList(Config{})
	const other Fingerprint = 8
	first, a := l.AdmitSend(poison, start)
	assert.Equal(t, a, Admitted)
	l.RecordCrash("a", []Fingerprint{poison, other}, start)
	first.Release()

	sent, a := l.AdmitSend(poison, at(1))
	assert.Equal(t, a, Admitted)
	_, a = l.AdmitSend(poison, at(1))
	assert.Equal(t, a, Busy)
	_, a = l.AdmitSend(other, at(1))
	assert.Equal(t, a, Admitted, "another suspect may be sent")
	run, a := l.AdmitRun(poison, "b", at(1))
	assert.Equal(t, a, Admitted)
	_, a = l.AdmitRun(other, "b", at(1))
	assert.Equal(t, a, Busy)
	_, a = l.AdmitRun(other, "c", at(1))
	assert.Equal(t, a, Admitted)
	run.Release()
	run.Release()
	sent.Release()
	_, a = l.AdmitRun(other, "b", at(1))
	assert.Equal(t, a, Admitted)
	again, a := l.AdmitSend(poison, at(2))
	assert.Equal(t, a, Admitted)
	again.Release()

	l.RecordCrash("b", []Fingerprint{poison}, at(3))
	_, a = l.AdmitSend(poison, at(4))
	assert.Equal(t, a, Refused)
	_, a = l.AdmitRun(poison, "c", at(4))
	assert.Equal(t, a, Refused)
}

// Guards against a list that exceeds its memory bound, and against a quarantine
// that is evicted by many other requests.
func TestEvictionBoundsRecordsAndKeepsQuarantines(t *testing.T) {
	l := NewList(Config{MaxRecords: 320})
	apply(l, step{0, "crash", "a"})
	apply(l, step{1, "crash", "b"})
	for i := range 5000 {
		l.RecordSuccess(Fingerprint(1000+i), at(2))
		l.RecordCrash("c", []Fingerprint{Fingerprint(100_000 + i)}, at(2))
	}
	assert.Assert(t, l.records.Len() <= 320, "%d", l.records.Len())
	assert.Equal(t, l.Check(poison, at(3)).State, Quarantined)
	for i := range 10 {
		l.RecordCrash(fmt.Sprint(i), []Fingerprint{poison}, at(3))
	}
	e, _ := l.Entry(poison)
	assert.Equal(t, len(e.Crashes), maxCrashes)
}

// Guards against races between calls, crashes and entries from other nodes, and
// against a permit that is never released.
func TestConcurrentListOperations(t *testing.T) {
	l := NewList(Config{})
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 500 {
				fp := Fingerprint(i % 5)
				if p, a := l.AdmitSend(fp, at(i)); a == Admitted {
					p.Release()
				}
				if p, a := l.AdmitRun(fp, "a", at(i)); a == Admitted {
					p.Release()
				}
				l.Merge(l.RecordCrash(fmt.Sprint(g), []Fingerprint{fp, 9}, at(i)), at(i))
				l.RecordSuccess(fp, at(i))
			}
		})
	}
	wg.Wait()
	l.RecordCrash("z", []Fingerprint{9}, at(10_000))
	l.Lift(9, at(10_001))
	_, a := l.AdmitRun(9, "a", at(10_002))
	assert.Equal(t, a, Admitted)
	assert.Equal(t, l.runningSuspects.Len(), 0)
}

// Guards against one fingerprint for requests that differ to a server, and
// against two fingerprints for one request.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	base := NewFingerprint("GET", "h", "/p", "q=1", nil)
	others := []Fingerprint{
		NewFingerprint("POST", "h", "/p", "q=1", nil),
		NewFingerprint("GET", "h/", "p", "q=1", nil),
		NewFingerprint("GET", "h", "/pq", "=1", nil),
		NewFingerprint("GET", "h", "/p", "q=1", []byte("x")),
	}
	for i, o := range others {
		assert.Assert(t, o != base, "%d", i)
	}
	long := make([]byte, MaxBodyPrefixBytes+1)
	assert.Equal(t, NewFingerprint("GET", "h", "/", "", long), NewFingerprint("GET", "h", "/", "", long[:MaxBodyPrefixBytes]))
	parsed, err := ParseFingerprint(fmt.Sprint(base))
	assert.NilError(t, err)
	assert.Equal(t, parsed, base)
}
