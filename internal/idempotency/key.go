// Package once makes keyed calls run at most once: it parses idempotency
// keys, keeps the local runs, folds the claims of a partition in log order and
// batches claims onto the platform's log.
//
// The log's order decides which claim holds a key. Only the holder runs a
// claim, and no claim passes to another node because time went by.
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
	// DefaultRetention stands for the log's retention while it is unknown.
	DefaultRetention = time.Hour
	// maxKeyBytes bounds keys that are not UUIDs.
	maxKeyBytes = 255
	// maxLead is how far a caller's clock may be ahead.
	maxLead = 5 * time.Minute
	// minMargin is the least time between the oldest accepted key and the end
	// of the log's retention.
	minMargin = time.Minute
	// marginPart is the margin as a part of retention.
	marginPart = 10
)

// Key is an idempotency key that a caller chose for one call.
type Key struct {
	Text string    `json:"text"`
	Time time.Time `json:"time"` // when the caller made it; zero for keys of other forms
}

// Partition returns the partition that holds the key's claims.
func (k Key) Partition() int { return shard.Index(k.Text, Partitions) }

// Stream returns the name of a partition's stream.
func Stream(partition int) string { return fmt.Sprintf("claims-%02d", partition) }

// KeyRule says which keys are accepted.
type KeyRule struct {
	Any       bool          // accept keys that are not UUIDv7
	Retention time.Duration // of the log; 0 stands for DefaultRetention
}

func (r KeyRule) retention() time.Duration {
	if r.Retention <= 0 {
		return DefaultRetention
	}
	return r.Retention
}

// margin returns how long before the end of retention keys are refused.
func margin(retention time.Duration) time.Duration {
	return max(retention/marginPart, minMargin)
}

// lead returns how far in the future a key may lie. Half the margin bounds it:
// with more, a key could outlive the record of its own claim.
func lead(retention time.Duration) time.Duration {
	return min(maxLead, margin(retention)/2)
}

// Reason says why a keyed call was not run or its outcome is unknown. It is
// the word that callers see.
type Reason string

// Reasons.
const (
	ReasonKeyMalformed   Reason = "key_malformed"
	ReasonKeyExpired     Reason = "key_expired"
	ReasonKeyInFuture    Reason = "key_in_future"
	ReasonLogUnavailable Reason = "log_unavailable" // the claim was not decided
	ReasonAttempts       Reason = "attempts"        // the key was claimed too often without a run
	ReasonReleased       Reason = "released"        // the holder shed the call
	ReasonHolderGone     Reason = "holder_gone"     // the holder died without an outcome
	ReasonHistoryLost    Reason = "history_lost"    // the log no longer covers the key's time
	ReasonAnswerNotKept  Reason = "answer_not_kept" // it ran, the answer is gone
	ReasonConnectionLost Reason = "connection_lost" // the backend server did not answer
	ReasonTimedOut       Reason = "deadline"        // a joined call outlasted its caller
	ReasonGivenUp        Reason = "claim_given_up"  // the claim was not decided before its call ended
)

// Refusal says that a call with such a key is not run.
type Refusal struct {
	Reason  Reason
	Message string
}

// Error implements error.
func (r *Refusal) Error() string { return r.Message }

// ParseKey checks the text of a key at the time that its call arrived.
func ParseKey(text string, rule KeyRule, now time.Time) (Key, *Refusal) {
	id, err := uuid.Parse(text)
	if err == nil && id.Version() == 7 && id.Variant() == uuid.RFC4122 {
		return checkAge(Key{Text: id.String(), Time: uuidTime(id)}, rule.retention(), now)
	}
	if !rule.Any {
		return Key{}, &Refusal{ReasonKeyMalformed, "the idempotency key is not a UUIDv7"}
	}
	if len(text) == 0 || len(text) > maxKeyBytes {
		return Key{}, &Refusal{ReasonKeyMalformed, fmt.Sprintf("the idempotency key must have 1 to %d bytes", maxKeyBytes)}
	}
	return Key{Text: text}, nil
}

// uuidTime returns the time in a UUIDv7: 48 bits of ms since 1970.
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
	case age > retention-margin(retention):
		return Key{}, &Refusal{ReasonKeyExpired, fmt.Sprintf("the idempotency key is %s old", age.Round(time.Second))}
	case -age > lead(retention):
		return Key{}, &Refusal{ReasonKeyInFuture, fmt.Sprintf("the idempotency key is %s in the future", (-age).Round(time.Second))}
	}
	return k, nil
}
