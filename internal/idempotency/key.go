// Package idempotency makes calls with an idempotency key run at most once: it
// parses keys, tracks the runs of this node, applies the claims of a partition
// in log order and appends claims to the platform's log in batches.
//
// The order of the log decides which claim holds a key. Only the holder runs
// the call, and a claim has no lease: it never passes to another node on a
// timeout.
package idempotency

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/goldcrestshed/goldcrestshed/internal/shard"
)

const (
	// Partitions is the number of streams that claims are spread over.
	Partitions = 16
	// DefaultRetention is assumed while the log's retention is unknown.
	DefaultRetention = time.Hour
	// maxKeyBytes bounds keys that are not UUIDs.
	maxKeyBytes = 255
	// maxClockLead is how far a caller's clock may be ahead.
	maxClockLead = 5 * time.Minute
	// minRetentionMargin is the minimum time between the oldest accepted key and
	// the end of the log's retention.
	minRetentionMargin = time.Minute
	// retentionMarginDivisor divides the retention to get the margin.
	retentionMarginDivisor = 10
)

// Key is an idempotency key that a caller chose for one call.
type Key struct {
	Text string    `json:"text"`
	Time time.Time `json:"time"` // when the caller created it; zero if it is not a UUIDv7
}

// Partition returns the partition that holds the key's claims.
func (k Key) Partition() int { return shard.Index(k.Text, Partitions) }

// Stream returns the name of a partition's stream.
func Stream(partition int) string { return fmt.Sprintf("claims-%02d", partition) }

// KeyRule says which keys are accepted.
type KeyRule struct {
	AnyFormat bool          // accept keys that are not UUIDv7
	Retention time.Duration // of the log; 0 means DefaultRetention
}

func (r KeyRule) retention() time.Duration {
	if r.Retention <= 0 {
		return DefaultRetention
	}
	return r.Retention
}

// retentionMargin returns how long before the end of the retention keys are
// refused.
func retentionMargin(retention time.Duration) time.Duration {
	return max(retention/retentionMarginDivisor, minRetentionMargin)
}

// maxKeyLead returns how far in the future a key's time may be. It is at most
// half the margin, so that a key does not outlive the record of its claim.
func maxKeyLead(retention time.Duration) time.Duration {
	return min(maxClockLead, retentionMargin(retention)/2)
}

// Reason says why a keyed call was not run or its outcome is unknown. Callers
// receive its text.
type Reason string

// Reasons.
const (
	ReasonKeyMalformed    Reason = "key_malformed"
	ReasonKeyExpired      Reason = "key_expired"
	ReasonKeyInFuture     Reason = "key_in_future"
	ReasonLogUnavailable  Reason = "log_unavailable" // the claim is not in the log
	ReasonTooManyAttempts Reason = "attempts"        // too many claims of the key without a run, or too many keys without a time
	ReasonReleased        Reason = "released"        // the holder shed the call
	ReasonHolderGone      Reason = "holder_gone"     // the holder is gone and the log has no outcome
	ReasonHistoryLost     Reason = "history_lost"    // the log no longer covers the key's time
	ReasonAnswerNotKept   Reason = "answer_not_kept" // it ran; the answer was not kept
	ReasonConnectionLost  Reason = "connection_lost" // the backend server did not answer
	ReasonTimedOut        Reason = "deadline"        // the claim or the run that a call joined did not end in time
	ReasonClaimGivenUp    Reason = "claim_given_up"  // the claim was not decided before its call ended
)

// Refusal is the error for a key whose call is not run.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// ParseKey parses a key and checks its age when its call arrives. A key that is not
// a UUIDv7 has no age to check.
func ParseKey(text string, rule KeyRule, now time.Time) (Key, *Refusal) {
	id, err := uuid.Parse(text)
	if err == nil && id.Version() == 7 && id.Variant() == uuid.RFC4122 {
		return checkAge(Key{Text: id.String(), Time: uuidTime(id)}, rule.retention(), now)
	}
	if !rule.AnyFormat {
		return Key{}, &Refusal{ReasonKeyMalformed, "the idempotency key is not a UUIDv7"}
	}
	if len(text) == 0 || len(text) > maxKeyBytes {
		return Key{}, &Refusal{ReasonKeyMalformed, fmt.Sprintf("the idempotency key must have 1 to %d bytes", maxKeyBytes)}
	}
	return Key{Text: text}, nil
}

// uuidTime returns the timestamp of a UUIDv7: 48 bits of ms since 1970.
func uuidTime(id uuid.UUID) time.Time {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}

func checkAge(k Key, retention time.Duration, now time.Time) (Key, *Refusal) {
	age := now.Sub(k.Time)
	switch {
	case age > retention-retentionMargin(retention):
		return Key{}, &Refusal{ReasonKeyExpired, fmt.Sprintf("the idempotency key is %s old", age.Round(time.Second))}
	case -age > maxKeyLead(retention):
		return Key{}, &Refusal{ReasonKeyInFuture, fmt.Sprintf("the idempotency key is %s in the future", (-age).Round(time.Second))}
	}
	return k, nil
}
