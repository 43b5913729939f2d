// Package quarantine finds requests that crash backend servers and refuses
// them. It does no I/O and reads no clock.
//
// The node that routes a request holds the Permit of List.AdmitSend until the
// call ends, avoids the servers in Verdict.Avoid if there is another one, and
// sends the Entry of a suspect with the request. A suspect is not hedged, since
// that could crash two servers at once. The node in front of the server merges
// that entry, holds the Permit of List.AdmitRun while the server runs the
// request, and calls RecordCrash or RecordSuccess. Every entry returned is sent
// to the node that sent the request and to the neighbours.
package quarantine

import (
	"encoding/binary"
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// BodyBytes is the length of the body prefix that a fingerprint covers.
const BodyBytes = 64 << 10

// Fingerprint identifies requests that are the same to a backend server.
type Fingerprint uint64

// NewFingerprint returns the fingerprint of a request. Only the first
// BodyBytes of the body count. The other parts are hashed with their lengths,
// so that moving bytes from one part to the next changes the fingerprint.
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

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	v, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, errors.Wrapf(err, "fingerprint %q", text)
	}
	return Fingerprint(v), nil
}

// MarshalText returns the output of String, since many JSON parsers lose
// precision on 64-bit numbers.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText parses the output of String.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	v, err := ParseFingerprint(string(text))
	*f = v
	return err
}
