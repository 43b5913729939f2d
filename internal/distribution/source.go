package distribution

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/goldcrestshed/goldcrestshed/internal/membership"
	"github.com/goldcrestshed/goldcrestshed/internal/peer"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
	"github.com/goldcrestshed/goldcrestshed/internal/wait"
)

// Source stores complete configurations in a total order. Where the platform
// provides one, it replaces the config stream: changes do not race, and neither
// a state machine nor checkpoints are needed.
type Source interface {
	// Next returns the newest configuration after a position. If there is
	// none, it waits up to wait and then returns nil. With a wait of 0 it reads the
	// source in any case, so that the result shows what is newest.
	Next(ctx context.Context, after profile.Position, wait time.Duration) (*profile.Checkpoint, error)
	// Refused returns how many configurations could not be used since the start.
	Refused() int64
}

const (
	// sourcePollWait is the maximum duration of a long poll of the source.
	sourcePollWait = 5 * time.Second
	// sourceFailureLimit is how many consecutive reads must fail before the node
	// announces that it cannot reach the source.
	sourceFailureLimit = 2
	// sourceRetryInterval is the time between the reads of a node that cannot
	// reach the source and is no longer a reader.
	sourceRetryInterval = 2 * time.Second
	// maxSourceBackoff is the upper bound of the random wait after a failed read.
	// Changes published during an outage must be read soon after its end.
	maxSourceBackoff = 600 * time.Millisecond
)

// sourceReader reads a Source while the node is a reader of its region. Only
// one goroutine uses it.
type sourceReader struct {
	*Agent
	failures int
	restores int64            // of the store, as of the last read
	position profile.Position // of the node before the last read
}

// runSourceReader reads the source while the node is a reader.
func (a *Agent) runSourceReader(ctx context.Context) error {
	s := &sourceReader{Agent: a, restores: a.Eras.Restores()}
	for s.awaitReadDue(ctx) {
		err := s.step(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			s.recordSuccess()
			continue
		}
		s.recordFailure(err)
		if !wait.For(ctx, min(wait.FullJitter(s.failures), rand.N(maxSourceBackoff))) {
			return nil
		}
	}
	return nil
}

// awaitReadDue waits until the node is a reader, or until it is time to check
// whether the source is reachable again. It reports false if the context ended.
func (s *sourceReader) awaitReadDue(ctx context.Context) bool {
	select {
	case <-s.peersSearched:
	case <-ctx.Done():
		return false
	}
	for ctx.Err() == nil {
		changed := s.topologyChanged.next()
		if s.isReader() {
			return true
		}
		if !s.self().SourceLost {
			wait.Until(ctx, changed, time.Hour)
			continue
		}
		wait.Until(ctx, changed, sourceRetryInterval)
		return ctx.Err() == nil
	}
	return false
}

func (s *sourceReader) step(ctx context.Context) error {
	poll := sourcePollWait
	restores := s.Eras.Restores()
	if s.failures > 0 || restores != s.restores {
		poll = 0 // return at once, to detect a recovered or restored source without a long poll
	}
	s.restores = restores
	// A long poll that returns a configuration does not show that it is the newest.
	// Without that proof the nodes of the region read it from the source themselves.
	if position, _ := s.Position(); position != s.position {
		s.position, poll = position, 0
	}
	return s.readSource(ctx, poll)
}

// RefusedConfigs returns how many configurations of the source could not be used
// since the start.
func (a *Agent) RefusedConfigs() int64 {
	if a.Source == nil {
		return 0
	}
	return a.Source.Refused()
}

// readSource makes one read, submits the result to the replica and records what it
// proves.
func (a *Agent) readSource(ctx context.Context, poll time.Duration) error {
	end, err := a.readSourceEnd(ctx, poll)
	if end != nil {
		a.recordSourceEnd(*end)
	}
	return err
}

// readSourceEnd makes one read and submits the result to the replica. It returns nil
// if the read does not show that nothing is newer than the node's position.
func (a *Agent) readSourceEnd(ctx context.Context, poll time.Duration) (*sourceEnd, error) {
	after, held := a.Position()
	var (
		sent time.Time
		c    *profile.Checkpoint
	)
	err := a.Eras.inOneEra(ctx, func(ctx context.Context, again bool) (err error) {
		if again {
			poll = 0 // the streams of a restored source start with what is newest
		}
		sent = time.Now()
		c, err = a.Source.Next(ctx, after, poll)
		return err
	})
	if err != nil {
		return nil, err
	}
	if c == nil {
		if held {
			return &sourceEnd{position: after, at: proofTime(sent, poll, true)}, nil
		}
		return nil, nil
	}
	a.replica.submit(ctx, update{full: &peer.FullState{Checkpoint: c}})
	newest := profile.Position{Epoch: c.Epoch, Offset: c.Through}
	after, held = a.Position()
	if held && after.Compare(newest) >= 0 && poll == 0 { // a poll may return what was read before
		return &sourceEnd{position: newest, at: sent}, nil
	}
	return nil, nil
}

func (s *sourceReader) recordFailure(err error) {
	s.failures++
	if s.failures == 1 {
		s.Logger.Warn("source_lost", "error", err)
	}
	if s.failures == sourceFailureLimit {
		s.setSourceLost(true)
	}
}

func (s *sourceReader) recordSuccess() {
	if s.failures > 0 {
		s.Logger.Info("source_regained", "failures", s.failures)
	}
	s.failures = 0
	s.setSourceLost(false)
}

func (a *Agent) setSourceLost(lost bool) {
	if a.self().SourceLost == lost {
		return
	}
	a.UpdateSelf(func(m membership.Member) membership.Member {
		m.SourceLost = lost
		return m
	})
}
