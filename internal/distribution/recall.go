package distribution

import (
	"context"
	"time"
)

const (
	// recallGrace is how long a starting node that has read the directory waits for
	// a peer's member table, or the reverse: either may lack a change of the last
	// moments before the restart.
	recallGrace = 300 * time.Millisecond
	// recallTimeout is how long a node that meets the start rule waits for either. A
	// node that is alone during an outage of the directory gets neither.
	recallTimeout = 2 * time.Second
)

// Recalled returns a channel that is closed once OnSelfEntry was called with what
// the directory and the other nodes hold of this node from before its start, as far
// as they could be reached.
func (a *Agent) Recalled() <-chan struct{} { return a.recalled.done }

// recall waits for what Recalled reports.
func (a *Agent) recall(ctx context.Context) error {
	if a.awaitRecall(ctx) {
		a.recalled.set()
	}
	<-ctx.Done()
	return nil
}

// awaitRecall reports false if the context ended first.
func (a *Agent) awaitRecall(ctx context.Context) bool {
	ready := a.readyDone
	var expired <-chan time.Time
	for {
		select {
		case <-a.directoryRead.done:
			return awaitEvent(ctx, a.tableFetched, recallGrace)
		case <-a.tableFetched.done:
			return awaitEvent(ctx, a.directoryRead, recallGrace)
		case <-ready:
			ready, expired = nil, time.After(recallTimeout)
		case <-expired:
			a.Logger.Warn("self_entry_unread")
			return true
		case <-ctx.Done():
			return false
		}
	}
}

// awaitEvent waits for an event, at most for the given time. It reports false if the
// context ended first.
func awaitEvent(ctx context.Context, e *event, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-e.done:
		return true
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
