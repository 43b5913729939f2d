package idempotency

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
)

const (
	// readMax is the number of records asked for in one read, up to 30 MB of
	// full ones.
	readMax = 100
	// maxRestarts bounds the restarts of one catch-up, so that a log that
	// contradicts itself does not keep it going.
	maxRestarts = 3
)

// errRestarted means that reading goes on from another offset.
var errRestarted = errors.New("reading restarted")

// reader folds one partition's stream. One goroutine uses it.
type reader struct {
	log    platformlog.Log
	stream string
	fold   *StateMachine
	onFold func(r Record, verdicts []Verdict)

	partition int
	started   bool   // whether the stream was read from its first record on
	next      int64  // first offset that is not folded
	lastID    string // record at next-1, to notice a restarted log
	epoch     string
}

func newReader(partition int, log platformlog.Log, onFold func(Record, []Verdict)) *reader {
	return &reader{
		log:       log,
		stream:    Stream(partition),
		fold:      NewStateMachine(partition),
		onFold:    onFold,
		partition: partition,
	}
}

// restart drops what was folded. Keys from before the first record that is
// left are then not covered, so nothing that the old log decided is decided
// again.
func (r *reader) restart() {
	r.fold = NewStateMachine(r.partition)
	r.started, r.next, r.lastID = false, 0, ""
}

// catchUp folds the stream up to its present end.
func (r *reader) catchUp(ctx context.Context) error {
	for restarts := 0; restarts <= maxRestarts; {
		more, err := r.step(ctx)
		if errors.Is(err, errRestarted) {
			restarts++
			continue
		}
		if err != nil || !more {
			return err
		}
	}
	return errors.Wrapf(platformlog.ErrUnavailable, "stream %s changes under every read", r.stream)
}

// step reads and folds one batch and reports whether to read on.
func (r *reader) step(ctx context.Context) (bool, error) {
	from := r.from()
	b, err := r.log.Read(ctx, r.stream, from, readMax, 0)
	var outside *platformlog.RangeError
	if errors.As(err, &outside) {
		return false, r.jump(outside)
	}
	if err != nil {
		return false, err
	}
	if r.replaced(b) {
		r.restart()
		return false, errRestarted
	}
	r.epoch = b.LogID
	r.started = true
	r.fold.SetRetention(b.Retention)
	r.apply(b.Entries)
	return r.next < b.Next && len(b.Entries) > 0, nil
}

// jump moves on to the retained offsets. Only when the records up to the last
// folded one expired, and no others, does the fold stay.
func (r *reader) jump(outside *platformlog.RangeError) error {
	sameLog := r.started && outside.LogID != "" && outside.LogID == r.epoch
	if sameLog && outside.Expired() && outside.First == r.next {
		r.lastID = ""
		return errRestarted
	}
	r.restart()
	r.next, r.epoch = outside.First, outside.LogID
	return errRestarted
}

// from returns the offset to read from. It reads the last folded record once
// more to see that the log is still the same one.
func (r *reader) from() int64 {
	if r.lastID != "" {
		return r.next - 1
	}
	return r.next
}

// replaced reports whether the log is another one than at the last read.
func (r *reader) replaced(b platformlog.Batch) bool {
	if r.started && b.LogID != r.epoch {
		return true
	}
	if r.lastID == "" {
		return false
	}
	return len(b.Entries) == 0 || decode(b.Entries[0].Data).ID != r.lastID
}

func (r *reader) apply(entries []platformlog.Entry) {
	for _, e := range entries {
		if e.Offset < r.next {
			continue
		}
		rec := decode(e.Data)
		verdicts := r.fold.Apply(rec, e.Time)
		r.next, r.lastID = e.Offset+1, rec.ID
		r.onFold(rec, verdicts)
	}
}

// encode returns the bytes of a record.
func encode(r Record) ([]byte, error) {
	data, err := json.Marshal(r)
	return data, errors.Wrap(err, "encode record of claims")
}

// decode returns the record of some bytes. Bytes that are no record stand for
// an empty one: every fold passes over them alike.
func decode(data []byte) Record {
	var r Record
	if err := json.Unmarshal(data, &r); err != nil {
		return Record{ID: unreadableID}
	}
	if r.ID == "" {
		r.ID = unreadableID
	}
	return r
}

// unreadableID stands for the id of bytes that are no record.
const unreadableID = "-"
