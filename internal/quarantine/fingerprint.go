// Package quarantine finds requests that crash backend servers and refuses
// them. It does no I/O and reads no clock.
//
// The node that routes a request holds a Pass of List.Send until the call
// ends, sends it to none of the servers in Verdict.Avoid if there is another,
// and sends the Entry of a suspect along. A suspect is not hedged, since that
// endangers two servers at once. The node beside the server merges that entry,
// holds a Pass of List.Run while the server runs the request, and reports
// Crash or Success. Every entry returned goes to the node that sent the
// request and to the neighbours.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// BodyBytes is how much of a request's body goes into its fingerprint.
const BodyBytes = 64 << 10

// Fingerprint identifies requests that are the same to a backend server.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Only the first
// BodyBytes of the body count. The length of each part before it is hashed
// too, so that parts cannot run into each other.
func NewFingerprint(method, host, path, query string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{method, host, path, query} {
		writeLength(d, len(part))
		_, _ = d.WriteString(part) // never fails
	}
	_, _ = d.Write(body[:min(len(body), BodyBytes)]) // never fails
	return Fingerprint(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:]) // never fails
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// ParseFingerprint reads the form that String writes.
func ParseFingerprint(text string) (Fingerprint, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "fingerprint %q", text)
	}
	return Fingerprint(v), nil
}

// MarshalText writes the form of String, which JSON numbers could not hold
// exactly.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText reads the form of String.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := ParseFingerprint(string(text))
	*f = v
	return err
}
