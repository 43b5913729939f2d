package distribution

import (
	"sync"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
)

// updateIsolation records whether the node reaches any linked node. While it
// reaches none, it reads the configuration itself, since no other node can tell
// it of a change, and it does not take its neighbours for dead as early.
func (a *Agent) updateIsolation(now time.Time) {
	linked := a.linkedNodes()
	isolated := len(linked) > 0 && a.detector.AllSilent(linked, now) || a.isolatedDeaths.Len() > 0
	if isolated && a.isolated.CompareAndSwap(false, true) {
		a.Logger.Warn("isolated", "linked", len(linked))
		a.topologyChanged.notify() // wakes the readers
	}
}

// endIsolation is called when another node was reached. It takes back what the
// node concluded about others while it was isolated: these entries would
// otherwise reach other nodes, which would stop calling healthy servers until
// each has refuted its own death.
func (a *Agent) endIsolation() {
	if !a.isolated.CompareAndSwap(true, false) {
		return
	}
	a.detector.DropSuspicionsBy(a.Self.ID)
	var before []membership.Member
	a.isolatedDeaths.DeleteFunc(func(_ string, m membership.Member) bool {
		before = append(before, m)
		return true
	})
	restored := 0
	for _, m := range before {
		a.Table.Update(m.ID, func(have membership.Member) membership.Member {
			declared := m
			declared.Status = membership.StatusDead
			if have != declared {
				return have
			}
			restored++
			return m
		})
		a.Peers.Drop(m.ID) // the connection may have gone silent meanwhile
	}
	a.Logger.Info("isolation_ended", "restored", restored)
	a.tableChanged()
	a.topologyChanged.notify()
}

// declareDead marks members whose suspicion is confirmed as dead.
func (a *Agent) declareDead(now time.Time) {
	var dead []membership.Member
	if a.isolated.Load() {
		dead = a.detector.ConfirmDeadIsolated(a.Table, now)
		a.recordIsolatedDeaths(dead)
	} else {
		// Most of the time no member is suspected, and the table is not needed.
		all := sync.OnceValue(a.Table.All)
		neighboursOf := func(m membership.Member) []membership.Member { return membership.Neighbours(m, all()) }
		dead = a.detector.ConfirmDead(a.Table, neighboursOf, now)
	}
	for _, m := range dead {
		a.Logger.Warn("member_dead", "node", m.ID)
	}
	if len(dead) > 0 {
		a.merge(a.Self.ID, dead)
	}
}

// recordIsolatedDeaths keeps the entries that endIsolation restores.
func (a *Agent) recordIsolatedDeaths(dead []membership.Member) {
	for _, m := range dead {
		if before, ok := a.Table.Get(m.ID); ok {
			a.isolatedDeaths.Set(m.ID, before)
		}
	}
}
