package distribution

import (
	"time"
)

// ConfigAge returns how long ago the node last knew that its configuration was
// the newest one of the log or source. It returns false if it never knew.
func (a *Agent) ConfigAge() (time.Duration, bool) {
	v := a.verified.Load()
	if v == nil {
		return 0, false
	}
	return time.Since(v.at), true
}

// updateVerified records that the node's configuration is the newest one known
// of the log or source, if it is.
func (a *Agent) updateVerified() {
	view := a.newestSource.Load()
	own, held := a.Position()
	if view == nil || !held || own.Compare(view.position) < 0 {
		return
	}
	for {
		have := a.verified.Load()
		if have != nil && !view.at.After(have.at) {
			return
		}
		if a.verified.CompareAndSwap(have, view) {
			return
		}
	}
}
