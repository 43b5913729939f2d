package idempotency

import (
	"context"

	"github.com/cockroachdb/errors"
)

// Holder identifies one incarnation of a node. A restarted node is another
// holder and never runs the claims of its previous incarnation.
type Holder struct {
	Node        string `json:"node"`
	Incarnation int64  `json:"incarnation"` // start time of the node in ns
}

// Claim is a request for the right to run the call of a key.
type Claim struct {
	ID     string `json:"id"` // unique for each attempt; a resent claim keeps it
	Key    Key    `json:"key"`
	Holder Holder `json:"holder"`
}

// State is the state of a key in the log.
type State string

// States of a key.
const (
	StateRunning   State = "running"   // claimed, without an outcome yet
	StateRan       State = "ran"       // the holder ran the call
	StateReleased  State = "released"  // the holder did not run the call and never will
	StateExpired   State = "expired"   // the key's time is outside the accepted range
	StateExhausted State = "exhausted" // too many claims of the key, or too many keys without a time; further claims are refused
	StateUncovered State = "uncovered" // the log no longer covers the key's time
)

// Verdict is the decision on a Claim. If the claim lost to another one, it describes
// the winner.
type Verdict struct {
	Won     bool   `json:"won"`
	State   State  `json:"state"`
	ClaimID string `json:"claimId,omitempty"` // of the claim that holds the key
	Holder  Holder `json:"holder"`
	Attempt int    `json:"attempt,omitempty"` // number of claims that have won the key so far
	Status  int    `json:"status,omitempty"`  // of the answer when it ran
}

// Resolution ends a claim.
type Resolution struct {
	ClaimID string `json:"claimId"`
	Key     Key    `json:"key"`
	Holder  Holder `json:"holder"`
	State   State  `json:"state"`            // StateRan or StateReleased
	Status  int    `json:"status,omitempty"` // of the answer when it ran
}

// Claimer decides claims of one partition. It is a local Batcher or a client of
// one on another node.
type Claimer interface {
	Claim(ctx context.Context, c Claim) (Verdict, error)
	Resolve(ctx context.Context, r Resolution) error
}

// Errors of a Claimer. After any of them the claim must not be run.
var (
	// ErrUnavailable means that the claim is not in the log.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrBusy means that the batcher's queue is full; the claim is not in the log.
	ErrBusy = errors.New("too many claims are waiting")
	// ErrUndecided means that the claim may be in the log or reach it later.
	ErrUndecided = errors.New("the claim was not decided in time")
	// ErrWrongPartition means that the key belongs to another partition.
	ErrWrongPartition = errors.New("the key belongs to another partition")
)

// ErrorCode is the encoding of a Claimer's error between nodes.
type ErrorCode string

// Error codes.
const (
	CodeUnavailable    ErrorCode = "unavailable"
	CodeBusy           ErrorCode = "busy"
	CodeUndecided      ErrorCode = "undecided"
	CodeWrongPartition ErrorCode = "wrong_partition"
)

var errorCodes = []struct {
	code ErrorCode
	err  error
}{
	{CodeUnavailable, ErrUnavailable},
	{CodeBusy, ErrBusy},
	{CodeUndecided, ErrUndecided},
	{CodeWrongPartition, ErrWrongPartition},
}

// CodeOf returns the code of an error of a Claimer. Any other error leaves the
// claim undecided.
func CodeOf(err error) ErrorCode {
	for _, c := range errorCodes {
		if errors.Is(err, c.err) {
			return c.code
		}
	}
	return CodeUndecided
}

// Err returns the error of the code.
func (c ErrorCode) Err() error {
	for _, known := range errorCodes {
		if c == known.code {
			return known.err
		}
	}
	return ErrUndecided
}
