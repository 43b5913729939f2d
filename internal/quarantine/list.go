package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Config holds the constants of a List. Zero fields take defaults.
type Config struct {
	Expiry     time.Duration // how long a suspicion or quarantine lasts
	SameCrash  time.Duration // reports of one server's crash within this time are of one crash
	MaxRecords int           // most fingerprints that are remembered, recent successes included
}

const (
	defaultExpiry = 10 * time.Minute
	// defaultSameCrash is under the time in which a backend server restarts
	// and longer than the time in which two nodes notice one crash.
	defaultSameCrash = time.Second
	// defaultMaxRecords takes about 1 MB and remembers the successes of a
	// minute at 60 calls a second.
	defaultMaxRecords = 4096
)

func (c Config) withDefaults() Config {
	c.Expiry = cmp.Or(c.Expiry, defaultExpiry)
	c.SameCrash = cmp.Or(c.SameCrash, defaultSameCrash)
	c.MaxRecords = cmp.Or(c.MaxRecords, defaultMaxRecords)
	return c
}

// List holds the suspicions and quarantines that a node knows, sharded by
// fingerprint.
type List struct {
	cfg      Config
	perShard int
	records  *shard.Map[record]
	solo     *shard.Map[Fingerprint] // the suspect that runs on a server, by server; see Run
}

// record is the entry of a fingerprint and what only this node knows of it.
type record struct {
	entry     Entry
	succeeded int64 // newest success seen here
	sent      bool  // this node has sent the suspect; see Send
}

// Verdict is the answer to a request.
type Verdict struct {
	State State
	// Avoid names the servers that crashed. A suspect is sent elsewhere, since
	// a crash of another server is what settles the suspicion.
	Avoid []string
	// Until is when the state expires.
	Until time.Time
}

// NewList returns an empty List.
func NewList(cfg Config) *List {
	cfg = cfg.withDefaults()
	return &List{
		cfg:      cfg,
		perShard: max(cfg.MaxRecords/shard.DefaultCount, 1),
		records:  shard.NewMap[record](shard.DefaultCount),
		solo:     shard.NewMap[Fingerprint](shard.DefaultCount),
	}
}

// Check returns the state of a fingerprint.
func (l *List) Check(fp Fingerprint, now time.Time) Verdict {
	r, _ := l.records.Get(fp.String())
	return l.verdict(r.entry, now)
}

func (l *List) verdict(e Entry, now time.Time) Verdict {
	v := Verdict{State: e.state(now, l.cfg.Expiry)}
	if v.State != Clear {
		v.Avoid = e.servers()
		v.Until = time.Unix(0, e.Crashes[0].At).Add(l.cfg.Expiry)
	}
	return v
}

// Crash records that a server crashed with requests in flight, and returns
// the entries to pass on to other nodes. Several nodes may report one crash.
func (l *List) Crash(server string, inFlight []Fingerprint, now time.Time) []Entry {
	inFlight = slices.Compact(slices.Sorted(slices.Values(inFlight)))
	sole, known := l.sole(inFlight, now)
	var out []Entry
	for _, fp := range inFlight {
		out = append(out, l.change(fp, now, func(r record) record {
			r.entry = l.withCrash(r.entry, server, known && fp == sole, now)
			return r
		})...)
	}
	return out
}

// sole returns the one request in flight that explains a crash: the only one,
// or the only one that was under suspicion or in quarantine before.
func (l *List) sole(inFlight []Fingerprint, now time.Time) (Fingerprint, bool) {
	if len(inFlight) == 1 {
		return inFlight[0], true
	}
	var before []Fingerprint
	for _, fp := range inFlight {
		if l.Check(fp, now).State != Clear {
			before = append(before, fp)
		}
	}
	if len(before) != 1 {
		return 0, false
	}
	return before[0], true
}

func (l *List) withCrash(e Entry, server string, sole bool, now time.Time) Entry {
	c := Crash{Server: server, At: max(now.UnixNano(), e.ClearedAt+1), Count: 1}
	for _, have := range e.Crashes {
		if have.Server != server {
			continue
		}
		if c.At-have.At < l.cfg.SameCrash.Nanoseconds() {
			return e
		}
		c.Count = have.Count + 1
	}
	add := Entry{Fingerprint: e.Fingerprint, Crashes: []Crash{c}}
	if sole {
		add.SoleAt = c.At
	}
	return join(e, add)
}

// Success records that a backend server answered a request, with whatever
// status. It clears the fingerprint and returns the entry to pass on, if it
// was under suspicion or in quarantine.
func (l *List) Success(fp Fingerprint, now time.Time) []Entry {
	return l.change(fp, now, func(r record) record {
		r.succeeded = max(r.succeeded, now.UnixNano())
		r.entry = r.entry.cleared(now.UnixNano())
		return r
	})
}

// Lift ends the suspicion or quarantine of a fingerprint on an operator's
// request, and returns the entry to pass on.
func (l *List) Lift(fp Fingerprint, now time.Time) []Entry {
	return l.change(fp, now, func(r record) record {
		r.entry = r.entry.cleared(now.UnixNano())
		return r
	})
}

// cleared returns the entry without its crashes, of which a success or an
// operator at the given time has disposed.
func (e Entry) cleared(at int64) Entry {
	if len(e.Crashes) == 0 {
		return e
	}
	return Entry{Fingerprint: e.Fingerprint, ClearedAt: max(at, e.latest())}
}

// Merge takes over entries of other nodes and returns those that were news,
// to be relayed. A crash that is older than a success seen here is dropped and
// the clear is news: word of the crash may arrive after the success.
func (l *List) Merge(entries []Entry, now time.Time) []Entry {
	var news []Entry
	for _, in := range entries {
		in = join(Entry{Fingerprint: in.Fingerprint}, in) // as if made here: sorted and bounded
		if age := now.UnixNano() - in.latest(); age >= l.cfg.Expiry.Nanoseconds() || -age >= l.cfg.Expiry.Nanoseconds() {
			continue // expired, or stamped by a clock that is far ahead
		}
		news = append(news, l.change(in.Fingerprint, now, func(r record) record {
			r.entry = join(r.entry, in)
			if r.refutes() {
				r.entry = join(r.entry, Entry{Fingerprint: in.Fingerprint, ClearedAt: r.succeeded})
			}
			return r
		})...)
	}
	return news
}

// refutes reports whether a success seen here is later than a crash of the
// entry.
func (r record) refutes() bool {
	return slices.ContainsFunc(r.entry.Crashes, func(c Crash) bool { return c.At <= r.succeeded })
}

// change replaces the record of a fingerprint by what fn makes of it, and
// returns the entry if it differs.
func (l *List) change(fp Fingerprint, now time.Time, fn func(record) record) []Entry {
	var out []Entry
	key := fp.String()
	l.records.UpdateShard(key, func(m map[string]record) {
		before := m[key]
		before.entry.Fingerprint = fp
		after := fn(before)
		if after.empty() {
			return
		}
		if !after.entry.equal(before.entry) {
			out = append(out, after.entry)
		}
		m[key] = after
		l.bound(m, now)
	})
	return out
}

func (r record) empty() bool {
	return r.succeeded == 0 && !r.sent && len(r.entry.Crashes) == 0 && r.entry.ClearedAt == 0
}

// bound keeps a shard within its size. It drops a quarter at once, so that
// the cost is spread over many additions: what has expired and successes
// first, then suspects, then quarantines, each oldest first.
func (l *List) bound(m map[string]record, now time.Time) {
	if len(m) <= l.perShard {
		return
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(l.worth(m[a], now), l.worth(m[b], now)),
			cmp.Compare(m[a].newest(), m[b].newest()),
		)
	})
	for _, k := range keys[:max(len(m)/4, 1)] {
		delete(m, k)
	}
}

func (l *List) worth(r record, now time.Time) int {
	switch r.entry.state(now, l.cfg.Expiry) {
	case Quarantined:
		return 2
	case Suspect:
		return 1
	}
	return 0
}

func (r record) newest() int64 { return max(r.succeeded, r.entry.latest()) }

// Entries returns every suspicion and quarantine in force, in the order of
// fingerprints, for operators and for nodes that start.
func (l *List) Entries(now time.Time) []Entry {
	var out []Entry
	l.records.Range(func(_ string, r record) bool {
		if r.entry.state(now, l.cfg.Expiry) != Clear {
			out = append(out, r.entry)
		}
		return true
	})
	slices.SortFunc(out, func(a, b Entry) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Entry returns the entry of a fingerprint, to be sent along with a call so
// that the node beside the server knows a suspect.
func (l *List) Entry(fp Fingerprint) (Entry, bool) {
	r, ok := l.records.Get(fp.String())
	return r.entry, ok && len(r.entry.Crashes) > 0
}
