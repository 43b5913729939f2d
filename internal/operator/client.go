// Package operator implements the operations of goldcrestctl: it reads the
// configuration from the log and submits changes to it. Flags and output are in
// the command.
package operator

import (
	"context"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/idempotency"
	"github.com/goldcrestshed/goldcrestshed/internal/platformlog"
	"github.com/goldcrestshed/goldcrestshed/internal/profile"
)

// ErrNotInitialised means that the log holds no genesis record or checkpoint.
var ErrNotInitialised = errors.New("the log holds no configuration; run goldcrestctl init once")

// ErrNeedsNewerBuild means that the log holds records that need a newer build.
var ErrNeedsNewerBuild = errors.New("the log holds records with a newer schema; use a newer goldcrestctl")

// Client reads and changes the configuration.
type Client struct {
	log       platformlog.Log
	author    string
	now       func() time.Time
	newID     func() string
	retryTime time.Duration
}

// Option configures a Client.
type Option func(*Client)

// WithRetryTime sets how long operations are retried while the log is
// unavailable. The default is not to retry.
func WithRetryTime(d time.Duration) Option { return func(c *Client) { c.retryTime = d } }

// WithIDs sets the function that generates record ids. The default is random
// UUIDs.
func WithIDs(newID func() string) Option { return func(c *Client) { c.newID = newID } }

// NewClient returns a Client that records changes under the author's name.
func NewClient(log platformlog.Log, author string, now func() time.Time, options ...Option) *Client {
	c := &Client{log: log, author: author, now: now, newID: uuid.NewString}
	for _, o := range options {
		o(c)
	}
	return c
}

const (
	readBatchSize = 256
	// maxReadAttempts bounds how often the log is read from its start. It is read
	// again if records expired, or the log was restarted, between two reads.
	maxReadAttempts = 5
)

// State reads the log to its end and returns the configuration.
func (c *Client) State(ctx context.Context) (profile.State, error) {
	machine, err := c.replay(ctx, nil)
	if err != nil {
		return profile.State{}, err
	}
	return machine.State(), nil
}

// recordObserver is called with the verdict on every record and the state after
// it.
type recordObserver func(offset int64, v profile.Verdict, s profile.State)

// replay applies all records of the log, from the first retained one. It starts
// again, up to maxReadAttempts times, if a read is outside the retained range.
func (c *Client) replay(ctx context.Context, observe recordObserver) (*profile.StateMachine, error) {
	for attempt := 1; ; attempt++ {
		machine, err := c.replayOnce(ctx, observe)
		var rangeErr *platformlog.RangeError
		if !errors.As(err, &rangeErr) || attempt == maxReadAttempts {
			return machine, err
		}
	}
}

func (c *Client) replayOnce(ctx context.Context, observe recordObserver) (*profile.StateMachine, error) {
	first, err := c.firstOffset(ctx)
	if err != nil {
		return nil, err
	}
	machine := profile.NewStateMachine(first)
	if err := c.readToEnd(ctx, machine, observe); err != nil {
		return nil, err
	}
	if !machine.Anchored() {
		return nil, errors.WithStack(ErrNotInitialised)
	}
	return machine, nil
}

func (c *Client) firstOffset(ctx context.Context) (int64, error) {
	_, err := c.read(ctx, 0, 1)
	var rangeErr *platformlog.RangeError
	if errors.As(err, &rangeErr) {
		return rangeErr.First, nil
	}
	return 0, err
}

func (c *Client) read(ctx context.Context, from int64, limit int) (platformlog.Batch, error) {
	b, err := platformlog.ReadWithRetry(ctx, c.log, time.Now().Add(c.retryTime), platformlog.StreamConfig, from, limit, 0)
	return b, errors.Wrap(err, "read the configuration")
}

// readToEnd applies records up to the end of the log.
func (c *Client) readToEnd(ctx context.Context, machine *profile.StateMachine, observe recordObserver) error {
	for {
		b, err := c.read(ctx, machine.Next(), readBatchSize)
		if err != nil {
			return err
		}
		for _, e := range b.Entries {
			v := machine.Apply(e.Offset, e.Data)
			if v.Outcome == profile.OutcomeNeedsNewerBuild {
				return errors.WithStack(ErrNeedsNewerBuild)
			}
			if observe != nil {
				observe(e.Offset, v, machine.State())
			}
		}
		if len(b.Entries) == 0 {
			return nil
		}
	}
}

// Init writes a first record to each stream of claims and the genesis record to
// the config stream of a log that holds no configuration.
func (c *Client) Init(ctx context.Context) error {
	_, err := c.replay(ctx, nil)
	if err == nil {
		return errors.New("the log holds a configuration already")
	}
	if !errors.Is(err, ErrNotInitialised) {
		return err
	}
	if err := c.coverClaimStreams(ctx); err != nil {
		return err
	}
	first, err := c.firstOffset(ctx)
	if err != nil {
		return err
	}
	_, err = c.append(ctx, first, profile.Record{Kind: profile.RecordGenesis})
	return err
}

// coverClaimStreams writes an empty record to each stream of claims, since a
// stream covers only keys that are younger than its first record. Repeating it is
// harmless.
func (c *Client) coverClaimStreams(ctx context.Context) error {
	for p := range idempotency.Partitions {
		data, err := idempotency.EmptyRecord(c.newID())
		if err != nil {
			return err
		}
		if _, err := c.log.Append(ctx, idempotency.Stream(p), data); err != nil {
			return errors.Wrap(err, "write the first record of a claim stream")
		}
	}
	return nil
}

// append writes a record with a new id to the config stream and returns it as
// written.
func (c *Client) append(ctx context.Context, minOffset int64, rec profile.Record) (profile.Record, error) {
	rec.ID, rec.Schema, rec.Author, rec.Time = c.newID(), rec.RequiredSchema(), c.author, c.now().UTC()
	data, err := json.Marshal(rec)
	if err != nil {
		return rec, errors.Wrap(err, "encode record")
	}
	if len(data) > platformlog.MaxRecordBytes {
		return rec, errors.WithStack(&TooLargeError{Bytes: len(data)})
	}
	_, err = platformlog.NewWriter(c.log, c.retryTime).Append(ctx, platformlog.StreamConfig, minOffset, data)
	if errors.Is(err, platformlog.ErrUnknown) {
		err = errors.Wrap(err, "the change was sent and its outcome is unknown; run the command again")
	}
	return rec, err
}
