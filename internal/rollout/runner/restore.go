package runner

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/rollout"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

const (
	// restoredEndPause is the time between the candidates that look for the status of
	// an ended order in a restored store: the first one has written it again by then.
	restoredEndPause = 2 * time.Second
	// restoredEndTimeout bounds the attempts of one candidate.
	restoredEndTimeout = time.Minute
)

// recordedEnd says for which order, and after which restore of the store, the node
// looks whether the store still holds its end.
type recordedEnd struct{ number, restores int64 }

// restoreEndIfDue begins to look whether a store that came back from a copy still
// holds the recorded end of an order, and writes it again if not. The candidates for
// the order do so one after another. It reports whether it began.
func (r *Runner) restoreEndIfDue(ctx context.Context, s rollout.State, now time.Time) bool {
	due := recordedEnd{s.Number, r.Restores()}
	if checked, _ := r.ends.Get(s.Service); due.restores == 0 || checked == due {
		return false
	}
	r.ends.Set(s.Service, due)
	rank := slices.IndexFunc(r.candidates(s.Service), func(m membership.Member) bool { return m.ID == r.Self.ID })
	if rank < 0 {
		return false
	}
	r.tasks.Go(func() {
		ctx, cancel := context.WithDeadline(ctx, now.Add(restoredEndTimeout))
		defer cancel()
		if !wait.For(ctx, time.Duration(rank)*restoredEndPause) {
			return
		}
		for attempt := 1; ; attempt++ {
			err := r.restoreEnd(ctx, s.Service, due)
			if err == nil || !wait.For(ctx, min(wait.FullJitter(attempt), maxStoreBackoff)) {
				return
			}
		}
	})
	return true
}

// restoreEnd writes the status of an ended order again unless the store holds it, or
// one of a newer order.
func (r *Runner) restoreEnd(ctx context.Context, service string, due recordedEnd) error {
	status, position, err := r.Store.Status(ctx, service)
	if err != nil {
		return err
	}
	s, _, _ := r.Gate.Get(service, time.Now())
	if s.Number != due.number || ended(status, s) || status.Phase != "" && status.Number > max(s.Number, s.Found) {
		return nil
	}
	if due.restores != r.Restores() {
		return nil // a later check follows
	}
	err = r.Store.WriteStatus(ctx, Record{Service: service, Target: s.Target, Phase: s.Phase, Number: s.Number}, position)
	if err != nil {
		if errors.Is(err, ErrConflict) {
			r.counters.conflicts.Add(1)
		}
		r.Logger.Warn("rollout_record_failed", "service", service, "number", s.Number, "phase", string(s.Phase), "error", err)
		return err
	}
	r.Logger.Info("rollout_record_restored", "service", service, "number", s.Number, "target", s.Target, "phase", string(s.Phase))
	return nil
}
