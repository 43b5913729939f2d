package idempotency

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

const (
	// maxReadRecords bounds the records of one read, which take up to 30 MB.
	maxReadRecords = 100
	// maxRestarts bounds the restarts of one catch-up, so that it ends on a log
	// with inconsistent answers.
	maxRestarts = 3
)

// errRestarted means that nothing was applied and reading continues at another
// offset.
var errRestarted = errors.New("reading restarted")

// reader applies one partition's stream to a StateMachine. It is not safe for
// concurrent use.
type reader struct {
	log     platformlog.Log
	stream  string
	state   *StateMachine
	onApply func(r Record, verdicts []Verdict)

	partition    int
	started      bool   // a read succeeded since the last restart
	nextOffset   int64  // offset of the next record to apply
	lastRecordID string // id of the record at nextOffset-1, to detect a replaced log
	logID        string // of the last read
}

func newReader(partition int, log platformlog.Log, onApply func(Record, []Verdict)) *reader {
	return &reader{
		log:       log,
		stream:    Stream(partition),
		state:     NewStateMachine(partition),
		onApply:   onApply,
		partition: partition,
	}
}

// restart discards the state. Keys that are older than the first retained
// record are then not covered, so no claim that the old log decided is decided
// again.
func (r *reader) restart() {
	r.state = NewStateMachine(r.partition)
	r.started, r.nextOffset, r.lastRecordID = false, 0, ""
}

// catchUp applies the stream up to its current end.
func (r *reader) catchUp(ctx context.Context) error {
	for restarts := 0; restarts <= maxRestarts; {
		more, err := r.readBatch(ctx)
		if errors.Is(err, errRestarted) {
			restarts++
			continue
		}
		if err != nil || !more {
			return err
		}
	}
	return errors.Wrapf(platformlog.ErrUnavailable, "stream %s: every read restarted, the log's answers are inconsistent", r.stream)
}

// readBatch reads and applies one batch and reports whether there is more. It
// returns errRestarted if the next read starts at another offset.
func (r *reader) readBatch(ctx context.Context) (bool, error) {
	from := r.readOffset()
	b, err := r.log.Read(ctx, r.stream, from, maxReadRecords, 0)
	var rangeErr *platformlog.RangeError
	if errors.As(err, &rangeErr) {
		return false, r.skipToRetained(rangeErr)
	}
	if err != nil {
		return false, err
	}
	if r.logReplaced(b) {
		r.restart()
		return false, errRestarted
	}
	r.logID = b.LogID
	r.started = true
	r.state.SetRetention(b.Retention)
	r.apply(b.Entries)
	return r.nextOffset < b.Next && len(b.Entries) > 0, nil
}

// skipToRetained continues at the first retained offset. The state is kept only
// if the log is the same and every expired record was applied before.
func (r *reader) skipToRetained(rangeErr *platformlog.RangeError) error {
	sameLog := r.started && rangeErr.LogID != "" && rangeErr.LogID == r.logID
	if sameLog && rangeErr.Expired() && rangeErr.First == r.nextOffset {
		r.lastRecordID = ""
		return errRestarted
	}
	r.restart()
	r.nextOffset, r.logID = rangeErr.First, rangeErr.LogID
	return errRestarted
}

// readOffset returns the offset to read from: that of the last applied record,
// which is read again to check that the log was not replaced.
func (r *reader) readOffset() int64 {
	if r.lastRecordID != "" {
		return r.nextOffset - 1
	}
	return r.nextOffset
}

// logReplaced reports whether the log was replaced since the last read.
func (r *reader) logReplaced(b platformlog.Batch) bool {
	if r.started && b.LogID != r.logID {
		return true
	}
	if r.lastRecordID == "" {
		return false
	}
	return len(b.Entries) == 0 || decode(b.Entries[0].Data).ID != r.lastRecordID
}

func (r *reader) apply(entries []platformlog.Entry) {
	for _, e := range entries {
		if e.Offset < r.nextOffset {
			continue
		}
		rec := decode(e.Data)
		verdicts := r.state.Apply(rec, e.Time)
		r.nextOffset, r.lastRecordID = e.Offset+1, rec.ID
		r.onApply(rec, verdicts)
	}
}
