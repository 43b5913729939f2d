package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

// Config configures a List. Zero fields take defaults.
type Config struct {
	Expiry            time.Duration // how long a suspicion or quarantine lasts
	CrashReportWindow time.Duration // reports of a crash of one server within this time count as one crash
	MaxRecords        int           // maximum number of fingerprints, including those of recent successes
}

const (
	defaultExpiry = 10 * time.Minute
	// defaultCrashReportWindow is shorter than the restart of a backend server
	// and longer than the time between two nodes' detections of one crash.
	defaultCrashReportWindow = time.Second
	// defaultMaxRecords takes about 1 MB and holds the successes of a minute
	// at 60 calls per second.
	defaultMaxRecords = 4096
)

func (c Config) withDefaults() Config {
	c.Expiry = cmp.Or(c.Expiry, defaultExpiry)
	c.CrashReportWindow = cmp.Or(c.CrashReportWindow, defaultCrashReportWindow)
	c.MaxRecords = cmp.Or(c.MaxRecords, defaultMaxRecords)
	return c
}

// List holds the suspect and quarantined fingerprints that a node knows,
// sharded by fingerprint.
type List struct {
	cfg             Config
	perShard        int
	records         *shard.Map[record]
	runningSuspects *shard.Map[Fingerprint] // the suspect that runs on a server, by server; see AdmitRun
}

// record is the entry of a fingerprint and its state on this node only.
type record struct {
	entry       Entry
	succeededAt int64 // ns since 1970 of the newest success on this node
	sending     bool  // a call of this node holds the Permit of AdmitSend
}

// Verdict says how to treat a request.
type Verdict struct {
	State State
	// Avoid names the servers that crashed. A suspect is sent to another
	// server, whose crash confirms the suspicion.
	Avoid []string
	// Until is when the state expires.
	Until time.Time
}

// NewList returns an empty List.
func NewList(cfg Config) *List {
	cfg = cfg.withDefaults()
	return &List{
		cfg:             cfg,
		perShard:        max(cfg.MaxRecords/shard.DefaultCount, 1),
		records:         shard.NewMap[record](shard.DefaultCount),
		runningSuspects: shard.NewMap[Fingerprint](shard.DefaultCount),
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

// RecordCrash records that a server crashed with requests in flight, and returns
// the entries to send to other nodes. Several nodes may report one crash.
func (l *List) RecordCrash(server string, inFlight []Fingerprint, now time.Time) []Entry {
	inFlight = slices.Compact(slices.Sorted(slices.Values(inFlight)))
	cause, known := l.soleCause(inFlight, now)
	var out []Entry
	for _, fp := range inFlight {
		out = append(out, l.update(fp, now, func(r record) record {
			r.entry = l.withCrash(r.entry, server, known && fp == cause, now)
			return r
		})...)
	}
	return out
}

// soleCause returns the request in flight that alone explains a crash: the only
// one in flight, or the only one that was suspect or quarantined before.
func (l *List) soleCause(inFlight []Fingerprint, now time.Time) (Fingerprint, bool) {
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
	for _, old := range e.Crashes {
		if old.Server != server {
			continue
		}
		if c.At-old.At < l.cfg.CrashReportWindow.Nanoseconds() {
			return e
		}
		c.Count = old.Count + 1
	}
	add := Entry{Fingerprint: e.Fingerprint, Crashes: []Crash{c}}
	if sole {
		add.SoleCauseAt = c.At
	}
	return join(e, add)
}

// RecordSuccess records that a backend server answered a request, with any
// status. It clears the fingerprint and returns the entry to send to other
// nodes, if it was suspect or quarantined.
func (l *List) RecordSuccess(fp Fingerprint, now time.Time) []Entry {
	return l.update(fp, now, func(r record) record {
		r.succeededAt = max(r.succeededAt, now.UnixNano())
		r.entry = r.entry.cleared(now.UnixNano())
		return r
	})
}

// Lift ends the suspicion or quarantine of a fingerprint on an operator's
// request, and returns the entry to send to other nodes.
func (l *List) Lift(fp Fingerprint, now time.Time) []Entry {
	return l.update(fp, now, func(r record) record {
		r.entry = r.entry.cleared(now.UnixNano())
		return r
	})
}

// cleared returns the entry without its crashes, which a success or an operator
// cleared at the given time.
func (e Entry) cleared(at int64) Entry {
	if len(e.Crashes) == 0 {
		return e
	}
	return Entry{Fingerprint: e.Fingerprint, ClearedAt: max(at, e.latest())}
}

// Merge merges entries of other nodes and returns those that changed, to be
// relayed. Crashes that are no later than the newest success on this node are
// dropped and the cleared entry returned, since the report of a crash may arrive
// after the success.
func (l *List) Merge(entries []Entry, now time.Time) []Entry {
	var changed []Entry
	for _, in := range entries {
		in = join(Entry{Fingerprint: in.Fingerprint}, in) // sorts and bounds the crashes
		if age := now.UnixNano() - in.latest(); age >= l.cfg.Expiry.Nanoseconds() || -age >= l.cfg.Expiry.Nanoseconds() {
			continue // expired, or stamped by a clock that is far ahead
		}
		changed = append(changed, l.update(in.Fingerprint, now, func(r record) record {
			r.entry = join(r.entry, in)
			if r.succeededAfterCrash() {
				r.entry = join(r.entry, Entry{Fingerprint: in.Fingerprint, ClearedAt: r.succeededAt})
			}
			return r
		})...)
	}
	return changed
}

// succeededAfterCrash reports whether the newest success on this node is no earlier
// than a crash of the entry.
func (r record) succeededAfterCrash() bool {
	return slices.ContainsFunc(r.entry.Crashes, func(c Crash) bool { return c.At <= r.succeededAt })
}

// update replaces the record of a fingerprint by the result of fn, and returns
// the entry if it changed.
func (l *List) update(fp Fingerprint, now time.Time, fn func(record) record) []Entry {
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
		l.evict(m, now)
	})
	return out
}

func (r record) empty() bool {
	return r.succeededAt == 0 && !r.sending && len(r.entry.Crashes) == 0 && r.entry.ClearedAt == 0
}

// evict removes a quarter of a shard that exceeds its bound, so that the cost
// is amortised over many additions. It removes expired entries and successes
// first, then suspects, then quarantines, each oldest first.
func (l *List) evict(m map[string]record, now time.Time) {
	if len(m) <= l.perShard {
		return
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(l.evictionRank(m[a], now), l.evictionRank(m[b], now)),
			cmp.Compare(m[a].lastUpdate(), m[b].lastUpdate()),
		)
	})
	for _, k := range keys[:max(len(m)/4, 1)] {
		delete(m, k)
	}
}

// evictionRank returns the rank of a record for eviction, the lowest first.
func (l *List) evictionRank(r record, now time.Time) int {
	switch r.entry.state(now, l.cfg.Expiry) {
	case Quarantined:
		return 2
	case Suspect:
		return 1
	}
	return 0
}

func (r record) lastUpdate() int64 { return max(r.succeededAt, r.entry.latest()) }

// Entries returns every suspicion and quarantine in force, sorted by
// fingerprint, for operators and for nodes that start.
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

// Entry returns the entry of a fingerprint, to be sent with a call so that the
// inbound proxy recognises a suspect, and false if it has no crashes.
func (l *List) Entry(fp Fingerprint) (Entry, bool) {
	r, ok := l.records.Get(fp.String())
	return r.entry, ok && len(r.entry.Crashes) > 0
}
