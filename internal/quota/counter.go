package quota

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// levelHorizon is the time over which a counter spends the tokens that are
	// left, or recovers those that were spent twice. It is well below the window
	// of 5 s, so that an overshoot is made good in the window that holds it.
	levelHorizon = time.Second
	// rateHorizon is the time constant of the measured demand. A shorter one would
	// restrict small organisations for two calls in a row.
	rateHorizon = 700 * time.Millisecond
	// minDemandTime is the shortest time that a measured demand stands for. With a
	// shorter one the first calls of small organisations would look like a flood.
	minDemandTime = 250 * time.Millisecond
	// startReserve is the time for which a counter that has just begun reserves the
	// rate. Usual calls, at 0.6 of the rate, are not restricted by it.
	startReserve = 400 * time.Millisecond
	// calmInterval and restrictedInterval are the times between two reports of a
	// node while no quota is short and while one is.
	calmInterval       = 400 * time.Millisecond
	restrictedInterval = 150 * time.Millisecond
	// capacityRoom is the part of the room above a quota by which the tokens that a
	// counter keeps exceed the burst. It absorbs the chance variation of the calls
	// of small organisations.
	capacityRoom = 0.25
	// rateRoom is the part of the overage by which the tokens that come in exceed the
	// rate, so that calls which are counted but end before a backend server do not
	// leave an organisation short of its quota.
	rateRoom = 0.5
	// forwardRoom and forwardLevel are the parts of the room and of the tokens left
	// that counts not yet told to the other domains may reach before they are sent
	// at once. While there are many tokens, the others need not know soon.
	forwardRoom  = 1.0 / 16
	forwardLevel = 1.0 / 4
	minForward   = 3
	// idleTallyAge is how long an organisation without calls is kept. Its tokens
	// are full again well before that.
	idleTallyAge = time.Minute
)

// Counter adds up the calls of organisations for the nodes of a failure domain.
// Tallies are sharded by organisation.
type Counter struct {
	bounds  Bounds
	tallies *shard.Map[tally]
	share   atomic.Uint64 // bits of the float64 part of the quotas that this counter may hand out
	began   atomic.Int64  // Unix time in ns of the first count; 0 before
	targets atomic.Pointer[[]string]
}

// tally is the state of one organisation over all nodes.
type tally struct {
	limit    Limit
	level    float64 // tokens left; negative if more were spent than there were
	demand   float64 // calls asked for per second
	at       time.Time
	since    time.Time
	used     time.Time
	unshared map[string]pending // by target: counts that it was not told yet
}

type pending struct{ asked, admitted int64 }

// NewCounter returns a counter that may hand out whole quotas and has nobody to
// tell.
func NewCounter(bounds Bounds) *Counter {
	c := &Counter{bounds: bounds, tallies: shard.NewMap[tally](shard.DefaultCount)}
	c.SetShare(1)
	c.SetTargets(nil)
	return c
}

// SetShare sets the part of each quota that the counter may hand out: that of the
// failure domains whose counters it reaches. The rest is left to the others. When
// it shrinks, the tokens left are divided too, since the others have the same.
func (c *Counter) SetShare(share float64) {
	old := math.Float64frombits(c.share.Swap(math.Float64bits(share)))
	if share >= old {
		return
	}
	c.tallies.UpdateAll(func(_ string, t tally) (tally, bool) {
		if t.level > 0 {
			t.level *= share / old
		}
		return t, true
	})
}

// Share returns the part of each quota that the counter may hand out.
func (c *Counter) Share() float64 { return math.Float64frombits(c.share.Load()) }

// SetTargets sets whom the counter tells of the reports of its nodes.
func (c *Counter) SetTargets(targets []string) {
	copied := slices.Clone(targets)
	c.targets.Store(&copied)
}

// Report counts the report of a node of this counter's domain.
func (c *Counter) Report(now time.Time, counts []Count) (Answer, Attention) {
	attention := AttentionNone
	for _, n := range counts {
		attention = max(attention, c.add(now, n, *c.targets.Load()))
	}
	answer := Answer{Restrictions: c.restrictions(now), Interval: calmInterval}
	if len(answer.Restrictions) > 0 {
		answer.Interval = restrictedInterval
	}
	return answer, attention
}

// Merge counts what another counter was told by its nodes, and keeps it for the
// given targets.
func (c *Counter) Merge(now time.Time, counts []Count, targets ...string) Attention {
	attention := AttentionNone
	for _, n := range counts {
		attention = max(attention, c.add(now, n, targets))
	}
	return attention
}

func (c *Counter) add(now time.Time, n Count, targets []string) Attention {
	attention := AttentionNone
	c.tallies.Update(n.Organisation, func(t tally, ok bool) (tally, bool) {
		if !ok {
			t.level, t.at, t.since = c.startLevel(now, n.Limit), now, now
		}
		t.limit, t.used = n.Limit, now
		c.advance(&t, now)
		t.level -= float64(n.Admitted)
		t.demand += float64(n.Asked) / rateHorizon.Seconds()
		attention = c.keepUnshared(&t, n, targets)
		return t, true
	})
	return attention
}

func (c *Counter) keepUnshared(t *tally, n Count, targets []string) Attention {
	if len(targets) == 0 {
		return AttentionNone
	}
	if t.unshared == nil {
		t.unshared = make(map[string]pending, len(targets))
	}
	attention := AttentionLater
	for _, target := range targets {
		p := t.unshared[target]
		p.asked += n.Asked
		p.admitted += n.Admitted
		t.unshared[target] = p
		if float64(p.admitted) >= max(minForward, forwardRoom*c.bounds.room(t.limit), forwardLevel*t.level) {
			attention = AttentionNow
		}
	}
	return attention
}

// startLevel returns the tokens of an organisation that the counter does not know.
// A counter that has just begun does not know what was spent before. It hands out
// no burst, and reserves what the nodes admit before it knows their demand.
func (c *Counter) startLevel(now time.Time, limit Limit) float64 {
	c.began.CompareAndSwap(0, now.UnixNano())
	if now.Sub(time.Unix(0, c.began.Load())) > 2*c.bounds.Window {
		return c.capacity(limit)
	}
	return c.Share() * (capacityRoom*c.bounds.Slack - startReserve.Seconds()*limit.RatePerSecond)
}

func (c *Counter) capacity(limit Limit) float64 {
	return c.Share() * (limit.Burst + capacityRoom*c.bounds.room(limit))
}

// advance adds the tokens that have come in since and lets the demand fade.
func (c *Counter) advance(t *tally, now time.Time) {
	elapsed := max(now.Sub(t.at).Seconds(), 0)
	// Tokens that were spent twice are made good up to the room above the quota.
	// More would refuse calls long after the window that held the overshoot.
	t.level = max(min(t.level+elapsed*c.supply(t.limit), c.capacity(t.limit)), -c.bounds.room(t.limit))
	t.demand *= math.Exp(-elapsed / rateHorizon.Seconds())
	t.at = now
}

// supply returns the tokens that come in per second.
func (c *Counter) supply(limit Limit) float64 {
	return c.Share() * limit.RatePerSecond * (1 + rateRoom*c.bounds.Overage)
}

// fraction returns the part of the demand that the tokens suffice for.
func (c *Counter) fraction(t tally) float64 {
	supply := c.supply(t.limit) + t.level/levelHorizon.Seconds()
	demand := t.demand / c.demandSeen(t)
	if demand <= supply {
		return 1
	}
	return max(supply, 0) / demand
}

// demandSeen returns the part of the demand that the measured one shows: it begins
// at 0 with the first call, and a counter that has just begun would restrict a large
// organisation a quarter of a second late.
func (c *Counter) demandSeen(t tally) float64 {
	seen := max(t.at.Sub(t.since), minDemandTime)
	return 1 - math.Exp(-seen.Seconds()/rateHorizon.Seconds())
}

// restrictions returns the organisations that ask for more than there is, sorted
// by name.
func (c *Counter) restrictions(now time.Time) []Restriction {
	var out []Restriction
	c.tallies.Range(func(organisation string, t tally) bool {
		c.advance(&t, now)
		if f := c.fraction(t); f < 1 {
			out = append(out, Restriction{Organisation: organisation, Fraction: f})
		}
		return true
	})
	slices.SortFunc(out, func(a, b Restriction) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return out
}

// Collect returns the counts that a target was not told yet and takes them as
// told. Restore keeps them when they could not be sent.
func (c *Counter) Collect(now time.Time, target string) []Count {
	var out []Count
	c.tallies.UpdateAll(func(organisation string, t tally) (tally, bool) {
		p, ok := t.unshared[target]
		if !ok {
			return t, now.Sub(t.used) < idleTallyAge
		}
		delete(t.unshared, target)
		out = append(out, Count{Organisation: organisation, Limit: t.limit, Asked: p.asked, Admitted: p.admitted})
		return t, true
	})
	return out
}

// Restore keeps counts that could not be sent to a target.
func (c *Counter) Restore(target string, counts []Count) {
	for _, n := range counts {
		c.tallies.Update(n.Organisation, func(t tally, ok bool) (tally, bool) {
			if ok {
				c.keepUnshared(&t, n, []string{target})
			}
			return t, ok
		})
	}
}

// Abandon drops the counts for a target that is out of reach. Its domain is taken
// to have admitted as many calls meanwhile, of which this counter was not told:
// tokens that both had left would otherwise be spent twice.
func (c *Counter) Abandon(target string) {
	c.tallies.UpdateAll(func(_ string, t tally) (tally, bool) {
		t.level -= float64(max(t.unshared[target].admitted, 0))
		delete(t.unshared, target)
		return t, true
	})
}

// Drop drops the counts for a target that was abandoned before.
func (c *Counter) Drop(target string) {
	c.tallies.UpdateAll(func(_ string, t tally) (tally, bool) {
		delete(t.unshared, target)
		return t, true
	})
}

// TallyView is the state of one organisation in a counter, for the state dump.
type TallyView struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"ratePerSecond"`
	Burst        float64 `json:"burst"`
	Demand       float64 `json:"demand"` // calls a second
	Tokens       float64 `json:"tokens"`
	Fraction     float64 `json:"fraction"` // of calls admitted
}

// Tallies returns the state of every organisation with calls lately.
func (c *Counter) Tallies(now time.Time) []TallyView {
	var out []TallyView
	c.tallies.Range(func(organisation string, t tally) bool {
		c.advance(&t, now)
		out = append(out, TallyView{
			Organisation: organisation, Rate: t.limit.RatePerSecond, Burst: t.limit.Burst,
			Demand: t.demand, Tokens: t.level, Fraction: c.fraction(t),
		})
		return true
	})
	return out
}
