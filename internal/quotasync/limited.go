package quotasync

import (
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/quota"
)

// limitedLogAge is how long an organisation must be within its quota before the
// node says that its limiting ended. It also bounds the log lines: two in this
// time for each organisation.
const limitedLogAge = 5 * time.Second

// limitedState is an organisation whose calls are limited.
type limitedState struct {
	since   time.Time
	last    time.Time
	refused uint64 // before the limiting began
}

// logLimited logs the organisations whose limiting on this node began or ended.
func (a *Agent) logLimited(now time.Time) {
	if !a.Limiter.Restricted() && a.limited.Len() == 0 {
		return
	}
	accounts := map[string]quota.AccountView{}
	for _, v := range a.Limiter.Accounts() {
		accounts[v.Organisation] = v
		if v.Fraction < 1 && v.Allowed+v.Refused > 0 {
			a.noteLimited(now, v)
		}
	}
	var ended []string
	a.limited.Range(func(organisation string, s limitedState) bool {
		if now.Sub(s.last) >= limitedLogAge {
			ended = append(ended, organisation)
		}
		return true
	})
	for _, organisation := range ended {
		s, _ := a.limited.Get(organisation)
		a.limited.Delete(organisation)
		a.Logger.Info("quota_limit_ended", "organisation", organisation, "seconds", s.last.Sub(s.since).Seconds(), "refused", accounts[organisation].Refused-s.refused)
	}
}

func (a *Agent) noteLimited(now time.Time, v quota.AccountView) {
	began := false
	a.limited.Update(v.Organisation, func(s limitedState, ok bool) (limitedState, bool) {
		if began = !ok; began {
			s = limitedState{since: now, refused: v.Refused}
		}
		s.last = now
		return s, true
	})
	if began {
		limit, _ := a.LimitOf(v.Organisation)
		a.Logger.Info("quota_limit_began", "organisation", v.Organisation, "fraction", v.Fraction, "rate", limit.RatePerSecond, "burst", limit.Burst)
	}
}
